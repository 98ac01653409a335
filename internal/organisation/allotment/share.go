package allotment

import (
	"maps"
	"slices"
	"time"
)

// The rate of an organisation is divided between the places by their demand. The load that this answers: the demand of
// all places rises within a second, because an organisation becomes busy everywhere or all instances restart. A place
// that counted its own new demand before the others know of it would let the organisation exceed its rate; a place that
// waits for a fixed time leaves most of the rate unused while the others count the new demand of everyone else.

const (
	// evenShare is the part of a rate that is divided evenly between the places, so that a place whose demand has just
	// begun has tokens.
	evenShare = 0.3
	// demandOffset is added to the demand of each place, in operations per second, so that a rate with little demand is
	// divided almost evenly.
	demandOffset = 0.5
	// earlyGain is how many more tokens a place must get until the regular time for a publication before that time. Each
	// publication is sent to all places, and traffic between regions is paid for.
	earlyGain = 6
	// maxPending bounds the publications that are kept while a place is not reached.
	maxPending = 8
)

// PlaceShare returns a place's part of an organisation's rate: evenShare of the rate is divided evenly between the places,
// and the rest in proportion to their demand in operations per second. The shares of all places add up to 1.
func PlaceShare(place string, places []string, demand func(place string) float64) float64 {
	sum, own := 0.0, 0.0
	for _, p := range places {
		d := demand(p) + demandOffset
		sum += d
		if p == place {
			own = d
		}
	}
	if sum == 0 {
		return 0
	}
	return evenShare/float64(len(places)) + (1-evenShare)*own/sum
}

// PlaceDemand is the demand of a place: as it was published to the other places, and as the place may count it in its own
// share. A lower demand counts at once. A higher one counts when every other place has acknowledged it, so that the others
// have lowered their shares before. While a place is not reached, it may be serving callers with its old share, and no
// higher demand counts. The zero value is the demand of a place that has published nothing.
type PlaceDemand struct {
	inForce map[string]float64 // operations per second, by organisation
	pending []publication      // oldest first
}

// publication is a published demand that not all places are known to have received.
type publication struct {
	at           time.Duration
	rates        map[string]float64
	acknowledged map[string]bool // by place
}

// StartPlaceDemand returns the demand of a place whose new coordinator knows what the one before it published.
func StartPlaceDemand(rates map[string]float64) PlaceDemand { return PlaceDemand{inForce: rates} }

// Counted returns the demand of an organisation that the place counts in its own share.
func (d PlaceDemand) Counted(organisation string) float64 {
	counted := d.inForce[organisation]
	for _, p := range d.pending {
		counted = min(counted, p.rates[organisation])
	}
	return counted
}

// WithPublished returns the demand after rates were published. Of more than maxPending publications that wait for an
// acknowledgement, the oldest one lowers the demand in force and is forgotten.
func (d PlaceDemand) WithPublished(now time.Duration, rates map[string]float64) PlaceDemand {
	d.pending = append(slices.Clip(d.pending), publication{at: now, rates: rates})
	if len(d.pending) <= maxPending {
		return d
	}
	lowered := map[string]float64{}
	for organisation, rate := range d.inForce {
		lowered[organisation] = min(rate, d.pending[0].rates[organisation])
	}
	return PlaceDemand{inForce: lowered, pending: d.pending[1:]}
}

// withInForce returns the demand with a pending publication in force and the earlier ones dropped.
func (d PlaceDemand) withInForce(n int) PlaceDemand {
	return PlaceDemand{inForce: d.pending[n].rates, pending: d.pending[n+1:]}
}

// WithAcknowledged returns the demand after a place has confirmed that it knows what was published at a moment. places are
// all places with instances, self among them.
func (d PlaceDemand) WithAcknowledged(place string, at time.Duration, self string, places []string) PlaceDemand {
	n := slices.IndexFunc(d.pending, func(p publication) bool { return p.at == at })
	if n < 0 {
		return d
	}
	acknowledged := map[string]bool{self: true, place: true}
	maps.Copy(acknowledged, d.pending[n].acknowledged)
	d.pending = slices.Clone(d.pending)
	d.pending[n].acknowledged = acknowledged
	for _, p := range places {
		if !acknowledged[p] {
			return d
		}
	}
	return d.withInForce(n)
}

// Gain returns how many more tokens a place gets during an interval if its share of a rate grows.
func Gain(counted, present, rate float64, interval time.Duration) float64 {
	return max(0, present-counted) * rate * interval.Seconds()
}

// EarlyPublication reports whether the gain over all organisations is worth a publication before the regular time.
func EarlyPublication(gain float64) bool { return gain >= earlyGain }
