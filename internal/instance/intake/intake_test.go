package intake_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"tanagercross/internal/instance/intake"
)

var start = time.Date(2026, 12, 7, 0, 0, 0, 0, time.UTC)

// Guards against a budget that is exceeded, or whose bytes are lost, over many steps of many accounts.
func TestHeldBytesStayWithinTheBudget(t *testing.T) {
	const seed, limit, steps = 1, 1000, 20_000
	r := rand.New(rand.NewPCG(seed, 0))
	b := intake.NewBudget(limit)
	type client struct {
		account *intake.Account
		ticket  *intake.Ticket
	}
	clients := make([]client, 20)
	now := start
	for n := range clients {
		clients[n].account = b.Open(func() {})
	}
	for step := range steps {
		now = now.Add(time.Duration(r.IntN(100)) * time.Millisecond)
		n := r.IntN(len(clients))
		c := &clients[n]
		if c.ticket != nil {
			select {
			case <-c.ticket.Granted():
				c.ticket = nil
			default:
				if b.Evict(now); r.IntN(3) > 0 || !c.account.Cancel(c.ticket) {
					continue
				}
				c.ticket = nil
			}
		}
		switch {
		case c.account.Evicted() || r.IntN(10) == 0:
			c.account.Close(now)
			c.account = b.Open(func() {})
		case r.IntN(2) == 0:
			c.ticket = c.account.Reserve(now, int64(r.IntN(limit/2)))
		default:
			c.account.Resize(now, int64(r.IntN(limit/4)))
		}
		if counts := b.Counts(); counts.Held < 0 || counts.Held-counts.Leaving > limit {
			t.Fatalf("seed %d, step %d: %+v", seed, step, counts)
		}
	}
	for _, c := range clients {
		if c.ticket != nil {
			c.account.Cancel(c.ticket)
		}
		c.account.Close(now)
	}
	if counts := b.Counts(); counts.Held != 0 || counts.Waiting != 0 {
		t.Errorf("seed %d: after the end %+v, want nothing held", seed, counts)
	}
}

// Guards against a stalled client that keeps others from their reservations, and against the eviction of one that has just
// begun or that runs a statement.
func TestStalledAccountIsEvictedFirst(t *testing.T) {
	b := intake.NewBudget(100)
	var evicted []string
	open := func(name string) *intake.Account { return b.Open(func() { evicted = append(evicted, name) }) }
	running, stalled, fresh, next := open("running"), open("stalled"), open("fresh"), open("next")
	running.Reserve(start, 30)
	running.SetRunning(start, true)
	stalled.Reserve(start, 30)
	now := start.Add(2 * time.Second)
	fresh.Reserve(now, 30)
	ticket := next.Reserve(now, 20)
	if ticket == nil {
		t.Fatal("granted over the budget")
	}
	b.Evict(now)
	b.Evict(now)
	if len(evicted) != 1 || evicted[0] != "stalled" {
		t.Fatalf("evicted %v, want the stalled one", evicted)
	}
	stalled.Close(now)
	select {
	case <-ticket.Granted():
	default:
		t.Error("not granted after the eviction")
	}
	if next.Cancel(ticket) {
		t.Error("a granted reservation was cancelled")
	}
}

// Guards against bytes that are held already and exceed the budget without an eviction.
func TestLargestHolderIsEvicted(t *testing.T) {
	b := intake.NewBudget(100)
	var evicted []string
	open := func(name string) *intake.Account { return b.Open(func() { evicted = append(evicted, name) }) }
	large, small, other := open("large"), open("small"), open("other")
	large.Resize(start, 60)
	small.Resize(start, 20)
	other.Resize(start, 30)
	if len(evicted) != 1 || evicted[0] != "large" {
		t.Errorf("evicted %v, want the largest", evicted)
	}
	large.Close(start)
	if got := b.Counts().Held; got != 50 {
		t.Errorf("%d bytes held, want 50", got)
	}
}
