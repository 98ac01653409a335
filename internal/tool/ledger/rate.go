package ledger

import (
	"math"
	"time"

	"tanagercross/internal/session/outcome"
)

// checkRate measures the service of one organisation against its rate. Entries are in the order of their start.
func checkRate(r *Report, entries []Entry, rate Rate) {
	var own []Entry
	for _, e := range entries {
		if e.Organisation == rate.Organisation {
			own = append(own, e)
		}
	}
	if len(own) == 0 {
		return
	}
	if share := servedShare(own, rate); share < r.WorstOrganisationShare || r.WorstOrganisation == "" {
		r.WorstOrganisation, r.WorstOrganisationShare = rate.Organisation, share
	}
	inside, refused := refusedInside(own, rate)
	r.InsideRate += inside
	r.RefusedInsideRate += refused
	r.OverRate = max(r.OverRate, overRate(own, rate))
}

// servedShare returns the requests that were done as a share of the fair share, which is what was offered, at most rate
// and burst over the time.
func servedShare(own []Entry, rate Rate) float64 {
	duration := own[len(own)-1].Started.Sub(own[0].Started).Seconds()
	settled := settle(own)
	done := 0
	for _, q := range settled {
		if q.outcome == outcome.Done {
			done++
		}
	}
	fair := math.Min(float64(len(settled)), rate.PerSecond*duration+rate.Burst)
	if fair <= 0 {
		return 1
	}
	return math.Min(1, float64(done)/fair)
}

// refusedInside runs a token bucket over the attempts. An attempt that finds a token is inside the rate.
func refusedInside(own []Entry, rate Rate) (inside, refused int) {
	tokens, last := rate.Burst, own[0].Started
	for _, e := range own {
		tokens = math.Min(rate.Burst, tokens+rate.PerSecond*e.Started.Sub(last).Seconds())
		last = e.Started
		if tokens < 1 {
			continue
		}
		tokens--
		inside++
		if e.Outcome == outcome.NotRunOutcome && refusedForLoad(e.Reason) {
			refused++
		}
	}
	return inside, refused
}

func refusedForLoad(r outcome.Reason) bool {
	switch r {
	case outcome.RateExceeded, outcome.RateHomeUnavailable, outcome.QueueFull, outcome.QueueTimeout:
		return true
	}
	return false
}

// overRate returns the admitted attempts over rate and burst in the worst window. A window reaches from the start of its
// first attempt to the latest end in it, since the moment of admission in between is not known to the caller.
func overRate(own []Entry, rate Rate) int {
	admitted, worst := 0.0, 0.0
	lowest, origin := math.Inf(1), own[0].Started
	latest := time.Time{}
	for _, e := range own {
		if e.Outcome == outcome.NotRunOutcome {
			continue
		}
		lowest = math.Min(lowest, admitted-rate.PerSecond*e.Started.Sub(origin).Seconds())
		admitted++
		if e.Ended.After(latest) {
			latest = e.Ended
		}
		worst = math.Max(worst, admitted-rate.PerSecond*latest.Sub(origin).Seconds()-lowest-rate.Burst)
	}
	return int(worst)
}
