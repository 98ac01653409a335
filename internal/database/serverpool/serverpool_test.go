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

func start(t *testing.T, server string, o serverpool.Options) (*cluster.Cluster, *serverpool.Pool) {
	t.Helper()
	c := cluster.New(clock.Boot)
	c.AddGroup("meals", "agreste", "sertao")
	g := serverpool.New(statement.Target{Server: server, Group: "meals", Address: server}, c.Dialer("i1"), o)
	t.Cleanup(func() {
		g.Close()
		for _, f := range c.Faults() {
			t.Error(f)
		}
	})
	return c, g
}

func read(owner string, n int) statement.Call {
	return statement.Call{
		Organisation: "coop", Session: owner, ID: fmt.Sprintf("%s/%d", owner, n), Body: statement.Read{Arguments: "plates"},
		Values: []statement.Value{{Name: "owner", Value: owner}}, Timeout: time.Second,
	}
}

func write(owner string, n int) statement.Call {
	c := read(owner, n)
	c.Body = statement.Write{Arguments: fmt.Sprintf("plates %d", n)}
	return c
}

// Guards against a statement that runs with the session values of another caller of the same organisation.
func TestSessionValuesFollowTheCaller(t *testing.T) {
	_, g := start(t, primary, serverpool.Options{Connections: 2})
	var callers sync.WaitGroup
	for n := range 6 {
		callers.Go(func() {
			for i := range 20 {
				if a := g.Execute(context.Background(), read(fmt.Sprintf("s%d", n), i)); !a.OK() {
					t.Errorf("read: %+v", a)
				}
			}
		})
	}
	callers.Wait()
	if connections, _, _, opened := g.Counts(); connections > 2 || opened > 2 {
		t.Errorf("%d connections, %d opened, want at most 2", connections, opened)
	}
}

// Guards against a value that the caller has not set and an earlier user of the connection has.
func TestForeignValuesAreDropped(t *testing.T) {
	_, g := start(t, primary, serverpool.Options{Connections: 1})
	g.Execute(context.Background(), read("s1", 1))
	c := read("s2", 1)
	c.Values = nil
	// Without a reset the connection would still have owner = s1 and the cluster would report a fault.
	if a := g.Execute(context.Background(), c); !a.OK() {
		t.Errorf("read: %+v", a)
	}
}

// Guards against a single read at a server that has lost the lead: such a server still answers reads.
func TestLeaderReadFailsAtReplacedPrimary(t *testing.T) {
	c, g := start(t, primary, serverpool.Options{})
	if a := g.Execute(context.Background(), read("s1", 1)); !a.OK() {
		t.Fatalf("read: %+v", a)
	}
	if err := c.Promote(context.Background(), "i1", 1, "meals", replica); err != nil {
		t.Fatal(err)
	}
	waitFor(t, func() bool { return c.Primary("meals") == replica })
	a := g.Execute(context.Background(), read("s1", 2))
	if a.OK() || a.Code != statement.ReadOnly || a.Delivery != statement.NotSent {
		t.Errorf("got %+v, want a refusal that the server does not lead", a)
	}
	if !g.Health().NotLeading {
		t.Error("the gate still believes that its server leads")
	}
}

// Guards against a write that is reported as not run although the server may have run it, and the other way round.
func TestDeliveryOfUnansweredStatements(t *testing.T) {
	c, g := start(t, primary, serverpool.Options{})
	c.LoseAnswers(primary, 1)
	w := write("s1", 1).WithTimeout(100 * time.Millisecond)
	if a := g.Execute(context.Background(), w); a.Delivery != statement.Unanswered {
		t.Errorf("write without an answer: %+v, want fate lost", a)
	}
	c.Crash(primary)
	if a := g.Execute(context.Background(), write("s1", 2)); a.Delivery != statement.NotSent || a.Code != statement.WrongServer {
		t.Errorf("write at a server that is down: %+v, want not sent", a)
	}
	if h := g.Health(); h.Failures == 0 || !h.Refused {
		t.Errorf("health %+v, want refused failures", h)
	}
	if c.Runs("s1/2") != 0 {
		t.Error("a write that was reported as not sent has run")
	}
}

// Guards against a read on a replica that lacks the position that the read must see.
func TestReplicaReadNeedsPosition(t *testing.T) {
	c, g := start(t, replica, serverpool.Options{})
	c.Lag(replica, time.Hour)
	r := read("s1", 1)
	r.Scope, r.After = statement.Replica, driver.Position{Term: 1, Index: 5}
	if a := g.Execute(context.Background(), r); a.Code != statement.Behind {
		t.Errorf("got %+v, want behind", a)
	}
	r.After = driver.Position{}
	if a := g.Execute(context.Background(), r); !a.OK() {
		t.Errorf("got %+v, want an answer", a)
	}
}

// Guards against a transaction whose statements run on different connections or for another session.
func TestTransactionStaysOnItsConnection(t *testing.T) {
	c, g := start(t, primary, serverpool.Options{Connections: 3})
	first := write("s1", 1)
	first.Step = statement.First
	a := g.Execute(context.Background(), first)
	if !a.OK() || a.Transaction == 0 || a.State != statement.InTransaction {
		t.Fatalf("first statement: %+v", a)
	}
	foreign := write("s2", 1)
	foreign.Step, foreign.Transaction = statement.Next, a.Transaction
	if b := g.Execute(context.Background(), foreign); b.OK() || b.Delivery != statement.NotSent {
		t.Errorf("another session's statement: %+v", b)
	}
	if c.Runs("s1/1") != 0 {
		t.Error("the write took effect before the commit")
	}
	end := statement.Call{
		Organisation: "coop", Session: "s1", ID: "s1/2", Body: statement.Commit{}, Step: statement.End,
		Transaction: a.Transaction, Values: first.Values, Timeout: time.Second,
	}
	if b := g.Execute(context.Background(), end); !b.OK() || b.State != statement.Idle {
		t.Errorf("commit: %+v", b)
	}
	if c.Runs("s1/1") != 1 {
		t.Error("the commit did not take effect")
	}
	if b := g.Execute(context.Background(), end); b.Code != statement.Aborted {
		t.Errorf("second commit: %+v, want aborted", b)
	}
}

