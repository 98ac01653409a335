package execution

import (
	"testing"
	"time"

	"github.com/google/uuid"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/operation"
	"tanagercross/internal/session/outcome"
	"tanagercross/internal/session/token"
)

var insert = driver.Statement{SQL: "INSERT INTO booking VALUES (1)"}

// Guards against wrong outcomes of writes: a write reported as done must exist once, one that was always reported as
// not run must not exist, and none may run twice, also when the caller repeats it. The faults are lost answers,
// statements that hang, histories that are abandoned, changes of primary, a view that lags and an instance that is no
// longer fresh.
func TestWriteOutcomesUnderFaults(t *testing.T) {
	counts := make(map[outcome.Outcome]int)
	for seed := range uint64(200) {
		w := newFakeGroup(seed)
		w.faultPercent = 40
		e := w.engine()
		verdicts := make(map[string][]outcome.Verdict)
		for n := range 30 {
			id := uuid.Must(uuid.NewV7()).String()
			for attempt := 0; attempt == 0 || (attempt < 3 && verdicts[id][attempt-1].Outcome == outcome.Unknown); attempt++ {
				w.fresh = true
				caller := Caller{KeyHash: "k", RequestID: id, Deadline: w.now.Add(2 * time.Second)}
				r := Request(Statement{Caller: caller, Group: "g", Write: true, Statement: insert})
				if n%5 == 0 {
					caller.Token = encodeToken(token.New("a", "s"))
					r = Commit{Caller: caller, Transaction: w.transaction("a", "s")}
				}
				reply := e.Execute(t.Context(), r)
				if !w.fresh && reply.Verdict.Outcome == outcome.Done {
					t.Errorf("seed %d: answered from expired state", seed)
				}
				verdicts[id] = append(verdicts[id], reply.Verdict)
				counts[reply.Verdict.Outcome]++
			}
		}
		w.runDelayedCommits()
		for id, all := range verdicts {
			count, done, notRun := w.commits[id], false, true
			for _, v := range all {
				done = done || v.Outcome == outcome.Done
				notRun = notRun && v.Outcome == outcome.NotRunOutcome
			}
			if count > 1 || (done && count != 1) || (notRun && count != 0) {
				t.Fatalf("seed %d: verdicts %v, but the write ran %d times", seed, all, count)
			}
		}
	}
	t.Logf("%v", counts)
	if len(counts) != 3 {
		t.Errorf("outcomes %v, want all three", counts)
	}
}

// Guards against not_run for a write that may still commit: a missing record proves not_run only in a newer term and on
// another server.
func TestNotRunNeedsNewTermAndServer(t *testing.T) {
	for _, c := range []struct {
		term   uint64
		server string
		want   outcome.Outcome
	}{
		{1, "s0", outcome.Unknown},
		{2, "s0", outcome.Unknown},
		{2, "s1", outcome.Done}, // proved not run, then run in the new term
	} {
		w := newFakeGroup(1)
		w.replies = []operation.Reply{{Verdict: outcome.NotKnown(outcome.AnswerLost)}}
		w.term, w.primary = c.term, int(c.server[1]-'0')
		r := w.engine().Execute(t.Context(), Statement{Caller: Caller{KeyHash: "k"}, Group: "g", Write: true, Statement: insert})
		if r.Verdict.Outcome != c.want || len(w.commits) > 1 {
			t.Errorf("term %d on %s: %v, runs %v", c.term, c.server, r.Verdict, w.commits)
		}
	}
}

