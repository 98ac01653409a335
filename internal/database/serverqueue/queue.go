// Package serverqueue orders the statements that wait for one database server.
//
// Statements of open transactions and commits go first, because they hold connections and locks. New work follows by the
// priority of its route, then of its organisation, then by deficit round robin between organisations over measured service
// time. A lower priority that waits gets at least 5% of the service time: of any service time T during its wait it gets T/20
// less one item of each priority. An item whose expected cost is c and that is the next of its priority starts after a service
// time of at most 20 c and one item of each other priority.
//
// The items of one organisation and priority are served first in, first out; while more than Options.MaxInOrder wait, the
// newest is served first, as in package fairness. This does not apply to statements of open transactions.
//
// An item that is expected to end after its deadline or its latency goal is refused as soon as that is expected: when it is
// pushed, when newer ones overtake it, or when the time at which it had to start has passed. A full queue refuses the
// least urgent item of the organisation most over its share of the outstanding work in favour of a more urgent one.
//
// # Usage
//
//	s := serverqueue.NewScheduler(serverqueue.Options{Slots: 4}, clock.Boot)
//	ticket, err := s.Acquire(ctx, serverqueue.Request{Organisation: "sertao_coop", Kind: serverqueue.Write, Goal: goal})
//	if err != nil {
//		return refusal(serverqueue.RefusalOf(err))
//	}
//	defer ticket.Release()
//
// Queue is the decision alone and takes the time as a parameter. Scheduler adds locking and waiting.
package serverqueue

import (
	"math"
	"slices"
	"time"

	"tanagercross/internal/database/statement"
)

// groups are the statements of open transactions, then new work by the level of its route.
const groups = 1 + levels

// noLimit is the latest start of an item without a deadline.
const noLimit = time.Duration(math.MaxInt64)

// Queue decides which request is started next. It is not safe for concurrent use.
type Queue[T any] struct {
	options       Options
	reject        func(*Item[T], Refusal)
	organisations map[string]*organisation[T]
	classes       [classes]class[T]
	expiry        indexed[*Item[T]]         // all waiting items by their latest start
	byWork        indexed[*organisation[T]] // most outstanding work first
	outstanding   time.Duration             // of all organisations
	queued        [groups]int
	running       int
	runningWork   time.Duration // expected
	costs         costs
	usage         usage
	shares        strict         // of the groups
	classShares   [groups]strict // of the classes in a group
	stopped       bool
	window        window
}

// NewQueue returns an empty queue. It calls reject for each waiting item that leaves the queue without being started.
func NewQueue[T any](o Options, reject func(*Item[T], Refusal)) *Queue[T] {
	q := &Queue[T]{options: o.WithDefaults(), reject: reject, organisations: map[string]*organisation[T]{}}
	for c := range q.classes {
		q.classes[c] = newClass[T](q.options.Quantum, q.options.MaxCredit)
	}
	q.expiry = indexed[*Item[T]]{
		less:  func(a, b *Item[T]) bool { return a.latestStart < b.latestStart },
		index: func(i *Item[T]) *int { return &i.expiryIndex },
	}
	q.byWork = indexed[*organisation[T]]{
		less:  func(a, b *organisation[T]) bool { return a.outstanding > b.outstanding },
		index: func(o *organisation[T]) *int { return &o.index },
	}
	return q
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.expiry.Len() }

// Running returns the number of started items that are not finished.
func (q *Queue[T]) Running() int { return q.running }

// Push queues a request, or refuses it with an *Error.
func (q *Queue[T]) Push(now time.Duration, r Request, value T) (*Item[T], error) {
	q.Expire(now)
	i := &Item[T]{Request: r, Value: value, pushed: now, group: r.group(), estimate: q.costs.estimate(r, q.options.InitialEstimate)}
	i.latestStart = latestStart(now, r, i.estimate)
	if o, expected := q.admit(now, i); o != Served {
		return nil, newError("push", q.refusal(now, i, o, expected))
	}
	q.add(i)
	return i, nil
}

// latestStart returns the latest time at which a request may start. An expected cost counts for at most half of the time
// left: if a wrong one refused all statements of its kind, nothing would correct it.
func latestStart(now time.Duration, r Request, estimate time.Duration) time.Duration {
	limit, ok := r.limit()
	if !ok {
		return noLimit
	}
	return limit - min(estimate, max(0, limit-now)/2)
}

