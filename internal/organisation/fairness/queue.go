// Package fairness shares a bounded amount of work between organisations by deficit round robin.
//
// The cost of work is its measured service time, which is known only afterwards. An item is therefore charged an
// estimate when it starts, and the difference when it ends. An organisation that leaves the queue keeps its debt as
// long as others wait, so that leaving and coming back gains nothing.
//
// The items of one organisation are served in order, or with Options.InOrder the newest first while too many wait.
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
// Queue is the scheduling alone, with time as a parameter; Scheduler adds locking, waiting and a bound of running items.
package fairness

import (
	"slices"
	"time"

	"tanagercross/internal/session/outcome"
)

// Defaults of Options.
const (
	DefaultBound   = 64
	DefaultQuantum = 2 * time.Millisecond
	DefaultCost    = time.Millisecond
	DefaultShort   = 5 * time.Millisecond
)

const estimateShare = 4 // a measured cost counts for a quarter of the next estimate

// Options sets the bounds of a queue. Zero fields take the defaults.
type Options struct {
	Bound   int           // queued items of an organisation for which Share sets none
	Quantum time.Duration // service time per round and unit of weight
	Cost    time.Duration // estimate for an organisation without measurements
	// Ahead is how many of a scheduler's running items start only while the estimates of all running ones are at most
	// Short. An item behind a long one would wait for it at the server and be charged the wait as service time.
	Ahead int
	Short time.Duration
	// InOrder is how many queued items of an organisation are served in order. While there are more, the newest goes first
	// and a full queue gives up its oldest item: in an overload the oldest ones are too late for their callers anyway, and
	// serving them makes all others late too. 0 serves in order always.
	InOrder int
	// Share returns what is set for an organisation; nil sets nothing. It is asked for each item and must be fast.
	Share func(organisation string) Share
}

// Share is an organisation's part of a queue. Zero fields take the defaults: weight 1 and Options.Bound.
type Share struct {
	Weight int
	Bound  int // queued items
}

// WithDefaults returns a copy with zero fields set.
func (o Options) WithDefaults() Options {
	if o.Bound <= 0 {
		o.Bound = DefaultBound
	}
	if o.Quantum <= 0 {
		o.Quantum = DefaultQuantum
	}
	if o.Cost <= 0 {
		o.Cost = DefaultCost
	}
	if o.Short <= 0 {
		o.Short = DefaultShort
	}
	return o
}

// Grant is an item whose turn has come. It must be given to Finish exactly once.
type Grant[T any] struct {
	Organisation string
	Value        T
	estimate     time.Duration
}

type item[T any] struct {
	value    T
	deadline time.Time
}

type flow[T any] struct {
	name     string
	weight   int
	credit   time.Duration
	estimate time.Duration
	running  int
	items    []item[T]
}

func (f *flow[T]) spent() bool { return len(f.items) == 0 && f.running == 0 && f.credit >= 0 }

// Queue is a deficit round robin queue. It is not safe for concurrent use.
type Queue[T any] struct {
	options Options
	reject  func(T, outcome.Reason)
	flows   map[string]*flow[T]
	ring    []*flow[T]
	queued  int
	running int
	stopped outcome.Reason

	earliest time.Time // no queued item has an earlier deadline
}

// NewQueue returns a queue that reports items which leave it without a turn to reject.
func NewQueue[T any](o Options, reject func(T, outcome.Reason)) *Queue[T] {
	return &Queue[T]{
		options: o.WithDefaults(), reject: reject,
		flows: make(map[string]*flow[T]),
	}
}

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return q.queued }

// Running returns the number of grants that are not finished.
func (q *Queue[T]) Running() int { return q.running }

// longest returns the highest estimate of the organisations that have running items.
func (q *Queue[T]) longest() time.Duration {
	var longest time.Duration
	for _, f := range q.ring {
		if f.running > 0 {
			longest = max(longest, f.estimate)
		}
	}
	return longest
}

func (q *Queue[T]) share(organisation string) Share {
	var s Share
	if q.options.Share != nil {
		s = q.options.Share(organisation)
	}
	s.Weight = max(1, s.Weight)
	if s.Bound <= 0 {
		s.Bound = q.options.Bound
	}
	return s
}