// Guards against requests that are admitted without a valid key, token, request id, group, statement or deadline, or by
// an instance that is not fresh. A refused request must not reach a database.
func TestAdmission(t *testing.T) {
	id := func(age time.Duration) string {
		generated := uuid.Must(uuid.NewV7())
		ms := uint64(time.Now().Add(-age).UnixMilli())
		for i := range 6 {
			generated[i] = byte(ms >> (40 - 8*i))
		}
		return generated.String()
	}
	w := newFakeGroup(1)
	foreign := encodeToken(token.New("b", "x"))
	ahead := encodeToken(token.New("a", "x").WithConfiguration(2))
	for _, c := range []struct {
		caller Caller
		group  string
		sql    string
		want   outcome.Reason
	}{
		{Caller{}, "g", "SELECT 1", outcome.KeyMissing},
		{Caller{KeyHash: "w"}, "g", "SELECT 1", outcome.KeyWithdrawn},
		{Caller{KeyHash: "k", Token: foreign}, "g", "SELECT 1", outcome.TokenForeign},
		{Caller{KeyHash: "k", Token: "?"}, "g", "SELECT 1", outcome.TokenInvalid},
		{Caller{KeyHash: "k", Token: ahead}, "g", "SELECT 1", outcome.ConfigurationBehind},
		{Caller{KeyHash: "k", RequestID: uuid.NewString()}, "g", "SELECT 1", outcome.RequestInvalid},
		{Caller{KeyHash: "k", RequestID: id(23*time.Hour + time.Minute)}, "g", "SELECT 1", outcome.RequestExpired},
		{Caller{KeyHash: "k", RequestID: id(-6 * time.Minute)}, "g", "SELECT 1", outcome.RequestExpired},
		{Caller{KeyHash: "k"}, "other", "SELECT 1", outcome.GroupUnknown},
		{Caller{KeyHash: "k"}, "g", " /* a /* b */ */ -- c\n;SET organisation = 'b'", outcome.RequestInvalid},
		// PostgreSQL ends a comment at a lone CR as well.
		{Caller{KeyHash: "k"}, "g", "-- c\rSET organisation = 'b' /*\nSELECT 1 */", outcome.RequestInvalid},
		{Caller{KeyHash: "k"}, "g", "-- c\r\nSET organisation = 'b'", outcome.RequestInvalid},
		{Caller{KeyHash: "k"}, "g", "(select set_config('organisation', 'b', false))", outcome.RequestInvalid},
		{Caller{KeyHash: "k"}, "g", "SELECT GROUP_promote(9, 'x')", outcome.RequestInvalid},
		{Caller{KeyHash: "k"}, "g", "COMMIT", outcome.RequestInvalid},
		{Caller{KeyHash: "k", Deadline: w.now.Add(-1)}, "g", "SELECT 1", outcome.DeadlineExceeded},
	} {
		r := w.engine().Execute(t.Context(), Statement{Caller: c.caller, Group: c.group, Statement: driver.Statement{SQL: c.sql}})
		if r.Verdict.Outcome != outcome.NotRunOutcome || r.Verdict.Reason != c.want {
			t.Errorf("%+v %q: %v, want %s", c.caller, c.sql, r.Verdict, c.want)
		}
	}
	w.fresh = false
	r := w.engine().Execute(t.Context(), Statement{Caller: Caller{KeyHash: "k"}, Group: "g", Statement: insert})
	if r.Verdict.Reason != outcome.InstanceNotFresh || len(w.ops) != 0 {
		t.Errorf("not fresh: %v after %d operations, want instance_not_fresh after none", r.Verdict, len(w.ops))
	}
}

// Guards against key_unknown, which callers don't retry, for a valid key at an instance that has just started and has
// not read the keys yet.
func TestUnknownKeyOnStaleInstance(t *testing.T) {
	w := newFakeGroup(1)
	for _, want := range []outcome.Reason{outcome.KeyUnknown, outcome.InstanceNotFresh} {
		r := w.engine().Execute(t.Context(), Statement{Caller: Caller{KeyHash: "new"}, Group: "g", Statement: insert})
		if r.Verdict.Outcome != outcome.NotRunOutcome || r.Verdict.Reason != want {
			t.Errorf("verdict %v, want %s", r.Verdict, want)
		}
		w.fresh = false
	}
}

