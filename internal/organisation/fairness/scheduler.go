package fairness

import (
	"context"
	"sync"
	"time"

	"tanagercross/internal/session/outcome"
)

// farDeadline stands for the deadline of a context that has none.
const farDeadline = time.Hour

type waiter[T any] struct {
	tag    T
	queued time.Time
	grant  Grant[*waiter[T]]
	answer chan error // buffered; nil means that the turn has come
}

// Scheduler is a queue that is safe for concurrent use and bounds the number of running items.
type Scheduler[T any] struct {
	mu    sync.Mutex
	queue *Queue[*waiter[T]]
	limit int
}

// NewScheduler returns a scheduler that runs at most limit items at a time.
func NewScheduler[T any](o Options, limit int) *Scheduler[T] {
	reject := func(w *waiter[T], r outcome.Reason) { w.answer <- failure("wait", r) }
	return &Scheduler[T]{queue: NewQueue(o, reject), limit: max(1, limit)}
}

// Ticket is the right to run one item until Release.
type Ticket struct {
	once    sync.Once
	started time.Time
	finish  func(cost time.Duration)
}

// Release ends the turn and charges the time since Acquire returned. Calls after the first have no effect.
func (t *Ticket) Release() {
	t.once.Do(func() { t.finish(time.Since(t.started)) })
}

// Acquire waits for a turn until the context ends. The tag is what Remove matches on.
func (s *Scheduler[T]) Acquire(ctx context.Context, organisation string, tag T) (*Ticket, error) {
	if ctx.Err() != nil {
		return nil, failure("acquire", outcome.DeadlineExceeded)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(farDeadline)
	}
	w := &waiter[T]{tag: tag, queued: time.Now(), answer: make(chan error, 1)}
	s.mu.Lock()
	err := s.queue.Push(organisation, w, deadline)
	s.dispatch()
	s.mu.Unlock()
	if err != nil {
		return nil, err
	}
	select {
	case err = <-w.answer:
	case <-ctx.Done():
		err = s.abandon(w)
	}
	if err != nil {
		return nil, err
	}
	return &Ticket{started: time.Now(), finish: func(cost time.Duration) { s.finish(w, cost) }}, nil
}

// abandon takes back a request whose context ended; a turn that came at the same moment is returned unused.
func (s *Scheduler[T]) abandon(w *waiter[T]) error {
	s.mu.Lock()
	s.queue.Remove(outcome.QueueTimeout, func(other *waiter[T]) bool { return other == w })
	s.mu.Unlock()
	if err := <-w.answer; err != nil {
		return err
	}
	s.finish(w, 0)
	return failure("acquire", outcome.QueueTimeout)
}

func (s *Scheduler[T]) finish(w *waiter[T], cost time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Finish(w.grant, cost)
	s.dispatch()
}

func (s *Scheduler[T]) dispatch() {
	for s.queue.Running() < s.limit {
		o := s.queue.options
		if s.queue.Running() >= max(1, s.limit-o.Ahead) && s.queue.longest() > o.Short {
			return
		}
		g, ok := s.queue.Next(time.Now())
		if !ok {
			return
		}
		g.Value.grant = g
		g.Value.answer <- nil
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
