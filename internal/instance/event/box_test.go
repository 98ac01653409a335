package event

import (
	"context"
	"sync"
	"testing"
)

// Guards against events that are lost or reordered when a producer is faster than the loop.
func TestBoxKeepsOrderOfOneProducer(t *testing.T) {
	const total = 1000
	var box Box[int]
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		for i := range total {
			box.Put(i)
		}
	}()
	next := 0
	for next < total {
		for _, got := range box.Take(context.Background()) {
			if got != next {
				t.Fatalf("event %d, want %d", got, next)
			}
			next++
		}
	}
	wg.Wait()
}

// Guards against a loop that cannot be stopped while it waits.
func TestTakeEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var box Box[int]
	if got := box.Take(ctx); got != nil {
		t.Fatalf("Take = %v, want nil", got)
	}
}
