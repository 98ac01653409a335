package dispatch_test

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/fleet/evacuation"
	"tanagercross/internal/fleet/roster"
	"tanagercross/internal/fleet/view"
	"tanagercross/internal/request/admission"
	"tanagercross/internal/request/dispatch"
	"tanagercross/internal/service/recovery"
)

// decoder makes servers of the group "meals" from rows "PLACE ROLE", and members from rows "PLACE".
type decoder struct{}

func (decoder) Configuration([]byte) (catalog.Configuration, error) {
	return catalog.NewConfiguration(1, nil, nil, nil), nil
}

func (decoder) Server(id string, value []byte) (catalog.Server, error) {
	place, role, _ := strings.Cut(string(value), " ")
	return catalog.Server{ID: id, Group: "meals", Place: place, Role: driver.Role(role), Slots: 5}, nil
}

func (decoder) Member(name string, value []byte) (roster.Member, error) {
	return roster.Member{Name: name, Place: string(value), Address: name}, nil
}

// events counts what a dispatcher reports.
type events struct {
	mu     sync.Mutex
	counts map[string]int
}

func newEvents() *events { return &events{counts: map[string]int{}} }

func (e *events) add(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts[name]++
}
func (*events) ConfigurationChanged(_, _ catalog.Configuration, _ time.Duration) {}
func (*events) ServersChanged(_, _ catalog.Servers, _ time.Duration)             {}
func (*events) LeaderChanged(_, _ view.Leader)                                   {}
func (*events) EvacuationsChanged(_, _ evacuation.Set)                           {}
func (*events) RowIgnored(string, error)                                         {}
func (*events) LeaderUnreachable(view.Leader)                                    {}
func (*events) Retried(string)                                                   {}
func (*events) Panicked(string, recovery.Panic)                                  {}
func (e *events) AttemptEnded(_ statement.Call, server, _ string, _ statement.Answer, _ time.Duration) {
	e.add("attempts")
	e.add("at " + server)
}

func (e *events) Admission(_ statement.Call, _ string, v admission.Verdict) {
	if v.Admitted {
		e.add("admitted")
		return
	}
	e.add("refused")
}
func (e *events) RetryDenied(_ statement.Call, reason string) { e.add("denied " + reason) }

// executor answers each statement with the result of a function, after a delay.
type executor struct {
	delay  time.Duration
	answer func(server string, c statement.Call) statement.Answer
}

func (x executor) Execute(_ context.Context, _ roster.Member, server string, c statement.Call) statement.Answer {
	time.Sleep(x.delay)
	return x.answer(server, c)
}

// newDispatcher returns a dispatcher of an instance in place "a", with the leader s0 there and replicas in "b" and "c".
func newDispatcher(scheduling bool, x executor) (*dispatch.Dispatcher, *events) {
	e := newEvents()
	table := view.NewTable(view.Presence{Name: "i1", Address: "i1", Place: "a"}, nil, decoder{}, e)
	table.SetServers(time.Second, view.Rows{Version: 1, ReadAt: time.Second, Rows: []view.Row{
		{Key: "s0", Value: []byte("a " + string(driver.Primary))}, {Key: "s1", Value: []byte("b replica")}, {Key: "s2", Value: []byte("c replica")},
	}})
	start := time.Now()
	boot := func() time.Duration { return time.Second + time.Since(start) }
	return dispatch.New(table, x, dispatch.Options{Boot: boot, Observer: e, PriorityScheduling: scheduling}), e
}

var meals = catalog.Database{Name: "meals", Group: "meals", Consistency: catalog.ReadYourWrites, Timeout: time.Second, LatencyGoal: 500 * time.Millisecond}

func call(body statement.Statement, priority uint8) statement.Call {
	return statement.Call{Body: body, Priority: priority, Goal: meals.LatencyGoal}
}

var bodies = []statement.Statement{statement.Read{}, statement.Write{}}

