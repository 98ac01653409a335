package serverqueue

import (
	"context"
	"sync"
	"time"

	"tanagercross/internal/database/statement"
)

// waiter is a call of Acquire that waits for its turn.
type waiter struct {
	result chan error // buffered; nil means that the item was started
}

// Scheduler is a Queue that starts items while slots are free. It is safe for concurrent use.
type Scheduler struct {
	now func() time.Duration

	mu      sync.Mutex
	queue   *Queue[*waiter]
	expiry  *time.Timer
	expires time.Duration // when the timer fires; 0 if it is not set
}

// NewScheduler returns a scheduler. The clock must count the time during which the machine is suspended, so that requests
// expire in it.
func NewScheduler(o Options, now func() time.Duration) *Scheduler {
	s := &Scheduler{now: now}
	s.queue = NewQueue(o, func(i *Item[*waiter], r Refusal) { i.Value.result <- newError("wait", r) })
	s.expiry = time.AfterFunc(time.Hour, s.expire)
	s.expiry.Stop()
	return s
}

// Ticket is the right to run one statement until Release or Withdraw.
type Ticket struct {
	// Waited is the time that the request waited.
	Waited time.Duration

	once      sync.Once
	scheduler *Scheduler
	item      *Item[*waiter]
	started   time.Duration
}

// Release ends the statement and charges the time since Acquire returned. After the first call of Release or Withdraw
// neither has an effect.
func (t *Ticket) Release() {
	t.once.Do(func() {
		t.scheduler.end(func(now time.Duration) { t.scheduler.queue.Finish(now, t.item, now-t.started) })
	})
}

// Withdraw gives the right back without a charge, because nothing was run.
func (t *Ticket) Withdraw() {
	t.once.Do(func() {
		t.scheduler.end(func(time.Duration) { t.scheduler.queue.Withdraw(t.item) })
	})
}

// Acquire waits until the request may run, until it is refused, or until the context ends. Errors are *Error.
func (s *Scheduler) Acquire(ctx context.Context, r Request) (*Ticket, error) {
	w := &waiter{result: make(chan error, 1)}
	s.mu.Lock()
	i, err := s.queue.Push(s.now(), r, w)
	s.dispatch()
	s.mu.Unlock()
	if err != nil {
		return nil, err
	}
	select {
	case err = <-w.result:
	case <-ctx.Done():
		err = s.abandon(i)
	}
	if err != nil {
		return nil, err
	}
	started := s.now()
	return &Ticket{Waited: i.Wait(started), scheduler: s, item: i, started: started}, nil
}

// abandon rejects an item whose context has ended, also if it was started at the same moment.
func (s *Scheduler) abandon(i *Item[*waiter]) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if i.waiting {
		s.queue.Cancel(now, i)
		s.setTimer(now)
	}
	if err := <-i.Value.result; err != nil {
		return err
	}
	s.queue.Withdraw(i)
	s.dispatch()
	return newError("acquire", s.queue.refusal(now, i, TimedOut, 0))
}

// end applies a change that may free slots, and starts the next items.
func (s *Scheduler) end(finish func(now time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	finish(s.now())
	s.dispatch()
}

// expire rejects items that can no longer end in time.
func (s *Scheduler) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expires = 0
	s.dispatch()
}

// dispatch starts waiting items while slots are free, and sets the timer for the next item to expire. The caller holds the
// lock.
func (s *Scheduler) dispatch() {
	now := s.now()
	s.queue.Expire(now)
	for s.queue.slotFree() {
		i, ok := s.queue.Next(now)
		if !ok {
			break
		}
		i.Value.result <- nil
	}
	s.setTimer(now)
}

// setTimer sets the timer to the time after which the next item expires, unless it fires earlier.
func (s *Scheduler) setTimer(now time.Duration) {
	next, ok := s.queue.NextExpiry()
	if !ok || s.expires > now && s.expires <= next+1 {
		return
	}
	s.expires = next + 1
	s.expiry.Reset(s.expires - now)
}

// Backlog returns the number of waiting and running items.
func (s *Scheduler) Backlog() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Len() + s.queue.Running()
}

// Load returns the load of the server.
func (s *Scheduler) Load() statement.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Load(s.now())
}

// RefuseNewWork rejects all waiting requests outside of open transactions.
func (s *Scheduler) RefuseNewWork() { s.end(s.queue.RefuseNewWork) }

// Stop rejects all waiting and all later requests. Running statements are not affected.
func (s *Scheduler) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Stop(s.now())
}
