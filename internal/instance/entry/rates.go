package entry

import (
	"context"
	"errors"
	"maps"
	"math"
	"sync"
	"time"

	"tanagercross/internal/fleet/relay"
	"tanagercross/internal/fleet/roster"
	"tanagercross/internal/fleet/view"
	"tanagercross/internal/organisation/allotment"
	"tanagercross/internal/service/recovery"
	"tanagercross/internal/session/outcome"
)

const (
	// demandHalfLife is the half-life of the smoothed demand, from which the shares of the places are computed.
	demandHalfLife = 1500 * time.Millisecond
	// demandTTL is how long the demand that another instance of the place reported is counted.
	demandTTL = 3 * time.Second
	// urgentInterval is the shortest time between two publications of the demand. Each is sent to all places.
	urgentInterval = 280 * time.Millisecond
	// assumedDowntime is the assumed time between the stop of all instances of a place and their restart. Tokens
	// accumulate during this time and until the place has a coordinator, for at most maxSavedTime: nothing was admitted
	// meanwhile, and all callers return at the same time.
	assumedDowntime = 400 * time.Millisecond
	maxSavedTime    = 2 * time.Second
	// savedTokensTTL is how long a new coordinator hands out these tokens. They become available as the instances of the
	// place are seen.
	savedTokensTTL = time.Second
)

// rates limits the rate of each organisation's operations over all instances. The coordinator of a place hands out the
// place's share of each rate, reduced to the part of the place's instances that are alive in its view: instances that are
// partitioned from the rest of their place get only their part. A place that has used up its share borrows tokens from
// other places.
type rates struct {
	n       *Node
	buckets allotment.Homes

	mu                sync.Mutex
	counts            map[string]float64 // operations since the last tick, by organisation
	demand            map[string]float64 // smoothed operations per second at this instance, by organisation
	lastTick          time.Duration
	memberDemands     map[string]memberDemand
	savedTime         time.Duration            // time for which the place has accumulated tokens, because all its instances restarted
	savedGranted      map[string]float64       // accumulated tokens already put into the bucket, by organisation
	placeDemand       allotment.PlaceDemand    // of the own place
	publishedAt       time.Duration            // when placeDemand was last published
	answeredWith      map[string]time.Duration // moment of the publication in the last answer to a coordinator of another place, by its name
	shortOf           map[string]bool          // organisations with too few tokens since the last tick
	lenderPausedUntil map[lender]time.Duration // until when places that could not lend enough are skipped
}

// memberDemand is the demand that another instance of the place reported.
type memberDemand struct {
	rates    map[string]float64
	reported time.Duration
}

func newRates(n *Node) *rates {
	return &rates{n: n, counts: map[string]float64{}, demand: map[string]float64{}, memberDemands: map[string]memberDemand{}, shortOf: map[string]bool{}, answeredWith: map[string]time.Duration{}, lenderPausedUntil: map[lender]time.Duration{}}
}

// admit takes a token for an operation of an organisation and counts the operation as demand. It returns the reason of a
// refusal, if any, and the time to retry, if that is known.
func (r *rates) admit(ctx context.Context, organisation string, priority uint8) (outcome.Reason, time.Duration) {
	r.mu.Lock()
	r.counts[organisation]++
	r.mu.Unlock()
	if !r.n.settings.PriorityScheduling {
		return r.n.limiter.Take(ctx, organisation), 0
	}
	c := allotment.ClassOf(priority)
	reason, retry := r.n.limiter.TakeClass(ctx, organisation, c)
	r.n.observer.tokenDecided(c, reason)
	return reason, retry
}

// totalSettings returns the rate and burst of an organisation for all instances together, zero if it is not configured.
func (r *rates) totalSettings(organisation string) allotment.Settings {
	o, ok := r.n.table.Configuration().Organisation(organisation)
	if !ok {
		return allotment.Settings{}
	}
	return allotment.Settings{Rate: o.Rate, Burst: max(o.Burst, allotment.MinBurst)}
}

