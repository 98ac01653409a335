package serverqueue

import "time"

// window limits how many items of new work run at once during a slow start of the server. The zero value limits nothing.
type window struct {
	size    int    // 0 for no limit
	started uint64 // number of the slow start
	running int    // items of this slow start that have not left
}

// free reports whether an item of new work may start.
func (w *window) free() bool { return w.size == 0 || w.running < w.size }

// limit returns how many of the given slots new work may use.
func (w *window) limit(slots int) int {
	if w.size == 0 {
		return slots
	}
	return min(slots, w.size)
}

// start counts a started item of a group, and records the slow start in which it is counted.
func (w *window) start(group int, limitedBy *uint64) {
	if w.size > 0 && group > 0 {
		w.running++
		*limitedBy = w.started
	}
}

// BeginWindow begins a slow start. Items that were started before do not count.
func (q *Queue[T]) BeginWindow(size int) {
	q.window = window{size: size, started: q.window.started + 1}
}

// SetWindow changes the limit of new work, 0 for none. Statements of open transactions are not limited, because they hold
// locks.
func (q *Queue[T]) SetWindow(size int) { q.window.size = size }

// Leave takes a started item off the count of the window, when its answer is there or nothing was run. Unlike Finish it does
// not end the item: a statement that has given its slot to the next one still runs at the server.
func (q *Queue[T]) Leave(i *Item[T]) {
	if i.limitedBy > 0 && i.limitedBy == q.window.started {
		q.window.running--
	}
	i.limitedBy = 0
}

// BeginWindow begins a slow start with a limit for new work.
func (s *Scheduler) BeginWindow(size int) { s.end(func(time.Duration) { s.queue.BeginWindow(size) }) }

// SetWindow changes the limit for new work, 0 for none.
func (s *Scheduler) SetWindow(size int) { s.end(func(time.Duration) { s.queue.SetWindow(size) }) }

// Leave takes the statement off the count of the window. It is called once the server has answered or nothing was run, and
// may be called again.
func (t *Ticket) Leave() {
	t.scheduler.end(func(time.Duration) { t.scheduler.queue.Leave(t.item) })
}
