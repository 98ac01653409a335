package serverpool_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

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
	if took := time.Since(before); !a.OK() || took > 170*time.Millisecond {
		t.Errorf("urgent call: %+v after %v, want at most the rest of one statement and its own", a, took)
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
		if a := pool.Execute(t.Context(), end); !a.OK() || time.Since(before) > 2*took {
			t.Errorf("priorities %t: commit: %+v after %v, want at most %v", priority, a, time.Since(before), 2*took)
		}
		callers.Wait()
	}
}