// tick updates the smoothed demand of this instance and publishes the demand of the place. It reports whether the other
// places are to be notified at once.
func (r *rates) tick(now time.Duration) (urgent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	elapsed := (now - r.lastTick).Seconds()
	if r.lastTick == 0 || elapsed <= 0 {
		r.lastTick = now
		return false
	}
	r.lastTick = now
	decay := math.Exp2(-elapsed / demandHalfLife.Seconds())
	for o := range r.counts {
		if _, ok := r.demand[o]; !ok {
			r.demand[o] = 0
		}
	}
	for o, d := range r.demand {
		d = d*decay + r.counts[o]/elapsed*(1-decay)
		if d < 1e-3 {
			delete(r.demand, o)
			continue
		}
		r.demand[o] = d
	}
	clear(r.counts)
	maps.DeleteFunc(r.lenderPausedUntil, func(_ lender, until time.Duration) bool { return now >= until })
	return r.publish(now)
}

// publish sets the demand that the coordinator sends to other places, once per remoteInterval, and sooner if the place is
// short of tokens that its present demand entitles it to; then it returns true. The caller holds the lock.
func (r *rates) publish(now time.Duration) (urgent bool) {
	age := now - r.publishedAt
	if !r.n.gossip.isCoordinator() || age < urgentInterval {
		return false
	}
	total := r.total(now)
	urgent = r.deservesMore(total)
	clear(r.shortOf)
	if age < remoteInterval && !urgent {
		return false
	}
	r.placeDemand, r.publishedAt = r.placeDemand.WithPublished(now, total), now
	r.n.table.SetDemand(view.Demand{Place: r.n.settings.Place, Rates: total, UpdatedAt: now})
	return urgent
}

// total returns the present demand of the place, by organisation. The caller holds the lock.
func (r *rates) total(now time.Duration) map[string]float64 {
	total := map[string]float64{}
	for o, d := range r.demand {
		total[o] += d
	}
	for name, other := range r.memberDemands {
		if now-other.reported > demandTTL {
			delete(r.memberDemands, name)
			continue
		}
		for o, d := range other.rates {
			total[o] += d
		}
	}
	return total
}

// deservesMore reports whether the place would get enough more tokens of the organisations that it is short of if its
// present demand counted. The caller holds the lock.
func (r *rates) deservesMore(total map[string]float64) bool {
	if len(r.shortOf) == 0 {
		return false
	}
	places, demands := r.n.table.Places(), r.n.table.Demands()
	gain := 0.0
	for o := range r.shortOf {
		counted := r.shareWith(o, places, demands, r.placeDemand.Counted(o))
		present := r.shareWith(o, places, demands, total[o])
		gain += allotment.Gain(counted, present, r.totalSettings(o).Rate, remoteInterval)
	}
	return allotment.EarlyPublication(gain)
}

// acknowledged records that another place knows the demand of this place that was published at a moment.
func (r *rates) acknowledged(place string, at time.Duration) {
	places := r.n.table.Places()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.placeDemand = r.placeDemand.WithAcknowledged(place, at, r.n.settings.Place, places)
}

// calledBy records a call of the coordinator of another place. It is answered with the published demand of this place. The
// next call shows that the answer before it has arrived: regular calls follow one another, and one after a failure has the
// demand in its own answer.
func (r *rates) calledBy(other view.Presence) {
	places := r.n.table.Places()
	published := r.n.table.Demands()[r.n.settings.Place].UpdatedAt
	r.mu.Lock()
	defer r.mu.Unlock()
	if at, answered := r.answeredWith[other.Name]; answered {
		r.placeDemand = r.placeDemand.WithAcknowledged(other.Place, at, r.n.settings.Place, places)
	}
	r.answeredWith[other.Name] = published
}

