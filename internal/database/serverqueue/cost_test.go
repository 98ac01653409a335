package serverqueue

import (
	"testing"
	"time"
)

// Guards against one cost for all statements: a slow kind or priority would make the others look slow.
func TestCostIsLearntByKindAndPriority(t *testing.T) {
	var c costs
	for range 2 * settledSamples {
		c.learn(Request{Kind: Write}, 40*ms)
		c.learn(Request{Kind: Read}, 8*ms)
		c.learn(Request{Kind: Read, Priority: 2}, 24*ms)
	}
	for _, want := range []struct {
		r    Request
		cost time.Duration
	}{
		{Request{Kind: Write}, 40 * ms},
		{Request{Kind: Write, Priority: 9}, 40 * ms}, // known at another priority only
		{Request{Kind: Read}, 8 * ms},
		{Request{Kind: Read, Priority: 9}, 24 * ms},
		{Request{Kind: Commit}, ms}, // not known
	} {
		if got := c.estimate(want.r, ms); got != want.cost {
			t.Errorf("%+v costs %v, want %v", want.r, got, want.cost)
		}
	}
}
