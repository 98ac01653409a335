package allotment

import (
	"context"
	"sync"
	"time"

	"tanagercross/internal/session/outcome"
)

// Taker requests tokens from the home of an organisation. Unused is the number of tokens that expired unused since the
// last call. An error means that no home answered.
type Taker interface {
	Take(ctx context.Context, organisation string, wanted, unused int) (Grant, error)
}

// ClassTaker is a Taker that requests tokens by class. A Limiter with Options.ByPriority calls it instead of Take.
type ClassTaker interface {
	Taker
	TakeByClass(ctx context.Context, organisation string, wanted ByClass) (Grant, error)
}

// SettingsFunc returns the current settings of an organisation.
type SettingsFunc func(organisation string) Settings

// maxExpiryCheckInterval is the longest time between two checks for callers that have waited too long.
const maxExpiryCheckInterval = 20 * time.Millisecond

// organisationQueue is the state of one organisation at this instance.
type organisationQueue struct {
	cache   *TokenCache
	waiters map[Ticket]chan answer // buffered, so that answer does not block
	running bool                   // a goroutine is in runCalls
}

// answer ends the wait of a caller: with the reason of a refusal, or with a token that is valid before expires.
type answer struct {
	reason     outcome.Reason
	retryAfter time.Duration // see TokenCache.RetryAfter
	expires    time.Time
}

// Limiter admits the requests that arrive at this instance. For each organisation with requests it keeps a TokenCache and
// runs a goroutine that calls the home.
type Limiter struct {
	taker    Taker
	settings SettingsFunc
	options  Options

	mu        sync.Mutex
	queues    map[string]*organisationQueue
	lastSweep time.Time
}

// NewLimiter returns a limiter without tokens. It starts no goroutine before the first Take.
func NewLimiter(t Taker, s SettingsFunc, o Options) *Limiter {
	return &Limiter{taker: t, settings: s, options: o.WithDefaults(), queues: make(map[string]*organisationQueue)}
}

// Take is TakeClass for a caller of the lowest class.
func (l *Limiter) Take(ctx context.Context, organisation string) outcome.Reason {
	reason, _ := l.TakeClass(ctx, organisation, Lowest)
	return reason
}

// TakeClass takes one token of an organisation, and waits for it if necessary. It returns "" once it has one, rate_exceeded or
// rate_home_unavailable otherwise. A token that has expired when the caller receives it, because the process was paused,
// is discarded and another one is taken. With a reason it returns when the caller is to retry, 0 if that is not known.
func (l *Limiter) TakeClass(ctx context.Context, organisation string, c Class) (outcome.Reason, time.Duration) {
	for {
		a := l.take(ctx, organisation, c)
		if a.reason != "" || l.options.Now().Before(a.expires) {
			return a.reason, a.retryAfter
		}
	}
}

// take takes one token without checking whether it has expired meanwhile. It starts runCalls if that is not running.
func (l *Limiter) take(ctx context.Context, organisation string, c Class) answer {
	l.mu.Lock()
	now := l.options.Now()
	l.removeIdle(now)
	q := l.queues[organisation]
	if q == nil {
		q = &organisationQueue{cache: NewTokenCache(l.options), waiters: make(map[Ticket]chan answer)}
		l.queues[organisation] = q
	}
	ticket, reason := q.cache.RequestClass(now, c)
	immediate := answer{reason: reason, expires: q.cache.LastTokenExpiry()}
	if reason != "" {
		immediate.retryAfter = q.cache.RetryAfter(now, c)
	}
	q.refuse(q.cache.Displaced())
	var wait chan answer
	if ticket != 0 {
		wait = make(chan answer, 1)
		q.waiters[ticket] = wait
	}
	if !q.running {
		q.running = true
		go l.runCalls(organisation, q)
	}
	l.mu.Unlock()
	if ticket == 0 {
		return immediate
	}
	select {
	case a := <-wait:
		return a
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	q.cache.Cancel(ticket)
	delete(q.waiters, ticket)
	return answer{reason: q.cache.reason(), retryAfter: q.cache.RetryAfter(l.options.Now(), c)}
}

// runCalls calls the home of one organisation and refuses callers that have waited too long. It returns when there is no
// call to make and nobody waits.
func (l *Limiter) runCalls(organisation string, q *organisationQueue) {
	for {
		s := l.settings(organisation)
		l.mu.Lock()
		now := l.options.Now()
		q.serve(q.cache.Serve(now))
		q.refuse(q.cache.ExpireWaiters(now))
		call, ok := q.cache.NextCall(now, s)
		wake := q.cache.NextCallTime()
		if !ok && wake.IsZero() {
			q.running = false
			l.mu.Unlock()
			return
		}
		l.mu.Unlock()
		if !ok {
			time.Sleep(max(time.Millisecond, min(maxExpiryCheckInterval, wake.Sub(now))))
			continue
		}
		l.call(organisation, q, call, s)
	}
}

// call makes one call to the home and hands the granted tokens to the waiting callers.
func (l *Limiter) call(organisation string, q *organisationQueue, c Call, s Settings) {
	ctx, cancel := context.WithTimeout(context.Background(), l.options.Timeout)
	defer cancel()
	grant, err := l.request(ctx, organisation, c)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		q.cache.CallFailed(l.options.Now())
		return
	}
	q.serve(q.cache.Receive(l.options.Now(), c, grant, s))
}

// request sends a call to the home.
func (l *Limiter) request(ctx context.Context, organisation string, c Call) (Grant, error) {
	if t, ok := l.taker.(ClassTaker); ok && l.options.ByPriority {
		return t.TakeByClass(ctx, organisation, c.ByClass)
	}
	return l.taker.Take(ctx, organisation, c.Wanted, c.Unused)
}

// serve ends the wait of callers that got tokens just now.
func (q *organisationQueue) serve(tickets []Ticket) {
	for _, t := range tickets {
		q.answer(t, answer{expires: q.cache.LastTokenExpiry()})
	}
}

// refuse ends the wait of callers without a token.
func (q *organisationQueue) refuse(refusals []Refusal) {
	for _, r := range refusals {
		q.answer(r.Ticket, answer{reason: r.Reason, retryAfter: r.RetryAfter})
	}
}

// answer ends the wait of a caller, unless the caller has cancelled it.
func (q *organisationQueue) answer(t Ticket, a answer) {
	if c := q.waiters[t]; c != nil {
		c <- a
		delete(q.waiters, t)
	}
}

// removeIdle drops the state of organisations without requests, at most once in Options.Idle. The caller holds
// the lock.
func (l *Limiter) removeIdle(now time.Time) {
	if now.Sub(l.lastSweep) < l.options.Idle {
		return
	}
	l.lastSweep = now
	for name, q := range l.queues {
		if !q.running && q.cache.Idle(now) {
			delete(l.queues, name)
		}
	}
}
