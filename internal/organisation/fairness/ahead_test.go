package fairness

import (
	"context"
	"testing"
	"time"
)

// Guards against a short item that is started behind a long one, waits for it at the server and is charged the wait.
func TestNothingStartsBehindALongItem(t *testing.T) {
	const short, long = time.Millisecond, 50 * time.Millisecond
	for _, c := range []struct {
		cost    time.Duration
		running bool
	}{{short, true}, {long, false}} {
		s := NewScheduler[string](Options{Ahead: 1, Cost: c.cost}, 2)
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
