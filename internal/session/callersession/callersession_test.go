package callersession_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/bits"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/organisation/key"
	"tanagercross/internal/request/dispatch"
	"tanagercross/internal/service/recovery"
	"tanagercross/internal/session/callersession"
	"tanagercross/internal/session/outcome"
)

// servers answers every call with the same answer and records the calls.
type servers struct {
	answer     statement.Answer
	calls      []statement.Call
	rolledBack int
}

func (s *servers) Single(_ context.Context, _ catalog.Database, c statement.Call) statement.Answer {
	s.calls = append(s.calls, c)
	return s.answer
}

func (s *servers) Open(_ context.Context, _ catalog.Database, c statement.Call) (statement.Answer, *dispatch.Pin) {
	s.calls = append(s.calls, c)
	if !s.answer.OK() {
		return s.answer, nil
	}
	a := s.answer
	a.State = statement.InTransaction
	return a, &dispatch.Pin{Server: "meals-1", Transaction: 7}
}

func (s *servers) Continue(_ context.Context, _ catalog.Database, _ dispatch.Pin, c statement.Call) statement.Answer {
	s.calls = append(s.calls, c)
	return s.answer
}

func (s *servers) Rollback(dispatch.Pin, statement.Call) { s.rolledBack++ }

// world is the environment of a session, with servers, a limiter and an observer under the control of a test.
type world struct {
	servers       servers
	configuration catalog.Configuration
	refusal       outcome.Reason
	retryAfter    time.Duration // named by the limiter
	askedPriority uint8         // of the last Take
	stopping      bool
	faulty        bool // Take panics
	panics        int
}

func (w *world) Take(_ context.Context, _ string, priority uint8) (outcome.Reason, time.Duration) {
	if w.faulty {
		panic("faulty limiter")
	}
	w.askedPriority = priority
	return w.refusal, w.retryAfter
}

func (w *world) Panicked(string, recovery.Panic) { w.panics++ }

func (w *world) Refused(_, _, _ string, _ statement.Code, _ string) {}

func (w *world) Answered(_, _ string, _ statement.Query, _ statement.Answer, _ time.Duration) {}

// start returns a session under key k1, in a configuration with the given keys.
func start(t *testing.T, keys ...string) (*world, *callersession.Session) {
	t.Helper()
	w := &world{servers: servers{answer: statement.Answer{
		Delivery: statement.Answered, Signature: "sig", Position: driver.Position{Term: 2, Index: 9},
	}}}
	w.configure(keys...)
	c, refusal := callersession.Start(callersession.Environment{
		Configuration: func() catalog.Configuration { return w.configuration }, ConfigurationFresh: func() bool { return true },
		Dispatcher: &w.servers, Limiter: w, Observer: w, Draining: func() bool { return false },
		Stopping: func(time.Duration) bool { return w.stopping },
	}, "s1", "tally", "k1")
	if c == nil {
		t.Fatalf("refused: %+v", refusal)
	}
	return w, c
}

// configure sets a configuration in which the organisation has only the given keys.
func (w *world) configure(keys ...string) {
	o := catalog.Organisation{Name: "coop"}
	for _, k := range keys {
		o.Keys = append(o.Keys, key.HashOf(k))
	}
	w.configuration = catalog.NewConfiguration(1,
		[]catalog.Database{{Name: "tally", Group: "meals", Consistency: catalog.ReadYourWrites}}, nil,
		[]catalog.Organisation{o}).WithTransactionIdle(50 * time.Millisecond)
}

// do handles one statement.
func do(c *callersession.Session, b statement.Statement) statement.Answer {
	return c.Handle(context.Background(), statement.Query{ID: "q", Body: b})
}

