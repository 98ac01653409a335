package entry

import (
	"context"
	"maps"
	"math"
	"sync"
	"time"

	"tanagercross/internal/fleet/relay"
	"tanagercross/internal/fleet/view"
	"tanagercross/internal/organisation/allotment"
	"tanagercross/internal/session/outcome"
)

const (
	// demandHalfLife smooths the demand that shares are made from.
	demandHalfLife = 1500 * time.Millisecond
	// demandFor is how long the demand of an instance counts after it was heard.
	demandFor = 3 * time.Second
	// evenShare is the part of a rate that is divided evenly between places, so that demand that moves finds some.
	evenShare = 0.3
	// smallDemand is added to the demand of each place, in operations per second, so that little demand divides evenly.
	smallDemand = 0.5
	// restartShare is the time between the end of a place's instances and their start anew, for which the place may have
	// saved up tokens. The time from the start to the first steward is added, up to maximumSaved. Nothing was admitted
	// meanwhile, and callers come back at once.
	restartShare = 400 * time.Millisecond
	maximumSaved = 2 * time.Second
	// savedFor is how long a steward hands out what was saved up, while it hears the instances of its place.
	savedFor = time.Second
)

// rates keeps organisations in their rates. The steward of a place hands out the place's share of each rate, cut by the
// part of the place's instances that it hears: instances that are cut off together have no more than their part. A place
// that has used its share up borrows tokens from the others.
type rates struct {
	n     *Node
	homes allotment.Homes

	mu      sync.Mutex
	counts  map[string]float64 // operations since the last tick
	demand  map[string]float64 // smoothed, per second
	ticked  time.Duration
	others  map[string]heardDemand
	saved   time.Duration      // for which the place has saved up tokens, because all of it starts anew
	given   map[string]float64 // tokens of that time that the bucket has got, by organisation
	settled view.Demand        // own place's demand as last told to others
	next    view.Demand
	empty   map[lender]time.Duration // places that had nothing to lend, until then
}

type heardDemand struct {
	rates map[string]float64
	heard time.Duration
}

func newRates(n *Node) *rates {
	return &rates{n: n, counts: map[string]float64{}, demand: map[string]float64{}, others: map[string]heardDemand{}, empty: map[lender]time.Duration{}}
}

// admit takes a token and counts the demand.
func (r *rates) admit(ctx context.Context, organisation string) outcome.Reason {
	r.mu.Lock()
	r.counts[organisation]++
	r.mu.Unlock()
	return r.n.limiter.Take(ctx, organisation)
}

// whole returns the settings of an organisation for all instances together.
func (r *rates) whole(organisation string) allotment.Settings {
	o, ok := r.n.table.Configuration().Organisation(organisation)
	if !ok {
		return allotment.Settings{}
	}
	return allotment.Settings{Rate: o.Rate, Burst: max(o.Burst, allotment.MinBurst)}
}

// tick smooths the demand and settles what the place tells the others.
func (r *rates) tick(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	elapsed := (now - r.ticked).Seconds()
	if r.ticked == 0 || elapsed <= 0 {
		r.ticked = now
		return
	}
	r.ticked = now
	kept := math.Exp2(-elapsed / demandHalfLife.Seconds())
	for o := range r.counts {
		if _, ok := r.demand[o]; !ok {
			r.demand[o] = 0
		}
	}
	for o, d := range r.demand {
		d = d*kept + r.counts[o]/elapsed*(1-kept)
		if d < 1e-3 {
			delete(r.demand, o)
			continue
		}
		r.demand[o] = d
	}
	clear(r.counts)
	maps.DeleteFunc(r.empty, func(_ lender, until time.Duration) bool { return now >= until })
	r.publish(now)
}

// publish tells the demand of the place. The place itself uses a value only after it was told for one period, so that
// others have lowered their shares before it raises its own.
func (r *rates) publish(now time.Duration) {
	if !r.n.exchanges.steward() || r.next.UpdatedAt > 0 && now-r.next.UpdatedAt < farPeriod {
		return
	}
	total := map[string]float64{}
	for o, d := range r.demand {
		total[o] += d
	}
	for name, other := range r.others {
		if now-other.heard > demandFor {
			delete(r.others, name)
			continue
		}
		for o, d := range other.rates {
			total[o] += d
		}
	}
	r.settled = r.next
	r.next = view.Demand{Place: r.n.settings.Place, Rates: total, UpdatedAt: now}
	r.n.table.SetDemand(r.next)
}

