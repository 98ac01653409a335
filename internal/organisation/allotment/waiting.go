package allotment

import (
	"slices"
	"time"
)

// waiting is a caller that waits for a token. Callers wait in the order of their classes, those of one class in the order of
// arrival.
type waiting struct {
	ticket   Ticket
	class    Class
	queuedAt time.Time
}

// waits reports whether a caller of the class or a more urgent one waits.
func (tc *TokenCache) waits(c Class) bool { return len(tc.waiting) > 0 && tc.waiting[0].class <= c }

// waitingOf returns how many callers of a class wait.
func (tc *TokenCache) waitingOf(c Class) int {
	n := 0
	for _, w := range tc.waiting {
		if w.class == c {
			n++
		}
	}
	return n
}

// enqueue adds a caller behind those of its class.
func (tc *TokenCache) enqueue(w waiting) {
	n := len(tc.waiting)
	for n > 0 && tc.waiting[n-1].class > w.class {
		n--
	}
	tc.waiting = slices.Insert(tc.waiting, n, w)
}

// displace makes room for a caller of a class by refusing the newest of the least urgent callers. It returns false if none
// is less urgent.
func (tc *TokenCache) displace(now time.Time, c Class) bool {
	last := len(tc.waiting) - 1
	if last < 0 || tc.waiting[last].class <= c {
		return false
	}
	w := tc.waiting[last]
	tc.waiting = tc.waiting[:last]
	tc.displaced = append(tc.displaced, Refusal{Ticket: w.ticket, Reason: tc.reason(), RetryAfter: tc.RetryAfter(now, w.class)})
	return true
}

// Displaced returns the callers that Request refused in favour of more urgent ones since the last call.
func (tc *TokenCache) Displaced() []Refusal {
	refused := tc.displaced
	tc.displaced = nil
	return refused
}

// Serve hands the tokens that are held to the waiting callers and returns their tickets. Receive does so too; further calls
// hand out tokens that are no longer kept for more urgent callers.
func (tc *TokenCache) Serve(now time.Time) []Ticket {
	var served []Ticket
	var earliest time.Time
	for len(tc.waiting) > 0 {
		n := tc.next(now)
		if n < 0 || !tc.takeToken(now) {
			break
		}
		if earliest.IsZero() || tc.lastExpiry.Before(earliest) {
			earliest = tc.lastExpiry
		}
		w := tc.waiting[n]
		tc.countServed(now, w.class)
		served = append(served, w.ticket)
		tc.waiting = slices.Delete(tc.waiting, n, n+1)
	}
	if len(served) > 0 {
		tc.lastExpiry = earliest
	}
	return served
}

// next returns the index of the waiting caller that gets the next token: the first one, or one of a less urgent class to
// which a token is due. It returns -1 if the tokens are kept for callers that are expected.
func (tc *TokenCache) next(now time.Time) int {
	if !tc.options.ByPriority {
		return 0
	}
	for c := Lowest; c > 0; c-- {
		if tc.due[c] < 1 {
			continue
		}
		if n := slices.IndexFunc(tc.waiting, func(w waiting) bool { return w.class >= c }); n >= 0 {
			return n
		}
	}
	if !tc.mayTake(now, tc.waiting[0].class) {
		return -1
	}
	return 0
}

// mayTake reports whether a caller of a class may take a token that is held. While the organisation is over its rate, the
// tokens that more urgent callers are expected to need before they expire are kept for them.
func (tc *TokenCache) mayTake(now time.Time, c Class) bool {
	if !tc.options.ByPriority || c == 0 || !tc.overRate(now) {
		return true
	}
	tc.dropExpired(now)
	if len(tc.batches) == 0 {
		return false
	}
	expected := 0.0
	for u := range c {
		expected += tc.asked[u].rate(now, outlookWindow)
	}
	remaining := tc.batches[len(tc.batches)-1].expires.Sub(now)
	return tc.tokens() > int(expected*remaining.Seconds())
}

// prefetch returns how many tokens are to be held for the callers that are expected within a part of the validity of a
// batch. While the organisation is over its rate, tokens are held only for classes that get what they ask for, and only as
// many as mayTake keeps for them: others would go to the less urgent callers that wait.
func (tc *TokenCache) prefetch(now time.Time, validity time.Duration) ByClass {
	ahead := func(perSecond float64) int {
		expected := perSecond * validity.Seconds() * batchValidityShare
		if expected < minPrefetchTokens {
			return 0
		}
		return int(expected)
	}
	if !tc.options.ByPriority || !tc.overRate(now) {
		return tc.divided(now, ahead(tc.demand))
	}
	var tokens ByClass
	for c := range Lowest {
		if !tc.scarce(now, c) {
			tokens[c] = ahead(tc.asked[c].rate(now, outlookWindow))
		}
	}
	return tokens
}

// divided divides tokens between the classes by their demand.
func (tc *TokenCache) divided(now time.Time, tokens int) ByClass {
	sum := 0.0
	for c := range tc.asked {
		sum += tc.asked[c].rate(now, outlookWindow)
	}
	var divided ByClass
	for c := range Lowest {
		if sum > 0 {
			divided[c] = int(float64(tokens) * tc.asked[c].rate(now, outlookWindow) / sum)
		}
	}
	return divided.Completed(tokens)
}
