package serverqueue

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const ms = time.Millisecond

// rejected collects the refusals of a queue.
type rejected []Refusal

func newQueue(o Options) (*Queue[string], *rejected) {
	all := &rejected{}
	return NewQueue(o, func(_ *Item[string], r Refusal) { *all = append(*all, r) }), all
}

func push(t *testing.T, q *Queue[string], now time.Duration, r Request) {
	t.Helper()
	if _, err := q.Push(now, r, r.ID); err != nil {
		t.Fatalf("%s: %v", r.ID, err)
	}
}

// serve starts and ends all waiting items one after the other and returns their order.
func serve(q *Queue[string], now, cost time.Duration) []string {
	var order []string
	for {
		i, ok := q.Next(now)
		if !ok {
			return order
		}
		order = append(order, i.Value)
		q.Finish(now, i, cost)
	}
}

// Guards against an order other than: open transactions, priority of the route, priority of the organisation, round robin.
func TestOrder(t *testing.T) {
	q, _ := newQueue(Options{InitialEstimate: 2 * ms})
	for _, r := range []Request{
		{ID: "low", Organisation: "a", Priority: 7},
		{ID: "middle", Organisation: "a", Priority: 1},
		{ID: "high/organisation 2", Organisation: "d", OrganisationPriority: 2},
		{ID: "high/a1", Organisation: "a"},
		{ID: "high/a2", Organisation: "a"},
		{ID: "high/a3", Organisation: "a"},
		{ID: "high/b", Organisation: "b"},
		{ID: "transaction/low", Organisation: "a", Priority: 2, InTransaction: true, Kind: Write},
		{ID: "transaction/high", Organisation: "a", InTransaction: true, Kind: Commit},
	} {
		push(t, q, 0, r)
	}
	want := []string{
		"transaction/high", "transaction/low", "high/b", "high/a1", "high/a2", "high/a3", "high/organisation 2", "middle", "low",
	}
	if diff := cmp.Diff(want, serve(q, 0, 2*ms)); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

// Guards against new work that goes before statements of transactions that hold connections. The load: 200 writes wait when
// a transaction continues.
func TestOpenTransactionsGoFirst(t *testing.T) {
	q, _ := newQueue(Options{})
	for n := range 200 {
		push(t, q, 0, Request{ID: "new", Organisation: fmt.Sprint(n % 10), Kind: Write})
	}
	push(t, q, 0, Request{ID: "next", Organisation: "a", Priority: 2, InTransaction: true})
	push(t, q, 0, Request{ID: "commit", Organisation: "b", Priority: 2, InTransaction: true, Kind: Commit})
	if order := serve(q, 0, ms); order[0] != "next" || order[1] != "commit" {
		t.Errorf("order %v, want the transactions first", order[:3])
	}
}

// Guards against an overload in which an organisation's oldest requests are served too late and all others as well.
func TestNewestFirstWhileManyWait(t *testing.T) {
	q, _ := newQueue(Options{MaxInOrder: 2})
	for n := range 4 {
		push(t, q, 0, Request{ID: fmt.Sprint(n), Organisation: "a"})
	}
	if diff := cmp.Diff([]string{"3", "2", "0", "1"}, serve(q, 0, ms)); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

// Guards against a debt that an organisation loses by leaving the queue for a moment. One organisation keeps its queue filled
// with statements of 10 ms, the other one sends its next statement of 30 ms when the last one has ended.
func TestDebtIsKept(t *testing.T) {
	q, _ := newQueue(Options{InitialEstimate: ms})
	costs := map[string]time.Duration{"steady": 10 * ms, "leaves": 30 * ms}
	served, waits := map[string]time.Duration{}, false
	for range 200 {
		push(t, q, 0, Request{ID: "steady", Organisation: "steady"})
		if !waits {
			push(t, q, 0, Request{ID: "leaves", Organisation: "leaves"})
		}
		i, _ := q.Next(0)
		waits = i.Value == "steady"
		served[i.Value] += costs[i.Value]
		q.Finish(0, i, costs[i.Value])
	}
	if served["leaves"] > served["steady"]+DefaultMaxCredit {
		t.Errorf("%v: leaving the queue gained service", served)
	}
}

// Guards against an organisation below its share that loses its turns to a busy one because of one slow statement.
func TestSlowStatementUsesCredit(t *testing.T) {
	q, _ := newQueue(Options{InitialEstimate: ms})
	for range 60 {
		push(t, q, 0, Request{ID: "busy", Organisation: "busy"})
	}
	serveNext := func(want string, cost time.Duration) {
		t.Helper()
		i, _ := q.Next(0)
		if i.Value != want {
			t.Errorf("served %s, want %s", i.Value, want)
		}
		q.Finish(0, i, cost)
	}
	for range 30 {
		serveNext("busy", 10*ms)
	}
	for range 2 {
		push(t, q, 0, Request{ID: "calm", Organisation: "calm"})
		serveNext("calm", 100*ms)
	}
}

// Guards against refusals that come long after the request: an item that waits for long keeps its place, and the new one that
// would make it late is refused. A fresh one gives way to the new one.
func TestOnlyFreshItemsGiveWay(t *testing.T) {
	for _, c := range []struct {
		at, goal time.Duration
		refused  string
	}{{0, 120 * ms, "1"}, {110 * ms, 230 * ms, "new"}} {
		q, all := newQueue(Options{Slots: 1, MaxInOrder: 2, InitialEstimate: 10 * ms})
		for n := range 4 {
			push(t, q, 0, Request{ID: fmt.Sprint(n), Organisation: "a", Priority: 2, Goal: c.goal})
			if n == 0 {
				q.Next(0)
			}
		}
		_, err := q.Push(c.at, Request{ID: "new", Organisation: "a", Priority: 2, Goal: c.at + c.goal}, "new")
		refused := RefusalOf(err).Request.ID
		if len(*all) > 0 {
			refused = (*all)[0].Request.ID
		}
		if refused != c.refused {
			t.Errorf("after %v: refused %q, want %q", c.at, refused, c.refused)
		}
	}
}

// Guards against a lower level that waits for longer than the bound: of any service time T that ends its wait it gets T/20
// less the cost of one item, for any mix of costs.
func TestReservedShareBound(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 2))
		var s strict
		var got, since [groups]time.Duration
		highest := time.Duration(0)
		for range 5000 {
			var cost [classes]time.Duration
			for l := range groups {
				cost[l] = time.Duration(1+random.IntN(40)) * ms
				highest = max(highest, cost[l])
			}
			l, reserved := s.pick(groups, &cost)
			s.start(l, cost[l], reserved)
			s.finish(l, cost[l], cost[l], reserved, func(l int) bool { return l < groups })
			got[l] += cost[l]
			for other := 1; other < groups; other++ {
				since[other] += cost[l]
				// One item for the level itself, and one for each of the others whose turn may come before.
				if bound := since[other]/reservedShare - groups*highest; got[other] < bound {
					t.Fatalf("seed %d: level %d has %v of %v, want %v", seed, other, got[other], since[other], bound)
				}
			}
		}
	}
}