// Guards against connections that transactions of vanished callers keep for ever.
func TestIdleTransactionIsRolledBack(t *testing.T) {
	_, g := start(t, primary, serverpool.Options{Connections: 1, TransactionIdle: 30 * time.Millisecond})
	first := write("s1", 1)
	first.Step = statement.First
	if a := g.Execute(context.Background(), first); !a.OK() {
		t.Fatalf("first statement: %+v", a)
	}
	time.Sleep(50 * time.Millisecond)
	g.Sweep()
	if a := g.Execute(context.Background(), read("s2", 1)); !a.OK() {
		t.Errorf("the connection was not freed: %+v", a)
	}
}

// Guards against waiting callers that are not told when no connection becomes free.
func TestRefusalWhenConnectionsAreTaken(t *testing.T) {
	_, g := start(t, primary, serverpool.Options{Connections: 1})
	first := write("s1", 1)
	first.Step = statement.First
	g.Execute(context.Background(), first)
	started := time.Now()
	a := g.Execute(context.Background(), read("s2", 1).WithTimeout(60*time.Millisecond))
	if a.Delivery != statement.NotSent || a.Code != statement.TooMany || time.Since(started) > 500*time.Millisecond {
		t.Errorf("got %+v after %v", a, time.Since(started))
	}
}

// Guards against a head position that was taken before the caller asked.
func TestReadIndexIsConfirmedAfterItsRequest(t *testing.T) {
	c, g := start(t, primary, serverpool.Options{})
	asked := clock.Boot()
	p, ok := g.ReadIndex(context.Background(), 0, "coop")
	if !ok || p.RequestedAt < asked {
		t.Errorf("head %+v %t, asked at %v", p, ok, asked)
	}
	if err := c.Promote(context.Background(), "i1", 1, "meals", replica); err != nil {
		t.Fatal(err)
	}
	waitFor(t, func() bool { return c.Primary("meals") == replica })
	if p, ok := g.ReadIndex(context.Background(), 0, "coop"); ok {
		t.Errorf("a replaced primary proved the head %+v", p)
	}
}

// Guards against a dark server that is noticed only when statements time out.
func TestSilenceIsNoticedWhileWaiting(t *testing.T) {
	c, g := start(t, primary, serverpool.Options{})
	g.Execute(context.Background(), read("s1", 1))
	c.Darken(primary)
	go g.Execute(context.Background(), read("s1", 2).WithTimeout(500*time.Millisecond))
	waitFor(t, func() bool { return g.SilentFor() > 50*time.Millisecond })
}

func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for range 400 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("condition not reached in 2 s")
}

// Guards against statements whose answers are lost and that hold the server's turns until their time is over.
func TestUnansweredStatementsFreeTheirSlots(t *testing.T) {
	c, g := start(t, primary, serverpool.Options{Slots: 2, Connections: 8})
	c.LoseAnswers(primary, 3)
	for n := range 3 {
		go g.Execute(context.Background(), read(fmt.Sprintf("lost%d", n), 1).WithTimeout(3*time.Second))
	}
	waitFor(t, func() bool { return g.Load() == 3 })
	time.Sleep(50 * time.Millisecond)
	started := time.Now()
	if a := g.Execute(context.Background(), read("s1", 1)); !a.OK() || time.Since(started) > 600*time.Millisecond {
		t.Errorf("got %+v after %v, want an answer within 600 ms", a, time.Since(started))
	}
}

// suspension is a clock that jumps after its next reading, as if the machine had been suspended then.
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

// Guards against a write that is sent after its time is over, because the machine was suspended while it waited.
func TestWriteOfASuspendedMachineIsNotSent(t *testing.T) {
	var s suspension
	c, g := start(t, primary, serverpool.Options{Boot: s.boot})
	s.arm()
	if a := g.Execute(context.Background(), write("s1", 1)); a.Delivery != statement.NotSent || a.Code != statement.Aborted || c.Runs("s1/1") != 0 {
		t.Errorf("got %+v and %d runs, want aborted and none", a, c.Runs("s1/1"))
	}
	first := write("s1", 2)
	first.Step = statement.First
	opened := g.Execute(context.Background(), first)
	end := write("s1", 3)
	end.Step, end.Body, end.Transaction = statement.End, statement.Commit{}, opened.Transaction
	s.arm()
	if a := g.Execute(context.Background(), end); a.Code != statement.Aborted || c.Runs("s1/2") != 0 {
		t.Errorf("commit: got %+v and %d runs, want aborted and none", a, c.Runs("s1/2"))
	}
	if a := g.Execute(context.Background(), write("s1", 4)); !a.OK() {
		t.Errorf("a write in time: %+v", a)
	}
	if _, transactions, _, _ := g.Counts(); transactions != 0 {
		t.Errorf("%d transactions are open", transactions)
	}
}