// add puts an item into its flow.
func (q *Queue[T]) add(i *Item[T]) {
	o := q.organisations[i.Organisation]
	if o == nil {
		o = &organisation[T]{name: i.Organisation}
		q.organisations[i.Organisation] = o
	}
	c := i.class()
	if o.flows[c] == nil {
		o.flows[c] = &flow[T]{organisation: o, class: c}
	}
	i.flow, i.waiting = o.flows[c], true
	q.classes[c].add(i)
	q.expiry.put(i)
	q.queued[i.group]++
	o.items++
	q.addWork(o, i.estimate)
}

// take removes a waiting item from all lists.
func (q *Queue[T]) take(i *Item[T]) {
	i.waiting = false
	q.classes[i.flow.class].remove(i)
	q.expiry.drop(i)
	q.queued[i.group]--
}

// addWork changes the outstanding work of an organisation.
func (q *Queue[T]) addWork(o *organisation[T], d time.Duration) {
	o.outstanding += d
	q.outstanding += d
	q.byWork.put(o)
}

// leave records that an item of an organisation has ended or was refused.
func (q *Queue[T]) leave(i *Item[T]) {
	o := i.flow.organisation
	o.items--
	q.addWork(o, -i.estimate)
	if o.items == 0 && !q.indebted(o) {
		q.byWork.drop(o)
		delete(q.organisations, o.name)
	}
	if q.Len() == 0 && q.running == 0 {
		q.forget()
	}
}

// indebted reports whether an organisation has used some of the credit with which a new one would start. Its flows are kept
// while others wait, so that leaving and coming back gains nothing.
func (q *Queue[T]) indebted(o *organisation[T]) bool {
	for c, f := range o.flows {
		if f != nil && f.spent > q.classes[c].served-q.options.MaxCredit {
			return true
		}
	}
	return false
}

// forget removes all organisations and debts. It is called when nothing waits and nothing runs.
func (q *Queue[T]) forget() {
	clear(q.organisations)
	clear(q.byWork.values)
	q.byWork.values = q.byWork.values[:0]
	q.shares, q.classShares = strict{}, [groups]strict{}
}

// refuse takes a waiting item out of the queue and rejects it.
func (q *Queue[T]) refuse(i *Item[T], r Refusal) {
	q.take(i)
	q.leave(i)
	q.reject(i, r)
}

// refusal returns the inputs of a refusal.
func (q *Queue[T]) refusal(now time.Duration, i *Item[T], o Outcome, expected time.Duration) Refusal {
	return Refusal{Outcome: o, Request: i.Request, At: now, Waited: i.Wait(now), Expected: expected, Queued: q.Len()}
}

// Next starts the item whose turn it is, and reports whether there is one. Items that can no longer end in time are
// rejected before.
func (q *Queue[T]) Next(now time.Duration) (*Item[T], bool) {
	q.Expire(now)
	var cost [classes]time.Duration
	for g := range groups {
		if g > 0 && !q.window.free() {
			break
		}
		if i, _, _ := q.head(g); i != nil {
			cost[g] = i.estimate
		}
	}
	g, reserved := q.shares.pick(groups, &cost)
	if g < 0 {
		return nil, false
	}
	i, c, classShare := q.head(g)
	i.reserved, i.classShare = reserved, classShare
	q.classes[c].advance()
	q.take(i)
	q.classes[c].charge(i.flow, i.estimate)
	q.shares.start(g, i.estimate, reserved)
	q.classShares[g].start(c, i.estimate, classShare)
	q.running++
	q.window.start(i.group, &i.limitedBy)
	q.runningWork += i.estimate
	q.costs.running[i.Kind][i.Level()]++
	return i, true
}

// head returns the item of a group that is served next, its class, and whether the reserved share of the class pays for it.
func (q *Queue[T]) head(g int) (i *Item[T], c int, reserved bool) {
	if q.queued[g] == 0 {
		return nil, 0, false
	}
	s := sectionOf(g)
	var cost [classes]time.Duration
	for c := range q.classes {
		if f, ok := q.classes[c].turns[s].first(); ok && inGroup(c, g) {
			cost[c] = f.next(s, q.options.MaxInOrder).estimate
		}
	}
	c, reserved = q.classShares[g].pick(classes, &cost)
	f, _ := q.classes[c].turns[s].first()
	return f.next(s, q.options.MaxInOrder), c, reserved
}

// sectionOf returns the section of a group's items.
func sectionOf(g int) section {
	if g == 0 {
		return inTransaction
	}
	return newWork
}

// inGroup reports whether items of a class can be in a group.
func inGroup(c, g int) bool { return g == 0 || c/levels == g-1 }

