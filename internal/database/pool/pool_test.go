package pool

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/operation"
	"tanagercross/internal/session/outcome"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const server = "meals-1-a"

// newPoolWithLane returns a pool that holds lane 0 of the server. At the end of the test it drains the pool and checks
// that no connection is left open and none was misused.
func newPoolWithLane(t *testing.T, s *fakeServer, o Options, share, inflight int) *Pool {
	t.Helper()
	p := New(s, o)
	if err := p.Acquire(t.Context(), driver.Server{Name: server}, 0, share, inflight); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		p.Drain(ended)
		if s.open != 0 || s.invalidCalls.Load() != 0 {
			t.Errorf("%d connections left open, %d calls on busy or closed connections or before an outstanding answer", s.open, s.invalidCalls.Load())
		}
	})
	return p
}

// want compares the outcome and the reason of a reply, but not its message.
func want(t *testing.T, r operation.Reply, v outcome.Verdict) {
	t.Helper()
	if r.Verdict.Outcome != v.Outcome || r.Verdict.Reason != v.Reason {
		t.Errorf("verdict %v, want %v", r.Verdict, v)
	}
}

var done = outcome.Verdict{Outcome: outcome.Done}

// begin opens a transaction in term 1 and returns its id.
func begin(t *testing.T, p *Pool, organisation, session, key string) string {
	t.Helper()
	r := p.Perform(t.Context(), server, operation.Begin{Organisation: organisation, Session: session, Term: 1, KeyHash: key})
	want(t, r, done)
	return r.Transaction
}

// Guards P8, P9 and P10: a write that ran must not be reported as not_run, one that did not run must not be reported as
// done, none may run twice, and no connection may be used while an answer is outstanding. Answers are lost at random
// points, and some calls last until the deadline. A write or commit whose answer is lost before it ran takes effect
// at the end of the run.
func TestVerdictsWithLostAnswers(t *testing.T) {
	kinds := []driver.Kind{driver.Unreachable, driver.ResponseLost, driver.ResponseLost, driver.Busy, driver.StatementRejected, driver.NotPrimary}
	var counts sync.Map
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 2))
		var mu sync.Mutex
		s := newFakeServer()
		s.fault = func(ctx context.Context, call string, after bool) error {
			mu.Lock()
			roll, kind := random.IntN(100), kinds[random.IntN(len(kinds))]
			mu.Unlock()
			switch {
			case call == "lane" || call == "ping" || roll >= 15:
				return nil
			case roll >= 14:
				<-ctx.Done()
				return ctx.Err()
			case after:
				return lost()
			}
			return fail(kind)
		}
		p := newPoolWithLane(t, s, Options{ReplyMargin: time.Millisecond}, 6, 2)
		var group sync.WaitGroup
		var replies sync.Map
		for n := range 20 {
			id := fmt.Sprintf("%d-%d", seed, n)
			group.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), 15*time.Millisecond)
				defer cancel()
				r := performWrite(ctx, p, id, n%3 == 0)
				replies.Store(id, r.Verdict)
				n, _ := counts.LoadOrStore(r.Verdict.Outcome, new(atomic.Int32))
				n.(*atomic.Int32).Add(1)
			})
		}
		group.Wait()
		drainCtx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		p.Drain(drainCtx)
		cancel()
		for _, effect := range s.lateEffects {
			_ = effect()
		}
		replies.Range(func(id, verdict any) bool {
			executed, v := s.executions[id.(string)], verdict.(outcome.Verdict)
			if executed > 1 || (v.Outcome == outcome.Done && executed != 1) || (v.Outcome == outcome.NotRunOutcome && executed != 0) {
				t.Errorf("seed %d id %s: %v but executed %d times", seed, id, v, executed)
			}
			return true
		})
		if s.maxOpen > 6 {
			t.Fatalf("seed %d: %d connections open at once, limit 6", seed, s.maxOpen)
		}
	}
	for _, o := range []outcome.Outcome{outcome.Done, outcome.NotRunOutcome, outcome.Unknown} {
		n, ok := counts.Load(o)
		if !ok {
			t.Fatalf("no write had the outcome %s", o)
		}
		t.Logf("%s: %d", o, n.(*atomic.Int32).Load())
	}
}

