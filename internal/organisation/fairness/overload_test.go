package fairness

import (
	"testing"
	"time"

	"tanagercross/internal/session/outcome"
)

// Guards against an overload in which every item is served too late. One organisation offers three times what can be
// served, and an item must be served within a third of the time that it takes to serve a full queue.
func TestOverloadServesNewestInTime(t *testing.T) {
	const cost, usefulFor, timeout, total = 5 * time.Millisecond, 40 * time.Millisecond, time.Second, 2 * time.Second
	start := time.Unix(0, 0)
	run := func(o Options) (inTime, served int) {
		q := NewQueue(o, func(time.Time, outcome.Reason) {})
		for now := start; now.Before(start.Add(total)); now = now.Add(cost) {
			for n := range 3 {
				queued := now.Add(time.Duration(n) * cost / 3)
				_ = q.Push("coop", queued, queued.Add(timeout))
			}
			g, ok := q.Next(now.Add(cost))
			if !ok {
				continue
			}
			served++
			if now.Sub(g.Value) <= usefulFor {
				inTime++
			}
			q.Finish(g, cost)
		}
		return inTime, served
	}
	inOrder, served := run(Options{MaxQueued: 24})
	newestFirst, newestServed := run(Options{MaxQueued: 24, MaxInOrder: 6})
	if newestFirst < newestServed*9/10 || newestServed < served {
		t.Errorf("%d of %d in time with the newest first, %d of %d in order", newestFirst, newestServed, inOrder, served)
	}
}

// Guards against a full queue that rejects the newest item, which can still be served in time, instead of the oldest.
func TestFullQueueRejectsOldest(t *testing.T) {
	var rejected []int
	q := NewQueue(Options{MaxQueued: 3, MaxInOrder: 1}, func(n int, r outcome.Reason) {
		if r != outcome.QueueFull {
			t.Errorf("rejected with %s", r)
		}
		rejected = append(rejected, n)
	})
	deadline := time.Unix(10, 0)
	for n := range 4 {
		if err := q.Push("coop", n, deadline); err != nil {
			t.Fatal(err)
		}
	}
	if len(rejected) != 1 || rejected[0] != 0 || q.Len() != 3 {
		t.Errorf("rejected %v, %d queued, want the oldest of four rejected", rejected, q.Len())
	}
	var order []int
	for {
		g, ok := q.Next(time.Unix(0, 0))
		if !ok {
			break
		}
		order = append(order, g.Value)
		q.Finish(g, time.Millisecond)
	}
	if len(order) != 3 || order[0] != 3 || order[1] != 2 || order[2] != 1 {
		t.Errorf("served %v, want 3, 2, 1", order)
	}
}