// becomeCoordinator prepares a new coordinator: it starts from the demand that the coordinator before it published last,
// until the instances of the place have reported theirs. If no demand of the place is known, all its instances may have
// restarted, and the place has accumulated tokens.
func (r *rates) becomeCoordinator(now time.Duration) {
	earlier := r.n.table.Demands()[r.n.settings.Place]
	r.mu.Lock()
	defer r.mu.Unlock()
	r.savedTime, r.savedGranted = 0, map[string]float64{}
	if earlier.UpdatedAt == 0 {
		r.savedTime = min(assumedDowntime+now-r.n.gossip.started, maxSavedTime)
	}
	r.placeDemand, r.publishedAt = allotment.StartPlaceDemand(earlier.Rates), now
	clear(r.answeredWith)
}

// localDemand returns the demand at this instance, by organisation.
func (r *rates) localDemand() map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]float64, len(r.demand))
	for o, d := range r.demand {
		out[o] = d
	}
	return out
}

// reported stores the demand that another instance of the place reported.
func (r *rates) reported(name string, demand map[string]float64, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.memberDemands[name] = memberDemand{rates: demand, reported: now}
}

// placeShare returns the part of an organisation's rate that this place may use, between 0 and 1.
func (r *rates) placeShare(organisation string) float64 {
	r.mu.Lock()
	counted := r.placeDemand.Counted(organisation)
	r.mu.Unlock()
	return r.shareWith(organisation, r.n.table.Places(), r.n.table.Demands(), counted)
}

// shareWith returns the part of an organisation's rate that this place may use if its own demand is the given one.
func (r *rates) shareWith(organisation string, places []string, demands map[string]view.Demand, own float64) float64 {
	return allotment.PlaceShare(r.n.settings.Place, places, func(place string) float64 {
		if place == r.n.settings.Place {
			return own
		}
		return demands[place].Rates[organisation]
	})
}

// allowance is what a place may hand out of an organisation's rate.
type allowance struct {
	allotment.Settings         // of the place
	organisation       string  // name
	rate               float64 // of all places together
	burst              float64
	part               float64 // of the whole rate
	live, all          int     // instances of the place that are alive, and in total
}

// allowance returns what this place may hand out of an organisation's rate. It fails if the organisation is not
// configured.
func (r *rates) allowance(now time.Duration, organisation string) (a allowance, ok bool) {
	o, ok := r.n.table.Configuration().Organisation(organisation)
	if !ok {
		return a, false
	}
	a = allowance{organisation: organisation, rate: o.Rate, burst: o.Burst}
	// An instance that has just become the coordinator does not know whether those that it has not seen since then are on
	// its side of a network partition.
	a.live, a.all = r.n.table.CountAlive(now, r.n.gossip.coordinatorSince())
	a.part = r.placeShare(organisation) * float64(a.live) / float64(max(1, a.all))
	a.Settings = allotment.Settings{Rate: o.Rate * a.part, Burst: max(o.Burst*a.part, allotment.MinBurst)}
	return a, true
}

// grant hands out tokens of the place's bucket, after adding tokens accumulated before a restart of the place.
func (r *rates) grant(now time.Duration, a allowance, wanted allotment.ByClass) allotment.Grant {
	since := r.n.gossip.coordinatorSince()
	if tokens := r.takeSavedTokens(now-since, a.organisation, a.Rate); tokens > 0 {
		r.buckets.Add(toTime(since), a.organisation, a.Settings, tokens)
	}
	if r.n.settings.PriorityScheduling {
		return r.buckets.GrantByClass(toTime(now), toTime(since), a.organisation, a.Settings, wanted)
	}
	return r.buckets.Grant(toTime(now), toTime(since), a.organisation, a.Settings, wanted.Total())
}

// checkEarlierDemand checks the demands that another instance of the place sent. A demand of the place from before this
// instance became the coordinator shows that the place has served callers meanwhile and has not accumulated tokens.
func (r *rates) checkEarlierDemand(demands []view.Demand) {
	since := r.n.gossip.coordinatorSince()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range demands {
		if d.Place == r.n.settings.Place && d.UpdatedAt < since {
			r.savedTime = 0
		}
	}
}

