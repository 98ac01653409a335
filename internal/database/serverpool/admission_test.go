package serverpool_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/serverpool"
	"tanagercross/internal/database/serverqueue"
	"tanagercross/internal/database/statement"
	"tanagercross/internal/instance/clock"
	"tanagercross/internal/standin/cluster"
)

// statementTime is longer than that of a statement behind which another one is prefetched, and than what lower priorities are
// owed of the time that block takes.
const statementTime = 40 * time.Millisecond

// recorder records the order in which statements reach the server, and how they leave its queue.
type recorder struct {
	statement.Dialer
	mu       sync.Mutex
	sent     []string
	refusals []serverqueue.Refusal
}

type recordedConn struct {
	statement.Conn
	recorder *recorder
}

func (r *recorder) Dial(ctx context.Context, t statement.Target) (statement.Conn, driver.Position, error) {
	conn, position, err := r.Dialer.Dial(ctx, t)
	return recordedConn{conn, r}, position, err
}

func (c recordedConn) Run(deadline time.Time, commands ...statement.Command) ([]statement.Answer, error) {
	for _, command := range commands {
		if f, ok := command.(statement.Forward); ok {
			c.recorder.mu.Lock()
			c.recorder.sent = append(c.recorder.sent, f.ID)
			c.recorder.mu.Unlock()
			time.Sleep(statementTime)
		}
	}
	return c.Conn.Run(deadline, commands...)
}

func (r *recorder) QueueServed(string, serverqueue.Request, time.Duration) {}

func (r *recorder) QueueRefused(_ string, f serverqueue.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusals = append(r.refusals, f)
}

// order returns the statements that the server received.
func (r *recorder) order() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.sent...)
}

// startRecorded returns a pool for a primary with one slot.
func startRecorded(t *testing.T, priority bool, boot func() time.Duration) (*cluster.Cluster, *serverpool.Pool, *recorder) {
	t.Helper()
	c := cluster.New(clock.Boot)
	c.AddGroup("meals", "agreste", "sertao")
	r := &recorder{Dialer: c.Dialer("i1")}
	pool := serverpool.New(statement.Target{Server: primary, Group: "meals", Address: primary}, r, serverpool.Options{
		Slots: 1, Connections: 8, PriorityScheduling: priority, Queue: r, Boot: boot,
	})
	t.Cleanup(pool.Close)
	return c, pool, r
}

// block occupies the slots for up to 300 ms with statements whose answers are lost.
func block(t *testing.T, c *cluster.Cluster, pool *serverpool.Pool) {
	t.Helper()
	c.LoseAnswers(primary, 2)
	for n := range 2 {
		if n > 0 {
			time.Sleep(100 * time.Millisecond) // the slots become free one after the other
		}
		before := pool.Load()
		go pool.Execute(context.Background(), read(fmt.Sprint("lost", n), 1).WithTimeout(2*time.Second))
		waitFor(t, func() bool { return pool.Load() > before })
	}
}

// commit opens a transaction of a session and returns the call that commits it.
func commit(pool *serverpool.Pool, session string) statement.Call {
	c := write(session, 1)
	c.Organisation, c.Step = session, statement.First
	opened := pool.Execute(context.Background(), c)
	c.ID, c.Step, c.Body, c.Transaction = session+"/2", statement.End, statement.Commit{}, opened.Transaction
	return c
}

// Guards against an order that changes without the option, and one that ignores priorities with it. The load: a low priority,
// a high one and the commit of a transaction wait in this order.
func TestOrderOfWaitingStatements(t *testing.T) {
	for _, c := range []struct {
		priority bool
		want     []string
	}{
		{false, []string{"low/1", "high/1", "open/2"}},
		{true, []string{"open/2", "high/1", "low/1"}},
	} {
		got, together := orderOfWaiting(t, c.priority)
		for range 10 {
			if together {
				break
			}
			got, together = orderOfWaiting(t, c.priority)
		}
		if diff := cmp.Diff(c.want, got); diff != "" || !together {
			t.Errorf("priorities %t, waited together %t: order (-want +got):\n%s", c.priority, together, diff)
		}
	}
}

