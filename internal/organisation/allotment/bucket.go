// Package allotment limits each organisation to its rate and burst, counted over all instances together.
//
// The home of an organisation is the instance that holds the organisation's lease; it owns the organisation's token
// bucket. The instances that receive requests take tokens from the bucket in batches that are valid for a time V.
//
// The bucket has rate r and burst b - r*V. Tokens used in a window of length W were granted in a window of length W + V,
// so at most b - r*V + r*(W + V) = b + r*W requests are admitted in the window. A new home starts with an empty bucket,
// so the limit also holds across a change of home.
//
// With Options.ByPriority, operations have classes of priority. The Reserve of a bucket leaves tokens in it for the more
// urgent classes, and a TokenCache hands its tokens to the more urgent callers first. Both only decide who gets the tokens
// of the bucket, so that the limit holds as without classes. The less urgent classes together keep lowerShare.
//
// # Usage
//
// At the home, while its lease is valid:
//
//	grant := homes.Grant(now, leaseStart, "sertao_coop", allotment.Settings{Rate: 100, Burst: 200}, wanted)
//
// At an instance that receives requests:
//
//	limiter := allotment.NewLimiter(taker, settings, allotment.Options{})
//	if reason := limiter.Take(ctx, "sertao_coop"); reason != "" {
//		return outcome.NotRun(reason)
//	}
//
// By priority, with the Homes and the Limiter of a Taker that implements ClassTaker:
//
//	grant := homes.GrantByClass(now, leaseStart, "sertao_coop", settings, allotment.ByClass{1, 0, 4})
//	reason, retry := limiter.TakeClass(ctx, "sertao_coop", allotment.ClassOf(priority))
//
// Bucket, Reserve and TokenCache do no I/O and take the time as a parameter. Homes and Limiter are safe for concurrent use.
package allotment

import (
	"sync"
	"time"
)

const (
	// Validity is how long a batch may be used, unless the organisation's burst is too small (see Settings.Validity).
	Validity = 200 * time.Millisecond
	// clockDriftMargin is the fraction of the validity that a TokenCache does not use, because its clock may run slower
	// than that of the home.
	clockDriftMargin = 0.1
	// MinBurst is the smallest burst that can be enforced with batches.
	MinBurst = 2
)

// Settings are the limits of an organisation.
type Settings struct {
	Rate  float64 // requests per second
	Burst float64 // requests
}

// Valid reports whether the settings can be enforced. With invalid settings nothing is admitted.
func (s Settings) Valid() bool { return s.Rate > 0 && s.Burst >= MinBurst }

// Validity returns how long a batch may be used. It is shorter than the constant Validity if the tokens granted during
// that time would exceed half of the burst.
func (s Settings) Validity() time.Duration {
	if s.Rate <= 0 {
		return Validity
	}
	return min(Validity, time.Duration(s.Burst/2/s.Rate*float64(time.Second)))
}

// capacity returns the burst of the bucket at the home: the organisation's burst less the tokens that other instances may
// still use.
func (s Settings) capacity() float64 { return s.Burst - s.Rate*s.Validity().Seconds() }

// Grant is the home's answer to a request for tokens.
type Grant struct {
	Granted    int           // tokens
	NotHome    bool          // the instance that was asked does not hold the organisation's lease
	RetryAfter time.Duration // time until the next token, if fewer than requested were granted
	ByClass    ByClass       // parts of Granted by class; only from Reserve.Take
	Reserved   float64       // tokens that the lowest class left to the more urgent ones; only from Reserve.Take
}

// Bucket is a token bucket that starts empty. It is not safe for concurrent use.
type Bucket struct {
	level     float64
	updatedAt time.Time
}

// NewBucket returns a bucket that is empty at start and fills from then on.
func NewBucket(start time.Time) *Bucket { return &Bucket{updatedAt: start} }

// Take takes as many tokens as are available, up to wanted. With invalid settings it takes none.
func (b *Bucket) Take(now time.Time, s Settings, wanted int) Grant {
	if !s.Valid() {
		return Grant{}
	}
	b.refill(now, s)
	n := max(0, min(wanted, int(b.level)))
	b.level -= float64(n)
	g := Grant{Granted: n}
	if n < wanted {
		g.RetryAfter = max(time.Millisecond, time.Duration((1-b.level)/s.Rate*float64(time.Second)))
	}
	return g
}

// refill adds the tokens of the time since the last request, up to the capacity.
func (b *Bucket) refill(now time.Time, s Settings) {
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.level += elapsed.Seconds() * s.Rate
		b.updatedAt = now
	}
	b.level = min(b.level, s.capacity())
}

// Add adds tokens that accumulated before the bucket started, up to the capacity.
func (b *Bucket) Add(s Settings, tokens float64) {
	if s.Valid() {
		b.level = min(b.level+tokens, s.capacity())
	}
}

// account is the bucket of one organisation during one uninterrupted lease.
type account struct {
	bucket     *Bucket
	reserve    *Reserve
	leaseStart time.Time
}

// Homes holds the buckets of the organisations whose home is this instance. The zero value is ready to use.
type Homes struct {
	mu       sync.Mutex
	accounts map[string]account
}

// Grant takes tokens of an organisation. The caller has checked that it holds the lease at now, and has held it without
// interruption since leaseStart. If leaseStart differs from that of the last call, the bucket is replaced by an
// empty one.
func (h *Homes) Grant(now, leaseStart time.Time, organisation string, s Settings, wanted int) Grant {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.account(leaseStart, organisation).bucket.Take(now, s, wanted)
}

// GrantByClass is Grant with the tokens that are wanted by class. The organisation's Reserve decides who gets them; like
// the bucket it starts anew with the lease.
func (h *Homes) GrantByClass(now, leaseStart time.Time, organisation string, s Settings, wanted ByClass) Grant {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.account(leaseStart, organisation)
	return a.reserve.Take(now, a.bucket, s, wanted)
}

// Add adds tokens that an organisation accumulated before its home began. The caller must know that they were not used.
func (h *Homes) Add(leaseStart time.Time, organisation string, s Settings, tokens float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.account(leaseStart, organisation).bucket.Add(s, tokens)
}

// account returns the bucket of an organisation and its reserve for the lease that began at leaseStart, and creates them if
// necessary. The caller holds the lock.
func (h *Homes) account(leaseStart time.Time, organisation string) account {
	a, ok := h.accounts[organisation]
	if !ok || !a.leaseStart.Equal(leaseStart) {
		a = account{bucket: NewBucket(leaseStart), reserve: &Reserve{}, leaseStart: leaseStart}
		if h.accounts == nil {
			h.accounts = make(map[string]account)
		}
		h.accounts[organisation] = a
	}
	return a
}
