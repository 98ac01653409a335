package allotment

import (
	"math"
	"time"

	"tanagercross/internal/session/outcome"
)

// Defaults of Options.
const (
	DefaultWaiting  = 256
	DefaultRateWait = 250 * time.Millisecond
	DefaultHomeWait = time.Second
	DefaultTimeout  = 500 * time.Millisecond
	DefaultBackoff  = 50 * time.Millisecond
	DefaultIdle     = 10 * time.Second
)

const (
	demandWindow  = time.Second // time constant of the demand estimate
	firstTripTime = 5 * time.Millisecond
	batchShare    = 0.5 // a batch covers this share of its validity, so that few tokens expire
	prefetchFloor = 3.0 // expected requests in a batch below which nothing is prefetched
)

// Options sets limits of an entry. Zero fields take the defaults.
type Options struct {
	Waiting  int           // callers that wait for tokens of one organisation
	RateWait time.Duration // longest wait for the bucket to fill
	HomeWait time.Duration // longest wait for a home that does not answer
	Timeout  time.Duration // of one call to the home
	Backoff  time.Duration // after a call that failed
	Idle     time.Duration // an organisation without traffic is forgotten after this time
	// Now is the clock of a Limiter; nil is that of the machine.
	Now func() time.Time
}

// WithDefaults returns a copy with zero fields set.
func (o Options) WithDefaults() Options {
	set := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	if o.Waiting <= 0 {
		o.Waiting = DefaultWaiting
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

// Ticket numbers a waiting caller.
type Ticket uint64

type batch struct {
	tokens  int
	expires time.Time
}

type waiting struct {
	ticket Ticket
	since  time.Time
}

// Call is what to ask the home for.
type Call struct {
	Wanted int
	Unused int // tokens that expired since the last call
	sent   time.Time
}

// Refusal ends the wait of a caller.
type Refusal struct {
	Ticket Ticket
	Reason outcome.Reason
}

// Entry holds the tokens of one organisation at one entry instance. It is not safe for concurrent use.
type Entry struct {
	options  Options
	batches  []batch
	waiting  []waiting
	next     Ticket
	calling  bool
	after    time.Time // no call before
	failing  bool      // the last call got no answer from a home
	unused   int
	until    time.Time // end of the validity of the last token taken
	demand   float64   // requests per second
	asked    time.Time
	tripTime time.Duration
}

// NewEntry returns an entry without tokens.
func NewEntry(o Options) *Entry {
	return &Entry{options: o.WithDefaults(), tripTime: firstTripTime}
}

// Ask asks for one token. Without a reason and a ticket it was granted; with a ticket the caller waits.
func (e *Entry) Ask(now time.Time) (Ticket, outcome.Reason) {
	e.measure(now)
	if len(e.waiting) == 0 && e.take(now) {
		return 0, ""
	}
	if len(e.waiting) >= e.options.Waiting {
		return 0, e.reason()
	}
	e.next++
	e.waiting = append(e.waiting, waiting{ticket: e.next, since: now})
	return e.next, ""
}

func (e *Entry) reason() outcome.Reason {
	if e.failing {
		return outcome.RateHomeUnavailable
	}
	return outcome.RateExceeded
}

func (e *Entry) measure(now time.Time) {
	if elapsed := now.Sub(e.asked); elapsed > 0 {
		e.demand *= math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
	}
	e.demand += 1 / demandWindow.Seconds()
	e.asked = now
}

func (e *Entry) take(now time.Time) bool {
	e.drop(now)
	if len(e.batches) == 0 {
		return false
	}
	e.until = e.batches[0].expires
	if e.batches[0].tokens--; e.batches[0].tokens == 0 {
		e.batches = e.batches[1:]
	}
	return true
}

// Until returns when the last token that was taken ends to be valid. It must be asked after the token was handed over,
// because the process may have been paused in between.
func (e *Entry) Until() time.Time { return e.until }

func (e *Entry) drop(now time.Time) {
	for len(e.batches) > 0 && !now.Before(e.batches[0].expires) {
		e.unused += e.batches[0].tokens
		e.batches = e.batches[1:]
	}
}

func (e *Entry) tokens() int {
	n := 0
	for _, b := range e.batches {
		n += b.tokens
	}
	return n
}

// Next returns the call to make now, if any. Each call must be followed by Receive or Fail.
func (e *Entry) Next(now time.Time, s Settings) (Call, bool) {
	e.drop(now)
	if e.calling || now.Before(e.after) {
		return Call{}, false
	}
	expected := e.demand * s.Validity().Seconds() * batchShare
	ahead := 0
	if expected >= prefetchFloor {
		ahead = int(expected)
	}
	held := e.tokens()
	// Tokens are fetched ahead when those held would be used up before an answer comes.
	low := float64(held) <= e.demand*2*e.tripTime.Seconds()
	if len(e.waiting) == 0 && (ahead <= held || !low) {
		return Call{}, false
	}
	c := Call{Wanted: len(e.waiting) + max(0, ahead-held), Unused: e.unused, sent: now}
	e.calling, e.unused = true, 0
	return c, true
}

// Wake returns when Next is worth asking again without another event; zero if it is not.
func (e *Entry) Wake() time.Time {
	if e.calling || len(e.waiting) == 0 {
		return time.Time{}
	}
	return e.after
}

// Receive takes the answer of a call and returns the callers whose wait ends with a token.
func (e *Entry) Receive(now time.Time, c Call, g Grant, s Settings) []Ticket {
	if g.NotHome {
		e.Fail(now)
		return nil
	}
	e.calling, e.failing = false, false
	e.tripTime += (now.Sub(c.sent) - e.tripTime) / 4
	if g.Granted < c.Wanted {
		e.after = now.Add(g.RetryAfter)
	}
	// The validity counts from before the call was sent; the grant was made later.
	expires := c.sent.Add(time.Duration(float64(s.Validity()) * (1 - drift)))
	if g.Granted > 0 {
		e.batches = append(e.batches, batch{tokens: g.Granted, expires: expires})
	}
	var served []Ticket
	for len(e.waiting) > 0 && e.take(now) {
		served = append(served, e.waiting[0].ticket)
		e.waiting = e.waiting[1:]
	}
	return served
}

// Fail ends a call that got no answer from a home.
func (e *Entry) Fail(now time.Time) {
	e.calling, e.failing = false, true
	e.after = now.Add(e.options.Backoff)
}

// Expire ends the wait of callers that have waited too long.
func (e *Entry) Expire(now time.Time) []Refusal {
	limit := e.options.RateWait
	if e.failing {
		limit = e.options.HomeWait
	}
	var ended []Refusal
	for len(e.waiting) > 0 && now.Sub(e.waiting[0].since) >= limit {
		ended = append(ended, Refusal{Ticket: e.waiting[0].ticket, Reason: e.reason()})
		e.waiting = e.waiting[1:]
	}
	return ended
}

// Cancel ends the wait of a caller that has gone.
func (e *Entry) Cancel(t Ticket) {
	for n, w := range e.waiting {
		if w.ticket == t {
			e.waiting = append(e.waiting[:n:n], e.waiting[n+1:]...)
			return
		}
	}
}

// Idle reports whether the entry can be forgotten.
func (e *Entry) Idle(now time.Time) bool {
	return !e.calling && len(e.waiting) == 0 && now.Sub(e.asked) >= e.options.Idle
}
