package allotment

import "time"

const (
	// overRateMemory is how long after a request that was not granted in full an organisation counts as over its rate.
	overRateMemory = 500 * time.Millisecond
	// outlookPeriod is how long an organisation must be over its rate before callers are refused without a wait.
	outlookPeriod = time.Second
	outlookWindow = 2 * time.Second // time constant of the callers of a class and of the tokens that they get
	mostDue       = 2.0             // tokens; bounds those that are due to less urgent callers while none of them waits
	// leastRetry and longestRetry bound the time after which refused callers are told to retry. Past longestRetry most
	// callers have given up.
	leastRetry   = 100 * time.Millisecond
	longestRetry = 5 * time.Second
)

// overRate reports whether the organisation was recently refused tokens.
func (tc *TokenCache) overRate(now time.Time) bool {
	return !tc.shortAt.IsZero() && now.Sub(tc.shortAt) < overRateMemory
}

// recordShortage records that a call was granted fewer tokens than it asked for.
func (tc *TokenCache) recordShortage(now time.Time) {
	if !tc.overRate(now) {
		tc.shortSince = now
	}
	tc.shortAt = now
}

// countServed counts a token that a caller of a class got, and what is then due to the less urgent that wait.
func (tc *TokenCache) countServed(now time.Time, c Class) {
	if !tc.options.ByPriority {
		return
	}
	tc.served[c].add(now, outlookWindow, 1)
	for k := Class(1); k < Classes; k++ {
		tc.due[k] = min(mostDue, tc.due[k]+lowerShare)
		if c >= k {
			tc.due[k] = max(0, tc.due[k]-1)
		}
	}
}

// unlikelyServed reports whether a further caller of a class would wait in vain: one of its class waits already, less than half
// of the callers of the class get a token, and the tokens that they get within Options.RateWait are too few. The caller
// that waits already keeps asking, so that the class gets the tokens that become free.
func (tc *TokenCache) unlikelyServed(now time.Time, c Class) bool {
	if !tc.options.ByPriority || tc.homeUnavailable || !tc.overRate(now) || now.Sub(tc.shortSince) < outlookPeriod {
		return false
	}
	ahead := tc.waitingOf(c)
	if ahead == 0 {
		return false
	}
	expected := tc.served[c].rate(now, outlookWindow) * tc.options.RateWait.Seconds()
	return tc.scarce(now, c) && expected < float64(ahead+1)/2
}

// scarce reports whether less than half of the callers of a class get a token.
func (tc *TokenCache) scarce(now time.Time, c Class) bool {
	return tc.served[c].rate(now, outlookWindow) < tc.asked[c].rate(now, outlookWindow)/2
}

// RetryAfter returns when a refused caller of a class is to come back. If the class gets few tokens, it is when those of its
// callers that wait or were refused within a second have got theirs, at the rate at which the class gets them; otherwise
// it is when the home expects a further token. It is 0 if nothing is known.
func (tc *TokenCache) RetryAfter(now time.Time, c Class) time.Duration {
	if !tc.options.ByPriority || tc.homeUnavailable || !tc.overRate(now) || now.Sub(tc.shortSince) < outlookPeriod {
		return 0
	}
	if !tc.scarce(now, c) {
		return max(leastRetry, tc.nextCallAt.Sub(now)).Round(time.Millisecond)
	}
	served := tc.served[c].rate(now, outlookWindow)
	refused := tc.asked[c].rate(now, outlookWindow) - served
	seconds := (refused + float64(tc.waitingOf(c)) + 1) / max(served, 1/longestRetry.Seconds())
	d := time.Duration(min(seconds, longestRetry.Seconds()) * float64(time.Second))
	return max(leastRetry, d).Round(time.Millisecond)
}
