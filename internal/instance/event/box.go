// Package event passes typed events between loops.
//
// # Usage
//
//	var box event.Box[Event]
//	go func() { box.Put(Probed{Server: "meals-1-a"}) }()
//	for _, e := range box.Take(ctx) {
//		switch e := e.(type) {
//		case Probed:
//			...
//		}
//	}
//
// Put never blocks; Take waits until there is at least one event and returns all of them in order.
package event

import (
	"context"
	"sync"
)

// Box holds events until the receiving loop takes them. The zero value is ready for use.
type Box[E any] struct {
	mu     sync.Mutex
	events []E
	signal chan struct{}
}

func (b *Box[E]) channel() chan struct{} {
	if b.signal == nil {
		b.signal = make(chan struct{}, 1)
	}
	return b.signal
}

// Put adds an event.
func (b *Box[E]) Put(e E) {
	b.mu.Lock()
	b.events = append(b.events, e)
	c := b.channel()
	b.mu.Unlock()
	select {
	case c <- struct{}{}:
	default:
	}
}

// Take waits for events and returns all of them, or nil once the context ends.
func (b *Box[E]) Take(ctx context.Context) []E {
	b.mu.Lock()
	c := b.channel()
	b.mu.Unlock()
	for {
		if events := b.Drain(); len(events) > 0 {
			return events
		}
		select {
		case <-ctx.Done():
			return nil
		case <-c:
		}
	}
}

// Drain returns the events that are there, without waiting.
func (b *Box[E]) Drain() []E {
	b.mu.Lock()
	defer b.mu.Unlock()
	events := b.events
	b.events = nil
	return events
}