// orderOfWaiting returns the order in which three waiting statements reach the server, and whether they waited together: on a
// slow machine a slot may have become free before the last one came.
func orderOfWaiting(t *testing.T, priority bool) (order []string, together bool) {
	t.Helper()
	cluster, pool, recorded := startRecorded(t, priority, nil)
	pool.Execute(context.Background(), commit(pool, "earlier")) // the cost of each kind is known then
	low, high, end := write("low", 1), write("high", 1), commit(pool, "open")
	pool.Execute(context.Background(), write("earlier", 3))
	block(t, cluster, pool)
	low.Organisation, low.Priority = "a", 2
	high.Organisation = "b"
	var callers sync.WaitGroup
	together = true
	for _, call := range []statement.Call{low, high, end} {
		before := pool.Load()
		callers.Go(func() {
			a := pool.Execute(context.Background(), call)
			if !a.OK() || (a.Load != nil) != priority {
				t.Errorf("%s with priorities %t: %+v, load %+v", call.ID, priority, a, a.Load)
			}
		})
		for range 40 {
			if pool.Load() > before {
				break
			}
			time.Sleep(time.Millisecond)
		}
		together = together && pool.Load() > before
	}
	together = together && len(recorded.order()) == 6 // none of the three
	callers.Wait()
	got := recorded.order()
	return got[len(got)-3:], together
}

// Guards against a refused statement that runs, comes late, or does not tell the load that is its reason.
func TestRefusalsOfTheQueueAreNotRun(t *testing.T) {
	c, pool, recorded := startRecorded(t, true, nil)
	block(t, c, pool)
	w := write("s1", 1)
	w.Goal, w.Priority = 40*time.Millisecond, 1
	started := time.Now()
	a := pool.Execute(context.Background(), w)
	if a.Code != statement.Busy || a.Delivery != statement.NotSent || time.Since(started) > 140*time.Millisecond {
		t.Errorf("%+v after %v, want busy, not sent, within 100 ms of the goal", a, time.Since(started))
	}
	if a.Load == nil || a.Load.Running != 2 || a.Load.Slots != 1 {
		t.Errorf("load %+v, want two running at one slot", a.Load)
	}
	waitFor(t, func() bool { return pool.Load() == 0 })
	if c.Runs("s1/1") != 0 {
		t.Error("the refused write has run")
	}
	early := []serverqueue.Outcome{serverqueue.CannotEnd, serverqueue.TimedOut} // by how late the timer fires
	if r := recorded.refusals; len(r) != 1 || !slices.Contains(early, r[0].Outcome) || r[0].Request.ID != "s1/1" || r[0].Request.Level() != 1 {
		t.Errorf("observed %+v, want one refusal", r)
	}
}

// Guards against a transaction that stays open, or is committed, after one of its statements was refused.
func TestRefusedStatementAbortsItsTransaction(t *testing.T) {
	c, pool, _ := startRecorded(t, true, nil)
	first := write("s1", 1)
	first.Step = statement.First
	opened := pool.Execute(context.Background(), first)
	block(t, c, pool)
	next := write("s1", 2)
	next.Step, next.Transaction, next.Goal = statement.Next, opened.Transaction, 30*time.Millisecond
	if a := pool.Execute(context.Background(), next); a.Code != statement.Aborted || a.Delivery != statement.NotSent {
		t.Errorf("%+v, want aborted", a)
	}
	if _, transactions, _, _ := pool.Counts(); transactions != 0 || c.Runs("s1/1") != 0 || c.Runs("s1/2") != 0 {
		t.Errorf("%d transactions open, %d and %d runs, want none", transactions, c.Runs("s1/1"), c.Runs("s1/2"))
	}
}

// Guards against a holder that was frozen and then sends statements whose callers have gone. The load: five writes wait, and
// 5 s pass that no timer counts.
func TestExpiredStatementsAreDroppedAfterFreeze(t *testing.T) {
	var s suspension
	c, pool, recorded := startRecorded(t, true, s.boot)
	block(t, c, pool)
	var callers sync.WaitGroup
	for n := range 5 {
		callers.Go(func() {
			if a := pool.Execute(context.Background(), write(fmt.Sprint("s", n), 1).WithTimeout(3*time.Second)); a.Code != statement.Busy {
				t.Errorf("%+v, want busy", a)
			}
		})
	}
	waitFor(t, func() bool { return pool.Load() == 7 })
	s.arm()
	callers.Wait()
	if sent := recorded.order(); len(sent) != 2 {
		t.Errorf("%v were sent, want only the two before the freeze", sent)
	}
}
