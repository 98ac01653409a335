package load_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/instance/api"
	"tanagercross/internal/organisation/key"
	"tanagercross/internal/session/outcome"
	"tanagercross/internal/tool/ledger"
	"tanagercross/internal/tool/load"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fault is what the fake executor does wrong at every tenth write or read.
type fault string

const (
	none       fault = ""
	lose       fault = "lose"
	double     fault = "double"
	hide       fault = "hide"       // a read misses the newest row
	cross      fault = "cross"      // a read gets the echo of another
	refuseRan  fault = "refuse_ran" // a write runs and is refused for good
	loseAnswer fault = "lose_answer"
	refuse     fault = "refuse" // refused for a reason that another attempt cures
)

// database is an executor that keeps rows in memory and has one fault.
type database struct {
	api.Executor
	mu    sync.Mutex
	fault fault
	calls int
	rows  []ledger.Content
	open  map[string]ledger.Content
	ids   map[string]bool // records of requests
}

func (d *database) tenth() bool { d.calls++; return d.calls%10 == 0 }

func (d *database) Ready(context.Context) outcome.Reason { return "" }

func rowOf(s driver.Statement) ledger.Content {
	t := ledger.Tag{Organisation: *s.Arguments[0], Session: *s.Arguments[1], RequestID: *s.Arguments[2]}
	return ledger.Content{Group: "g", Organisation: t.Organisation, Tag: t, Count: 1}
}

var done = api.Reply{Verdict: outcome.Verdict{Outcome: outcome.Done}, SessionToken: "t", ServedBy: driver.Replica}

func (d *database) Statement(_ context.Context, r api.StatementRequest) api.Reply {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(r.Statement.Arguments) == 0 {
		return done
	}
	row := rowOf(r.Statement)
	if r.Mode == api.Read {
		return d.read(row.Tag)
	}
	if d.ids[row.Tag.RequestID] {
		return done
	}
	return d.write(row)
}

func (d *database) write(row ledger.Content) api.Reply {
	faulty := d.tenth()
	if faulty && d.fault == refuse {
		return api.Reply{Verdict: outcome.NotRun(outcome.NoPrimary)}
	}
	d.ids[row.Tag.RequestID] = true
	switch {
	case faulty && d.fault == lose:
		return done
	case faulty && d.fault == double:
		row.Count = 2
	}
	d.rows = append(d.rows, row)
	switch {
	case faulty && d.fault == refuseRan:
		return api.Reply{Verdict: outcome.NotRun(outcome.StatementFailed)}
	case faulty && d.fault == loseAnswer:
		return api.Reply{Verdict: outcome.NotKnown(outcome.AnswerLost), SessionToken: "t"}
	}
	return done
}

func (d *database) read(own ledger.Tag) api.Reply {
	reply, faulty := done, d.tenth()
	add := func(mark string, t ledger.Tag) {
		reply.Result.Rows = append(reply.Result.Rows, []*string{&mark, &t.Organisation, &t.Session, &t.RequestID})
	}
	echo := own
	if faulty && d.fault == cross {
		echo.RequestID = "other"
	}
	add("0", echo)
	for _, row := range d.rows {
		if row.Tag.Session == own.Session {
			add("1", row.Tag)
		}
	}
	if faulty && d.fault == hide && len(reply.Result.Rows) > 1 {
		reply.Result.Rows = reply.Result.Rows[:len(reply.Result.Rows)-1]
	}
	return reply
}

func (d *database) Begin(_ context.Context, r api.BeginRequest) api.Reply {
	reply := done
	reply.Transaction = "tx-" + r.RequestID
	return reply
}

func (d *database) Step(_ context.Context, r api.StepRequest) api.Reply {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open[r.Transaction] = rowOf(r.Statement)
	return done
}

func (d *database) End(_ context.Context, r api.EndRequest) api.Reply {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.write(d.open[r.Transaction])
}

