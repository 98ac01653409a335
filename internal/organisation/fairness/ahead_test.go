package fairness

import (
	"context"
	"testing"
	"time"
)

// Guards against starting an item behind a long one: it would wait for that at the server and be charged the wait as
// service time.
func TestNothingStartsBehindLongItem(t *testing.T) {
	const short, long = time.Millisecond, 50 * time.Millisecond
	for _, c := range []struct {
		cost    time.Duration
		running bool
	}{{short, true}, {long, false}} {
		s := NewScheduler[string](Options{PrefetchSlots: 1, InitialEstimate: c.cost}, 2)
		first, err := s.Acquire(t.Context(), "a", "")
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		second, err := s.Acquire(ctx, "b", "")
		cancel()
		if (err == nil) != c.running {
			t.Errorf("behind an item of %s: %v, want running %t", c.cost, err, c.running)
		}
		if second != nil {
			second.Release()
		}
		first.Release()
	}
}