// takeOver starts from what the earlier steward of the place told last. A new value is told once the others have reported.
func (r *rates) takeOver(now time.Duration) {
	told := r.n.table.Demands()[r.n.settings.Place]
	r.mu.Lock()
	defer r.mu.Unlock()
	r.saved, r.given = 0, map[string]float64{}
	if told.UpdatedAt == 0 {
		r.saved = min(restartShare+now-r.n.exchanges.started, maximumSaved)
	}
	told.UpdatedAt = now
	r.settled, r.next = told, told
}

// own returns the demand at this instance.
func (r *rates) own() map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]float64, len(r.demand))
	for o, d := range r.demand {
		out[o] = d
	}
	return out
}

func (r *rates) heard(name string, demand map[string]float64, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.others[name] = heardDemand{rates: demand, heard: now}
}

// share returns the part of an organisation's rate that this place may use.
func (r *rates) share(organisation string) float64 {
	places := r.n.table.Places()
	demands := r.n.table.Demands()
	r.mu.Lock()
	demands[r.n.settings.Place] = r.settled
	r.mu.Unlock()
	return Share(organisation, r.n.settings.Place, places, demands)
}

// Share divides a rate between places by their demand.
func Share(organisation, place string, places []string, demands map[string]view.Demand) float64 {
	sum, mine := 0.0, 0.0
	for _, p := range places {
		d := demands[p].Rates[organisation] + smallDemand
		sum += d
		if p == place {
			mine = d
		}
	}
	if sum == 0 {
		return 0
	}
	return evenShare/float64(len(places)) + (1-evenShare)*mine/sum
}

// allowance is what a place may hand out of an organisation's rate.
type allowance struct {
	allotment.Settings         // of the place
	organisation       string  // name
	rate               float64 // of all places together
	burst              float64
	part               float64 // of the whole rate
	live, all          int     // instances of the place that are heard, and that there are
}

// allowance returns the place's part of a rate. It fails for an organisation that is not configured.
func (r *rates) allowance(now time.Duration, organisation string) (a allowance, ok bool) {
	o, ok := r.n.table.Configuration().Organisation(organisation)
	if !ok {
		return a, false
	}
	a = allowance{organisation: organisation, rate: o.Rate, burst: o.Burst}
	a.live, a.all = r.n.table.CountAlive(now)
	a.part = r.share(organisation) * float64(a.live) / float64(max(1, a.all))
	a.Settings = allotment.Settings{Rate: o.Rate * a.part, Burst: max(o.Burst*a.part, allotment.MinBurst)}
	return a, true
}

// grant hands out tokens of the place.
func (r *rates) grant(now time.Duration, a allowance, wanted int) allotment.Grant {
	since := r.n.exchanges.began()
	if tokens := r.unused(now-since, a.organisation, a.Rate); tokens > 0 {
		r.homes.Add(moment(since), a.organisation, a.Settings, tokens)
	}
	return r.homes.Grant(moment(now), moment(since), a.organisation, a.Settings, wanted)
}

// learn takes what another instance of the place told: a demand from before this steward shows that the place has served
// meanwhile and saved nothing.
func (r *rates) learn(demands []view.Demand) {
	since := r.n.exchanges.began()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range demands {
		if d.Place == r.n.settings.Place && d.UpdatedAt < since {
			r.saved = 0
		}
	}
}

// unused returns the tokens that a place that starts anew has saved up and not yet put into the bucket. They grow with
// the part of the place that is heard and has not served before.
func (r *rates) unused(acting time.Duration, organisation string, rate float64) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.saved == 0 || acting > savedFor {
		return 0
	}
	tokens := rate*r.saved.Seconds() - r.given[organisation]
	if tokens <= 0 {
		return 0
	}
	r.given[organisation] += tokens
	return tokens
}

// moment turns a reading of the boot clock into a time, for code that takes times.
func moment(d time.Duration) time.Time { return time.Unix(0, 0).Add(d) }

// Take implements allotment.Taker: it asks the steward of the place.
func (r *rates) Take(ctx context.Context, organisation string, wanted, _ int) (allotment.Grant, error) {
	if r.n.exchanges.steward() {
		return r.supply(ctx, organisation, wanted), nil
	}
	now := r.n.boot()
	for _, m := range r.n.table.Coordinators(r.n.settings.Place) {
		if m.Name == r.n.settings.Name || r.n.exchanges.failing(now, m.Name) {
			continue
		}
		g, err := r.n.client.Take(ctx, m.Address, relay.Tokens{From: r.n.settings.Name, Organisation: organisation, Wanted: wanted})
		if err != nil {
			r.n.table.Suspect(r.n.boot(), m.Name)
		}
		return g, err
	}
	return allotment.Grant{NotHome: true}, nil
}

// admission adapts rates to the port of conversations.
type admission struct{ r *rates }

// Take implements conversation.Limiter.
func (a admission) Take(ctx context.Context, organisation string) outcome.Reason {
	return a.r.admit(ctx, organisation)
}
