// Package fairness shares a bounded amount of work between organisations by deficit round robin.
//
// The cost of work is its measured service time, which is known only afterwards. An item is therefore charged an
// estimate when it starts, and the difference when it ends. An organisation that leaves the queue keeps its debt as
// long as others wait, so that leaving and coming back gains nothing.
//
// The items of one organisation are served first in, first out; while more than Options.MaxInOrder are queued, the newest
// is served first.
//
// # Usage
//
//	s := fairness.NewScheduler[string](fairness.Options{}, 2)
//	ticket, err := s.Acquire(ctx, "sertao_coop", keyHash)
//	if err != nil {
//		return outcome.NotRun(fairness.ReasonOf(err))
//	}
//	defer ticket.Release()
//
// Queue is the scheduling alone and takes the time as a parameter. Scheduler adds locking, waiting and a limit of running
// items.
package fairness

import (
	"slices"
	"time"

	"tanagercross/internal/session/outcome"
)

// Defaults of the fields of Options.
const (
	DefaultMaxQueued       = 64
	DefaultQuantum         = 2 * time.Millisecond
	DefaultInitialEstimate = time.Millisecond
	DefaultShort           = 5 * time.Millisecond
)

const estimateDivisor = 4 // weight 1/4 of the latest measured cost in the moving average

// Options configures a queue. Zero fields take the defaults.
type Options struct {
	MaxQueued       int           // most queued items of an organisation for which Share sets no limit
	Quantum         time.Duration // service time added per round and unit of weight
	InitialEstimate time.Duration // estimated cost of an item of an organisation without measurements
	// PrefetchSlots is how many of a scheduler's slots are used only while the estimates of all running items are at most
	// Short. An item behind a long one would wait for it at the server and be charged the wait as service time.
	PrefetchSlots int
	Short         time.Duration
	// MaxInOrder is the number of queued items of an organisation up to which they are served first in, first out. While
	// more are queued, the newest is served first and a full queue rejects its oldest item: in an overload the oldest ones
	// are too late for their callers anyway, and serving them makes all others late too. With 0 the order is always first
	// in, first out.
	MaxInOrder int
	// Share returns the settings of an organisation. With nil all organisations have the defaults. It is called for each
	// queued item and must be fast.
	Share func(organisation string) Share
}

// Share holds the settings of one organisation. Zero fields take the defaults: weight 1 and Options.MaxQueued.
type Share struct {
	Weight    int
	MaxQueued int // queued items
}

// WithDefaults returns a copy in which zero and negative fields have their defaults.
func (o Options) WithDefaults() Options {
	if o.MaxQueued <= 0 {
		o.MaxQueued = DefaultMaxQueued
	}
	if o.Quantum <= 0 {
		o.Quantum = DefaultQuantum
	}
	if o.InitialEstimate <= 0 {
		o.InitialEstimate = DefaultInitialEstimate
	}
	if o.Short <= 0 {
		o.Short = DefaultShort
	}
	return o
}

// Grant is a started item. It must be passed to Finish exactly once.
type Grant[T any] struct {
	Organisation string
	Value        T
	estimate     time.Duration
}

// item is a queued value. It is rejected at its deadline.
type item[T any] struct {
	value    T
	deadline time.Time
}

// flow is the state of one organisation. Its items are served while credit, the deficit counter, is positive.
type flow[T any] struct {
	name     string
	weight   int
	credit   time.Duration
	estimate time.Duration
	running  int
	items    []item[T]
}

// removable reports whether the organisation has no items and no debt.
func (f *flow[T]) removable() bool { return len(f.items) == 0 && f.running == 0 && f.credit >= 0 }

// Queue is a deficit round robin queue. It is not safe for concurrent use.
type Queue[T any] struct {
	options Options
	reject  func(T, outcome.Reason)
	flows   map[string]*flow[T]
	ring    []*flow[T]
	queued  int
	running int
	stopped outcome.Reason

	earliestDeadline time.Time // no queued item has an earlier deadline
}

// NewQueue returns an empty queue. It calls reject for each queued item that leaves the queue without being started.
func NewQueue[T any](o Options, reject func(T, outcome.Reason)) *Queue[T] {
	return &Queue[T]{
		options: o.WithDefaults(), reject: reject,
		flows: make(map[string]*flow[T]),
	}
}

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return q.queued }

// Running returns the number of started items that are not finished.
func (q *Queue[T]) Running() int { return q.running }

// maxEstimate returns the highest estimate of the organisations that have running items.
func (q *Queue[T]) maxEstimate() time.Duration {
	var maxEstimate time.Duration
	for _, f := range q.ring {
		if f.running > 0 {
			maxEstimate = max(maxEstimate, f.estimate)
		}
	}
	return maxEstimate
}

// share returns the settings of an organisation with the defaults filled in.
func (q *Queue[T]) share(organisation string) Share {
	var s Share
	if q.options.Share != nil {
		s = q.options.Share(organisation)
	}
	s.Weight = max(1, s.Weight)
	if s.MaxQueued <= 0 {
		s.MaxQueued = q.options.MaxQueued
	}
	return s
}

