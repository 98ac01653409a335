package entry

import (
	"context"
	"slices"
	"time"

	"tanagercross/internal/fleet/relay"
	"tanagercross/internal/fleet/view"
	"tanagercross/internal/instance/metric"
	"tanagercross/internal/organisation/allotment"
)

const (
	// lendTimeout leaves an instance that waits for its steward time for the answer.
	lendTimeout    = 180 * time.Millisecond
	maximumLenders = 3 // asked for one request
	// lendPause is how long a place that had nothing to lend is not asked again for the organisation. It bounds the bytes
	// between regions that an organisation beyond its rate costs.
	lendPause = 500 * time.Millisecond
)

// lender is a place that may lend tokens of an organisation.
type lender struct{ organisation, place string }

// supply hands out tokens of the place, and borrows what is missing from another place: shares follow the demand of
// seconds, and the share of one place is too small for the chance of a moment.
func (r *rates) supply(ctx context.Context, organisation string, wanted int) allotment.Grant {
	g, a := r.hand(organisation, wanted)
	if g.NotHome || g.Granted >= wanted || a.organisation == "" {
		return g
	}
	borrowed, from := r.borrow(ctx, a, wanted-g.Granted)
	g.Granted += borrowed
	r.n.observer.metrics.Add(metric.TokensBorrowed, borrowed)
	r.n.log.Info("rate used up", "organisation", organisation, "rate", a.rate, "burst", a.burst, "part", a.part,
		"live", a.live, "all", a.all, "wanted", wanted, "granted", g.Granted, "borrowed", borrowed, "lenders", from,
		"retry_ms", g.RetryAfter.Milliseconds())
	return g
}

// hand hands out tokens of the place alone.
func (r *rates) hand(organisation string, wanted int) (allotment.Grant, allowance) {
	if !r.n.exchanges.steward() {
		return allotment.Grant{NotHome: true}, allowance{}
	}
	now := r.n.boot()
	a, ok := r.allowance(now, organisation)
	if !ok {
		return allotment.Grant{}, allowance{}
	}
	return r.grant(now, a, wanted), a
}

// borrow asks the places that have most to spare, one after the other.
func (r *rates) borrow(ctx context.Context, a allowance, wanted int) (n int, from []string) {
	ctx, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	now := r.n.boot()
	for _, place := range Lenders(a.organisation, a.rate, r.n.settings.Place, r.n.table.Places(), r.n.table.Demands()) {
		if n >= wanted || len(from) == maximumLenders || ctx.Err() != nil {
			break
		}
		r.mu.Lock()
		paused := now < r.empty[lender{a.organisation, place}]
		r.mu.Unlock()
		if paused {
			continue
		}
		n += r.ask(ctx, a.organisation, place, wanted-n)
		from = append(from, place)
		if n < wanted {
			r.mu.Lock()
			r.empty[lender{a.organisation, place}] = now + lendPause
			r.mu.Unlock()
		}
	}
	return n, from
}

// ask asks the steward of a place for tokens. Those of an answer that comes too late are lost.
func (r *rates) ask(ctx context.Context, organisation, place string, wanted int) int {
	now := r.n.boot()
	for _, m := range r.n.table.Coordinators(place) {
		if r.n.table.Suspected(now, m.Name) {
			continue
		}
		g, err := r.n.client.Take(ctx, m.Address, relay.Tokens{
			From: r.n.settings.Name, Organisation: organisation, Wanted: wanted, Lend: true,
		})
		if err != nil {
			r.n.log.Warn("no answer about tokens", "organisation", organisation, "place", place, "steward", m.Name, "error", err.Error())
			return 0
		}
		return min(wanted, g.Granted)
	}
	return 0
}

// Lenders returns the other places whose share of an organisation's rate exceeds their demand, the most first.
func Lenders(organisation string, rate float64, self string, places []string, demands map[string]view.Demand) []string {
	spare := map[string]float64{}
	var list []string
	for _, p := range places {
		spare[p] = rate*Share(organisation, p, places, demands) - demands[p].Rates[organisation]
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