// Guards against retries that multiply the load of servers which refuse: each call was sent up to five times.
// Load: 400 calls a second for 5 s, of which the servers refuse all, then 5 s in which they refuse half.
func TestRetryStorm(t *testing.T) {
	const calls = 2000
	run := func(seed uint64, scheduling bool, refused float64) (attempts, served int) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			var mu sync.Mutex
			x := executor{5 * time.Millisecond, func(string, statement.Call) statement.Answer {
				mu.Lock()
				defer mu.Unlock()
				if random.Float64() < refused {
					return statement.Answer{Delivery: statement.Answered, Code: statement.Busy}
				}
				return statement.Answer{Delivery: statement.Answered}
			}}
			d, e := newDispatcher(scheduling, x)
			var running sync.WaitGroup
			for n := range calls {
				running.Go(func() {
					if d.Single(t.Context(), meals, call(bodies[n%2], uint8(n%3))).OK() {
						mu.Lock()
						served++
						mu.Unlock()
					}
				})
				time.Sleep(2500 * time.Microsecond)
			}
			running.Wait()
			time.Sleep(time.Second) // lets hedged attempts end
			attempts = e.counts["attempts"]
		})
		return attempts, served
	}
	for seed := range uint64(3) {
		for _, refused := range []float64{1, 0.5} {
			before, _ := run(seed, false, refused)
			after, served := run(seed, true, refused)
			t.Logf("seed %d, %.0f%% refused: %d attempts for %d calls before, %d after, %d served", seed, 100*refused, before, calls, after, served)
			if limit := calls + served/5 + 5*6 + 5; after > limit {
				t.Errorf("seed %d: %d attempts for %d calls, want at most %d", seed, after, calls, limit)
			}
		}
	}
}

// Guards against a retry at a server that has just named a later time to retry, and against one that goes nowhere although
// another server may run the call.
func TestNoRepeatOfARefusal(t *testing.T) {
	busy := statement.Answer{Delivery: statement.Answered, Code: statement.Busy, Text: "overloaded; retry after 700 ms"}
	for _, c := range []struct {
		name   string
		body   statement.Statement
		served string // server that serves; the others refuse
		want   map[string]int
	}{
		{"write", statement.Write{}, "", map[string]int{"attempts": 1, "at s0": 1, "admitted": 1, "denied refused": 1}},
		{"read", statement.Read{}, "", map[string]int{"attempts": 3, "at s0": 1, "at s1": 1, "at s2": 1, "admitted": 1, "denied refused": 1}},
		{"read served elsewhere", statement.Read{}, "s2", map[string]int{}},
	} {
		synctest.Test(t, func(t *testing.T) {
			d, e := newDispatcher(true, executor{time.Millisecond, func(server string, _ statement.Call) statement.Answer {
				if server == c.served {
					return statement.Answer{Delivery: statement.Answered}
				}
				return busy
			}})
			a := d.Single(t.Context(), meals, call(c.body, 0))
			if a.OK() != (c.served != "") {
				t.Errorf("%s: answer %+v", c.name, a)
			}
			time.Sleep(2 * time.Second)
			if diff := cmp.Diff(c.want, e.counts); diff != "" && c.served == "" {
				t.Errorf("%s (-want +got):\n%s", c.name, diff)
			}
		})
	}
}

// Guards against a transaction that only reads and is refused because the leader is full, while a replica has room.
func TestReadOnlyTransactionLeavesFullLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, e := newDispatcher(true, executor{time.Millisecond, func(server string, _ statement.Call) statement.Answer {
			if server == "s0" {
				return statement.Refused(statement.Busy, "overloaded; retry after 700 ms")
			}
			return statement.Answer{Delivery: statement.Answered, Transaction: 7, State: statement.InTransaction}
		}})
		c := call(statement.Read{}, 0)
		c.ReadOnly = true
		if a, pin := d.Open(t.Context(), meals, c); pin == nil || pin.Server == "s0" || e.counts["at s0"] != 1 {
			t.Errorf("answer %+v, pin %+v, events %v", a, pin, e.counts)
		}
	})
}

