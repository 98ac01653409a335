package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"tanagercross/internal/session/outcome"
)

// Guards against retries of requests that may have run, past the deadline, or more often than allowed.
func TestAttempts(t *testing.T) {
	start := time.Unix(0, 0)
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1)).Int64N
		b := NewBudget(Policy{}, start)
		a := NewAttempts(Policy{}, start.Add(time.Second))
		for _, r := range []outcome.Reason{outcome.AnswerLost, outcome.NotReplicated, outcome.StatementFailed, ""} {
			if _, d := a.NextAttempt(start, r, b, random); d != NotRetryable {
				t.Fatalf("%q: %q", r, d)
			}
		}
		if _, d := a.NextAttempt(start.Add(time.Second), outcome.NoPrimary, b, random); d != DeadlineTooClose {
			t.Fatalf("at the deadline: %q", d)
		}
		for range 2 {
			if wait, d := a.NextAttempt(start, outcome.NoPrimary, b, random); d != "" || wait > 2*DefaultBaseDelay {
				t.Fatalf("retry: %v %q", wait, d)
			}
		}
		if _, d := a.NextAttempt(start, outcome.NoPrimary, b, random); d != AttemptsExhausted {
			t.Fatalf("fourth attempt: %q", d)
		}
	}
}

// Guards against a retry storm: an outage of all requests must not multiply the load by more than 10% and 10/s.
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
