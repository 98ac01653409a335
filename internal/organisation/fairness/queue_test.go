package fairness

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"tanagercross/internal/session/outcome"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against an organisation at ten times its rate that takes service from others. Seven organisations offer their
// fair share of two slots, the eighth ten times that, each with its own statement cost.
func TestWorstServedKeepsItsShare(t *testing.T) {
	const organisations, slots, total = 8, 2, 2 * time.Second
	worst := 1.0
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		q := NewQueue(Options{}, func(int, outcome.Reason) {})
		now, end := time.Unix(0, 0), time.Unix(0, 0).Add(total)
		var cost, arrive [organisations]time.Duration
		var served [organisations]time.Duration
		for i := range organisations {
			cost[i] = time.Duration(1+random.IntN(8)) * time.Millisecond
		}
		type job struct {
			grant Grant[int]
			end   time.Time
		}
		var jobs []job
		for ; now.Before(end); now = now.Add(time.Millisecond) {
			for i := range organisations {
				offered := time.Millisecond * slots / organisations
				if i == 0 {
					offered *= 10
				}
				for arrive[i] += offered; arrive[i] >= cost[i]; arrive[i] -= cost[i] {
					_ = q.Push(fmt.Sprint(i), i, now.Add(2*time.Second))
				}
			}
			kept := jobs[:0]
			for _, j := range jobs {
				if now.Before(j.end) {
					kept = append(kept, j)
					continue
				}
				q.Finish(j.grant, cost[j.grant.Value])
				served[j.grant.Value] += cost[j.grant.Value]
			}
			for jobs = kept; len(jobs) < slots; {
				g, ok := q.Next(now)
				if !ok {
					break
				}
				jobs = append(jobs, job{g, now.Add(cost[g.Value])})
			}
		}
		for i := range organisations {
			share := float64(served[i]) / float64(total*slots/organisations)
			worst = min(worst, share)
			if share < 0.8 {
				t.Fatalf("seed %d: organisation %d got %.2f of its fair share", seed, i, share)
			}
		}
	}
	t.Logf("worst share %.3f", worst)
}

// Guards against a queue that ignores the weight or the limit of an organisation.
func TestShares(t *testing.T) {
	share := func(organisation string) Share {
		if organisation == "b" {
			return Share{Weight: 3}
		}
		return Share{MaxQueued: 900}
	}
	q := NewQueue(Options{MaxQueued: 1000, Share: share}, func(int, outcome.Reason) {})
	for range 900 {
		_ = q.Push("a", 0, time.Unix(9, 0))
		_ = q.Push("b", 1, time.Unix(9, 0))
	}
	if q.Push("a", 0, time.Unix(9, 0)) == nil || q.Push("b", 1, time.Unix(9, 0)) != nil {
		t.Error("the bound of the organisation is not kept")
	}
	count := [2]int{}
	for range 800 {
		g, _ := q.Next(time.Unix(0, 0))
		q.Finish(g, time.Millisecond)
		count[g.Value]++
	}
	if count[1] < 590 || count[1] > 610 {
		t.Fatalf("weight 3 got %d of 800 turns", count[1])
	}
}

// Guards against a rejected item that is started anyway, a wrong reason of a rejection and a limit that is not enforced.
func TestRejections(t *testing.T) {
	s := NewScheduler[string](Options{MaxQueued: 2}, 1)
	first, err := s.Acquire(t.Context(), "a", "")
	if err != nil {
		t.Fatal(err)
	}
	var turns atomic.Int32
	wait := func(ctx context.Context, tag string) chan outcome.Reason {
		before, c := s.Load(), make(chan outcome.Reason, 1)
		go func() {
			ticket, err := s.Acquire(ctx, "a", tag)
			if err == nil {
				turns.Add(1)
				ticket.Release()
				c <- ""
				return
			}
			c <- ReasonOf(err)
		}()
		for s.Load() == before {
			time.Sleep(time.Millisecond)
		}
		return c
	}
	short, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	timeout, withdrawn := wait(short, ""), wait(t.Context(), "key")
	if _, err := s.Acquire(t.Context(), "a", ""); ReasonOf(err) != outcome.QueueFull {
		t.Fatalf("third item: %v", err)
	}
	if r := <-timeout; r != outcome.QueueTimeout {
		t.Fatalf("deadline: %q", r)
	}
	s.Remove(outcome.KeyWithdrawn, func(tag string) bool { return tag == "key" })
	if r := <-withdrawn; r != outcome.KeyWithdrawn {
		t.Fatalf("removed: %q", r)
	}
	stopped := wait(t.Context(), "")
	s.Stop(outcome.LaneUnavailable)
	if r := <-stopped; r != outcome.LaneUnavailable {
		t.Fatalf("stopped: %q", r)
	}
	first.Release()
	if _, err := s.Acquire(t.Context(), "b", ""); ReasonOf(err) != outcome.LaneUnavailable || turns.Load() != 0 {
		t.Fatalf("after stop: %v, %d turns", err, turns.Load())
	}
}
