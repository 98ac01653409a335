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

const primary, replica = "meals-agreste", "meals-sertao"

// start returns a cluster with one group and a pool for one of its servers. Faults that the cluster finds fail the test.
func start(t *testing.T, server string, o serverpool.Options) (*cluster.Cluster, *serverpool.Pool) {
	t.Helper()
	c := cluster.New(clock.Boot)
	c.AddGroup("meals", "agreste", "sertao")
	pool := serverpool.New(statement.Target{Server: server, Group: "meals", Address: server}, c.Dialer("i1"), o)
	t.Cleanup(func() {
		pool.Close()
		for _, f := range c.Faults() {
			t.Error(f)
		}
	})
	return c, pool
}

// read returns the n-th read of a session that has set the session value owner to its own id.
func read(owner string, n int) statement.Call {
	return statement.Call{
		Organisation: "coop", Session: owner, ID: fmt.Sprintf("%s/%d", owner, n), Body: statement.Read{Arguments: "plates"},
		Values: []statement.Value{{Name: "owner", Value: owner}}, Timeout: time.Second,
	}
}

// write returns the n-th write of such a session.
func write(owner string, n int) statement.Call {
	c := read(owner, n)
	c.Body = statement.Write{Arguments: fmt.Sprintf("plates %d", n)}
	return c
}

// Guards against a statement that runs with the session values of another session of the same organisation.
func TestSessionValuesFollowTheCaller(t *testing.T) {
	_, pool := start(t, primary, serverpool.Options{Connections: 2})
	var callers sync.WaitGroup
	for n := range 6 {
		callers.Go(func() {
			for i := range 20 {
				if a := pool.Execute(context.Background(), read(fmt.Sprintf("s%d", n), i)); !a.OK() {
					t.Errorf("read: %+v", a)
				}
			}
		})
	}
	callers.Wait()
	if connections, _, _, opened := pool.Counts(); connections > 2 || opened > 2 {
		t.Errorf("%d connections, %d opened, want at most 2", connections, opened)
	}
}

// Guards against session values that an earlier session left on the connection and that the caller has not set.
func TestForeignValuesAreDropped(t *testing.T) {
	_, pool := start(t, primary, serverpool.Options{Connections: 1})
	pool.Execute(context.Background(), read("s1", 1))
	c := read("s2", 1)
	c.Values = nil
	// Without a reset the connection would still have owner = s1 and the cluster would report a fault.
	if a := pool.Execute(context.Background(), c); !a.OK() {
		t.Errorf("read: %+v", a)
	}
}

// Guards against a stop that leaves a statement without an answer until its timeout, because the server is still at work.
func TestCloseGivesUpRunningStatements(t *testing.T) {
	c, pool := start(t, primary, serverpool.Options{})
	c.LoseAnswers(primary, 1)
	answer := make(chan statement.Answer)
	go func() { answer <- pool.Execute(context.Background(), write("s1", 1)) }()
	waitFor(t, func() bool { return c.Runs("s1/1") == 1 })
	pool.Close()
	select {
	case a := <-answer:
		if a.Delivery != statement.Unanswered {
			t.Errorf("%+v, want unanswered, because the write has run", a)
		}
	case <-time.After(500 * time.Millisecond):
		t.Error("no answer within 500 ms of the close")
	}
}

// Guards against stale reads with scope Leader: a server that is no longer the primary still answers single reads.
func TestLeaderReadFailsAtReplacedPrimary(t *testing.T) {
	c, pool := start(t, primary, serverpool.Options{})
	if a := pool.Execute(context.Background(), read("s1", 1)); !a.OK() {
		t.Fatalf("read: %+v", a)
	}
	if err := c.Promote(context.Background(), "i1", 1, "meals", replica); err != nil {
		t.Fatal(err)
	}
	waitFor(t, func() bool { return c.Primary("meals") == replica })
	a := pool.Execute(context.Background(), read("s1", 2))
	if a.OK() || a.Code != statement.ReadOnly || a.Delivery != statement.NotSent {
		t.Errorf("got %+v, want a refusal because the server does not lead", a)
	}
	if !pool.Health().NotLeading {
		t.Error("health does not say that the server no longer leads")
	}
}

