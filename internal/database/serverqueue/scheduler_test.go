package serverqueue

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tanagercross/internal/instance/clock"
)

// Guards against a caller that is told late that its time is over, and one that waits behind a free slot.
func TestSchedulerRefusesInTimeAndServesTheNext(t *testing.T) {
	// The test sets the clock, because a timer of a busy machine may fire after the goal.
	const goal = 40 * ms
	var now atomic.Int64
	s := NewScheduler(Options{Slots: 1}, func() time.Duration { return time.Duration(now.Load()) })
	ticket, err := s.Acquire(t.Context(), Request{Organisation: "a"})
	if err != nil {
		t.Fatal(err)
	}
	timer := make(chan time.Duration, 1)
	go func() {
		for s.Backlog() < 2 {
			time.Sleep(ms)
		}
		s.mu.Lock()
		timer <- s.expires
		s.mu.Unlock()
		now.Store(int64(goal - ms/2))
	}()
	started := clock.Boot()
	_, err = s.Acquire(t.Context(), Request{Organisation: "b", Goal: goal})
	if r := RefusalOf(err); err == nil || r.Outcome != CannotEnd || clock.Boot()-started > 140*ms {
		t.Errorf("%v after %v, want a refusal before the goal", err, clock.Boot()-started)
	}
	if fires := <-timer; fires <= 0 || fires >= goal {
		t.Errorf("the timer is set to %v, want a time before the goal at %v", fires, goal)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*ms)
	defer cancel()
	if _, err = s.Acquire(ctx, Request{Organisation: "b"}); err == nil || RefusalOf(err).Outcome != TimedOut {
		t.Errorf("%v, want timed_out because the caller left", err)
	}
	served := make(chan error)
	go func() {
		next, err := s.Acquire(t.Context(), Request{Organisation: "b"})
		if err == nil {
			next.Release()
		}
		served <- err
	}()
	for s.Backlog() < 2 {
		time.Sleep(ms)
	}
	ticket.Release()
	ticket.Release()
	if err = <-served; err != nil {
		t.Error(err)
	}
	if n := s.Backlog(); n != 0 {
		t.Errorf("%d items left", n)
	}
}

// Guards against a prefetched statement that an urgent one cannot overtake, because it waits at the server behind a long one.
func TestNothingStartsBehindLongItem(t *testing.T) {
	for _, c := range []struct {
		cost    time.Duration
		running int
	}{{ms, 2}, {50 * ms, 1}} {
		q, _ := newQueue(Options{Slots: 2, PrefetchSlots: 1})
		push(t, q, 0, Request{Organisation: "a"})
		i, _ := q.Next(0)
		q.Finish(0, i, c.cost)
		for range 2 {
			push(t, q, 0, Request{Organisation: "a"})
			if q.slotFree() {
				q.Next(0)
			}
		}
		if q.Running() != c.running {
			t.Errorf("%d run behind an item of %v, want %d", q.Running(), c.cost, c.running)
		}
	}
}

// Guards against lost wake-ups, slots and races between start, refusal, expiry and stop.
func TestSchedulerLosesNoCaller(t *testing.T) {
	s := NewScheduler(Options{Slots: 3, MaxQueued: 10}, clock.Boot)
	var callers sync.WaitGroup
	for n := range 40 {
		callers.Go(func() {
			for range 20 {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+n%7)*ms)
				r := Request{Organisation: string(rune('a' + n%5)), Priority: uint8(n % 3), InTransaction: n%11 == 0}
				if n%2 == 0 {
					r.Goal = clock.Boot() + time.Duration(1+n%5)*ms
				}
				if ticket, err := s.Acquire(ctx, r); err == nil {
					time.Sleep(200 * time.Microsecond)
					ticket.Release()
				}
				cancel()
			}
		})
	}
	callers.Wait()
	if n := s.Backlog(); n != 0 {
		t.Errorf("%d items left", n)
	}
	s.Stop()
	if _, err := s.Acquire(t.Context(), Request{}); err == nil || RefusalOf(err).Outcome != Stopped {
		t.Errorf("%v, want stopped", err)
	}
}