func (d *database) Outcome(_ context.Context, r api.OutcomeRequest) api.Reply {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.ids[r.ID] {
		return api.Reply{Verdict: outcome.NotRun(outcome.OutcomeUnreadable)}
	}
	return done
}

func run(t *testing.T, f fault) (load.Summary, ledger.Report) {
	t.Helper()
	d := &database{fault: f, open: map[string]ledger.Content{}, ids: map[string]bool{}}
	o := load.Options{Groups: []string{"g"}, Duration: 250 * time.Millisecond, WriteShare: 0.5, TransactionShare: 0.3, Seed: 7}
	for range 3 {
		server := httptest.NewServer(api.New(d, api.Options{}))
		defer server.Close()
		o.Instances = append(o.Instances, server.URL)
	}
	for _, name := range []string{"a", "b"} {
		k, _ := key.New()
		o.Organisations = append(o.Organisations, load.Organisation{Name: name, Key: k, Rate: 400, Sessions: 4})
	}
	if err := load.Prepare(t.Context(), o); err != nil {
		t.Fatal(err)
	}
	var l ledger.Ledger
	summary, err := load.Run(t.Context(), o, &l)
	if err != nil {
		t.Fatal(err)
	}
	return summary, l.Report(d.rows, ledger.Parameters{})
}

// Guards against faults of the proxy that the load and the ledger together do not see, and against false findings.
func TestFaultsAreSeen(t *testing.T) {
	figures := map[fault]func(ledger.Report) int{
		lose: func(r ledger.Report) int { return r.Lost }, double: func(r ledger.Report) int { return r.Doubled },
		hide: func(r ledger.Report) int { return r.StaleReads }, cross: func(r ledger.Report) int { return r.ForeignAnswers },
		refuseRan: func(r ledger.Report) int { return r.NotRunButRan },
	}
	for f, figure := range figures {
		if _, r := run(t, f); figure(r) == 0 {
			t.Errorf("%s is not seen: %+v", f, r)
		}
	}
	for _, f := range []fault{none, loseAnswer, refuse} {
		s, r := run(t, f)
		if r.Faults() != 0 || r.Acknowledged < 20 || r.ReplicaReadShare != 1 || len(s.Latencies) != 3 || s.Cut+s.Malformed != 0 {
			t.Errorf("%q: %+v %+v", f, s, r)
		}
		if f != none && s.Repeated == 0 {
			t.Errorf("%q: nothing was repeated", f)
		}
	}
}

// Guards against load outside the machine, unbounded load, and a key in an error.
func TestOptionsAreChecked(t *testing.T) {
	k, _ := key.New()
	good := load.Options{
		Instances: []string{"http://127.0.0.1:1"}, Groups: []string{"g"}, Duration: time.Second, Attempts: 1,
		Organisations: []load.Organisation{{Name: "a", Key: k, Rate: 1, Sessions: 1}},
	}
	changes := map[string]func(*load.Options){
		"loopback": func(o *load.Options) { o.Instances = []string{"http://192.0.2.1"} },
		"1 to 256": func(o *load.Options) { o.Instances = nil },
		"a rate above 0": func(o *load.Options) {
			o.Organisations = []load.Organisation{{Name: "a", Key: k, Rate: 1e9, Sessions: 1}}
		},
		"up to 1h0m0s":      func(o *load.Options) { o.Duration = 2 * time.Hour },
		"shares":            func(o *load.Options) { o.WriteShare = 2 },
		"allowed: 1 to 409": func(o *load.Options) { o.Organisations = nil },
		"server_unreach":    func(*load.Options) {}, // Prepare without an instance
	}
	for want, change := range changes {
		o := good
		change(&o)
		err := load.Prepare(t.Context(), o)
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(fmt.Sprintf("%+v %+v", err, o), k.Reveal()) {
			t.Errorf("want %s, got %v", want, err)
		}
	}
}
