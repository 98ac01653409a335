package fairness

import "time"

// Backlog describes the queued and the running items of a scheduler.
type Backlog struct {
	Queued  int
	Running int
	Oldest  time.Time // when the longest waiting item was queued; zero if none waits
}

// Backlog returns the current numbers of items. It visits all queued items.
func (s *Scheduler[T]) Backlog() Backlog {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := Backlog{Queued: s.queue.Len(), Running: s.queue.Running()}
	s.queue.forEachQueued(func(w *waiter[T]) {
		if b.Oldest.IsZero() || w.queuedAt.Before(b.Oldest) {
			b.Oldest = w.queuedAt
		}
	})
	return b
}

// forEachQueued calls visit for each queued item. The order of the organisations is undefined.
func (q *Queue[T]) forEachQueued(visit func(T)) {
	for _, f := range q.flows {
		for _, i := range f.items {
			visit(i.value)
		}
	}
}
