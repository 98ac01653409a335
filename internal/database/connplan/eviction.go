package connplan

import (
	"math"
	"time"
)

// Reason says why the connection of an organisation is closed for another one.
type Reason string

// Reasons for an eviction.
const (
	Surplus Reason = "surplus" // the organisation has more connections than it is expected to need at the same time
	Demand  Reason = "demand"  // the organisation is expected to need its only connection least
)

// Eviction is the choice of the idle connection to close: the one of an organisation that has been idle for the longest time.
type Eviction struct {
	Organisation string
	Reason       Reason
	Connections  int     // of the organisation, before the eviction
	Calls        float64 // per second, recent calls of the organisation
	Saved        float64 // openings per second that the connection is expected to save, weighted by priority
}

// leastNeeded returns the organisation whose idle connection is expected to save the fewest openings; of several the one
// with the connection that has been idle for the longest time.
func (p *Plan) leastNeeded(now time.Duration, idle []Idle) (least Eviction, ok bool) {
	since := time.Duration(math.MaxInt64)
	for _, i := range idle {
		if i.Count == 0 {
			continue
		}
		e := p.worth(now, i)
		if !ok || e.Saved < least.Saved || e.Saved == least.Saved && i.Since < since {
			least, since, ok = e, i.Since, true
		}
	}
	return least, ok
}

// worth returns what the last connection of an organisation is worth.
func (p *Plan) worth(now time.Duration, i Idle) Eviction {
	e := Eviction{Organisation: i.Organisation, Reason: Demand, Connections: i.Count}
	o := p.organisations[i.Organisation]
	if o == nil {
		return e
	}
	decay := o.decay(now)
	e.Connections += o.busy
	e.Calls = o.calls * decay
	e.Saved = o.demand * decay
	if e.Connections > 1 {
		e.Reason = Surplus
		e.Saved *= atLeast(e.Connections-1, e.Calls*o.use.Seconds())
	}
	return e
}

// atLeast returns the probability that n or more calls run at the same time, if mean run on average and their number has a
// Poisson distribution.
func atLeast(n int, mean float64) float64 {
	fewer, term := 0.0, math.Exp(-mean)
	for k := range n {
		fewer += term
		term *= mean / float64(k+1)
	}
	return max(0, 1-fewer)
}
