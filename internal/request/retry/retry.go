// Package retry decides whether and when a failed attempt of a request is repeated. Attempts limits the retries of one
// request, Budget those of the whole instance, so that an outage doesn't multiply the load.
//
// # Usage
//
//	budget := retry.NewBudget(retry.Policy{}, now)
//	budget.Request()
//	allowed := budget.TakeFor(now, priority)
//	attempts := retry.NewAttempts(retry.Policy{}, deadline)
//	wait, denied := attempts.NextAttempt(now, reason, budget, rand.Int64N)
//	if denied != "" {
//		return outcome.NotRun(reason)
//	}
//
// NextAttempt must only be given the reasons of attempts that were not run, or that have no effect, such as reads. Time
// and randomness are parameters.
package retry

import (
	"sync"
	"time"

	"tanagercross/internal/session/outcome"
)

// Defaults of Policy.
const (
	DefaultAttempts         = 3
	DefaultBaseDelay        = 20 * time.Millisecond
	DefaultMaxDelay         = 500 * time.Millisecond
	DefaultBudgetPerRequest = 0.1 // retries that each request adds to the budget
	DefaultBudgetPerSecond  = 10  // retries added per second
)

// Policy limits the attempts of one request and the retries of one instance. Zero fields take the defaults.
type Policy struct {
	Attempts         int
	BaseDelay        time.Duration // upper bound of the first random wait; it doubles with each attempt
	MaxDelay         time.Duration // upper bound of all waits
	BudgetPerRequest float64
	BudgetPerSecond  float64
	// PriorityReserve is the share of BudgetPerSecond that only priority 0 may use.
	PriorityReserve float64
}

// WithDefaults returns a copy in which fields that are zero or negative have their defaults.
func (p Policy) WithDefaults() Policy {
	if p.Attempts <= 0 {
		p.Attempts = DefaultAttempts
	}
	if p.BaseDelay <= 0 {
		p.BaseDelay = DefaultBaseDelay
	}
	if p.MaxDelay <= 0 {
		p.MaxDelay = DefaultMaxDelay
	}
	if p.BudgetPerRequest <= 0 {
		p.BudgetPerRequest = DefaultBudgetPerRequest
	}
	if p.BudgetPerSecond <= 0 {
		p.BudgetPerSecond = DefaultBudgetPerSecond
	}
	return p
}

// Denial says why there is no further attempt.
type Denial string

// Reasons for making no further attempt.
const (
	NotRetryable      Denial = "not_retryable" // a retry can't succeed, or the failed attempt may have run
	AttemptsExhausted Denial = "no_attempt"    // Policy.Attempts have been made
	DeadlineTooClose  Denial = "no_time"       // the wait would not end before the deadline
	BudgetExhausted   Denial = "no_budget"     // the instance has no retries left
)

// Random returns a uniformly distributed number from 0 up to, but not including, its argument.
type Random func(int64) int64

// Attempts counts and limits the attempts of one request. It is not safe for concurrent use.
type Attempts struct {
	policy   Policy
	deadline time.Time
	made     int
}

// NewAttempts returns the counter of a request whose first attempt is about to be made.
func NewAttempts(p Policy, deadline time.Time) *Attempts {
	return &Attempts{policy: p.WithDefaults(), deadline: deadline, made: 1}
}

// Made returns the number of attempts so far, including the one in progress.
func (a *Attempts) Made() int { return a.made }

// NextAttempt returns how long to wait before the next attempt after one that failed for the reason r, and takes one
// retry from the budget. If there must be no further attempt, it returns why and takes nothing.
func (a *Attempts) NextAttempt(now time.Time, r outcome.Reason, b *Budget, random Random) (time.Duration, Denial) {
	if !r.Retryable() {
		return 0, NotRetryable
	}
	if a.made >= a.policy.Attempts {
		return 0, AttemptsExhausted
	}
	limit := min(a.policy.MaxDelay, a.policy.BaseDelay<<(a.made-1))
	wait := time.Duration(random(int64(limit) + 1))
	if !now.Add(wait).Before(a.deadline) {
		return 0, DeadlineTooClose
	}
	if !b.Take(now) {
		return 0, BudgetExhausted
	}
	a.made++
	return wait, ""
}

// Budget is a token bucket that limits the retries of one instance. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	policy  Policy
	tokens  float64
	updated time.Time
}

// NewBudget returns a budget that starts with BudgetPerSecond retries.
func NewBudget(p Policy, now time.Time) *Budget {
	p = p.WithDefaults()
	return &Budget{policy: p, tokens: p.BudgetPerSecond, updated: now}
}

// limit returns the largest number of retries that the budget can hold.
func (b *Budget) limit() float64 { return 10 * b.policy.BudgetPerSecond }

// Request adds the retries that one admitted request allows, BudgetPerRequest.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.limit(), b.tokens+b.policy.BudgetPerRequest)
}

// Tokens returns the retries that are left, without those due for the time since the last Take.
func (b *Budget) Tokens() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}

// Take takes one retry and reports whether one was left.
func (b *Budget) Take(now time.Time) bool { return b.TakeFor(now, 0) }

// TakeFor is Take for a call of a priority. Only priority 0, the highest, may use the reserve.
func (b *Budget) TakeFor(now time.Time, priority uint8) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		// Time alone fills the budget only up to BudgetPerSecond; only requests add more.
		if refilled := b.tokens + elapsed.Seconds()*b.policy.BudgetPerSecond; b.tokens < b.policy.BudgetPerSecond {
			b.tokens = min(b.policy.BudgetPerSecond, refilled)
		}
		b.updated = now
	}
	reserve := 0.0
	if priority > 0 {
		reserve = b.policy.PriorityReserve * b.policy.BudgetPerSecond
	}
	if b.tokens < 1+reserve {
		return false
	}
	b.tokens--
	return true
}
