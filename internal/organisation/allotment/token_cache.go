package allotment

import (
	"math"
	"time"

	"tanagercross/internal/session/outcome"
)

// Defaults of the fields of Options.
const (
	DefaultMaxWaiting = 256
	DefaultRateWait   = 250 * time.Millisecond
	DefaultHomeWait   = time.Second
	DefaultTimeout    = 500 * time.Millisecond
	DefaultBackoff    = 50 * time.Millisecond
	DefaultIdle       = 10 * time.Second
)

const (
	demandWindow       = time.Second // time constant of the demand estimate
	initialRoundTrip   = 5 * time.Millisecond
	batchValidityShare = 0.5 // a batch covers the demand of this share of its validity, so that few tokens expire unused
	minPrefetchTokens  = 3.0 // no prefetch while fewer requests are expected per batch
)

// Options configures a TokenCache and a Limiter. Zero fields take the defaults.
type Options struct {
	MaxWaiting int           // most callers that wait for tokens of one organisation; further ones are refused
	RateWait   time.Duration // longest wait of a caller while the home answers without enough tokens
	HomeWait   time.Duration // longest wait of a caller while no home answers
	Timeout    time.Duration // of one call to the home
	Backoff    time.Duration // delay before the next call after a failed one
	Idle       time.Duration // the state of an organisation without requests is dropped after this time
	// ByPriority hands tokens to the more urgent classes first. Without it all callers are of the lowest class.
	ByPriority bool
	// Now is the clock of a Limiter. The default is time.Now.
	Now func() time.Time
}

