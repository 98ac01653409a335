package clock_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"tanagercross/internal/instance/clock"
)

// Guards against a caller of a silent service that finds out only at a time-out that it is back.
func TestUnansweredCallIsRepeated(t *testing.T) {
	var calls atomic.Int64
	began := time.Now()
	n, err := clock.Repeat(t.Context(), 50*time.Millisecond, func(ctx context.Context) (int, error) {
		if calls.Add(1) < 4 {
			<-ctx.Done()
			return 0, ctx.Err()
		}
		return 7, nil
	})
	if took := time.Since(began); n != 7 || err != nil || took > time.Second {
		t.Errorf("got %d, %v after %v, want 7 at the fourth call", n, err, took)
	}
}

// Guards against calls without a pause to a service that refuses, and against a lost error.
func TestRefusedCallIsRepeatedAtItsPace(t *testing.T) {
	var calls atomic.Int64
	refused := errors.New("refused")
	ctx, cancel := context.WithTimeout(t.Context(), 220*time.Millisecond)
	defer cancel()
	_, err := clock.Repeat(ctx, 50*time.Millisecond, func(context.Context) (int, error) {
		calls.Add(1)
		return 0, refused
	})
	if n := calls.Load(); !errors.Is(err, refused) || n > 6 {
		t.Errorf("%v after %d calls, want refused after at most 5", err, n)
	}
}
