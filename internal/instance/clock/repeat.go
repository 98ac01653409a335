package clock

import (
	"context"
	"time"
)

// Repeat makes a call, and makes it again at each pause without giving up those before, until one succeeds or the context
// ends. The last error counts.
func Repeat[T any](ctx context.Context, pause time.Duration, call func(context.Context) (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result)
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	last := result{err: context.DeadlineExceeded}
	for {
		go func() {
			v, err := call(ctx)
			select {
			case results <- result{v, err}:
			case <-ctx.Done():
			}
		}()
		for waiting := true; waiting; {
			select {
			case last = <-results:
				if last.err == nil {
					return last.value, nil
				}
			case <-ticker.C:
				waiting = false
			case <-ctx.Done():
				return last.value, last.err
			}
		}
	}
}
