package execution

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/group"
	"tanagercross/internal/database/operation"
	"tanagercross/internal/session/outcome"
	"tanagercross/internal/session/route"
	"tanagercross/internal/session/token"
)

// fakeGroup implements all ports of an Engine over a simulated group of three servers. The view that it gives may lag
// behind the group. It is not safe for concurrent use.
type fakeGroup struct {
	random          *rand.Rand
	now             time.Time
	term            uint64
	primary         int
	primaryChanges  int // a statement that hangs can commit while this stays the same, also in a newer term
	index           uint64
	knownPrimary    primaryView
	table           *group.Table
	viewFrozenUntil time.Time // until then, the view is not refreshed
	records         map[string]driver.Record
	commits         map[string]int // number of commits by request id
	delayedCommits  []func()
	faultPercent    int // share of lookups and commits that fail
	fresh           bool
	limits          Limits
	keys            map[string]string // organisation by key hash
	ops             []operation.Operation
	servers         []string // server of each operation, in order
	replies         []operation.Reply
	retries         int
	rateRefusal     outcome.Reason
	beforeReply     func() // called before each operation runs
}

// primaryView is the primary that the view shows.
type primaryView struct {
	server string
	term   uint64
}

// testSigner signs the tokens in all tests.
var testSigner, _ = token.NewSigner([]byte("a secret of the tests"))

func newFakeGroup(seed uint64) *fakeGroup {
	w := &fakeGroup{
		random: rand.New(rand.NewPCG(seed, 3)), now: time.Now(), term: 1, fresh: true,
		records: make(map[string]driver.Record), commits: make(map[string]int), keys: map[string]string{"k": "a", "k2": "b"},
	}
	var servers []driver.Server
	for n := range 3 {
		servers = append(servers, driver.Server{Name: w.serverName(n), Group: "g"})
	}
	w.table = group.NewTable()
	w.table.SetGroups([]group.Group{{Name: "g", Servers: servers}})
	w.refreshView()
	return w
}

func (w *fakeGroup) engine() *Engine {
	return New(Ports{
		Keys: w, Freshness: w, Rates: w, Configuration: w, Signer: testSigner, Groups: w, Performer: w, Clock: w, Counter: counter{w},
	}, Options{Random: w.random.Int64N})
}

func (w *fakeGroup) serverName(n int) string { return fmt.Sprintf("s%d", n) }

// refreshView makes the view show the current primary.
func (w *fakeGroup) refreshView() {
	w.knownPrimary = primaryView{server: w.serverName(w.primary), term: w.term}
}

// failover starts a new term, with a primary chosen at random, which may be the same server.
func (w *fakeGroup) failover() {
	w.term++
	if next := w.random.IntN(3); next != w.primary {
		w.primary = next
		w.primaryChanges++
	}
}

// Organisation knows the keys in w.keys. The key hash "new" is unknown and all others are withdrawn.
func (w *fakeGroup) Organisation(hash string) (string, outcome.Reason) {
	if o := w.keys[hash]; o != "" {
		return o, ""
	}
	if hash == "new" {
		return "", outcome.KeyUnknown
	}
	return "", outcome.KeyWithdrawn
}
func (w *fakeGroup) Fresh(time.Time) bool                           { return w.fresh }
func (w *fakeGroup) Take(context.Context, string) outcome.Reason    { return w.rateRefusal }
func (w *fakeGroup) Version() uint64                                { return 1 }
func (w *fakeGroup) Limits(string) Limits                           { return w.limits }
func (w *fakeGroup) EnsureVersion(_ context.Context, v uint64) bool { return v <= 1 }
func (w *fakeGroup) Now() time.Time                                 { return w.now }

func (w *fakeGroup) ObservePosition(string, driver.Position, time.Time) {}

// View shows three servers that are reachable now and follow the known primary.
func (w *fakeGroup) View() *group.View {
	for n := range 3 {
		status := driver.Status{
			Server: w.serverName(n), Role: driver.Replica, Term: w.knownPrimary.term, Primary: w.knownPrimary.server,
			Last: driver.Position{Term: w.knownPrimary.term, Index: 1 << 30},
		}
		if status.Server == w.knownPrimary.server {
			status.Role = driver.Primary
		}
		w.table.ObserveStatus(status, w.now, w.now)
	}
	return w.table.View()
}

// transaction returns a signed transaction id at the known primary.
func (w *fakeGroup) transaction(organisation, session string) string {
	text, _ := testSigner.EncodeTransaction(token.Transaction{
		Organisation: organisation, Session: session, Group: "g", Server: w.knownPrimary.server, Term: w.knownPrimary.term, LocalID: "x",
	})
	return text
}

func encodeToken(t token.Token) string { text, _ := testSigner.Encode(t); return text }

// Sleep advances the clock. At random it refreshes the view and runs the delayed commits.
func (w *fakeGroup) Sleep(_ context.Context, d time.Duration) bool {
	w.now = w.now.Add(d)
	if w.random.IntN(4) == 0 && w.now.After(w.viewFrozenUntil) {
		w.refreshView()
	}
	if w.random.IntN(4) == 0 {
		w.runDelayedCommits()
	}
	return true
}