// Push queues an item until its deadline. It fails with kind queue_full, or with the reason of Stop after Stop.
func (q *Queue[T]) Push(organisation string, value T, deadline time.Time) error {
	if q.stopped != "" {
		return newError("push", q.stopped)
	}
	share := q.share(organisation)
	f := q.flows[organisation]
	if f == nil {
		f = &flow[T]{name: organisation, estimate: q.options.InitialEstimate}
		q.flows[organisation] = f
		q.ring = append(q.ring, f)
	}
	f.weight = share.Weight
	if len(f.items) >= share.MaxQueued {
		if !q.newestFirst(f) {
			return newError("push", outcome.QueueFull)
		}
		q.reject(f.items[0].value, outcome.QueueFull)
		f.items = f.items[1:]
		q.queued--
	}
	f.items = append(f.items, item[T]{value: value, deadline: deadline})
	if q.queued == 0 || deadline.Before(q.earliestDeadline) {
		q.earliestDeadline = deadline
	}
	q.queued++
	return nil
}

// Next starts the item whose turn it is, and reports whether there is one. Items past their deadline are rejected with
// queue_timeout.
func (q *Queue[T]) Next(now time.Time) (Grant[T], bool) {
	q.Expire(now)
	if q.queued == 0 {
		return Grant[T]{}, false
	}
	for {
		for range len(q.ring) {
			if f := q.ring[0]; len(f.items) > 0 && f.credit > 0 {
				return q.startItem(f), true
			}
			q.ring = append(q.ring[1:], q.ring[0])
		}
		q.replenish()
	}
}

// newestFirst reports whether more than Options.MaxInOrder items of an organisation are queued.
func (q *Queue[T]) newestFirst(f *flow[T]) bool {
	return q.options.MaxInOrder > 0 && len(f.items) > q.options.MaxInOrder
}

// startItem dequeues an item of an organisation and charges its estimate.
func (q *Queue[T]) startItem(f *flow[T]) Grant[T] {
	next := 0
	if q.newestFirst(f) {
		next = len(f.items) - 1
	}
	g := Grant[T]{Organisation: f.name, Value: f.items[next].value, estimate: f.estimate}
	f.items = slices.Delete(f.items, next, next+1)
	f.credit -= f.estimate
	f.running++
	q.queued--
	q.running++
	return g
}

// replenish adds credit for as many rounds as it takes until some organisation with queued items has positive credit. It
// removes organisations that have neither items nor debts.
func (q *Queue[T]) replenish() {
	rounds := time.Duration(0)
	for _, f := range q.ring {
		if len(f.items) == 0 {
			continue
		}
		need := -f.credit/q.quantum(f) + 1
		if rounds == 0 || need < rounds {
			rounds = need
		}
	}
	kept := q.ring[:0]
	for _, f := range q.ring {
		f.credit += rounds * q.quantum(f)
		if len(f.items) == 0 {
			f.credit = min(f.credit, 0)
		}
		if f.removable() {
			delete(q.flows, f.name)
			continue
		}
		kept = append(kept, f)
	}
	q.ring = kept
}

// quantum returns the credit that an organisation gets per round.
func (q *Queue[T]) quantum(f *flow[T]) time.Duration {
	return q.options.Quantum * time.Duration(f.weight)
}

// Finish ends a started item: it replaces the estimate that was charged by the measured service time, and updates the
// estimate of the organisation.
func (q *Queue[T]) Finish(g Grant[T], cost time.Duration) {
	q.running--
	f := q.flows[g.Organisation]
	f.running--
	f.credit += g.estimate - cost
	f.estimate = max(time.Microsecond, f.estimate+(cost-f.estimate)/estimateDivisor)
	if len(f.items) == 0 && f.running == 0 {
		f.credit = min(f.credit, 0)
	}
	if q.queued == 0 && q.running == 0 {
		q.clearDebts()
	}
}

// clearDebts removes all organisations and their debts. It is called when the queue is empty and nothing runs, so that
// no organisation loses service by it.
func (q *Queue[T]) clearDebts() {
	clear(q.flows)
	q.ring = nil
}

// Expire rejects items past their deadline.
func (q *Queue[T]) Expire(now time.Time) {
	if q.queued == 0 || now.Before(q.earliestDeadline) {
		return
	}
	for _, f := range q.ring {
		q.rejectMatching(f, outcome.QueueTimeout, func(i item[T]) bool { return !now.Before(i.deadline) })
	}
	q.earliestDeadline = time.Time{}
	for _, f := range q.ring {
		for _, i := range f.items {
			if q.earliestDeadline.IsZero() || i.deadline.Before(q.earliestDeadline) {
				q.earliestDeadline = i.deadline
			}
		}
	}
}

// Remove rejects the queued items that match.
func (q *Queue[T]) Remove(reason outcome.Reason, match func(T) bool) {
	for _, f := range q.ring {
		q.rejectMatching(f, reason, func(i item[T]) bool { return match(i.value) })
	}
}

// Stop rejects all queued and all later items with a reason. Running items are not affected.
func (q *Queue[T]) Stop(reason outcome.Reason) {
	if q.stopped == "" {
		q.stopped = reason
	}
	q.Remove(reason, func(T) bool { return true })
}

// rejectMatching removes the matching items of an organisation and rejects them with a reason.
func (q *Queue[T]) rejectMatching(f *flow[T], reason outcome.Reason, match func(item[T]) bool) {
	first := -1
	for n, i := range f.items {
		if match(i) {
			first = n
			break
		}
	}
	if first < 0 {
		return
	}
	kept := append([]item[T](nil), f.items[:first]...)
	for _, i := range f.items[first:] {
		if !match(i) {
			kept = append(kept, i)
			continue
		}
		q.queued--
		q.reject(i.value, reason)
	}
	f.items = kept
}