// Guards against reads that try the same server again after a failure, against session tokens and reads with unresolved
// requests that lose the position, and against answers that are given after the key was withdrawn.
func TestReads(t *testing.T) {
	w := newFakeGroup(1)
	position := driver.Position{Term: 1, Index: 9}
	w.replies = []operation.Reply{
		{Verdict: outcome.NotRun(outcome.ServerBehind)},
		{Verdict: outcome.NotKnown(outcome.AnswerLost)},
		{Verdict: outcome.Verdict{Outcome: outcome.Done}, Result: driver.Result{Position: position}},
	}
	read := Statement{Caller: Caller{KeyHash: "k"}, Group: "g", Statement: driver.Statement{SQL: "SELECT 1"}}
	r := w.engine().Execute(t.Context(), read)
	session, _ := testSigner.Decode(r.Token)
	if r.Verdict.Outcome != outcome.Done || session.Position("g") != position || w.retries != 2 ||
		w.servers[0] == w.servers[1] || w.servers[1] == w.servers[2] {
		t.Errorf("verdict %v, session %v, servers %v", r.Verdict, session, w.servers)
	}
	read.Token, read.Unresolved = r.Token, []string{"1"}
	w.engine().Execute(t.Context(), read)
	if op := w.ops[3].(operation.Read); !op.Durable || op.AtLeast != position {
		t.Errorf("a read with unresolved requests ran as %+v", op)
	}
	withdrawing := &withdrawingKeys{fakeGroup: w}
	e := w.engine()
	e.ports.Keys = withdrawing
	if r := e.Execute(t.Context(), read); r.Verdict != outcome.NotRun(outcome.KeyWithdrawn) || r.Result.Columns != nil {
		t.Errorf("read after the key was withdrawn: %v", r.Verdict)
	}
	withdrawing.calls, read.Write = 0, true
	if r := e.Execute(t.Context(), read); r.Verdict != outcome.NotKnown(outcome.LeaseLapsed) || r.Group != "g" {
		t.Errorf("write after the key was withdrawn: %v", r.Verdict)
	}
	withdrawing.calls = 0
	if r := e.Execute(t.Context(), Begin{Caller: read.Caller, Group: "g"}); r.Verdict != outcome.NotRun(outcome.KeyWithdrawn) {
		t.Errorf("begin after the key was withdrawn: %v", r.Verdict)
	}
	if _, ok := w.ops[len(w.ops)-1].(operation.Rollback); !ok {
		t.Error("the withheld transaction was not rolled back")
	}
}

// Guards against requests that fail during a failover: reads and writes that were not run must wait for the new
// primary.
func TestWaitForPrimary(t *testing.T) {
	for _, write := range []bool{false, true} {
		w := newFakeGroup(1)
		w.replies = []operation.Reply{
			{Verdict: outcome.NotRun(outcome.PrimaryReplaced)}, {Verdict: outcome.NotRun(outcome.ServerUnreachable)},
		}
		w.viewFrozenUntil = w.now.Add(2 * time.Second)
		w.term, w.primary = 2, 1
		caller := Caller{KeyHash: "k", Deadline: w.now.Add(4 * time.Second)}
		r := w.engine().Execute(t.Context(), Statement{Caller: caller, Group: "g", Write: write, Primary: true, Statement: insert})
		if r.Verdict.Outcome != outcome.Done || w.servers[2] != "s1" {
			t.Errorf("write %v: %v, servers %v", write, r.Verdict, w.servers)
		}
	}
}

// withdrawingKeys withdraws the key after admission, which looks it up twice.
type withdrawingKeys struct {
	*fakeGroup
	calls int
}

func (k *withdrawingKeys) Organisation(hash string) (string, outcome.Reason) {
	if k.calls++; k.calls > 2 {
		return "", outcome.KeyWithdrawn
	}
	return k.fakeGroup.Organisation(hash)
}

// Guards against outcome lookups that answer not_run when they fail or find no record, and against equal fingerprints
// of different writes.
func TestOutcomeAndFingerprint(t *testing.T) {
	w := newFakeGroup(1)
	lookup := Outcome{Caller: Caller{KeyHash: "k"}, Group: "g", ID: uuid.Must(uuid.NewV7()).String()}
	for _, rateRefusal := range []outcome.Reason{"", outcome.RateExceeded} {
		w.rateRefusal = rateRefusal
		if r := w.engine().Execute(t.Context(), lookup); r.Verdict.Outcome != outcome.Unknown {
			t.Errorf("lookup without a record, rate refusal %q: %v", rateRefusal, r.Verdict)
		}
	}
	w.rateRefusal = ""
	w.storeRecord(driver.Record{RequestID: lookup.ID})
	if r := w.engine().Execute(t.Context(), lookup); r.Verdict.Outcome != outcome.Done || !r.Result.Replayed {
		t.Errorf("lookup of a stored record: %v", r.Verdict)
	}
	a, b, empty := "a", "b", ""
	seen := make(map[string]bool)
	for _, arguments := range [][]*string{nil, {nil}, {&empty}, {&a, &b}, {&b, &a}, {&a}, {nil, nil}} {
		seen[fingerprint("o", "g", "q", arguments)] = true
	}
	seen[fingerprint("og", "", "q", nil)] = true
	if len(seen) != 8 {
		t.Errorf("%d different fingerprints, want 8", len(seen))
	}
}