// performWrite writes a record with a single statement or, if interactive is set, in a transaction. It returns the first
// reply that is not done, or the last one.
func performWrite(ctx context.Context, p *Pool, id string, interactive bool) operation.Reply {
	record := driver.Record{RequestID: id}
	if !interactive {
		return p.Perform(ctx, server, operation.Write{Organisation: "a", Term: 1, Record: record})
	}
	r := p.Perform(ctx, server, operation.Begin{Organisation: id, Session: "s", Term: 1})
	if r.Verdict.Outcome != outcome.Done {
		return r
	}
	id = r.Transaction
	if r = p.Perform(ctx, server, operation.Run{Organisation: record.RequestID, Session: "s", Transaction: id}); r.Verdict.Outcome != outcome.Done {
		return r
	}
	return p.Perform(ctx, server, operation.Commit{Organisation: record.RequestID, Session: "s", Transaction: id, Record: record})
}

// Guards P2: a write for another term than that of the server must not be sent, and a write whose term ends before a
// majority holds it must not be acknowledged.
func TestReplacedPrimary(t *testing.T) {
	s := newFakeServer()
	s.fault = func(_ context.Context, call string, after bool) error {
		if call == "write" && after && s.statementsStarted.Load() > 0 { // not for the write of another term, which is refused
			s.mu.Lock()
			s.term++
			s.mu.Unlock()
		}
		return nil
	}
	p := newPoolWithLane(t, s, Options{}, 4, 2)
	w := operation.Write{Organisation: "a", Term: 2, Record: driver.Record{RequestID: "1"}}
	want(t, p.Perform(t.Context(), server, w), outcome.NotRun(outcome.PrimaryReplaced))
	if s.statementsStarted.Load() != 0 {
		t.Error("the statement of the refused write was sent")
	}
	w.Term = 1
	want(t, p.Perform(t.Context(), server, w), outcome.NotKnown(outcome.NotReplicated))
	r := p.Perform(t.Context(), server, operation.Lookup{Organisation: "a", Term: 2, RequestID: "1"})
	want(t, r, done)
	if !r.Record.Found {
		t.Error("the lookup did not find the record of the unacknowledged write")
	}
}

// blockCall makes the calls of one name wait until their context ends or unblock is called. entered receives a value for
// each waiting call.
func blockCall(s *fakeServer, name string) (entered chan struct{}, unblock func()) {
	entered, unblocked := make(chan struct{}, 100), make(chan struct{})
	s.fault = func(ctx context.Context, call string, after bool) error {
		if call != name || after {
			return nil
		}
		entered <- struct{}{}
		select {
		case <-unblocked:
			return nil
		case <-ctx.Done():
			return lost()
		}
	}
	return entered, sync.OnceFunc(func() { close(unblocked) })
}

// Guards P6 for transactions: the withdrawal of a key must cancel the running statement, reject queued work and end the
// transaction, and a later commit must not take effect.
func TestKeyWithdrawn(t *testing.T) {
	s := newFakeServer()
	entered, unblock := blockCall(s, "run")
	defer unblock()
	p := newPoolWithLane(t, s, Options{}, 10, 1)
	first, second := begin(t, p, "a", "s", "key"), begin(t, p, "a", "s2", "key")
	unaffected := begin(t, p, "b", "s", "other")
	replies := make(chan operation.Reply, 2)
	go func() {
		replies <- p.Perform(t.Context(), server, operation.Run{Organisation: "a", Session: "s", Transaction: first})
	}()
	<-entered
	go func() {
		replies <- p.Perform(t.Context(), server, operation.Run{Organisation: "a", Session: "s2", Transaction: second})
	}()
	for p.lanes[LaneID{server, 0}].scheduler.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	if n := p.WithdrawKey("key"); n != 2 {
		t.Errorf("%d transactions ended by the withdrawal, want 2", n)
	}
	for range 2 {
		want(t, <-replies, outcome.NotRun(outcome.KeyWithdrawn))
	}
	commit := operation.Commit{Organisation: "a", Session: "s", Transaction: first, Record: driver.Record{RequestID: "1"}}
	want(t, p.Perform(t.Context(), server, commit), outcome.NotRun(outcome.KeyWithdrawn))
	b := operation.Begin{Organisation: "a", Session: "s", Term: 1, KeyHash: "key"}
	want(t, p.Perform(t.Context(), server, b), outcome.NotRun(outcome.KeyWithdrawn))
	commit = operation.Commit{Organisation: "b", Session: "s", Transaction: unaffected, Record: driver.Record{RequestID: "2"}}
	want(t, p.Perform(t.Context(), server, commit), done)
	if s.executions["1"] != 0 || s.executions["2"] != 1 || s.statementsStarted.Load() != 1 {
		t.Errorf("executions %v, statements %d", s.executions, s.statementsStarted.Load())
	}
}