// Guards against callers that get a refusal which is meant for the choice of the server, because the retry elsewhere is denied.
func TestDeniedRetryIsBusy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, e := newDispatcher(true, executor{time.Millisecond, func(string, statement.Call) statement.Answer {
			return statement.Answer{Delivery: statement.Answered, Code: statement.Behind, Text: "at 7"}
		}})
		for n := range 20 {
			a := d.Single(t.Context(), meals, call(statement.Read{}, 2))
			if a.Code != statement.Busy || a.Text != "behind: at 7" || a.Delivery != statement.Answered {
				t.Fatalf("call %d: %+v", n, a)
			}
		}
		if e.counts["denied budget"] == 0 {
			t.Error("no retry was denied")
		}
	})
}

// Guards against calls that are sent although every server reported a wait past their goal, against refusals that are not
// marked as not run, and against refusals of statements of an open transaction, of calls that have time, and without
// PriorityScheduling.
func TestAdmissionControl(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		full := &statement.Load{Wait: [3]time.Duration{0, 400 * time.Millisecond, time.Minute}, Running: 5, Queued: 900, Slots: 5}
		x := executor{time.Millisecond, func(string, statement.Call) statement.Answer {
			return statement.Answer{Delivery: statement.Answered, Load: full, Transaction: 7, State: statement.InTransaction}
		}}
		for _, scheduling := range []bool{false, true} {
			d, e := newDispatcher(scheduling, x)
			_, pin := d.Open(t.Context(), meals, call(statement.Write{}, 2))
			if pin == nil {
				t.Fatal("the first transaction was refused without a report")
			}
			refused := 0
			for n := range 300 {
				for _, p := range []uint8{0, 1} {
					if a := d.Single(t.Context(), meals, call(statement.Write{}, p)); !a.OK() {
						t.Fatalf("priority %d, whose wait is short: %+v", p, a)
					}
				}
				if a := d.Continue(t.Context(), meals, *pin, call(statement.Read{}, 2)); !a.OK() {
					t.Fatalf("statement of an open transaction: %+v", a)
				}
				if a := d.Single(t.Context(), meals, call(statement.Write{}, 2)); !a.OK() {
					refused++
					if a.Delivery != statement.NotSent || a.Code != statement.Busy || admission.RetryAfter(a.Text) < 100*time.Millisecond {
						t.Fatalf("call %d: %+v", n, a)
					}
				}
			}
			want := 0
			if scheduling {
				want = 290
			}
			if refused < want || !scheduling && refused > 0 || refused != e.counts["refused"] {
				t.Errorf("scheduling %t: %d of 300 refused, want at least %d; counted %v", scheduling, refused, want, e.counts)
			}
		}
	})
}

// Guards against calls that are refused because the retry budget is spent on instances that could not be reached, while
// another instance holds connections to the server.
func TestUnreachableHolderTakesNoBudget(t *testing.T) {
	const calls = 100
	e := newEvents()
	table := view.NewTable(view.Presence{Name: "i1", Address: "i1", Place: "b"}, nil, decoder{}, e)
	table.SetMembers(view.Rows{Version: 1, ReadAt: time.Second, Rows: []view.Row{{Key: "i2", Value: []byte("b")}, {Key: "i3", Value: []byte("b")}}})
	table.SetServers(time.Second, view.Rows{Version: 1, ReadAt: time.Second, Rows: []view.Row{{Key: "s0", Value: []byte("b " + string(driver.Primary))}}})
	attempts := 0
	x := executor{answer: func(string, statement.Call) statement.Answer {
		if attempts++; attempts%2 == 1 {
			return statement.Refused(statement.WrongServer, "the instance is not reached")
		}
		return statement.Answer{Delivery: statement.Answered}
	}}
	d := dispatch.New(table, x, dispatch.Options{Boot: func() time.Duration { return time.Second + time.Millisecond }, Observer: e, PriorityScheduling: true})
	for n := range calls {
		if a := d.Single(t.Context(), catalog.Database{Group: "meals", Timeout: time.Second}, call(statement.Write{}, 1)); !a.OK() {
			t.Fatalf("call %d: %+v", n, a)
		}
	}
}