// takeSavedTokens returns the accumulated tokens that are not yet in the bucket, and counts them as put there. It returns
// none once this instance has been the coordinator for savedTokensTTL. rate is the present rate of the place, which grows
// while more of its instances are seen.
func (r *rates) takeSavedTokens(coordinating time.Duration, organisation string, rate float64) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.savedTime == 0 || coordinating > savedTokensTTL {
		return 0
	}
	tokens := rate*r.savedTime.Seconds() - r.savedGranted[organisation]
	if tokens <= 0 {
		return 0
	}
	r.savedGranted[organisation] += tokens
	return tokens
}

// toTime converts a reading of the boot clock to a time, for functions that take one.
func toTime(d time.Duration) time.Time { return time.Unix(0, 0).Add(d) }

// errPanicked is the error of a request for tokens that ended by a panic.
var errPanicked = errors.New("entry: rate tokens: panic")

// Take implements allotment.Taker.
func (r *rates) Take(ctx context.Context, organisation string, wanted, _ int) (allotment.Grant, error) {
	return r.TakeByClass(ctx, organisation, allotment.ByClass{}.Completed(wanted))
}

// TakeByClass implements allotment.ClassTaker: it requests tokens from the coordinator of the place. If the call fails, the
// coordinator is suspected. If no instance of the place answers calls, the grant says that this is not the home.
func (r *rates) TakeByClass(ctx context.Context, organisation string, wanted allotment.ByClass) (_ allotment.Grant, err error) {
	defer recovery.Catch(func(p recovery.Panic) {
		r.n.observer.Panicked("rate tokens", p)
		err = errPanicked
	})
	if r.n.gossip.isCoordinator() {
		return r.grantOrBorrow(ctx, organisation, wanted), nil
	}
	now := r.n.boot()
	var skipped []roster.Member
	for _, m := range r.n.table.Coordinators(r.n.settings.Place) {
		if m.Name == r.n.settings.Name {
			continue
		}
		if r.n.gossip.unresponsive(now, m.Name) {
			skipped = append(skipped, m)
			continue
		}
		g, err := r.takeFrom(ctx, m, organisation, wanted)
		if err != nil {
			r.n.table.Suspect(r.n.boot(), m.Name)
		}
		if err != nil || !g.NotHome {
			return g, err
		}
		break
	}
	return r.takeFromSkipped(ctx, skipped, organisation, wanted), nil
}

// takeFrom requests tokens from another instance of the place.
func (r *rates) takeFrom(ctx context.Context, m roster.Member, organisation string, wanted allotment.ByClass) (allotment.Grant, error) {
	return r.n.client.TakeTokens(ctx, m.Address, r.tokenRequest(organisation, wanted))
}

// tokenRequest returns a request for tokens. It names classes only with priority scheduling.
func (r *rates) tokenRequest(organisation string, wanted allotment.ByClass) relay.TokenRequest {
	t := relay.TokenRequest{From: r.n.settings.Name, Organisation: organisation, Wanted: wanted.Total()}
	if r.n.settings.PriorityScheduling {
		t.ByClass = wanted
	}
	return t
}

// takeFromSkipped requests tokens from the first of the instances that were skipped as unresponsive, after another one has
// answered that it is not the coordinator. When all instances of a place restart, one that was called just before it
// listened is the coordinator, and suspected.
func (r *rates) takeFromSkipped(ctx context.Context, skipped []roster.Member, organisation string, wanted allotment.ByClass) allotment.Grant {
	if len(skipped) == 0 {
		return allotment.Grant{NotHome: true}
	}
	ctx, cancel := context.WithTimeout(ctx, rateTokenTimeout)
	defer cancel()
	g, err := r.takeFrom(ctx, skipped[0], organisation, wanted)
	if err != nil {
		r.n.observer.peerUnreachable(skipped[0].Name, err)
		return allotment.Grant{NotHome: true}
	}
	r.n.table.ClearSuspicion(r.n.boot(), skipped[0].Name)
	return g
}

// rateLimiter adapts rates to callersession.Limiter.
type rateLimiter struct{ r *rates }

// Take implements callersession.Limiter.
func (a rateLimiter) Take(ctx context.Context, organisation string, priority uint8) (outcome.Reason, time.Duration) {
	return a.r.admit(ctx, organisation, priority)
}