// Guards against work that is queued although it cannot end in time, and a refusal without the inputs of the decision.
func TestRefusedWhenPushed(t *testing.T) {
	q, _ := newQueue(Options{Slots: 1, InitialEstimate: 10 * ms})
	for n := range 21 {
		push(t, q, 0, Request{Organisation: fmt.Sprint(n), Deadline: time.Second})
	}
	q.Next(0)
	late := Request{Organisation: "a", Goal: 150 * ms, Deadline: time.Second}
	_, err := q.Push(0, late, "")
	r := RefusalOf(err)
	if err == nil || r.Outcome != CannotEnd || r.Expected < 200*ms || r.Expected > 220*ms || r.Queued != 20 || r.Request != late {
		t.Errorf("%v, %+v, want a refusal because it cannot end in time", err, r)
	}
}

// Guards against statements that wait although their latest start has passed.
func TestRefusedWhenLatestStartPasses(t *testing.T) {
	q, all := newQueue(Options{Slots: 1, InitialEstimate: 10 * ms})
	push(t, q, 0, Request{Organisation: "a"})
	q.Next(0)
	push(t, q, 0, Request{Organisation: "b", Goal: 50 * ms, Deadline: time.Second})
	if at, ok := q.NextExpiry(); !ok || at != 40*ms {
		t.Errorf("expires at %v %t, want 40 ms", at, ok)
	}
	if q.Expire(40 * ms); len(*all) != 0 {
		t.Errorf("refused at its latest start")
	}
	if q.Expire(40*ms + 1); len(*all) != 1 || (*all)[0].Outcome != CannotEnd {
		t.Errorf("%+v, want a refusal after the latest start", *all)
	}
}

// Guards against a wrong estimate that refuses all statements of its kind, so that nothing corrects it.
func TestWrongEstimateIsCorrected(t *testing.T) {
	q, _ := newQueue(Options{Slots: 1})
	push(t, q, 0, Request{Organisation: "a", Kind: Write})
	i, _ := q.Next(0)
	q.Finish(0, i, 300*ms)
	served := 0
	for n := range 200 {
		now := time.Duration(n) * 5 * ms
		push(t, q, now, Request{Organisation: "a", Kind: Read, Priority: 0})
		if _, err := q.Push(now, Request{Organisation: "b", Kind: Write, Goal: now + 100*ms}, ""); err == nil {
			served++
		}
		serve(q, now, ms)
	}
	if served < 150 {
		t.Errorf("%d of 200 served after one slow statement", served)
	}
}