// Guards against statements of an open transaction that run, or are committed, for an organisation that no longer holds the
// caller's key.
func TestTransactionEndsWhenKeyMoves(t *testing.T) {
	held := func(organisations ...catalog.Organisation) catalog.Configuration {
		return catalog.NewConfiguration(2, []catalog.Database{{Name: "tally", Group: "meals", Public: true}}, nil, organisations)
	}
	k1 := []key.Hash{key.HashOf("k1")}
	for name, c := range map[string]struct{ before, after catalog.Configuration }{
		"to another organisation":       {held(catalog.Organisation{Name: "coop", Keys: k1}), held(catalog.Organisation{Name: "parish", Keys: k1})},
		"away, on a public database":    {held(catalog.Organisation{Name: "coop", Keys: k1}), held()},
		"to its first, on a public one": {held(), held(catalog.Organisation{Name: "coop", Keys: k1})},
		"with its renamed organisation": {held(catalog.Organisation{Name: "coop", Keys: k1}), held(catalog.Organisation{Name: "coop-2", Keys: k1})},
	} {
		t.Run(name, func(t *testing.T) {
			w, s := start(t, "k1")
			w.configuration = c.before
			do(s, statement.Begin{})
			if a := do(s, statement.Write{Arguments: "plates 1"}); !a.OK() {
				t.Fatalf("write: %+v", a)
			}
			w.configuration = c.after
			if a := do(s, statement.Write{Arguments: "plates 2"}); a.Code != statement.Aborted || a.State != statement.FailedTransaction {
				t.Errorf("write after the key moved: %+v, want aborted", a)
			}
			if a := do(s, statement.Commit{}); a.Code != statement.Aborted || len(w.servers.calls) != 1 || w.servers.rolledBack != 1 {
				t.Errorf("commit: %+v, %d calls, %d rolled back; want aborted, one call, rolled back", a, len(w.servers.calls), w.servers.rolledBack)
			}
		})
	}
}

// Guards against a panic in the handling of one statement that ends the process, or is answered as if the statement had
// not run.
func TestPanicEndsSession(t *testing.T) {
	w, c := start(t, "k1")
	w.faulty = true
	if a := do(c, statement.Write{}); a.Code != statement.Unknown || w.panics != 1 || !c.ShouldClose() {
		t.Errorf("answer %+v, %d panics recorded, session to be closed: %t; want an unknown outcome, one, true", a, w.panics, c.ShouldClose())
	}
}

// Guards against the answer "not run" to a statement that may have run, and against an unknown outcome where no effect
// can have been kept.
func TestAnswerMatchesDelivery(t *testing.T) {
	lost := statement.NoAnswer("no answer")
	for name, c := range map[string]struct {
		before []statement.Statement
		body   statement.Statement
		answer statement.Answer
		code   statement.Code
		state  statement.State
	}{
		"single write":            {nil, statement.Write{}, lost, statement.Unknown, statement.Idle},
		"single read":             {nil, statement.Read{}, lost, statement.Timeout, statement.Idle},
		"write not sent":          {nil, statement.Write{}, statement.Refused(statement.WrongServer, ""), statement.Busy, statement.Idle},
		"full queue":              {nil, statement.Write{}, statement.Refused(statement.TooMany, ""), statement.TooMany, statement.Idle},
		"unknown server code":     {nil, statement.Write{}, statement.Answer{Delivery: statement.Answered, Code: statement.UnknownReason}, statement.UnknownReason, statement.Idle},
		"first of a transaction":  {[]statement.Statement{statement.Begin{}}, statement.Write{}, lost, statement.Aborted, statement.FailedTransaction},
		"next of a transaction":   {[]statement.Statement{statement.Begin{}, statement.Write{}}, statement.Write{}, lost, statement.Aborted, statement.FailedTransaction},
		"commit after a write":    {[]statement.Statement{statement.Begin{}, statement.Write{}}, statement.Commit{}, lost, statement.Unknown, statement.Idle},
		"commit after reads only": {[]statement.Statement{statement.Begin{}, statement.Read{}}, statement.Commit{}, lost, statement.Aborted, statement.Idle},
	} {
		w, session := start(t, "k1")
		ok := w.servers.answer
		for _, b := range c.before {
			w.servers.answer = ok
			w.servers.answer.State = statement.InTransaction
			if a := do(session, b); !a.OK() {
				t.Fatalf("%s: %T: %+v", name, b, a)
			}
		}
		w.servers.answer = c.answer
		if a := do(session, c.body); a.Code != c.code || a.State != c.state {
			t.Errorf("%s: code %q, state %d; want %q, %d", name, a.Code, a.State, c.code, c.state)
		}
	}
}

// Guards against a read that does not require the session's own last commit, or requires a position of an older term.
func TestReadsRequireOwnCommit(t *testing.T) {
	w, session := start(t, "k1")
	do(session, statement.Write{Arguments: "a 1"})
	w.servers.answer.Position = driver.Position{Term: 1, Index: 50}
	do(session, statement.Write{Arguments: "a 2"})
	do(session, statement.Read{Arguments: "a"})
	if after := w.servers.calls[2].After; after != (driver.Position{Term: 2, Index: 9}) {
		t.Errorf("the read requires position %s, want 2/9", after)
	}
}

