package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"tanagercross/internal/session/outcome"
)

// Guards against retries of requests that may have run, at or after the deadline, or more often than the policy allows.
func TestAttempts(t *testing.T) {
	start := time.Unix(0, 0)
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1)).Int64N
		b := NewBudget(Policy{}, start)
		a := NewAttempts(Policy{}, start.Add(time.Second))
		for _, r := range []outcome.Reason{outcome.AnswerLost, outcome.NotReplicated, outcome.StatementFailed, ""} {
			if _, d := a.NextAttempt(start, r, b, random); d != NotRetryable {
				t.Fatalf("reason %q: denial %q, want not_retryable", r, d)
			}
		}
		if _, d := a.NextAttempt(start.Add(time.Second), outcome.NoPrimary, b, random); d != DeadlineTooClose {
			t.Fatalf("retry at the deadline: denial %q, want no_time", d)
		}
		for range 2 {
			if wait, d := a.NextAttempt(start, outcome.NoPrimary, b, random); d != "" || wait > 2*DefaultBaseDelay {
				t.Fatalf("retry: wait %v, denial %q", wait, d)
			}
		}
		if _, d := a.NextAttempt(start, outcome.NoPrimary, b, random); d != AttemptsExhausted {
			t.Fatalf("fourth attempt: denial %q, want no_attempt", d)
		}
	}
}

// Guards against a retry storm: when all requests fail, the retries must stay below 10% of the requests plus 10/s.
func TestBudget(t *testing.T) {
	now := time.Unix(0, 0)
	b := NewBudget(Policy{}, now)
	retries := 0
	for range 10_000 {
		now = now.Add(time.Millisecond)
		b.Request()
		for b.Take(now) {
			retries++
		}
	}
	if limit := 1000 + 10*10 + 10; retries > limit || retries < 1000 {
		t.Fatalf("%d retries, want 1000 to %d", retries, limit)
	}
}

// Guards against retries of lower priorities that leave none for priority 0.
// Load: for 10 s, every millisecond a served request and a wish to retry of priority 2, and every 20 ms one of priority 0.
func TestBudgetReserve(t *testing.T) {
	now := time.Unix(0, 0)
	b := NewBudget(Policy{BudgetPerRequest: 0.02, BudgetPerSecond: 40, PriorityReserve: 0.25}, now)
	high, low := 0, 0
	for n := range 10_000 {
		now = now.Add(time.Millisecond)
		b.Request()
		for b.TakeFor(now, 2) {
			low++
		}
		if n%20 == 0 && b.TakeFor(now, 0) {
			high++
		}
	}
	if high != 500 || low > 40+10*(40+20)-500 {
		t.Fatalf("%d retries of priority 0 of 500 asked, %d of priority 2", high, low)
	}
}
