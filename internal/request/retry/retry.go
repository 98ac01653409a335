// Package retry decides whether and when a request that was not run is tried again.
//
// # Usage
//
//	budget := retry.NewBudget(retry.Policy{}, now)
//	budget.Request()
//	attempts := retry.NewAttempts(retry.Policy{}, deadline)
//	wait, denied := attempts.Again(now, reason, budget, rand.Int64N)
//	if denied != "" {
//		return outcome.NotRun(reason)
//	}
//
// Only reasons that prove that the request was not run may be given to Again. Time and randomness are parameters.
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
	DefaultBudgetPerRequest = 0.1 // retries per request
	DefaultBudgetPerSecond  = 10  // retries per second
)

// Policy bounds the attempts of one request and the retries of one instance. Zero fields take the defaults.
type Policy struct {
	Attempts         int
	BaseDelay        time.Duration // upper end of the first wait; it doubles with each attempt
	MaxDelay         time.Duration // longest wait
	BudgetPerRequest float64
	BudgetPerSecond  float64
}

// WithDefaults returns a copy with zero fields set.
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

// Denials.
const (
	NotRetryable      Denial = "not_retryable"
	AttemptsExhausted Denial = "no_attempt"
	DeadlineTooClose  Denial = "no_time"
	BudgetExhausted   Denial = "no_budget"
)

// Random returns a number from 0 up to, but not including, its argument.
type Random func(int64) int64

// Attempts counts the attempts of one request. It is not safe for concurrent use.
type Attempts struct {
	policy   Policy
	deadline time.Time
	made     int
}

// NewAttempts returns the count of a request whose first attempt is about to be made.
func NewAttempts(p Policy, deadline time.Time) *Attempts {
	return &Attempts{policy: p.WithDefaults(), deadline: deadline, made: 1}
}

// Made returns the number of attempts so far.
func (a *Attempts) Made() int { return a.made }

// Again returns the wait before the next attempt, or why there is none. It takes one retry from the budget.
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

// Budget bounds the retries of one instance. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	policy  Policy
	tokens  float64
	updated time.Time
}

// NewBudget returns a budget that starts with the retries of one second.
func NewBudget(p Policy, now time.Time) *Budget {
	p = p.WithDefaults()
	return &Budget{policy: p, tokens: p.BudgetPerSecond, updated: now}
}

// limit bounds what a quiet time can save up.
func (b *Budget) limit() float64 { return 10 * b.policy.BudgetPerSecond }

// Request adds the share of one request.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.limit(), b.tokens+b.policy.BudgetPerRequest)
}

// Tokens returns the retries that are left, without those that the time since the last Take added.
func (b *Budget) Tokens() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}

// Take takes one retry and reports whether there was one.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		// Time alone fills the budget only up to the retries of one second; more comes from requests.
		if refilled := b.tokens + elapsed.Seconds()*b.policy.BudgetPerSecond; b.tokens < b.policy.BudgetPerSecond {
			b.tokens = min(b.policy.BudgetPerSecond, refilled)
		}
		b.updated = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