// Push queues an item until its deadline. It fails with kind queue_full or with the reason of Stop.
func (q *Queue[T]) Push(organisation string, value T, deadline time.Time) error {
	if q.stopped != "" {
		return failure("push", q.stopped)
	}
	share := q.share(organisation)
	f := q.flows[organisation]
	if f == nil {
		f = &flow[T]{name: organisation, estimate: q.options.Cost}
		q.flows[organisation] = f
		q.ring = append(q.ring, f)
	}
	f.weight = share.Weight
	if len(f.items) >= share.Bound {
		if !q.newestFirst(f) {
			return failure("push", outcome.QueueFull)
		}
		q.reject(f.items[0].value, outcome.QueueFull)
		f.items = f.items[1:]
		q.queued--
	}
	f.items = append(f.items, item[T]{value: value, deadline: deadline})
	if q.queued == 0 || deadline.Before(q.earliest) {
		q.earliest = deadline
	}
	q.queued++
	return nil
}

// Next takes the item whose turn it is. Items past their deadline are rejected with queue_timeout.
func (q *Queue[T]) Next(now time.Time) (Grant[T], bool) {
	q.Expire(now)
	if q.queued == 0 {
		return Grant[T]{}, false
	}
	for {
		for range len(q.ring) {
			if f := q.ring[0]; len(f.items) > 0 && f.credit > 0 {
				return q.take(f), true
			}
			q.ring = append(q.ring[1:], q.ring[0])
		}
		q.replenish()
	}
}

// newestFirst reports whether an organisation has too many items to serve them in order.
func (q *Queue[T]) newestFirst(f *flow[T]) bool {
	return q.options.InOrder > 0 && len(f.items) > q.options.InOrder
}

func (q *Queue[T]) take(f *flow[T]) Grant[T] {
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

// replenish adds as many rounds at once as the first organisation needs to get its turn.
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
		if f.spent() {
			delete(q.flows, f.name)
			continue
		}
		kept = append(kept, f)
	}
	q.ring = kept
}

func (q *Queue[T]) quantum(f *flow[T]) time.Duration {
	return q.options.Quantum * time.Duration(f.weight)
}

// Finish charges a grant's measured service time.
func (q *Queue[T]) Finish(g Grant[T], cost time.Duration) {
	q.running--
	f := q.flows[g.Organisation]
	f.running--
	f.credit += g.estimate - cost
	f.estimate = max(time.Microsecond, f.estimate+(cost-f.estimate)/estimateShare)
	if len(f.items) == 0 && f.running == 0 {
		f.credit = min(f.credit, 0)
	}
	if q.queued == 0 && q.running == 0 {
		q.forget()
	}
}

// forget drops all debts; nobody is waiting who could have been served instead.
func (q *Queue[T]) forget() {
	clear(q.flows)
	q.ring = nil
}

// Expire rejects items past their deadline.
func (q *Queue[T]) Expire(now time.Time) {
	if q.queued == 0 || now.Before(q.earliest) {
		return
	}
	for _, f := range q.ring {
		q.filter(f, outcome.QueueTimeout, func(i item[T]) bool { return !now.Before(i.deadline) })
	}
	q.earliest = time.Time{}
	for _, f := range q.ring {
		for _, i := range f.items {
			if q.earliest.IsZero() || i.deadline.Before(q.earliest) {
				q.earliest = i.deadline
			}
		}
	}
}

// Remove rejects the queued items that match.
func (q *Queue[T]) Remove(reason outcome.Reason, match func(T) bool) {
	for _, f := range q.ring {
		q.filter(f, reason, func(i item[T]) bool { return match(i.value) })
	}
}

// Stop rejects all queued and all later items with a reason. Running items are not affected.
func (q *Queue[T]) Stop(reason outcome.Reason) {
	if q.stopped == "" {
		q.stopped = reason
	}
	q.Remove(reason, func(T) bool { return true })
}

func (q *Queue[T]) filter(f *flow[T], reason outcome.Reason, match func(item[T]) bool) {
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
