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

// world is a group of three servers with a lagging view, in one thread of execution. A reign lasts while the same server
// stays primary, also over several terms; a hanging transaction survives within its reign.
type world struct {
	random  *rand.Rand
	now     time.Time
	term    uint64
	primary int
	reign   int
	index   uint64
	view    known
	table   *group.Table
	lag     time.Time // the view learns nothing before
	records map[string]driver.Record
	runs    map[string]int
	late    []func()
	faults  int // faults in 100 operations
	fresh   bool
	limits  Limits
	keys    map[string]string // organisation by key hash
	ops     []operation.Operation
	servers []string // servers of reads, in the order of attempts
	replies []operation.Reply
	retried int
	rate    outcome.Reason
	onReply func() // called before an operation answers
}

// known is the primary that the view names.
type known struct {
	server string
	term   uint64
}

// testSigner signs the tokens of all tests.
var testSigner, _ = token.NewSigner([]byte("a secret of the tests"))

func newWorld(seed uint64) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 3)), now: time.Now(), term: 1, fresh: true,
		records: make(map[string]driver.Record), runs: make(map[string]int), keys: map[string]string{"k": "a", "k2": "b"},
	}
	var servers []driver.Server
	for n := range 3 {
		servers = append(servers, driver.Server{Name: w.name(n), Group: "g"})
	}
	w.table = group.NewTable()
	w.table.SetGroups([]group.Group{{Name: "g", Servers: servers}})
	w.learn()
	return w
}

func (w *world) engine() *Engine {
	return New(Ports{
		Keys: w, Freshness: w, Rates: w, Configuration: w, Signer: testSigner, Groups: w, Performer: w, Clock: w, Counter: counter{w},
	}, Options{Random: w.random.Int64N})
}

func (w *world) name(n int) string { return fmt.Sprintf("s%d", n) }
func (w *world) learn() {
	w.view = known{server: w.name(w.primary), term: w.term}
}

func (w *world) failover() {
	w.term++
	if next := w.random.IntN(3); next != w.primary {
		w.primary = next
		w.reign++
	}
}

func (w *world) Organisation(hash string) (string, outcome.Reason) {
	if o := w.keys[hash]; o != "" {
		return o, ""
	}
	if hash == "new" {
		return "", outcome.KeyUnknown
	}
	return "", outcome.KeyWithdrawn
}
func (w *world) Fresh(time.Time) bool                        { return w.fresh }
func (w *world) Take(context.Context, string) outcome.Reason { return w.rate }
func (w *world) Version() uint64                             { return 1 }
func (w *world) Limits(string) Limits                        { return w.limits }
func (w *world) Reach(_ context.Context, v uint64) bool      { return v <= 1 }
func (w *world) Now() time.Time                              { return w.now }

func (w *world) Observe(string, driver.Position, time.Time) {}

// View shows three servers that answer now and follow the known primary.
func (w *world) View() *group.View {
	for n := range 3 {
		status := driver.Status{
			Server: w.name(n), Role: driver.Replica, Term: w.view.term, Primary: w.view.server,
			Last: driver.Position{Term: w.view.term, Index: 1 << 30},
		}
		if status.Server == w.view.server {
			status.Role = driver.Primary
		}
		w.table.ObserveStatus(status, w.now, w.now)
	}
	return w.table.View()
}

// transaction returns the id of a transaction at the known primary.
func (w *world) transaction(organisation, session string) string {
	text, _ := testSigner.EncodeTransaction(token.Transaction{
		Organisation: organisation, Session: session, Group: "g", Server: w.view.server, Term: w.view.term, LocalID: "x",
	})
	return text
}

func issue(t token.Token) string { text, _ := testSigner.Encode(t); return text }

func (w *world) Sleep(_ context.Context, d time.Duration) bool {
	w.now = w.now.Add(d)
	if w.random.IntN(4) == 0 && w.now.After(w.lag) {
		w.learn()
	}
	if w.random.IntN(4) == 0 {
		w.flush()
	}
	return true
}

func (w *world) flush() {
	late := w.late
	w.late = nil
	for _, effect := range late {
		effect()
	}
}

