package serverpool_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/serverpool"
	"tanagercross/internal/database/slowstart"
	"tanagercross/internal/database/statement"
	"tanagercross/internal/instance/clock"
	"tanagercross/internal/standin/cluster"
)

// load counts the statements that run at the same time and delays each of them.
type load struct {
	mu      sync.Mutex
	running int
	most    int
	took    time.Duration
}

// loadDialer opens connections that count their statements.
type loadDialer struct {
	statement.Dialer
	load *load
}

type loadConn struct {
	statement.Conn
	load *load
}

func (d loadDialer) Dial(ctx context.Context, t statement.Target) (statement.Conn, driver.Position, error) {
	c, p, err := d.Dialer.Dial(ctx, t)
	if err != nil {
		return nil, p, err
	}
	return loadConn{c, d.load}, p, nil
}

func (c loadConn) Run(deadline time.Time, commands ...statement.Command) ([]statement.Answer, error) {
	c.load.mu.Lock()
	c.load.running++
	c.load.most = max(c.load.most, c.load.running)
	c.load.mu.Unlock()
	time.Sleep(c.load.took)
	answers, err := c.Conn.Run(deadline, commands...)
	c.load.mu.Lock()
	defer c.load.mu.Unlock()
	c.load.running--
	return answers, err
}

// pacedPool returns a pool whose slow starts are recorded.
func pacedPool(t *testing.T, slots int) (*cluster.Cluster, *serverpool.Pool, *load, func() []serverpool.SlowStart) {
	t.Helper()
	c := cluster.New(clock.Boot)
	c.AddGroup("meals", "agreste", "sertao")
	l := &load{took: 2 * time.Millisecond}
	var mu sync.Mutex
	var reports []serverpool.SlowStart
	pool := serverpool.New(statement.Target{Server: replica, Group: "meals", Address: replica}, loadDialer{c.Dialer("i1"), l}, serverpool.Options{
		Slots: slots, Connections: 2 * slots, SlowStart: true, Latencies: &slowstart.Latencies{},
		OnSlowStart: func(s serverpool.SlowStart) {
			mu.Lock()
			defer mu.Unlock()
			reports = append(reports, s)
		},
	})
	t.Cleanup(pool.Close)
	return c, pool, l, func() []serverpool.SlowStart {
		mu.Lock()
		defer mu.Unlock()
		return reports
	}
}

// herd runs reads of many callers for a time and returns how many were answered.
func herd(pool *serverpool.Pool, callers int, length time.Duration) int {
	var served sync.Map
	var group sync.WaitGroup
	for n := range callers {
		group.Go(func() {
			for i, end := 0, time.Now().Add(length); time.Now().Before(end); i++ {
				c := read(fmt.Sprintf("s%d", n), i)
				c.Scope = statement.Replica
				if pool.Execute(context.Background(), c).OK() {
					served.Store(c.ID, true)
				}
			}
		})
	}
	group.Wait()
	count := 0
	served.Range(func(_, _ any) bool { count++; return true })
	return count
}

// Guards against a server in a slow start that gets a herd of callers at once, and against one that never gets its full
// share although it answers well.
func TestSlowStart(t *testing.T) {
	_, pool, l, reports := pacedPool(t, 8)
	pool.BeginSlowStart("start", false)
	if w, paced := pool.Window(); w != 1 || !paced {
		t.Fatalf("window %d, slow start %t; want 1 and true", w, paced)
	}
	first := make(chan int)
	go func() { first <- herd(pool, 12, 1500*time.Millisecond) }()
	time.Sleep(8 * time.Millisecond)
	l.mu.Lock()
	most := l.most
	l.mu.Unlock()
	if most > 2 {
		t.Errorf("%d statements at once after 8 ms, want at most 2", most)
	}
	if served := <-first; served < 100 {
		t.Errorf("%d statements served, want at least 100", served)
	}
	all := reports()
	if last := all[len(all)-1]; !all[0].Began || !last.Ended || last.Window != 8 || len(all) > 12 {
		t.Errorf("reports %+v, want a beginning, an end at 8, and at most 12 of them", all)
	}
	if _, paced := pool.Window(); paced {
		t.Error("the slow start has not ended after 1.5 s")
	}
}

// Guards against callers that wait for the window for ever: their time ends, or the pool is closed.
func TestWaitForTheWindowEnds(t *testing.T) {
	c, pool, _, _ := pacedPool(t, 8)
	pool.BeginSlowStart("start", false)
	c.Silence(replica)
	held := make(chan struct{})
	go func() { defer close(held); herd(pool, 1, time.Millisecond) }()
	time.Sleep(20 * time.Millisecond)
	waiting := read("s2", 1)
	waiting.Scope, waiting.Timeout = statement.Replica, 100*time.Millisecond
	if a := pool.Execute(context.Background(), waiting); a.Code != statement.Busy || a.Delivery != statement.NotSent {
		t.Errorf("%+v, want busy and not sent", a)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		waiting.Timeout = time.Minute
		pool.Execute(context.Background(), waiting)
	}()
	time.Sleep(20 * time.Millisecond)
	pool.Close()
	select {
	case <-done:
	case <-time.After(2 * time.Second):
		t.Error("a caller still waits after the pool was closed")
	}
	<-held
}

// Guards against a server that gets its full share at once when it is back after failures or after an evacuation.
func TestReturnBeginsASlowStart(t *testing.T) {
	c, pool, _, reports := pacedPool(t, 8)
	if herd(pool, 1, time.Millisecond); len(reports()) > 0 {
		t.Fatalf("reports %+v before a failure", reports())
	}
	c.Crash(replica)
	herd(pool, 2, 20*time.Millisecond)
	c.Restart(replica)
	herd(pool, 1, 20*time.Millisecond)
	if all := reports(); len(all) == 0 || all[0].Cause != "return" {
		t.Errorf("reports %+v, want a slow start after the return", all)
	}
	before := len(reports())
	pool.Evacuate(clock.Boot() + time.Second)
	pool.Readmit()
	if all := reports()[before:]; len(all) != 1 || all[0].Cause != "evacuation" {
		t.Errorf("reports %+v, want a slow start after the evacuation", all)
	}
	before = len(reports())
	pool.Readmit()
	if len(reports()) != before {
		t.Error("a slow start began without an evacuation")
	}
}

// Guards against room in the window that is lost when callers give up their wait for it: the server would stay idle.
func TestCallersThatGiveUpLeaveTheWindow(t *testing.T) {
	_, pool, l, _ := pacedPool(t, 4)
	l.took = 5 * time.Millisecond
	for round := range 20 {
		pool.BeginSlowStart("start", false)
		var callers sync.WaitGroup
		for n := range 12 {
			callers.Go(func() {
				c := read(fmt.Sprintf("s%d", n), round)
				c.Scope, c.Timeout = statement.Replica, time.Duration(1+n)*3*time.Millisecond
				pool.Execute(context.Background(), c)
			})
		}
		callers.Wait()
		c := read("last", round)
		c.Scope = statement.Replica
		if a := pool.Execute(context.Background(), c); !a.OK() {
			t.Fatalf("round %d: %+v", round, a)
		}
	}
}
