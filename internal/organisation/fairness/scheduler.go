package fairness

import (
	"context"
	"sync"
	"time"

	"tanagercross/internal/session/outcome"
)

// noDeadlineTimeout limits the wait in the queue when the context has no deadline.
const noDeadlineTimeout = time.Hour

// waiter is a call of Acquire that waits for its turn.
type waiter[T any] struct {
	tag      T
	queuedAt time.Time
	grant    Grant[*waiter[T]]
	result   chan error // buffered; nil means that the item was started and grant is set
}

// Scheduler is a Queue with a limit of running items. It is safe for concurrent use.
type Scheduler[T any] struct {
	mu         sync.Mutex
	queue      *Queue[*waiter[T]]
	maxRunning int
}

// NewScheduler returns a scheduler that runs at most maxRunning items at a time, and at least one.
func NewScheduler[T any](o Options, maxRunning int) *Scheduler[T] {
	reject := func(w *waiter[T], r outcome.Reason) { w.result <- newError("wait", r) }
	return &Scheduler[T]{queue: NewQueue(o, reject), maxRunning: max(1, maxRunning)}
}

// Ticket is the right to run one item until Release.
type Ticket struct {
	once      sync.Once
	startedAt time.Time
	finish    func(cost time.Duration)
}

// Release ends the item and charges its organisation the time since Acquire returned. Calls after the first have no effect.
func (t *Ticket) Release() {
	t.once.Do(func() { t.finish(time.Since(t.startedAt)) })
}

// Acquire waits until the item may run, or until the context ends. Remove selects items by their tag.
func (s *Scheduler[T]) Acquire(ctx context.Context, organisation string, tag T) (*Ticket, error) {
	if ctx.Err() != nil {
		return nil, newError("acquire", outcome.DeadlineExceeded)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(noDeadlineTimeout)
	}
	w := &waiter[T]{tag: tag, queuedAt: time.Now(), result: make(chan error, 1)}
	s.mu.Lock()
	err := s.queue.Push(organisation, w, deadline)
	s.dispatch()
	s.mu.Unlock()
	if err != nil {
		return nil, err
	}
	select {
	case err = <-w.result:
	case <-ctx.Done():
		err = s.abandon(w)
	}
	if err != nil {
		return nil, err
	}
	return &Ticket{startedAt: time.Now(), finish: func(cost time.Duration) { s.finish(w, cost) }}, nil
}

// abandon removes a waiter whose context has ended. If it was started at the same moment, it is finished with cost 0.
func (s *Scheduler[T]) abandon(w *waiter[T]) error {
	s.mu.Lock()
	s.queue.Remove(outcome.QueueTimeout, func(other *waiter[T]) bool { return other == w })
	s.mu.Unlock()
	if err := <-w.result; err != nil {
		return err
	}
	s.finish(w, 0)
	return newError("acquire", outcome.QueueTimeout)
}

// finish ends a started item and starts the next ones.
func (s *Scheduler[T]) finish(w *waiter[T], cost time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Finish(w.grant, cost)
	s.dispatch()
}

// dispatch starts queued items while slots are free. The caller holds the lock.
func (s *Scheduler[T]) dispatch() {
	for s.queue.Running() < s.maxRunning {
		o := s.queue.options
		if s.queue.Running() >= max(1, s.maxRunning-o.PrefetchSlots) && s.queue.maxEstimate() > o.Short {
			return
		}
		g, ok := s.queue.Next(time.Now())
		if !ok {
			return
		}
		g.Value.grant = g
		g.Value.result <- nil
	}
}

// Load returns the number of queued and running items.
func (s *Scheduler[T]) Load() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Len() + s.queue.Running()
}

// Remove rejects the queued items whose tag matches.
func (s *Scheduler[T]) Remove(reason outcome.Reason, match func(tag T) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Remove(reason, func(w *waiter[T]) bool { return match(w.tag) })
}

// Stop rejects all queued and all later items with a reason. Running items are not affected.
func (s *Scheduler[T]) Stop(reason outcome.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Stop(reason)
}