type counter struct{ *world }

func (c counter) Refused(outcome.Outcome, outcome.Reason) {}
func (c counter) Retried(outcome.Reason)                  { c.retried++ }
func (c counter) Read(driver.Role, route.Reason)          {}

func (w *world) store(r driver.Record) bool {
	if _, ok := w.records[r.RequestID]; ok {
		return false
	}
	w.records[r.RequestID] = r
	w.runs[r.RequestID]++
	w.index++
	return true
}

func (w *world) Perform(_ context.Context, server string, op operation.Operation) (operation.Reply, string) {
	w.ops = append(w.ops, op)
	w.servers = append(w.servers, server)
	if w.onReply != nil {
		w.onReply()
	}
	if len(w.replies) > 0 {
		r := w.replies[0]
		w.replies = w.replies[1:]
		return r, "holder"
	}
	switch op := op.(type) {
	case operation.Write:
		return w.change(server, op.Term, op.Record), "holder"
	case operation.Lookup:
		return w.find(server, op), "holder"
	}
	return operation.Reply{Verdict: outcome.Verdict{Outcome: outcome.Done}, Transaction: "local"}, "holder"
}

func (w *world) PerformAt(ctx context.Context, _, server string, op operation.Operation) operation.Reply {
	if c, ok := op.(operation.Commit); ok && len(w.replies) == 0 {
		return w.change(server, w.term, c.Record)
	}
	r, _ := w.Perform(ctx, server, op)
	return r
}

func (w *world) find(server string, op operation.Lookup) operation.Reply {
	if w.random.IntN(100) < w.faults {
		return operation.Reply{Verdict: outcome.NotKnown(outcome.AnswerLost)}
	}
	if server != w.name(w.primary) || op.Term != w.term {
		return operation.Reply{Verdict: outcome.NotRun(outcome.PrimaryReplaced)}
	}
	r, found := w.records[op.RequestID]
	state := driver.RecordState{Found: found, Fingerprint: r.Fingerprint, Position: driver.Position{Term: w.term, Index: w.index}}
	return operation.Reply{Verdict: outcome.Verdict{Outcome: outcome.Done}, Record: state}
}

// change commits a record at the primary of a term, or fails at one of the points at which a real one can fail.
func (w *world) change(server string, term uint64, r driver.Record) operation.Reply {
	lost := operation.Reply{Verdict: outcome.NotKnown(outcome.AnswerLost)}
	if server != w.name(w.primary) || term != w.term {
		return operation.Reply{Verdict: outcome.NotRun(outcome.PrimaryReplaced)}
	}
	if w.random.IntN(100) < w.faults {
		switch w.random.IntN(7) {
		case 0:
			return operation.Reply{Verdict: outcome.NotRun(outcome.ServerUnreachable)}
		case 1:
			return lost
		case 2:
			w.store(r)
			return lost
		case 3: // the statement hangs and commits later
			reign := w.reign
			w.late = append(w.late, func() {
				if w.reign == reign {
					w.store(r)
				}
			})
			if w.random.IntN(2) == 0 {
				w.failover()
			}
			return lost
		case 4: // the branch is left before a majority holds it
			if w.store(r) {
				delete(w.records, r.RequestID)
				w.runs[r.RequestID]--
			}
			w.failover()
			return operation.Reply{Verdict: outcome.NotKnown(outcome.NotReplicated)}
		case 5: // the acknowledgement of a primary that was replaced meanwhile, with its branch
			position := driver.Position{Term: w.term, Index: w.index}
			if w.random.IntN(2) == 0 {
				w.store(r)
			}
			w.failover()
			w.learn()
			return operation.Reply{
				Verdict: outcome.Verdict{Outcome: outcome.Done}, Result: driver.Result{Position: position},
			}
		case 6:
			w.fresh = w.random.IntN(2) == 0
		}
	}
	w.store(r)
	result := driver.Result{Position: driver.Position{Term: w.term, Index: w.index}}
	return operation.Reply{Verdict: outcome.Verdict{Outcome: outcome.Done}, Result: result}
}