// Guards against access to the transactions of another organisation or session: such a request must not reach a
// database.
func TestForeignTransactions(t *testing.T) {
	w := newFakeGroup(1)
	for _, c := range []struct {
		transaction string
		want        outcome.Reason
	}{
		{w.transaction("b", "s"), outcome.TransactionForeign},
		{w.transaction("a", "other"), outcome.TransactionForeign},
		{w.transaction("a", "s")[1:], outcome.TransactionUnknown},
		{encodeToken(token.New("a", "s")), outcome.TransactionUnknown},
	} {
		caller := Caller{KeyHash: "k", Token: encodeToken(token.New("a", "s"))}
		for _, r := range []Request{
			Run{Caller: caller, Transaction: c.transaction, Statement: insert},
			Commit{Caller: caller, Transaction: c.transaction},
			Rollback{Caller: caller, Transaction: c.transaction},
		} {
			if reply := w.engine().Execute(t.Context(), r); reply.Verdict != outcome.NotRun(c.want) {
				t.Errorf("%T: %v, want %s", r, reply.Verdict, c.want)
			}
		}
	}
	if len(w.ops) != 0 {
		t.Errorf("%d operations reached a database", len(w.ops))
	}
}

// Guards against answers that became invalid while the read was running: because the data is older than MaxAge by then,
// or because the primary that served the read was replaced.
func TestLateAnswers(t *testing.T) {
	done := operation.Reply{Verdict: outcome.Verdict{Outcome: outcome.Done}}
	w := newFakeGroup(1)
	w.replies = []operation.Reply{done, done}
	w.beforeReply = func() {
		if len(w.servers) == 1 {
			w.now = w.now.Add(300 * time.Millisecond)
		}
	}
	maxAgeRead := Statement{Caller: Caller{KeyHash: "k"}, Group: "g", Statement: driver.Statement{SQL: "SELECT 1"}, MaxAge: 200 * time.Millisecond}
	if r := w.engine().Execute(t.Context(), maxAgeRead); r.Verdict.Outcome != outcome.Done || len(w.servers) != 2 || w.servers[0] == w.servers[1] {
		t.Errorf("read with a maximum age: %v from servers %v", r.Verdict, w.servers)
	}
	w = newFakeGroup(1)
	w.replies = []operation.Reply{done, done}
	w.beforeReply = func() {
		if len(w.servers) == 1 {
			w.term, w.primary = 2, 1
			w.refreshView()
		}
	}
	primaryRead := Statement{Caller: Caller{KeyHash: "k"}, Group: "g", Statement: driver.Statement{SQL: "SELECT 1"}, Primary: true}
	if r := w.engine().Execute(t.Context(), primaryRead); r.Verdict.Outcome != outcome.Done || len(w.servers) != 2 || w.servers[1] != "s1" {
		t.Errorf("read at the primary: %v from servers %v", r.Verdict, w.servers)
	}
}

// Guards against the removal of records that are still needed: no id that is accepted, now or until the end of its
// deadline, may sort before OldestRecordID.
func TestOldestRecord(t *testing.T) {
	now := time.Now()
	for _, age := range []time.Duration{MaxRequestIDAge - time.Second, RecordRetention - time.Second, RecordRetention + time.Second} {
		generated := uuid.Must(uuid.NewV7())
		ms := uint64(now.Add(-age).UnixMilli())
		for i := range 6 {
			generated[i] = byte(ms >> (40 - 8*i))
		}
		_, reason := resolveRequestID(generated.String(), now)
		removed := generated.String() < OldestRecordID(now)
		if removed != (age > RecordRetention) || removed && reason != outcome.RequestExpired {
			t.Errorf("age %s: reason %q, removed %v", age, reason, removed)
		}
	}
}

// Guards against not_run for a repeated request whose earlier attempt may have run.
func TestRefusedRepetitionStaysUnknown(t *testing.T) {
	refusal := outcome.NotRun(outcome.QueueFull)
	write := Statement{Write: true}
	if v := repeatedVerdict(write, refusal); v.Outcome != outcome.Unknown {
		t.Errorf("write: %v", v)
	}
	if v := repeatedVerdict(Commit{}, refusal); v.Outcome != outcome.Unknown {
		t.Errorf("commit: %v", v)
	}
	if v := repeatedVerdict(Statement{}, refusal); v != refusal {
		t.Errorf("read: %v", v)
	}
	if v := repeatedVerdict(write, outcome.NotRun(outcome.RequestIDReused)); v.Outcome != outcome.NotRunOutcome {
		t.Errorf("reused id: %v", v)
	}
}
