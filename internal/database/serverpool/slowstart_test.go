package serverpool_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/serverpool"
	"tanagercross/internal/database/statement"
	"tanagercross/internal/instance/clock"
	"tanagercross/internal/standin/cluster"
)

// slowStarting returns a pool with 5 slots in a slow start, of a primary whose statements take the given time.
func slowStarting(t *testing.T, priority bool, took time.Duration) (*serverpool.Pool, *load) {
	t.Helper()
	c := cluster.New(clock.Boot)
	c.AddGroup("meals", "agreste", "sertao")
	l := &load{took: took}
	pool := serverpool.New(statement.Target{Server: primary, Group: "meals", Address: primary}, loadDialer{c.Dialer("i1"), l}, serverpool.Options{
		Slots: 5, Connections: 20, PriorityScheduling: priority, SlowStart: true,
	})
	t.Cleanup(pool.Close)
	return pool, l
}

// Guards against urgent calls that wait for the window behind less urgent ones, and against a load that hides the window.
func TestPrioritiesInASlowStart(t *testing.T) {
	pool, _ := slowStarting(t, true, 40*time.Millisecond)
	pool.BeginSlowStart("start", false)
	var callers sync.WaitGroup
	for n := range 6 {
		callers.Go(func() { pool.Execute(context.Background(), of(fmt.Sprint("low", n), 2, n)) })
	}
	time.Sleep(10 * time.Millisecond)
	if l := pool.QueueLoad(); l.Slots != 1 || l.Running != 1 || l.Queued != 5 || l.Wait[2] == 0 {
		t.Errorf("load %+v, want 1 slot, 1 running, 5 waiting and a wait", l)
	}
	before := time.Now()
	a := pool.Execute(t.Context(), of("urgent", 0, 1))
	if took := time.Since(before); !a.OK() || took > 300*time.Millisecond {
		t.Errorf("urgent call: %+v after %v, want at most 300 ms: the rest of one call of 80 ms and its own", a, took)
	}
	callers.Wait()
	if l := pool.QueueLoad(); l.Running != 0 || l.Queued != 0 {
		t.Errorf("load %+v at the end, want none", l)
	}
}

// Guards against a window that is exceeded by statements which take longer than they may hold their slot, and against one
// that stays occupied afterwards.
func TestLongStatementsKeepTheWindow(t *testing.T) {
	for _, priority := range []bool{false, true} {
		pool, l := slowStarting(t, priority, 350*time.Millisecond)
		pool.BeginSlowStart("start", false)
		var callers sync.WaitGroup
		for n := range 3 {
			callers.Go(func() {
				if a := pool.Execute(context.Background(), of("a", 1, n).WithTimeout(5*time.Second)); !a.OK() {
					t.Errorf("priorities %t: %+v", priority, a)
				}
			})
		}
		callers.Wait()
		if l.most != 1 {
			t.Errorf("priorities %t: %d statements at once, want 1", priority, l.most)
		}
	}
}

// Guards against a statement of an open transaction that waits for those which wait for the window.
func TestOpenTransactionInASlowStart(t *testing.T) {
	const took = 100 * time.Millisecond
	for _, priority := range []bool{false, true} {
		pool, _ := slowStarting(t, priority, took)
		end := commit(pool, "open")
		pool.BeginSlowStart("start", false)
		var callers sync.WaitGroup
		for n := range 8 {
			callers.Go(func() { pool.Execute(context.Background(), of(fmt.Sprint("o", n), 1, n)) })
		}
		time.Sleep(30 * time.Millisecond)
		before := time.Now()
		if a := pool.Execute(t.Context(), end); !a.OK() || time.Since(before) > 3*took {
			t.Errorf("priorities %t: commit: %+v after %v, want at most %v", priority, a, time.Since(before), 3*took)
		}
		callers.Wait()
	}
}

// slowDialer takes a while to open a connection.
type slowDialer struct {
	statement.Dialer
	took time.Duration
}

func (d slowDialer) Dial(ctx context.Context, t statement.Target) (statement.Conn, driver.Position, error) {
	time.Sleep(d.took)
	return d.Dialer.Dial(ctx, t)
}

// Guards against statements that reach a server after its evacuation because they waited for the window, for a connection or
// for its opening when it began, and against waiting callers that are told of it late.
func TestEvacuationRefusesThoseWhoWait(t *testing.T) {
	for _, priority := range []bool{false, true} {
		pool, l := slowStarting(t, priority, 300*time.Millisecond)
		pool.BeginSlowStart("start", false)
		answers := make(chan statement.Answer, 3)
		for n := range 3 {
			go func() {
				answers <- pool.Execute(context.Background(), of(fmt.Sprint("o", n), 1, n).WithTimeout(5*time.Second))
			}()
		}
		time.Sleep(100 * time.Millisecond)
		pool.Evacuate(clock.Boot() + time.Second)
		evacuated := time.Now()
		for range 2 {
			if a := <-answers; a.Code != statement.Busy || a.Delivery != statement.NotSent || time.Since(evacuated) > 200*time.Millisecond {
				t.Errorf("priorities %t: %+v after %v, want busy and not sent at once", priority, a, time.Since(evacuated))
			}
		}
		if a := <-answers; !a.OK() {
			t.Errorf("priorities %t: the read that ran: %+v", priority, a)
		}
		if connections, _, load, _ := pool.Counts(); connections+load+l.running != 0 {
			t.Errorf("priorities %t: %d connections, %d statements left", priority, connections, load)
		}
	}
}

// Guards against a statement that is sent because the evacuation began while its connection was being opened.
func TestEvacuationDuringAnOpening(t *testing.T) {
	c := cluster.New(clock.Boot)
	c.AddGroup("meals", "agreste", "sertao")
	pool := serverpool.New(statement.Target{Server: primary, Group: "meals", Address: primary}, slowDialer{c.Dialer("i1"), 100 * time.Millisecond},
		serverpool.Options{Slots: 2, Connections: 1})
	t.Cleanup(pool.Close)
	answers := make(chan statement.Answer, 2)
	for n := range 2 { // one opens the connection, the other one waits for it
		go func() { answers <- pool.Execute(context.Background(), of("a", 1, n).WithTimeout(2*time.Second)) }()
	}
	time.Sleep(50 * time.Millisecond)
	pool.Evacuate(clock.Boot() + time.Second)
	for range 2 {
		if a := <-answers; a.Code != statement.Busy || a.Delivery != statement.NotSent {
			t.Errorf("%+v, want busy and not sent", a)
		}
	}
	if connections, _, load, _ := pool.Counts(); connections+load != 0 || c.Connections(primary) != 0 {
		t.Errorf("%d connections, %d statements left", connections, load)
	}
}