// Guards against a statement that is sent after its operation was rejected with queue_timeout, and against queued work
// that is not rejected after the control connection failed.
func TestQueuedWork(t *testing.T) {
	s := newFakeServer()
	entered, unblock := blockCall(s, "read")
	lostLane, failing := make(chan LaneID, 1), atomic.Bool{}
	blocked := s.fault
	s.fault = func(ctx context.Context, call string, after bool) error {
		if call == "ping" && failing.Load() {
			return lost()
		}
		return blocked(ctx, call, after)
	}
	p := newPoolWithLane(t, s, Options{Ping: 10 * time.Millisecond, OnLaneLost: func(h LaneID) { lostLane <- h }}, 4, 1)
	replies := make(chan operation.Reply, 2)
	perform := func() { replies <- p.Perform(t.Context(), server, operation.Read{Organisation: "a"}) }
	go perform()
	<-entered
	short, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	want(t, p.Perform(short, server, operation.Read{Organisation: "a"}), outcome.NotRun(outcome.QueueTimeout))
	go perform()
	for p.lanes[LaneID{server, 0}].scheduler.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	failing.Store(true)
	<-lostLane
	got := map[outcome.Verdict]int{(<-replies).Verdict: 1}
	got[(<-replies).Verdict]++
	if got[outcome.NotRun(outcome.LaneUnavailable)] != 1 || got[outcome.NotKnown(outcome.AnswerLost)] != 1 {
		t.Errorf("verdicts %v, want one lane_unavailable and one answer_lost", got)
	}
	unblock()
	if s.statementsStarted.Load() != 1 || s.open != 0 || len(p.HeldLanes()) != 0 {
		t.Errorf("%d statements sent, want 1; %d connections open, want 0; lanes held %v, want none", s.statementsStarted.Load(), s.open, p.HeldLanes())
	}
	want(t, p.Perform(t.Context(), server, operation.Read{}), outcome.NotRun(outcome.LaneUnavailable))
}

// Guards P3, P4 and P11 for transactions: use by another organisation or session, idle transactions that occupy all
// connections, transactions that exceed their time limit, and open transactions that are cut off because the server is
// leaving or the pool drains.
func TestTransactionLimits(t *testing.T) {
	s := newFakeServer()
	p := newPoolWithLane(t, s, Options{TransactionIdleTimeout: 300 * time.Millisecond, MaintenanceInterval: 10 * time.Millisecond}, 9, 2)
	first := begin(t, p, "a", "s", "")
	begin(t, p, "a", "s", "")
	b := operation.Begin{Organisation: "a", Session: "s", Term: 1}
	want(t, p.Perform(t.Context(), server, b), outcome.NotRun(outcome.TransactionLimit))
	last := begin(t, p, "b", "s", "")
	begin(t, p, "c", "s", "")
	b.Organisation = "d"
	want(t, p.Perform(t.Context(), server, b), outcome.NotRun(outcome.TransactionLimit))
	want(t, p.Perform(t.Context(), server, operation.Read{Organisation: "d"}), done)
	for _, op := range []operation.Operation{
		operation.Run{Organisation: "b", Session: "s", Transaction: first},
		operation.Commit{Organisation: "a", Session: "s2", Transaction: first},
	} {
		want(t, p.Perform(t.Context(), server, op), outcome.NotRun(outcome.TransactionForeign))
	}
	p.SetServerStates(ServerStates{server: Retiring})
	b.Organisation = "a"
	want(t, p.Perform(t.Context(), server, b), outcome.NotRun(outcome.ServerLeaving))
	want(t, p.Perform(t.Context(), server, operation.Read{Organisation: "d"}), done)
	p.SetServerStates(ServerStates{server: Leaving})
	want(t, p.Perform(t.Context(), server, operation.Read{Organisation: "d"}), outcome.NotRun(outcome.ServerLeaving))
	want(t, p.Perform(t.Context(), server, operation.Run{Organisation: "a", Session: "s", Transaction: first}), done)
	drained := make(chan struct{})
	go func() { p.Drain(t.Context()); close(drained) }()
	commit := operation.Commit{Organisation: "a", Session: "s", Transaction: first, Record: driver.Record{RequestID: "1"}}
	want(t, p.Perform(t.Context(), server, commit), done)
	<-drained
	commit = operation.Commit{Organisation: "b", Session: "s", Transaction: last, Record: driver.Record{RequestID: "2"}}
	want(t, p.Perform(t.Context(), server, commit), outcome.NotRun(outcome.TransactionExpired))
	if s.executions["1"] != 1 || s.executions["2"] != 0 || s.maxOpen > 9 {
		t.Errorf("executions %v, want only request id 1; at most %d connections, limit 9", s.executions, s.maxOpen)
	}
}

