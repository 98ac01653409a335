package allotment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against shares of a rate that do not add up to the rate, and against a place whose share is too small for its
// demand.
func TestPlaceShare(t *testing.T) {
	places := []string{"agreste", "litoral", "sertao"}
	for _, rates := range [][]float64{{0, 0, 0}, {30, 0, 0}, {10, 10, 10}, {200, 1, 1}} {
		demands := map[string]float64{}
		for n, p := range places {
			demands[p] = rates[n]
		}
		demand := func(place string) float64 { return demands[place] }
		sum := 0.0
		for _, p := range places {
			sum += PlaceShare(p, places, demand)
		}
		if math.Abs(sum-1) > 1e-9 {
			t.Errorf("demand %v: shares add up to %v, want 1", rates, sum)
		}
		if s := PlaceShare("agreste", places, demand); rates[0] > 20 && s < 0.75 || s < 0.1 {
			t.Errorf("demand %v: share of agreste %v, want at least 0.1, and 0.75 if its demand is above 20", rates, s)
		}
	}
}

const (
	tickInterval    = 300 * time.Millisecond
	regularInterval = 900 * time.Millisecond
	demandHalfLife  = 1500 * time.Millisecond
	rate            = 180.0 // operations per second of all places together
)

// simulatedPlace is a place that publishes its demand of one organisation and knows what it received from the others.
type simulatedPlace struct {
	name      string
	phase     time.Duration // of its ticks
	target    float64       // demand that its callers have from the start
	demand    PlaceDemand
	published publication
	known     map[string]float64
	answered  map[int]time.Duration // moment of the publication in the last answer to a place
}

// delivery is a message with a published demand, or the acknowledgement of one.
type delivery struct {
	due      time.Duration
	from, to int
	content  publication
	answers  time.Duration // moment of the publication that the sender acknowledges
}

// shares simulates places whose demand begins at the same moment, and returns the sum of their shares for each millisecond.
func shares(random *rand.Rand, demands []float64, duration time.Duration) []float64 {
	var names []string
	var places []*simulatedPlace
	for n, d := range demands {
		names = append(names, fmt.Sprint(n))
		places = append(places, &simulatedPlace{
			name: names[n], target: d, known: map[string]float64{}, answered: map[int]time.Duration{}, phase: time.Duration(random.IntN(300)) * time.Millisecond,
		})
	}
	share := func(p *simulatedPlace, own float64) float64 {
		return PlaceShare(p.name, names, func(place string) float64 {
			if place == p.name {
				return own
			}
			return p.known[place]
		})
	}
	var messages []delivery
	send := func(now time.Duration, d delivery) {
		d.due = now + 20*time.Millisecond + time.Duration(random.Int64N(int64(20*time.Millisecond)))
		messages = append(messages, d)
	}
	var sums []float64
	for now := time.Duration(0); now < duration; now += time.Millisecond {
		for n, p := range places {
			if now%tickInterval != p.phase {
				continue
			}
			present := p.target * (1 - math.Exp2(-now.Seconds()/demandHalfLife.Seconds()))
			age := now - p.published.at
			gain := Gain(share(p, p.demand.Counted("coop")), share(p, present), rate, regularInterval)
			urgent := age >= tickInterval && EarlyPublication(gain)
			if !urgent && age < regularInterval {
				continue
			}
			p.published = publication{at: now, rates: map[string]float64{"coop": present}}
			p.demand = p.demand.WithPublished(now, p.published.rates)
			for to := range places {
				if to != n && (urgent || to > n) {
					send(now, delivery{from: n, to: to, content: p.published})
				}
			}
		}
		var later []delivery
		for _, m := range messages {
			if m.due > now {
				later = append(later, m)
				continue
			}
			receiver := places[m.to]
			receiver.known[names[m.from]] = m.content.rates["coop"]
			if m.answers > 0 {
				receiver.demand = receiver.demand.WithAcknowledged(names[m.from], m.answers, receiver.name, names)
			}
		}
		for _, m := range messages {
			if m.due <= now && m.answers == 0 {
				// A call shows that the answer to the one before it has arrived.
				called := places[m.to]
				if at, ok := called.answered[m.from]; ok {
					called.demand = called.demand.WithAcknowledged(names[m.from], at, called.name, names)
				}
				called.answered[m.from] = called.published.at
				d := delivery{due: now + 20*time.Millisecond, from: m.to, to: m.from, content: places[m.to].published, answers: m.content.at}
				later = append(later, d)
			}
		}
		messages = later
		sum := 0.0
		for _, p := range places {
			sum += share(p, p.demand.Counted("coop"))
		}
		sums = append(sums, sum)
	}
	return sums
}

// Guards against an organisation that gets a third of its rate for a second because it becomes busy in all places at once,
// as after a restart of all instances, and against shares that add up to more than the rate meanwhile.
func TestSharesWhileAllPlacesBecomeBusy(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 7))
		demands := make([]float64, 3+random.IntN(4))
		for n := range demands {
			demands[n] = 20 + 40*random.Float64()
		}
		sums := shares(random, demands, 3*time.Second)
		total := 0.0
		for ms, s := range sums {
			total += s
			if s > 1+1e-9 {
				t.Fatalf("seed %d: shares add up to %.3f after %d ms, want at most 1", seed, s, ms)
			}
		}
		if mean := total / float64(len(sums)); mean < 0.95 {
			t.Errorf("seed %d: %d places use %.2f of the rate in the first 3 s, want 0.95", seed, len(demands), mean)
		}
	}
}

// Guards against shares that add up to more than the rate while a place is cut off: its coordinator hands out tokens by the
// demand that it knew before, so that a higher demand of another place must not count however long it is published.
func TestHigherDemandDoesNotCountWhileAPlaceIsCutOff(t *testing.T) {
	places := []string{"agreste", "litoral", "sertao"}
	d := StartPlaceDemand(map[string]float64{"coop": 10})
	for n := range 40 {
		now := time.Duration(n+1) * regularInterval
		d = d.WithPublished(now, map[string]float64{"coop": 200})
		d = d.WithAcknowledged("sertao", now, "agreste", places)
		if counted := d.Counted("coop"); counted != 10 {
			t.Fatalf("demand %v counts after %d publications that litoral has not received, want 10", counted, n+1)
		}
	}
	if len(d.pending) > maxPending {
		t.Errorf("%d publications are kept, want at most %d", len(d.pending), maxPending)
	}
	d = d.WithPublished(time.Hour, map[string]float64{"coop": 150})
	d = d.WithAcknowledged("sertao", time.Hour, "agreste", places).WithAcknowledged("litoral", time.Hour, "agreste", places)
	if counted := d.Counted("coop"); counted != 150 {
		t.Errorf("demand %v counts after the acknowledgement of all, want 150", counted)
	}
}

// Guards against a lower demand that is forgotten while it waits for an acknowledgement.
func TestLowerDemandOutlastsForgottenPublications(t *testing.T) {
	d := StartPlaceDemand(map[string]float64{"coop": 100}).WithPublished(time.Second, map[string]float64{"coop": 5})
	for n := range 3 * maxPending {
		d = d.WithPublished(time.Duration(n+2)*time.Second, map[string]float64{"coop": 100})
	}
	if counted := d.Counted("coop"); counted != 5 {
		t.Errorf("demand %v counts, want 5", counted)
	}
}
