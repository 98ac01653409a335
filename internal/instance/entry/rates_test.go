package entry_test

import (
	"math"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/belief"
	"tanagercross/internal/instance/entry"
)

// Guards against shares of a rate that add up to more than the rate, and against demand that finds too little of it.
func TestSharesOfARate(t *testing.T) {
	places := []string{"agreste", "litoral", "sertao"}
	for _, rates := range [][]float64{{0, 0, 0}, {30, 0, 0}, {10, 10, 10}, {200, 1, 1}} {
		demands := map[string]belief.Demand{}
		for n, p := range places {
			demands[p] = belief.Demand{Place: p, Rates: map[string]float64{"coop": rates[n]}}
		}
		sum := 0.0
		for _, p := range places {
			sum += entry.Share("coop", p, places, demands)
		}
		if math.Abs(sum-1) > 1e-9 {
			t.Errorf("demand %v: shares add up to %v", rates, sum)
		}
		if s := entry.Share("coop", "agreste", places, demands); rates[0] > 20 && s < 0.75 || s < 0.1 {
			t.Errorf("demand %v: share %v", rates, s)
		}
	}
}

// Guards against an organisation that gets more than its rate and burst over all instances together, and against one
// that is refused within its rate.
func TestRateHoldsOverAllInstances(t *testing.T) {
	const rate, window = 60.0, 3
	f := newFleet(t, "agreste", "agreste", "sertao")
	f.cluster.Configure(configuration(2, rate, keyText))
	time.Sleep(1500 * time.Millisecond)
	var admitted, refused atomic.Int64
	var callers sync.WaitGroup
	end := time.Now().Add(window * time.Second)
	for n := range f.nodes {
		for range 3 {
			callers.Go(func() {
				s := f.session(n, "plates")
				for time.Now().Before(end) {
					if s.read("plates").OK() {
						admitted.Add(1)
					} else {
						refused.Add(1)
					}
				}
			})
		}
	}
	callers.Wait()
	if limit := int64(rate*window + rate); admitted.Load() > limit+limit/10 {
		t.Errorf("%d admitted in %d s, want at most %d", admitted.Load(), window, limit)
	}
	if least := int64(rate * window / 2); admitted.Load() < least || refused.Load() == 0 {
		t.Errorf("%d admitted, %d refused; want at least %d admitted and some refused", admitted.Load(), refused.Load(), least)
	}
}

// Guards against callers that are refused within their rate because the steward of the place stops, and against a new
// steward that believes that its place has no demand.
func TestRateSurvivesTheSteward(t *testing.T) {
	const rate = 100.0
	f := newFleet(t, "agreste", "agreste", "agreste", "sertao", "litoral")
	f.cluster.Configure(configuration(2, rate, keyText))
	time.Sleep(500 * time.Millisecond)
	stop := make(chan struct{})
	var served, refused atomic.Int64
	var callers sync.WaitGroup
	for n := range f.nodes {
		callers.Go(func() {
			s := f.session(n, "plates")
			for {
				select {
				case <-stop:
					return
				case <-time.After(90 * time.Millisecond): // about 11 a second, 55 in all
				}
				switch a := s.read("plates"); {
				case a.OK():
					served.Add(1)
				case a.Code == statement.TooMany:
					refused.Add(1)
				}
			}
		})
	}
	time.Sleep(4 * time.Second)
	refused.Store(0)
	served.Store(0)
	for n := range 3 {
		if f.nodes[n].Steward() {
			f.nodes[n].Leave()
			break
		}
	}
	time.Sleep(3 * time.Second)
	close(stop)
	callers.Wait()
	if r, s := refused.Load(), served.Load(); r > s/50 {
		t.Errorf("%d refused and %d served inside the rate", r, s)
	}
}