// Guards against a write that is reported as not sent although the server may have run it, and the other way round.
func TestDeliveryOfUnansweredStatements(t *testing.T) {
	c, pool := start(t, primary, serverpool.Options{})
	c.LoseAnswers(primary, 1)
	w := write("s1", 1).WithTimeout(100 * time.Millisecond)
	if a := pool.Execute(context.Background(), w); a.Delivery != statement.Unanswered {
		t.Errorf("write without an answer: %+v, want delivery unanswered", a)
	}
	c.Crash(primary)
	if a := pool.Execute(context.Background(), write("s1", 2)); a.Delivery != statement.NotSent || a.Code != statement.WrongServer {
		t.Errorf("write at a server that is down: %+v, want not sent", a)
	}
	if h := pool.Health(); h.Failures == 0 || !h.Refused {
		t.Errorf("health %+v, want refused failures", h)
	}
	if c.Runs("s1/2") != 0 {
		t.Error("a write that was reported as not sent has run")
	}
}

// Guards against a read on a replica that lacks the position that the read must see.
func TestReplicaReadNeedsPosition(t *testing.T) {
	c, pool := start(t, replica, serverpool.Options{})
	c.Lag(replica, time.Hour)
	r := read("s1", 1)
	r.Scope, r.After = statement.Replica, driver.Position{Term: 1, Index: 5}
	if a := pool.Execute(context.Background(), r); a.Code != statement.Behind {
		t.Errorf("got %+v, want behind", a)
	}
	r.After = driver.Position{}
	if a := pool.Execute(context.Background(), r); !a.OK() {
		t.Errorf("got %+v, want an answer", a)
	}
}

// Guards against a transaction whose statements run on different connections or for another session.
func TestTransactionStaysOnItsConnection(t *testing.T) {
	c, pool := start(t, primary, serverpool.Options{Connections: 3})
	first := write("s1", 1)
	first.Step = statement.First
	a := pool.Execute(context.Background(), first)
	if !a.OK() || a.Transaction == 0 || a.State != statement.InTransaction {
		t.Fatalf("first statement: %+v", a)
	}
	foreign := write("s2", 1)
	foreign.Step, foreign.Transaction = statement.Next, a.Transaction
	if b := pool.Execute(context.Background(), foreign); b.OK() || b.Delivery != statement.NotSent {
		t.Errorf("another session's statement: %+v", b)
	}
	if c.Runs("s1/1") != 0 {
		t.Error("the write took effect before the commit")
	}
	end := statement.Call{
		Organisation: "coop", Session: "s1", ID: "s1/2", Body: statement.Commit{}, Step: statement.End,
		Transaction: a.Transaction, Values: first.Values, Timeout: time.Second,
	}
	if b := pool.Execute(context.Background(), end); !b.OK() || b.State != statement.Idle {
		t.Errorf("commit: %+v", b)
	}
	if c.Runs("s1/1") != 1 {
		t.Error("the commit did not take effect")
	}
	if b := pool.Execute(context.Background(), end); b.Code != statement.Aborted {
		t.Errorf("second commit: %+v, want aborted", b)
	}
}

// Guards against connections that are occupied for ever by transactions whose callers are gone.
func TestIdleTransactionIsRolledBack(t *testing.T) {
	_, pool := start(t, primary, serverpool.Options{Connections: 1, TransactionIdle: 30 * time.Millisecond})
	first := write("s1", 1)
	first.Step = statement.First
	if a := pool.Execute(context.Background(), first); !a.OK() {
		t.Fatalf("first statement: %+v", a)
	}
	time.Sleep(50 * time.Millisecond)
	pool.Sweep()
	if a := pool.Execute(context.Background(), read("s2", 1)); !a.OK() {
		t.Errorf("the connection was not freed: %+v", a)
	}
}

// Guards against callers that wait beyond their timeout for a connection when none becomes free.
func TestRefusalWhenConnectionsAreTaken(t *testing.T) {
	_, pool := start(t, primary, serverpool.Options{Connections: 1})
	first := write("s1", 1)
	first.Step = statement.First
	pool.Execute(context.Background(), first)
	started := time.Now()
	a := pool.Execute(context.Background(), read("s2", 1).WithTimeout(60*time.Millisecond))
	if a.Delivery != statement.NotSent || a.Code != statement.TooMany || time.Since(started) > 500*time.Millisecond {
		t.Errorf("got %+v after %v, want a refusal within 500 ms", a, time.Since(started))
	}
}

