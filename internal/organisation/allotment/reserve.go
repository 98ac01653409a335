package allotment

import (
	"math"
	"time"
)

const (
	// lowerShare is the part of the rate that the classes below each class have together while they want it.
	lowerShare = 0.05
	// lowerShareWindow bounds the part of lowerShare that is saved while the less urgent want nothing.
	lowerShareWindow = time.Second
	// reserveHorizon is the time whose expected demand is reserved. A caller that finds no token waits for about as long.
	reserveHorizon = 200 * time.Millisecond
	// reserveDeviations is how many standard deviations of the demand within the horizon are reserved beside its mean.
	reserveDeviations = 2.0
	reserveWindow     = time.Second            // time constant of the learnt demand
	unmetWindow       = 100 * time.Millisecond // time constant of the tokens that could not be granted
	leastLearntDemand = 0.05                   // tokens per second; less counts as no demand
	// askingPeriod is how long a class that was refused tokens counts as wanting them. Callers wait for less.
	askingPeriod = 250 * time.Millisecond
	// longestReserveRetry bounds the time to the next request that the reserve causes, because the demand for which it is
	// kept may end before.
	longestReserveRetry = 100 * time.Millisecond
)

// Reserve decides which tokens of a bucket each class may take. A class leaves in the bucket the tokens that the more
// urgent classes are expected to want, learnt from the tokens that they took and could not get. It also leaves those that
// are due to the less urgent: lowerShare of the rate, while they want it. The reserve is never so large that tokens
// overflow while somebody wants them, and it grants no more than the bucket holds. The zero value has learnt nothing and
// grants in order of arrival.
type Reserve struct {
	demand  [Classes]estimate // granted tokens per second
	unmet   [Classes]float64  // tokens that could not be granted lately
	unmetAt [Classes]time.Time
	// due holds the tokens that are due to a class and the less urgent ones together. That of class 0 is not used.
	due       [Classes]float64
	updatedAt time.Time
}

// Take takes tokens of a bucket, those of the most urgent class first. With invalid settings it takes none.
func (r *Reserve) Take(now time.Time, b *Bucket, s Settings, wanted ByClass) Grant {
	if !s.Valid() {
		return Grant{}
	}
	b.refill(now, s)
	r.addDue(now, s)
	g := Grant{Reserved: r.above(now, Lowest, s)}
	for n := range wanted {
		c := Class(n)
		granted := max(0, min(wanted[c], r.available(now, c, b.level, s)))
		b.level -= float64(granted)
		g.ByClass[c] = granted
		r.record(now, c, wanted[c], granted)
	}
	g.Granted = g.ByClass.Total()
	if unmet := wanted.Minus(g.ByClass).mostUrgent(); unmet < Classes {
		g.RetryAfter = r.retryAfter(now, unmet, b.level, s)
	}
	return g
}

// addDue adds the share of the less urgent for the time since the last request.
func (r *Reserve) addDue(now time.Time, s Settings) {
	elapsed := now.Sub(r.updatedAt)
	if r.updatedAt.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	r.updatedAt = now
	share := lowerShare * s.Rate
	most := max(1, min(share*lowerShareWindow.Seconds(), s.capacity()/4))
	for c := 1; c < Classes; c++ {
		r.due[c] = min(most, r.due[c]+share*elapsed.Seconds())
	}
}

// available returns how many tokens a class may take from a bucket with the given level.
func (r *Reserve) available(now time.Time, c Class, level float64, s Settings) int {
	level -= r.owedBelow(now, c)
	free := level - r.above(now, c, s)
	if c > 0 {
		free = max(free, min(level, math.Floor(r.due[c])))
	}
	return int(free)
}

// above returns the tokens that a class leaves in the bucket for the more urgent ones. The limit lets the level rise past
// the reserve before the bucket overflows.
func (r *Reserve) above(now time.Time, c Class, s Settings) float64 {
	sum := 0.0
	for u := range c {
		if d := r.demand[u].rate(now, reserveWindow); d >= leastLearntDemand {
			expected := d * reserveHorizon.Seconds()
			sum += expected + reserveDeviations*math.Sqrt(expected)
		}
		sum += r.unmetNow(now, u)
	}
	return min(sum, max(0, (s.capacity()-1)/2))
}

// unmetNow returns the tokens that could not be granted to a class lately.
func (r *Reserve) unmetNow(now time.Time, c Class) float64 {
	elapsed := now.Sub(r.unmetAt[c])
	if elapsed > askingPeriod {
		return 0
	}
	return r.unmet[c] * math.Exp(-elapsed.Seconds()/unmetWindow.Seconds())
}

// owedBelow returns the whole tokens that are due to the classes below one that want them.
func (r *Reserve) owedBelow(now time.Time, c Class) float64 {
	owed := 0.0
	for first := c + 1; first < Classes; first++ {
		for k := first; k < Classes; k++ {
			if r.unmetNow(now, k) > 0 {
				owed = max(owed, math.Floor(r.due[first]))
			}
		}
	}
	return owed
}

// record learns from what a class wanted and got.
func (r *Reserve) record(now time.Time, c Class, wanted, granted int) {
	if granted > 0 {
		r.demand[c].add(now, reserveWindow, granted)
	}
	for k := Class(1); k <= c; k++ {
		r.due[k] = max(0, r.due[k]-float64(granted))
	}
	if missing := float64(wanted - granted); missing > 0 {
		r.unmet[c], r.unmetAt[c] = max(missing, r.unmetNow(now, c)), now
	}
}

// retryAfter returns the time until a class may take a token, if the demand of the more urgent ones stays as it is.
func (r *Reserve) retryAfter(now time.Time, c Class, level float64, s Settings) time.Duration {
	until := func(missing, rate float64) time.Duration {
		return max(time.Millisecond, time.Duration(missing/rate*float64(time.Second)))
	}
	next := until(1-level, s.Rate)
	held := until(1-(level-r.above(now, c, s)-r.owedBelow(now, c)), s.Rate)
	if c > 0 {
		held = min(held, until(1-r.due[c], lowerShare*s.Rate))
	}
	return max(next, min(held, longestReserveRetry))
}