// Finish ends a started item with its measured cost, which replaces the expected one that was charged.
func (q *Queue[T]) Finish(now time.Duration, i *Item[T], cost time.Duration) {
	cost = min(max(cost, time.Microsecond), q.options.MaxCost)
	q.running--
	q.runningWork -= i.estimate
	q.costs.running[i.Kind][i.Level()]--
	q.costs.learn(i.Request, cost)
	q.usage.add(now, i.group, cost)
	q.classes[i.flow.class].charge(i.flow, cost-i.estimate)
	q.shares.finish(i.group, i.estimate, cost, i.reserved, func(g int) bool { return g < groups && q.queued[g] > 0 })
	s := sectionOf(i.group)
	q.classShares[i.group].finish(i.flow.class, i.estimate, cost, i.classShare, func(c int) bool {
		return inGroup(c, i.group) && q.classes[c].queued[s] > 0
	})
	q.leave(i)
}

// Withdraw ends a started item that was not run, and takes its charge back.
func (q *Queue[T]) Withdraw(i *Item[T]) {
	q.running--
	q.Leave(i)
	q.runningWork -= i.estimate
	q.costs.running[i.Kind][i.Level()]--
	q.classes[i.flow.class].charge(i.flow, -i.estimate)
	q.shares.refund(i.group, i.estimate, i.reserved)
	q.classShares[i.group].refund(i.flow.class, i.estimate, i.classShare)
	q.leave(i)
}

// Expire rejects items that can no longer end in time.
func (q *Queue[T]) Expire(now time.Duration) {
	for {
		i, ok := q.expiry.first()
		if !ok || i.latestStart >= now {
			return
		}
		o := CannotEnd
		if limit, _ := i.limit(); now >= limit {
			o = TimedOut
		}
		q.refuse(i, q.refusal(now, i, o, q.expectedWait(now, i.Request, i.flow.items[i.section()].length-1)))
	}
}

// NextExpiry returns the earliest time after which Expire rejects an item, and whether there is one.
func (q *Queue[T]) NextExpiry() (time.Duration, bool) {
	i, ok := q.expiry.first()
	if !ok || i.latestStart == noLimit {
		return 0, false
	}
	return i.latestStart, true
}

// Cancel rejects an item whose caller has left, and reports whether it still waited.
func (q *Queue[T]) Cancel(now time.Duration, i *Item[T]) bool {
	if !i.waiting {
		return false
	}
	q.refuse(i, q.refusal(now, i, TimedOut, 0))
	return true
}

// Stop rejects all waiting and all later requests. Running items are not affected.
func (q *Queue[T]) Stop(now time.Duration) {
	q.stopped = true
	for q.Len() > 0 {
		i, _ := q.expiry.first()
		q.refuse(i, q.refusal(now, i, Stopped, 0))
	}
}

// RefuseNewWork rejects all waiting requests outside of open transactions.
func (q *Queue[T]) RefuseNewWork(now time.Duration) {
	for _, i := range slices.Clone(q.expiry.values) {
		if i.section() == newWork {
			q.refuse(i, q.refusal(now, i, Stopped, 0))
		}
	}
}

// Load returns the load of the server. The expected wait of a priority is that of an organisation without waiting items, in
// the class of this priority in which most items wait.
func (q *Queue[T]) Load(now time.Duration) statement.Load {
	load := statement.Load{Running: q.running, Queued: q.Len(), Slots: q.window.limit(q.options.Slots - q.options.PrefetchSlots)}
	for l := range levels {
		r := Request{Priority: uint8(l), OrganisationPriority: q.longestClass(l)}
		load.Wait[l] = q.expectedWaitOf(now, r, 0, q.typicalCost(r))
	}
	return load
}

// typicalCost returns the mean cost of the new work that waits in the class of a request, or that was measured if none waits.
func (q *Queue[T]) typicalCost(r Request) time.Duration {
	if c := &q.classes[r.class()]; c.queued[newWork] > 0 {
		return c.work[newWork] / time.Duration(c.queued[newWork])
	}
	return q.costs.typical(r.Level(), q.options.InitialEstimate)
}

// longestClass returns the priority of organisations whose new work waits most at a level of the route.
func (q *Queue[T]) longestClass(l int) uint8 {
	longest := 0
	for o := range levels {
		if q.classes[l*levels+o].queued[newWork] > q.classes[l*levels+longest].queued[newWork] {
			longest = o
		}
	}
	return uint8(longest)
}

// slotFree reports whether an item may start.
func (q *Queue[T]) slotFree() bool { return q.running < q.usableSlots() }

// usableSlots returns how many items may run. The prefetch slots are used only behind short items.
func (q *Queue[T]) usableSlots() int {
	if q.costs.longestRunning(q.options.InitialEstimate) <= q.options.Short {
		return q.options.Slots
	}
	return max(1, q.options.Slots-q.options.PrefetchSlots)
}