// Guards against operations that ask for rate tokens under another priority than that of their database, and against
// priorities where calls carry none.
func TestTokensAreAskedForByPriority(t *testing.T) {
	for _, priorities := range []bool{false, true} {
		w := &world{askedPriority: 9, refusal: outcome.RateExceeded}
		c := catalog.NewConfiguration(1, []catalog.Database{{Name: "tally", Group: "meals", Priority: 2}}, nil,
			[]catalog.Organisation{{Name: "coop", Keys: []key.Hash{key.HashOf("k1")}}})
		session, _ := callersession.Start(callersession.Environment{
			Configuration: func() catalog.Configuration { return c }, ConfigurationFresh: func() bool { return true },
			Limiter: w, Observer: w, Draining: func() bool { return false }, Priorities: priorities,
			Stopping: func(time.Duration) bool { return false },
		}, "s1", "tally", "k1")
		do(session, statement.Read{})
		if want := map[bool]uint8{false: 0, true: 2}[priorities]; w.askedPriority != want {
			t.Errorf("priorities %v: asked with priority %d, want %d", priorities, w.askedPriority, want)
		}
	}
}

// Guards against operations that run under a withdrawn key or above the organisation's rate.
func TestOperationsAreAdmitted(t *testing.T) {
	w, session := start(t, "k1")
	w.refusal = outcome.RateExceeded
	if a := do(session, statement.Read{}); a.Code != statement.TooMany || a.State != statement.Idle || session.ShouldClose() {
		t.Errorf("above the rate: %+v", a)
	}
	for retry, want := range map[time.Duration]string{0: "rate_exceeded; retry after 500 ms", 1200 * time.Millisecond: "rate_exceeded; retry after 1200 ms"} {
		w.retryAfter = retry
		if a := do(session, statement.Read{}); a.Text != want {
			t.Errorf("text %q, want %q", a.Text, want)
		}
	}
	w.refusal = ""
	do(session, statement.Begin{})
	do(session, statement.Write{})
	w.configure("k2")
	if a := do(session, statement.Write{}); a.Code != statement.Unauthorized || a.State != statement.FailedTransaction {
		t.Errorf("withdrawn key inside a transaction: %+v", a)
	}
	if w.servers.rolledBack != 1 || len(w.servers.calls) != 1 {
		t.Errorf("%d rollbacks, %d calls; want 1 and 1", w.servers.rolledBack, len(w.servers.calls))
	}
	if a := do(session, statement.Rollback{}); !a.OK() || a.State != statement.Idle {
		t.Errorf("rollback: %+v", a)
	}
	if a := do(session, statement.Read{}); a.Code != statement.Unauthorized || !session.ShouldClose() {
		t.Errorf("withdrawn key: %+v", a)
	}
	if len(w.servers.calls) != 1 {
		t.Error("a statement ran under a withdrawn key")
	}
}

// Guards against a transaction that continues after a pause so long that the server pool has rolled it back.
func TestIdleTransactionIsAborted(t *testing.T) {
	w, session := start(t, "k1")
	do(session, statement.Begin{})
	w.servers.answer.State = statement.InTransaction
	do(session, statement.Write{})
	time.Sleep(80 * time.Millisecond)
	if a := do(session, statement.Commit{}); a.Code != statement.Aborted || w.servers.rolledBack != 1 {
		t.Errorf("commit after a long pause: %+v, %d rollbacks; want aborted and 1", a, w.servers.rolledBack)
	}
}

// Guards against sessions that grow without bound, and against the execution of a name that was never prepared.
func TestSessionsAreBounded(t *testing.T) {
	_, session := start(t, "k1")
	refused := 0
	for n := range 100 {
		if a := do(session, statement.Set{Name: fmt.Sprint(n), Value: "x"}); a.Code == statement.TooLarge {
			refused++
		}
		if a := do(session, statement.Prepare{Name: fmt.Sprint(n), Shape: "q"}); a.Code == statement.TooLarge {
			refused++
		}
	}
	if refused != 72 {
		t.Errorf("%d of 200 refused, want 72", refused)
	}
	if a := do(session, statement.Set{Name: "1", Value: strings.Repeat("x", 1<<20)}); a.Code != statement.TooLarge {
		t.Errorf("long value: %+v", a)
	}
	for n, a := range []statement.Answer{
		do(session, statement.Set{Name: strings.Repeat("n", 1<<20), Value: "x"}),
		do(session, statement.Prepare{Name: strings.Repeat("n", 1<<20), Shape: "q"}),
	} {
		if a.Code != statement.TooLarge {
			t.Errorf("long name %d: %+v", n, a)
		}
	}
	if a := do(session, statement.Execute{Name: "never"}); a.Code != statement.NoStatement {
		t.Errorf("unknown name: %+v", a)
	}
}