// Guards against a full queue that sheds an urgent request, one of an organisation below its share, or one of an open
// transaction.
func TestFullQueueShedsLeastUrgent(t *testing.T) {
	q, all := newQueue(Options{MaxQueued: 6, MaxInOrder: 2})
	push(t, q, 0, Request{ID: "transaction", Organisation: "hot", Priority: 2, InTransaction: true})
	push(t, q, 0, Request{ID: "hot/low", Organisation: "hot", Priority: 2})
	push(t, q, 0, Request{ID: "hot/middle/1", Organisation: "hot", Priority: 1})
	push(t, q, 0, Request{ID: "hot/middle/2", Organisation: "hot", Priority: 1})
	push(t, q, 0, Request{ID: "other/low", Organisation: "other", Priority: 2})
	push(t, q, 0, Request{ID: "other/high", Organisation: "other"})
	push(t, q, 0, Request{ID: "1", Organisation: "c", Priority: 1})
	push(t, q, 0, Request{ID: "2", Organisation: "d", Priority: 1})
	push(t, q, 0, Request{ID: "3", Organisation: "e", Priority: 1})
	push(t, q, 0, Request{ID: "4", Organisation: "f", Priority: 2})
	_, err := q.Push(0, Request{ID: "5", Organisation: "other", Priority: 2}, "")
	push(t, q, 0, Request{ID: "6", Organisation: "g", Priority: 2, InTransaction: true})
	var shed []string
	for _, r := range *all {
		shed = append(shed, r.Request.ID+" for "+r.For.ID)
	}
	if diff := cmp.Diff([]string{"hot/low for 1", "hot/middle/2 for 2", "hot/middle/1 for 3", "other/low for 4", "4 for 6"}, shed); diff != "" {
		t.Errorf("displaced (-want +got):\n%s", diff)
	}
	if RefusalOf(err).Outcome != Full {
		t.Errorf("%v, want the new one refused because all others are at least as urgent", err)
	}
}

// Guards against work for callers that have long gone, and a freeze that is charged as service time. The load: a holder is
// frozen for 5 s with 40 waiting and two running statements.
func TestExpiredGoFirstAfterFreeze(t *testing.T) {
	q, all := newQueue(Options{Slots: 2})
	for range 42 {
		push(t, q, 0, Request{Organisation: "a", Goal: 500 * ms, Deadline: time.Second})
	}
	first, _ := q.Next(0)
	_, _ = q.Next(0)
	now := 5 * time.Second
	q.Finish(now, first, now)
	push(t, q, now, Request{ID: "fresh", Organisation: "b", Goal: now + 500*ms})
	if len(*all) != 40 {
		t.Errorf("%d refused when the next statement came, want 40", len(*all))
	}
	for _, r := range *all {
		if r.Outcome != TimedOut {
			t.Errorf("%s, want timed_out", r.Outcome)
		}
	}
	if i, ok := q.Next(now); !ok || i.Value != "fresh" {
		t.Errorf("started %v %t, want the fresh one", i, ok)
	}
	if wait := q.Load(now).Wait[0]; wait > DefaultMaxCost {
		t.Errorf("expected wait %v after a freeze", wait)
	}
}

// Guards against a load that hides the work of higher priorities, or counts the queue of a hot organisation as a wait for
// everyone.
func TestLoad(t *testing.T) {
	q, _ := newQueue(Options{Slots: 2, InitialEstimate: 10 * ms})
	if diff := cmp.Diff([3]time.Duration{}, q.Load(0).Wait); diff != "" {
		t.Errorf("wait at an idle server (-want +got):\n%s", diff)
	}
	for range 102 {
		push(t, q, 0, Request{Organisation: "hot", Priority: 1})
	}
	for range 2 {
		q.Next(0)
	}
	load := q.Load(0)
	if load.Queued != 100 || load.Running != 2 || load.Slots != 2 {
		t.Errorf("%+v, want 100 waiting, 2 running, 2 slots", load)
	}
	if load.Wait[0] > 10*ms || load.Wait[1] > 20*ms || load.Wait[2] < 95*ms || load.Wait[2] > 110*ms {
		t.Errorf("expected waits %v, want one statement, a round, and 20 statements of the reserved share", load.Wait)
	}
}

// A decision takes at most 5 us and allocates the same at any length of the queue, also when each push displaces an item.
func BenchmarkDecision(b *testing.B) {
	for _, c := range []struct {
		waiting int
		full    bool
	}{{100, false}, {10000, false}, {10000, true}} {
		b.Run(fmt.Sprint(c.waiting, map[bool]string{true: "/full"}[c.full]), func(b *testing.B) {
			q, _ := newQueue(Options{Slots: 4, MaxQueued: c.waiting + 1})
			var requests []Request
			for n := range 997 {
				requests = append(requests, Request{
					Organisation: fmt.Sprint(n % 78), Priority: uint8(n % 3), OrganisationPriority: uint8(n % 2), Kind: Kind(n % 3), Deadline: time.Hour,
				})
			}
			for n := range c.waiting {
				_, _ = q.Push(0, requests[n%997], "")
			}
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				n++
				now := time.Duration(n) * time.Microsecond
				_, _ = q.Push(now, requests[n%997], "")
				if c.full {
					continue
				}
				if i, ok := q.Next(now); ok {
					q.Finish(now, i, ms)
				}
				_ = q.Load(now)
			}
			b.ReportMetric(float64(q.Len()), "waiting")
		})
	}
}
