// Package allotment keeps every organisation inside its rate and burst, counted over all instances together.
//
// The home of an organisation owns a token bucket. Entry instances take tokens from it in batches that are valid for V.
// The bucket has rate r and burst b - r*V. Tokens used in a window of length W were granted in a window of length W + V,
// so that at most b - r*V + r*(W + V) = b + r*W requests are admitted in it. A new home starts with an empty bucket, so
// that the same holds over a change of home.
//
// # Usage
//
// At the home, while its lease is valid:
//
//	grant := homes.Grant(now, leaseStart, "sertao_coop", allotment.Settings{Rate: 100, Burst: 200}, wanted)
//
// At the entry:
//
//	limiter := allotment.NewLimiter(taker, settings, allotment.Options{})
//	if reason := limiter.Take(ctx, "sertao_coop"); reason != "" {
//		return outcome.NotRun(reason)
//	}
//
// Bucket and Entry are pure, with time as a parameter. Homes and Limiter are safe for concurrent use.
package allotment

import (
	"sync"
	"time"
)

const (
	// Validity is how long a batch may be used, unless the organisation's burst is too small for it.
	Validity = 200 * time.Millisecond
	// drift is the part of the validity that the entry gives up for differences between clocks.
	drift = 0.1
	// MinimumBurst is the smallest burst that can be kept with batches.
	MinimumBurst = 2
)

// Settings are an organisation's rate in requests per second and its burst in requests.
type Settings struct {
	Rate  float64
	Burst float64
}

// Valid reports whether the settings can be kept. Others admit nothing.
func (s Settings) Valid() bool { return s.Rate > 0 && s.Burst >= MinimumBurst }

// Validity returns how long a batch may be used. It is shorter than the usual one if tokens in flight would otherwise
// take more than half of the burst.
func (s Settings) Validity() time.Duration {
	if s.Rate <= 0 {
		return Validity
	}
	return min(Validity, time.Duration(s.Burst/2/s.Rate*float64(time.Second)))
}

func (s Settings) capacity() float64 { return s.Burst - s.Rate*s.Validity().Seconds() }

// Grant is the home's answer.
type Grant struct {
	Granted    int
	NotHome    bool
	RetryAfter time.Duration // until the next token, if fewer than wanted were granted
}

// Bucket is a token bucket that starts empty.
type Bucket struct {
	level   float64
	updated time.Time
}

// NewBucket returns an empty bucket that fills from a time on.
func NewBucket(start time.Time) *Bucket { return &Bucket{updated: start} }

// Take takes up to a number of tokens.
func (b *Bucket) Take(now time.Time, s Settings, wanted int) Grant {
	if !s.Valid() {
		return Grant{}
	}
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.level += elapsed.Seconds() * s.Rate
		b.updated = now
	}
	b.level = min(b.level, s.capacity())
	n := max(0, min(wanted, int(b.level)))
	b.level -= float64(n)
	g := Grant{Granted: n}
	if n < wanted {
		g.RetryAfter = max(time.Millisecond, time.Duration((1-b.level)/s.Rate*float64(time.Second)))
	}
	return g
}

// Add puts tokens into the bucket that were saved up before it began.
func (b *Bucket) Add(s Settings, tokens float64) {
	if s.Valid() {
		b.level = min(b.level+tokens, s.capacity())
	}
}

type account struct {
	bucket *Bucket
	since  time.Time
}

// Homes holds the buckets of the organisations whose home is this instance. The zero value is ready for use.
type Homes struct {
	mu       sync.Mutex
	accounts map[string]account
}

// Grant takes tokens of an organisation. The caller has checked at now that it holds the lease; since is when it began to
// hold it without a break. A lease that began anew begins with an empty bucket.
func (h *Homes) Grant(now, since time.Time, organisation string, s Settings, wanted int) Grant {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.bucket(since, organisation).Take(now, s, wanted)
}

// Add gives an organisation tokens that were saved up before its home began. The caller knows that nobody has used them.
func (h *Homes) Add(since time.Time, organisation string, s Settings, tokens float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bucket(since, organisation).Add(s, tokens)
}

// bucket returns the bucket of an organisation; the caller holds the lock.
func (h *Homes) bucket(since time.Time, organisation string) *Bucket {
	a, ok := h.accounts[organisation]
	if !ok || !a.since.Equal(since) {
		a = account{bucket: NewBucket(since), since: since}
		if h.accounts == nil {
			h.accounts = make(map[string]account)
		}
		h.accounts[organisation] = a
	}
	return a.bucket
}