// Guards against a read index that was confirmed before the request, and against one from a server that no longer leads.
func TestReadIndexIsConfirmedAfterItsRequest(t *testing.T) {
	c, pool := start(t, primary, serverpool.Options{})
	requestedAt := clock.Boot()
	p, ok := pool.ReadIndex(context.Background(), 0, "coop")
	if !ok || p.RequestedAt < requestedAt {
		t.Errorf("read index %+v %t, requested at %v", p, ok, requestedAt)
	}
	if err := c.Promote(context.Background(), "i1", 1, "meals", replica); err != nil {
		t.Fatal(err)
	}
	waitFor(t, func() bool { return c.Primary("meals") == replica })
	if p, ok := pool.ReadIndex(context.Background(), 0, "coop"); ok {
		t.Errorf("a replaced primary confirmed the read index %+v", p)
	}
}

// Guards against a silent server that is detected only when statements time out.
func TestSilenceIsNoticedWhileWaiting(t *testing.T) {
	c, pool := start(t, primary, serverpool.Options{})
	pool.Execute(context.Background(), read("s1", 1))
	c.Silence(primary)
	go pool.Execute(context.Background(), read("s1", 2).WithTimeout(500*time.Millisecond))
	waitFor(t, func() bool { return pool.SilentFor() > 50*time.Millisecond })
}

func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for range 400 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("condition not met within 2 s")
}

// Guards against statements whose answers are lost and that hold the server's slots until their timeouts are over.
func TestUnansweredStatementsFreeTheirSlots(t *testing.T) {
	c, pool := start(t, primary, serverpool.Options{Slots: 2, Connections: 8})
	c.LoseAnswers(primary, 3)
	for n := range 3 {
		go pool.Execute(context.Background(), read(fmt.Sprintf("lost%d", n), 1).WithTimeout(3*time.Second))
	}
	waitFor(t, func() bool { return pool.Load() == 3 })
	time.Sleep(50 * time.Millisecond)
	started := time.Now()
	if a := pool.Execute(context.Background(), read("s1", 1)); !a.OK() || time.Since(started) > 600*time.Millisecond {
		t.Errorf("got %+v after %v, want an answer within 600 ms", a, time.Since(started))
	}
}

// suspension is a clock that jumps by 5 s after its next reading, as if the machine had been suspended then.
type suspension struct {
	mu    sync.Mutex
	armed bool
	slept time.Duration
}

func (s *suspension) arm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.armed = true
}

func (s *suspension) boot() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Boot() + s.slept
	if s.armed {
		s.armed = false
		s.slept += 5 * time.Second
	}
	return now
}

// Guards against a write that is sent after its timeout is over, because the machine was suspended while it waited.
func TestWriteOfASuspendedMachineIsNotSent(t *testing.T) {
	var s suspension
	c, pool := start(t, primary, serverpool.Options{Boot: s.boot})
	s.arm()
	if a := pool.Execute(context.Background(), write("s1", 1)); a.Delivery != statement.NotSent || a.Code != statement.Aborted || c.Runs("s1/1") != 0 {
		t.Errorf("got %+v and %d runs, want aborted and none", a, c.Runs("s1/1"))
	}
	first := write("s1", 2)
	first.Step = statement.First
	opened := pool.Execute(context.Background(), first)
	end := write("s1", 3)
	end.Step, end.Body, end.Transaction = statement.End, statement.Commit{}, opened.Transaction
	s.arm()
	if a := pool.Execute(context.Background(), end); a.Code != statement.Aborted || c.Runs("s1/2") != 0 {
		t.Errorf("commit: got %+v and %d runs, want aborted and none", a, c.Runs("s1/2"))
	}
	if a := pool.Execute(context.Background(), write("s1", 4)); !a.OK() {
		t.Errorf("a write in time: %+v", a)
	}
	if _, transactions, _, _ := pool.Counts(); transactions != 0 {
		t.Errorf("%d transactions are open, want none", transactions)
	}
}