// runDelayedCommits runs the commits of statements that were hanging.
func (w *fakeGroup) runDelayedCommits() {
	delayedCommits := w.delayedCommits
	w.delayedCommits = nil
	for _, commit := range delayedCommits {
		commit()
	}
}

// counter counts the retries of requests.
type counter struct{ *fakeGroup }

func (c counter) Refused(outcome.Outcome, outcome.Reason) {}
func (c counter) Retried(outcome.Reason)                  { c.retries++ }
func (c counter) Read(driver.Role, route.Reason)          {}

// storeRecord stores a record unless there is one with its request id, and reports whether it did.
func (w *fakeGroup) storeRecord(r driver.Record) bool {
	if _, ok := w.records[r.RequestID]; ok {
		return false
	}
	w.records[r.RequestID] = r
	w.commits[r.RequestID]++
	w.index++
	return true
}

// Perform answers with the next entry of w.replies, if there is one, or simulates the operation.
func (w *fakeGroup) Perform(_ context.Context, server string, op operation.Operation) (operation.Reply, string) {
	w.ops = append(w.ops, op)
	w.servers = append(w.servers, server)
	if w.beforeReply != nil {
		w.beforeReply()
	}
	if len(w.replies) > 0 {
		r := w.replies[0]
		w.replies = w.replies[1:]
		return r, "holder"
	}
	switch op := op.(type) {
	case operation.Write:
		return w.commitRecord(server, op.Term, op.Record), "holder"
	case operation.Lookup:
		return w.lookUpRecord(server, op), "holder"
	}
	return operation.Reply{Verdict: outcome.Verdict{Outcome: outcome.Done}, Transaction: "local"}, "holder"
}

func (w *fakeGroup) PerformAt(ctx context.Context, _, server string, op operation.Operation) operation.Reply {
	if c, ok := op.(operation.Commit); ok && len(w.replies) == 0 {
		return w.commitRecord(server, w.term, c.Record)
	}
	r, _ := w.Perform(ctx, server, op)
	return r
}

// lookUpRecord answers a lookup at the primary of the term, or fails at random.
func (w *fakeGroup) lookUpRecord(server string, op operation.Lookup) operation.Reply {
	if w.random.IntN(100) < w.faultPercent {
		return operation.Reply{Verdict: outcome.NotKnown(outcome.AnswerLost)}
	}
	if server != w.serverName(w.primary) || op.Term != w.term {
		return operation.Reply{Verdict: outcome.NotRun(outcome.PrimaryReplaced)}
	}
	r, found := w.records[op.RequestID]
	state := driver.RecordState{Found: found, Fingerprint: r.Fingerprint, Position: driver.Position{Term: w.term, Index: w.index}}
	return operation.Reply{Verdict: outcome.Verdict{Outcome: outcome.Done}, Record: state}
}

// commitRecord commits a record at the primary of a term, or simulates one of the failures of a real commit.
func (w *fakeGroup) commitRecord(server string, term uint64, r driver.Record) operation.Reply {
	answerLost := operation.Reply{Verdict: outcome.NotKnown(outcome.AnswerLost)}
	if server != w.serverName(w.primary) || term != w.term {
		return operation.Reply{Verdict: outcome.NotRun(outcome.PrimaryReplaced)}
	}
	if w.random.IntN(100) < w.faultPercent {
		switch w.random.IntN(7) {
		case 0:
			return operation.Reply{Verdict: outcome.NotRun(outcome.ServerUnreachable)}
		case 1: // not stored, and no answer
			return answerLost
		case 2: // stored, and no answer
			w.storeRecord(r)
			return answerLost
		case 3: // the statement hangs and commits later, unless another server has become primary by then
			primaryChanges := w.primaryChanges
			w.delayedCommits = append(w.delayedCommits, func() {
				if w.primaryChanges == primaryChanges {
					w.storeRecord(r)
				}
			})
			if w.random.IntN(2) == 0 {
				w.failover()
			}
			return answerLost
		case 4: // the server has stored the record, and is replaced before a majority has it
			if w.storeRecord(r) {
				delete(w.records, r.RequestID)
				w.commits[r.RequestID]--
			}
			w.failover()
			return operation.Reply{Verdict: outcome.NotKnown(outcome.NotReplicated)}
		case 5: // an acknowledgement that arrives after a failover, of a record that may not have been kept
			position := driver.Position{Term: w.term, Index: w.index}
			if w.random.IntN(2) == 0 {
				w.storeRecord(r)
			}
			w.failover()
			w.refreshView()
			return operation.Reply{
				Verdict: outcome.Verdict{Outcome: outcome.Done}, Result: driver.Result{Position: position},
			}
		case 6: // the instance may lose its freshness while the write commits
			w.fresh = w.random.IntN(2) == 0
		}
	}
	w.storeRecord(r)
	result := driver.Result{Position: driver.Position{Term: w.term, Index: w.index}}
	return operation.Reply{Verdict: outcome.Verdict{Outcome: outcome.Done}, Result: result}
}