// WithDefaults returns a copy in which zero and negative fields have their defaults.
func (o Options) WithDefaults() Options {
	set := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	if o.MaxWaiting <= 0 {
		o.MaxWaiting = DefaultMaxWaiting
	}
	set(&o.RateWait, DefaultRateWait)
	set(&o.HomeWait, DefaultHomeWait)
	set(&o.Timeout, DefaultTimeout)
	set(&o.Backoff, DefaultBackoff)
	set(&o.Idle, DefaultIdle)
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// Ticket identifies a waiting caller of a TokenCache. No caller has ticket 0.
type Ticket uint64

// batch holds the remaining tokens of one grant. They may be used before expires.
type batch struct {
	tokens  int
	expires time.Time
}

// Call is a request for tokens to the home.
type Call struct {
	Wanted  int
	ByClass ByClass // parts of Wanted by class
	Unused  int     // tokens that expired since the last call
	sentAt  time.Time
}

// Refusal reports that the wait of a caller ended without a token.
type Refusal struct {
	Ticket     Ticket
	Reason     outcome.Reason
	RetryAfter time.Duration // see TokenCache.RetryAfter
}

// TokenCache holds the tokens that one instance was granted for one organisation, and the queue of callers that wait for
// tokens. It makes no calls itself: NextCall returns the call to make, and Receive or CallFailed takes the result. It is
// not safe for concurrent use.
type TokenCache struct {
	options         Options
	batches         []batch
	waiting         []waiting
	lastTicket      Ticket
	calling         bool
	nextCallAt      time.Time // no call is made before this time
	homeUnavailable bool      // the last call was not answered by a home
	unused          int
	lastExpiry      time.Time // when the token taken last expires
	demand          float64   // estimated requests per second, an exponentially weighted average
	lastRequestAt   time.Time
	roundTrip       time.Duration

	// The rest is used with Options.ByPriority only.
	displaced  []Refusal
	asked      [Classes]estimate // callers
	served     [Classes]estimate // callers that got a token
	due        [Classes]float64  // tokens that are due to a class and the less urgent ones; that of class 0 is not used
	unmet      Class             // most urgent class that the last call was not granted in full
	shortAt    time.Time         // when a call was last granted fewer tokens than it asked for
	shortSince time.Time         // since when this has happened at least every overRateMemory
}

// NewTokenCache returns a cache without tokens.
func NewTokenCache(o Options) *TokenCache {
	return &TokenCache{options: o.WithDefaults(), roundTrip: initialRoundTrip}
}

// Request is RequestClass for a caller of the lowest class.
func (tc *TokenCache) Request(now time.Time) (Ticket, outcome.Reason) {
	return tc.RequestClass(now, Lowest)
}

// RequestClass takes one token or queues the caller. Ticket 0 without a reason means that a token was taken. Any other
// ticket means that the caller waits until Receive or Serve returns the ticket, or ExpireWaiters or Displaced refuses it. A
// reason is returned when the queue is full, or when the class has no chance of a token during the wait.
func (tc *TokenCache) RequestClass(now time.Time, c Class) (Ticket, outcome.Reason) {
	if !tc.options.ByPriority {
		c = Lowest
	}
	tc.recordDemand(now, c)
	if !tc.waits(c) && tc.mayTake(now, c) && tc.takeToken(now) {
		tc.countServed(now, c)
		return 0, ""
	}
	if tc.unlikelyServed(now, c) {
		return 0, tc.reason()
	}
	if len(tc.waiting) >= tc.options.MaxWaiting && !tc.displace(now, c) {
		return 0, tc.reason()
	}
	tc.lastTicket++
	tc.enqueue(waiting{ticket: tc.lastTicket, class: c, queuedAt: now})
	return tc.lastTicket, ""
}

// reason returns the reason for a refusal now: the rate is used up, or no home answers.
func (tc *TokenCache) reason() outcome.Reason {
	if tc.homeUnavailable {
		return outcome.RateHomeUnavailable
	}
	return outcome.RateExceeded
}

// recordDemand counts one request in the demand estimates.
func (tc *TokenCache) recordDemand(now time.Time, c Class) {
	if tc.options.ByPriority {
		tc.asked[c].add(now, outlookWindow, 1)
	}
	if elapsed := now.Sub(tc.lastRequestAt); elapsed > 0 {
		tc.demand *= math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
	}
	tc.demand += 1 / demandWindow.Seconds()
	tc.lastRequestAt = now
}

// takeToken takes a token of the oldest batch that is still valid, and reports whether there was one.
func (tc *TokenCache) takeToken(now time.Time) bool {
	tc.dropExpired(now)
	if len(tc.batches) == 0 {
		return false
	}
	tc.lastExpiry = tc.batches[0].expires
	if tc.batches[0].tokens--; tc.batches[0].tokens == 0 {
		tc.batches = tc.batches[1:]
	}
	return true
}

// LastTokenExpiry returns when the token taken last expires. The caller compares it with the clock after it has received
// the token, because the process may have been paused in between.
func (tc *TokenCache) LastTokenExpiry() time.Time { return tc.lastExpiry }

// dropExpired removes the expired batches and counts their tokens as unused.
func (tc *TokenCache) dropExpired(now time.Time) {
	for len(tc.batches) > 0 && !now.Before(tc.batches[0].expires) {
		tc.unused += tc.batches[0].tokens
		tc.batches = tc.batches[1:]
	}
}

// tokens returns the number of tokens in all batches. The caller has removed the expired ones.
func (tc *TokenCache) tokens() int {
	n := 0
	for _, b := range tc.batches {
		n += b.tokens
	}
	return n
}

// NextCall returns the call to make now, if any. At most one call is in progress: each must be followed by Receive or
// CallFailed. A call asks for a token for each waiting caller, and prefetches tokens for the expected demand.
func (tc *TokenCache) NextCall(now time.Time, s Settings) (Call, bool) {
	tc.dropExpired(now)
	if tc.calling || now.Before(tc.nextCallAt) && !tc.moreUrgentWaits() {
		return Call{}, false
	}
	prefetch := tc.prefetch(now, s.Validity())
	ahead := prefetch.Total()
	held := tc.tokens()
	// Tokens are prefetched when those held may be used up within two round trips.
	low := float64(held) <= tc.demand*2*tc.roundTrip.Seconds()
	if len(tc.waiting) == 0 && (ahead <= held || !low) {
		return Call{}, false
	}
	wanted := prefetch.Without(held)
	for _, w := range tc.waiting {
		wanted[w.class]++
	}
	c := Call{Wanted: wanted.Total(), ByClass: wanted, Unused: tc.unused, sentAt: now}
	tc.calling, tc.unused = true, 0
	return c, true
}

// moreUrgentWaits reports whether a caller waits that is more urgent than all those for which the last call got no tokens.
func (tc *TokenCache) moreUrgentWaits() bool {
	return len(tc.waiting) > 0 && tc.waiting[0].class < tc.unmet
}

// NextCallTime returns when NextCall may return a call although nothing else has happened. It is zero while a call is in
// progress or nobody waits.
func (tc *TokenCache) NextCallTime() time.Time {
	if tc.calling || len(tc.waiting) == 0 {
		return time.Time{}
	}
	return tc.nextCallAt
}

// Receive takes the answer to a call and returns the tickets of the callers that get a token. The answer of an instance
// that is not the home counts as a failed call.
func (tc *TokenCache) Receive(now time.Time, c Call, g Grant, s Settings) []Ticket {
	if g.NotHome {
		tc.CallFailed(now)
		return nil
	}
	tc.calling, tc.homeUnavailable = false, false
	tc.roundTrip += (now.Sub(c.sentAt) - tc.roundTrip) / 4
	if g.Granted < c.Wanted {
		tc.nextCallAt = now.Add(g.RetryAfter)
		tc.unmet = c.ByClass.Without(g.Granted).mostUrgent()
		tc.recordShortage(now)
	}
	// The home made the grant after the call was sent. Counted from the sending, the tokens expire no later than Validity
	// after the grant.
	expires := c.sentAt.Add(time.Duration(float64(s.Validity()) * (1 - clockDriftMargin)))
	if g.Granted > 0 {
		tc.batches = append(tc.batches, batch{tokens: g.Granted, expires: expires})
	}
	return tc.Serve(now)
}

// CallFailed ends a call that was not answered by a home. The next call is made after Options.Backoff.
func (tc *TokenCache) CallFailed(now time.Time) {
	tc.calling, tc.homeUnavailable = false, true
	tc.nextCallAt, tc.unmet = now.Add(tc.options.Backoff), 0
}

// ExpireWaiters refuses the callers that have waited for Options.RateWait, or for Options.HomeWait if the last call was
// not answered by a home.
func (tc *TokenCache) ExpireWaiters(now time.Time) []Refusal {
	limit := tc.options.RateWait
	if tc.homeUnavailable {
		limit = tc.options.HomeWait
	}
	var ended []Refusal
	kept := tc.waiting[:0]
	for _, w := range tc.waiting {
		if now.Sub(w.queuedAt) < limit {
			kept = append(kept, w)
			continue
		}
		ended = append(ended, Refusal{Ticket: w.ticket, Reason: tc.reason(), RetryAfter: tc.RetryAfter(now, w.class)})
	}
	tc.waiting = kept
	return ended
}

// Cancel removes a waiting caller whose context has ended.
func (tc *TokenCache) Cancel(t Ticket) {
	for n, w := range tc.waiting {
		if w.ticket == t {
			tc.waiting = append(tc.waiting[:n:n], tc.waiting[n+1:]...)
			return
		}
	}
}

// Idle reports whether the cache can be dropped: no call is in progress, nobody waits and the last request is at least
// Options.Idle ago.
func (tc *TokenCache) Idle(now time.Time) bool {
	return !tc.calling && len(tc.waiting) == 0 && now.Sub(tc.lastRequestAt) >= tc.options.Idle
}
