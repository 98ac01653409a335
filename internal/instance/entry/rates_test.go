package entry_test

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/view"
	"tanagercross/internal/instance/entry"
)

// Guards against shares of a rate that add up to more than the rate, and against demand that finds too little of it.
func TestSharesOfARate(t *testing.T) {
	places := []string{"agreste", "litoral", "sertao"}
	for _, rates := range [][]float64{{0, 0, 0}, {30, 0, 0}, {10, 10, 10}, {200, 1, 1}} {
		demands := map[string]view.Demand{}
		for n, p := range places {
			demands[p] = view.Demand{Place: p, Rates: map[string]float64{"coop": rates[n]}}
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

// Guards against callers of one place that are refused within the rate of their organisation while the shares of other
// places lie unused, and against tokens that are counted twice on their way.
func TestPlacesLendTokens(t *testing.T) {
	const rate = 12.0
	f := newFleet(t, "agreste", "agreste", "sertao", "litoral")
	f.cluster.Configure(configuration(2, rate, keyText))
	time.Sleep(4 * time.Second) // the buckets of all places fill
	var served atomic.Int64
	var callers sync.WaitGroup
	for range 30 {
		callers.Go(func() {
			if f.session(0, "plates").read("plates").OK() {
				served.Add(1)
			}
		})
	}
	callers.Wait()
	if n := served.Load(); n < 7 || n > rate+4 {
		t.Errorf("%d of 30 served at once, want at least 7 of the %g of all places, and no more than what fills up meanwhile", n, rate)
	}
}

// Guards against calls between regions to places that have nothing to lend.
func TestLenders(t *testing.T) {
	places := []string{"agreste", "litoral", "sertao"}
	demands := map[string]view.Demand{
		"agreste": {Rates: map[string]float64{"coop": 9}}, "litoral": {Rates: map[string]float64{"coop": 6}},
	}
	if got := entry.Lenders("coop", 20, "agreste", places, demands); !slices.Equal(got, []string{"sertao", "litoral"}) {
		t.Errorf("lenders %v, want the one with most to spare first", got)
	}
	demands["sertao"] = view.Demand{Rates: map[string]float64{"coop": 60}}
	if got := entry.Lenders("coop", 20, "agreste", places, demands); slices.Contains(got, "sertao") {
		t.Errorf("lenders %v, want none that asks for more than its share", got)
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

// Guards against callers who are refused within the rate when all instances of a place start again: nothing was admitted
// meanwhile, and everybody asks at once.
func TestPlaceThatStartsAnewHasSavedTokens(t *testing.T) {
	const rate, asked = 60.0, 42
	f := newFleet(t, "agreste", "agreste", "agreste")
	f.cluster.Configure(configuration(2, rate, keyText))
	for _, n := range f.nodes {
		n.Stop()
	}
	f.nodes = nil
	f.cluster.SetStoreDown(true)
	for n := range 3 {
		f.start(fmt.Sprintf("i%d", n+1), "agreste")
	}
	time.Sleep(time.Second)
	f.cluster.SetStoreDown(false)
	for _, n := range f.nodes {
		f.eventually("ready", n.Ready)
		f.session(0, "plates").read("plates") // the first one asks before all instances are heard
	}
	var served atomic.Int64
	var callers sync.WaitGroup
	for n := range asked {
		callers.Go(func() {
			if f.session(n%3, "plates").read("plates").OK() {
				served.Add(1)
			}
		})
	}
	callers.Wait()
	if n := served.Load(); n < asked*9/10 {
		t.Errorf("%d of %d served, which the place has saved up", n, asked)
	}
}

// Guards against an instance that starts again as the steward of a place that served meanwhile, and takes it for one that
// has saved up tokens.
func TestRestartedStewardHasSavedNothing(t *testing.T) {
	const rate, window = 60.0, 4
	f := newFleet(t, "agreste", "agreste", "agreste")
	f.cluster.Configure(configuration(2, rate, keyText))
	time.Sleep(1500 * time.Millisecond)
	var admitted atomic.Int64
	var callers sync.WaitGroup
	end := time.Now().Add(window * time.Second)
	steward := 0
	for n := range f.nodes {
		if f.nodes[n].Steward() {
			steward = n
		}
	}
	for n := range f.nodes {
		if n == steward {
			continue
		}
		for range 3 {
			callers.Go(func() {
				for s := f.session(n, "plates"); time.Now().Before(end); {
					if s.read("plates").OK() {
						admitted.Add(1)
					}
				}
			})
		}
	}
	for range 2 {
		f.nodes[steward].Stop()
		f.nodes[steward] = nil
		time.Sleep(200 * time.Millisecond)
		f.nodes[steward] = f.start(fmt.Sprintf("i%d", steward+1), "agreste")
		f.nodes = f.nodes[:3]
		time.Sleep(1200 * time.Millisecond)
	}
	callers.Wait()
	if limit := int64(rate*window + rate); admitted.Load() > limit+limit/10 {
		t.Errorf("%d admitted in %d s, want at most %d", admitted.Load(), window, limit)
	}
}