// Guards against idle connections that stay open after IdleTimeout, and against a lane that opens more connections than
// its share.
func TestIdleConnections(t *testing.T) {
	s := newFakeServer()
	entered, unblock := blockCall(s, "read")
	p := newPoolWithLane(t, s, Options{IdleTimeout: 20 * time.Millisecond, MaintenanceInterval: 5 * time.Millisecond}, 9, 5)
	var group sync.WaitGroup
	for range 5 {
		group.Go(func() { want(t, p.Perform(t.Context(), server, operation.Read{Organisation: "a"}), done) })
	}
	for range 5 {
		<-entered
	}
	unblock()
	group.Wait()
	open := 0
	for end := time.Now().Add(5 * time.Second); open != 1+DefaultMinIdle && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		s.mu.Lock()
		open = s.open
		s.mu.Unlock()
	}
	if open != 1+DefaultMinIdle || s.maxOpen > 9 {
		t.Errorf("%d connections open, want the control connection and MinIdle; at most %d, limit 9", open, s.maxOpen)
	}
}

// Guards against two pools that hold the same lane, and against a release that cuts off an open transaction or keeps the
// lock.
func TestRelease(t *testing.T) {
	s := newFakeServer()
	p := newPoolWithLane(t, s, Options{}, 9, 2)
	id := begin(t, p, "a", "s", "")
	other := New(s, Options{})
	if err := other.Acquire(t.Context(), driver.Server{Name: server}, 0, 9, 2); KindOf(err) != Taken {
		t.Fatalf("acquiring a held lane: %v, want kind taken", err)
	}
	released := make(chan struct{})
	go func() { p.Release(t.Context(), server, 0); close(released) }()
	for p.lanes[LaneID{server, 0}].usable() {
		time.Sleep(time.Millisecond)
	}
	want(t, p.Perform(t.Context(), server, operation.Read{Organisation: "a"}), outcome.NotRun(outcome.LaneUnavailable))
	want(t, p.Perform(t.Context(), server, operation.Run{Organisation: "a", Session: "s", Transaction: id}), done)
	commit := operation.Commit{Organisation: "a", Session: "s", Transaction: id, Record: driver.Record{RequestID: "1"}}
	want(t, p.Perform(t.Context(), server, commit), done)
	<-released
	if err := other.Acquire(t.Context(), driver.Server{Name: server}, 0, 9, 2); err != nil {
		t.Fatalf("acquiring a released lane: %v", err)
	}
	other.Drain(t.Context())
	want(t, p.Perform(t.Context(), server, commit), outcome.NotKnown(outcome.AnswerLost))
}

// Guards P6 for single statements: reads and writes of a withdrawn key must not be sent, whether they are queued at the
// withdrawal or arrive after it.
func TestKeyWithdrawnWhileQueued(t *testing.T) {
	s := newFakeServer()
	entered, unblock := blockCall(s, "read")
	defer unblock()
	p := newPoolWithLane(t, s, Options{}, 10, 1)
	go p.Perform(t.Context(), server, operation.Read{Organisation: "b", KeyHash: "other"})
	<-entered
	read := operation.Read{Organisation: "a", KeyHash: "key"}
	write := operation.Write{Organisation: "a", Term: 1, Record: driver.Record{RequestID: "1"}, KeyHash: "key"}
	replies := make(chan operation.Reply, 2)
	for _, op := range []operation.Operation{read, write} {
		go func() { replies <- p.Perform(t.Context(), server, op) }()
	}
	for p.lanes[LaneID{server, 0}].scheduler.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	p.WithdrawKey("key")
	for range 2 {
		want(t, <-replies, outcome.NotRun(outcome.KeyWithdrawn))
	}
	unblock()
	want(t, p.Perform(t.Context(), server, read), outcome.NotRun(outcome.KeyWithdrawn))
	want(t, p.Perform(t.Context(), server, write), outcome.NotRun(outcome.KeyWithdrawn))
	if s.executions["1"] != 0 || s.statementsStarted.Load() != 1 {
		t.Errorf("executions %v, statements %d", s.executions, s.statementsStarted.Load())
	}
}
