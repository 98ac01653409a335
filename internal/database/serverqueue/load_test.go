package serverqueue

import (
	"fmt"
	"testing"
	"time"
)

// measured runs statements of a kind one after the other, so that their cost is known.
func measured(t *testing.T, q *Queue[string], r Request, cost time.Duration) {
	t.Helper()
	for range 20 {
		push(t, q, 0, r)
		i, _ := q.Next(0)
		q.Finish(0, i, cost)
	}
}

// Guards against a wait that is reported as that of a short read at a primary that has had only writes, or at which long
// writes wait. The load: 40 writes of 40 ms and the highest priority wait at two slots, so that the next priority gets its
// reserved share.
func TestLoadOfAServerThatOnlyWrites(t *testing.T) {
	for _, c := range []struct {
		reads, waiting int
		want           time.Duration // of one or two writes from 5% of two slots
	}{{0, 0, 400 * ms}, {0, 3, 800 * ms}, {1, 3, 800 * ms}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			q, _ := newQueue(Options{Slots: 2})
			measured(t, q, Request{Organisation: "a", Kind: Write}, 40*ms)
			if c.reads > 0 {
				measured(t, q, Request{Organisation: "a", Priority: 1}, ms)
			}
			for n := range 42 {
				push(t, q, 0, Request{Organisation: fmt.Sprint(n), Kind: Write})
			}
			for range 2 {
				q.Next(0)
			}
			for range c.waiting {
				push(t, q, 0, Request{Organisation: "b", Kind: Write, Priority: 1})
			}
			if wait := q.Load(0).Wait[1]; wait < c.want {
				t.Errorf("expected wait %v, want at least %v", wait, c.want)
			}
		})
	}
}

// Guards against an expected wait that counts the prefetch slot, which is not used behind long statements. The load: ten
// statements of 40 ms wait at two slots and one for prefetched statements.
func TestExpectedWaitBehindLongStatements(t *testing.T) {
	for _, c := range []struct{ cost, least, most time.Duration }{
		{40 * ms, 200 * ms, 250 * ms},
		{4 * ms, 13 * ms, 20 * ms}, // short statements use the prefetch slot
	} {
		q, _ := newQueue(Options{Slots: 3, PrefetchSlots: 1})
		measured(t, q, Request{Organisation: "a"}, c.cost)
		for n := range 20 {
			push(t, q, 0, Request{Organisation: fmt.Sprint(n)})
			if q.slotFree() {
				q.Next(0)
			}
			if q.Len() == 10 {
				break
			}
		}
		// The measurements above no longer count as recent use by then.
		if wait := q.Load(10 * time.Second).Wait[1]; wait < c.least || wait > c.most {
			t.Errorf("statements of %v: expected wait %v, want %v to %v", c.cost, wait, c.least, c.most)
		}
	}
}