// Guards against values and names of a session that are counted wrongly when they are replaced or removed, and against a total
// over the limit.
func TestSessionStateIsCounted(t *testing.T) {
	_, session := start(t, "k1")
	expect := func(want int) {
		t.Helper()
		if got := session.StateBytes(); got != want {
			t.Errorf("%d bytes, want %d", got, want)
		}
	}
	do(session, statement.Set{Name: "ab", Value: "xyz"})
	expect(5)
	do(session, statement.Set{Name: "ab", Value: "z"})
	expect(3)
	do(session, statement.Prepare{Name: "p", Shape: "shape"})
	do(session, statement.Prepare{Name: "p", Shape: "q"})
	expect(5)
	do(session, statement.Deallocate{Name: "p"})
	do(session, statement.Deallocate{Name: "p"})
	expect(3)
	long, refused := strings.Repeat("x", 16<<10-2), 0
	for n := range 63 {
		name := fmt.Sprintf("%d%s", n, long)[:16<<10-2]
		for _, b := range []statement.Statement{statement.Set{Name: name, Value: long}, statement.Prepare{Name: name, Shape: long}} {
			if a := do(session, b); a.Code == statement.TooLarge {
				refused++
			}
		}
	}
	if most := 128 * 17 << 10; refused == 0 || session.StateBytes() > most {
		t.Errorf("%d refused, %d bytes; want some refused and at most %d bytes", refused, session.StateBytes(), most)
	}
}

// collidingShapes returns two shapes of 64 bytes with the same xxHash64. The first 8 bytes of both 32-byte blocks enter the
// same accumulator, so that a difference in the first block can be cancelled in the second.
func collidingShapes() (string, string) {
	const prime1, prime2 = 11400714785074694791, 14029467366897019727
	inverse := uint64(prime2) // of prime2 modulo 2^64, by Newton's iteration
	for range 6 {
		inverse *= 2 - prime2*inverse
	}
	start := uint64(prime1) // the seed 0 + prime1 + prime2, which overflows
	start += prime2
	accumulator := func(first uint64) uint64 { return bits.RotateLeft64(start+first*prime2, 31) * prime1 }
	shape := func(first, second uint64) string {
		b := make([]byte, 64)
		binary.LittleEndian.PutUint64(b, first)
		binary.LittleEndian.PutUint64(b[32:], second)
		return string(b)
	}
	return shape(1, 0), shape(2, (accumulator(1)-accumulator(2))*inverse)
}

// Guards against two shapes with one name: a connection that has prepared one would run it for the sessions of the other.
func TestPreparedNamesDiffer(t *testing.T) {
	one, other := collidingShapes()
	if one == other || xxhash.Sum64String(one) != xxhash.Sum64String(other) {
		t.Fatal("the shapes do not collide")
	}
	names := map[string]statement.Prepare{}
	for _, p := range []statement.Prepare{
		{Shape: one}, {Shape: other}, {Shape: one, Writes: true}, {Shape: "q"}, {Shape: "q "}, {Shape: " q"}, {Shape: "q\n"}, {Shape: "q\r"},
	} {
		w, session := start(t, "k1")
		p.Name = "p"
		do(session, p)
		do(session, statement.Execute{Name: "p", Arguments: "a"})
		prepared := w.servers.calls[0].Preparation
		if prepared.Shape != p.Shape {
			t.Errorf("shape %q is prepared as %q", p.Shape, prepared.Shape)
		}
		if before, ok := names[prepared.Name]; ok {
			t.Errorf("%q and %q are both named %s", before.Shape, p.Shape, prepared.Name)
		}
		names[prepared.Name] = p
	}
}

// Guards against session values that are trimmed, joined or taken for one another because of their bytes.
func TestSessionValuesPassUnchanged(t *testing.T) {
	w, session := start(t, "k1")
	want := []statement.Value{
		{Name: "a", Value: " x "}, {Name: "a\n", Value: "x\ny\r"}, {Name: "A", Value: ""}, {Name: "\xff", Value: "\x00\xfe"}, {Name: "\ufffd", Value: "\ufffd"},
	}
	for _, v := range want {
		do(session, statement.Set{Name: v.Name, Value: v.Value})
	}
	do(session, statement.Read{Arguments: "a"})
	if got := w.servers.calls[0].Values; !slices.Equal(got, want) {
		t.Errorf("values %q, want %q", got, want)
	}
}
