package entry

import (
	"context"
	"math"
	"slices"
	"time"

	"tanagercross/internal/fleet/view"
	"tanagercross/internal/instance/metric"
	"tanagercross/internal/organisation/allotment"
)

const (
	// borrowTimeout bounds the calls to other places for one request. It is short enough that the instance that waits for
	// its coordinator still gets the answer.
	borrowTimeout = 180 * time.Millisecond
	maxLenders    = 3 // places called for one request
	// lenderBackOff is how long a place that could not lend all requested tokens is not called again for the organisation.
	// It bounds the traffic between regions that an organisation above its rate causes.
	lenderBackOff = 500 * time.Millisecond
)

// lender is a place that may lend tokens of an organisation.
type lender struct{ organisation, place string }

// grantOrBorrow hands out tokens of the place, and borrows the missing ones from other places. Shares follow the demand
// averaged over seconds, and the share of one place is too small for random peaks.
func (r *rates) grantOrBorrow(ctx context.Context, organisation string, wanted allotment.ByClass) allotment.Grant {
	g, a := r.grantLocal(organisation, wanted)
	if g.NotHome || g.Granted >= wanted.Total() || a.organisation == "" {
		return g
	}
	r.recordShortage(organisation)
	borrowed, from := r.borrow(ctx, a, r.missing(wanted, g))
	g.Granted += borrowed
	r.n.observer.metrics.Add(metric.TokensBorrowed, borrowed)
	fields := []any{
		"organisation", organisation, "rate", a.rate, "burst", a.burst, "part", a.part,
		"live", a.live, "all", a.all, "wanted", wanted.Total(), "granted", g.Granted, "borrowed", borrowed, "lenders", from,
		"retry_ms", g.RetryAfter.Milliseconds(),
	}
	if r.n.settings.PriorityScheduling {
		fields = append(fields, "wanted_by_priority", wanted, "granted_by_priority", g.ByClass, "reserved", math.Round(g.Reserved))
	}
	r.n.log.Info("rate used up", fields...)
	return g
}

// missing returns the wanted tokens that the place did not grant.
func (r *rates) missing(wanted allotment.ByClass, g allotment.Grant) allotment.ByClass {
	if r.n.settings.PriorityScheduling {
		return wanted.Minus(g.ByClass)
	}
	return wanted.Without(g.Granted)
}

// recordShortage records that the place has fewer tokens of an organisation than its callers need.
func (r *rates) recordShortage(organisation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shortOf[organisation] = true
}

// grantLocal hands out tokens of the place alone. If this instance is not the coordinator, the grant says so.
func (r *rates) grantLocal(organisation string, wanted allotment.ByClass) (allotment.Grant, allowance) {
	if !r.n.gossip.isCoordinator() {
		return allotment.Grant{NotHome: true}, allowance{}
	}
	now := r.n.boot()
	a, ok := r.allowance(now, organisation)
	if !ok {
		return allotment.Grant{}, allowance{}
	}
	return r.grant(now, a, wanted), a
}

// borrow requests tokens from up to maxLenders places, one after the other, those with the most unused rate first. It
// returns the number of tokens and the places that were called.
func (r *rates) borrow(ctx context.Context, a allowance, wanted allotment.ByClass) (n int, from []string) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	now := r.n.boot()
	for _, place := range Lenders(a.organisation, a.rate, r.n.settings.Place, r.n.table.Places(), r.n.table.Demands()) {
		if n >= wanted.Total() || len(from) == maxLenders || ctx.Err() != nil {
			break
		}
		r.mu.Lock()
		paused := now < r.lenderPausedUntil[lender{a.organisation, place}]
		r.mu.Unlock()
		if paused {
			continue
		}
		n += r.requestTokens(ctx, a.organisation, place, wanted.Without(n))
		from = append(from, place)
		if n < wanted.Total() {
			r.mu.Lock()
			r.lenderPausedUntil[lender{a.organisation, place}] = now + lenderBackOff
			r.mu.Unlock()
		}
	}
	return n, from
}

// requestTokens requests tokens from the coordinator of a place and returns their number, 0 if there is no answer. Tokens
// of an answer that arrives too late are lost.
func (r *rates) requestTokens(ctx context.Context, organisation, place string, wanted allotment.ByClass) int {
	now := r.n.boot()
	for _, m := range r.n.table.Coordinators(place) {
		if r.n.table.Suspected(now, m.Name) {
			continue
		}
		t := r.tokenRequest(organisation, wanted)
		t.Lend = true
		g, err := r.n.client.TakeTokens(ctx, m.Address, t)
		if err != nil {
			r.n.log.Warn("no answer about tokens", "organisation", organisation, "place", place, "steward", m.Name, "error", err.Error())
			return 0
		}
		return min(wanted.Total(), g.Granted)
	}
	return 0
}

// Lenders returns the other places whose share of an organisation's rate exceeds their demand, those with the most unused
// rate first.
func Lenders(organisation string, rate float64, self string, places []string, demands map[string]view.Demand) []string {
	spare := map[string]float64{}
	var list []string
	demand := func(place string) float64 { return demands[place].Rates[organisation] }
	for _, p := range places {
		spare[p] = rate*allotment.PlaceShare(p, places, demand) - demand(p)
		if p != self && spare[p] > 0 {
			list = append(list, p)
		}
	}
	slices.SortStableFunc(list, func(a, b string) int {
		switch {
		case spare[a] > spare[b]:
			return -1
		case spare[a] < spare[b]:
			return 1
		}
		return 0
	})
	return list
}
