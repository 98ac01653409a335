// Package clock is the timer service: parts subscribe to ticks and read the time through one interface, so that tests
// can drive them by hand.
//
// # Usage
//
//	c := clock.NewReal()
//	defer c.Stop()
//	ticks, cancel := c.Subscribe(200 * time.Millisecond)
//	defer cancel()
//	for now := range ticks {
//		system.Tick(now)
//	}
//
// A subscriber that is slow misses ticks; it never gets two at once.
package clock

import (
	"sync"
	"time"
)

// Clock gives the time and periodic ticks. Times carry a monotonic reading.
type Clock interface {
	Now() time.Time
	// Subscribe returns a channel of ticks, about one each period, and a function that ends the subscription and closes
	// the channel.
	Subscribe(period time.Duration) (<-chan time.Time, func())
}

// Real is the clock of the machine. The zero value is ready for use.
type Real struct {
	mu      sync.Mutex
	cancels []func()
}

// NewReal returns a real clock.
func NewReal() *Real { return &Real{} }

// Now implements Clock.
func (c *Real) Now() time.Time { return time.Now() }

// Subscribe implements Clock.
func (c *Real) Subscribe(period time.Duration) (<-chan time.Time, func()) {
	out := make(chan time.Time, 1)
	done := make(chan struct{})
	var once sync.Once
	cancel := func() { once.Do(func() { close(done) }) }
	go forward(period, out, done)
	c.mu.Lock()
	c.cancels = append(c.cancels, cancel)
	c.mu.Unlock()
	return out, cancel
}

// Stop ends all subscriptions.
func (c *Real) Stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cancel := range c.cancels {
		cancel()
	}
	c.cancels = nil
}

func forward(period time.Duration, out chan<- time.Time, done <-chan struct{}) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	defer close(out)
	for {
		select {
		case <-done:
			return
		case now := <-ticker.C:
			select {
			case out <- now:
			default:
			}
		}
	}
}
