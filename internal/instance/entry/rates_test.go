package entry_test

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/fleet/roster"
	"tanagercross/internal/fleet/view"
	"tanagercross/internal/instance/clock"
	"tanagercross/internal/instance/entry"
)

// Guards against an organisation that exceeds its rate and burst over all instances together, and against one that is
// refused although it is below its rate.
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

// Guards against an organisation that exceeds its rate during a network partition that refuses connections: an instance that
// is not reached may serve callers, so that its part of the rate stays reserved.
func TestPartOfRefusingInstanceIsNotUsed(t *testing.T) {
	const rate, window = 100.0, 3
	f := newFleet(t, "agreste")
	refusing, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	member := roster.Member{Name: "i9", Address: refusing.Addr().String(), Place: "agreste"}
	if err := refusing.Close(); err != nil {
		t.Fatal(err)
	}
	if err := f.cluster.Store("i9").Announce(t.Context(), member); err != nil {
		t.Fatal(err)
	}
	f.cluster.Configure(configuration(2, rate, keyText))
	f.eventuallyWithin(12*time.Second, "i9 in the member list", func() bool { _, ok := f.nodes[0].Table().Roster().Member("i9"); return ok })
	f.eventually("a call to i9", func() bool { return f.nodes[0].Table().Suspected(clock.Boot(), "i9") })
	admitted := 0
	s := f.session(0, "plates")
	for end := time.Now().Add(window * time.Second); time.Now().Before(end); {
		if s.read("plates").OK() {
			admitted++
		}
	}
	if limit := int(rate*window+rate) / 2; admitted > limit+limit/10 {
		t.Errorf("%d admitted in %d s, want at most %d, half of the rate", admitted, window, limit)
	}
}

// Guards against an organisation above its rate whose most urgent operations are refused beside less urgent ones, in the
// place of the coordinator and at the instances that ask it.
func TestUrgentOperationsGetTokens(t *testing.T) {
	const rate = 60.0
	f := newFleet(t)
	f.byPriority = true
	for n, place := range []string{"agreste", "agreste", "sertao"} {
		f.start(fmt.Sprintf("i%d", n+1), place)
	}
	f.awaitReady()
	c := configuration(2, rate, keyText)
	o, _ := c.Organisation("coop")
	urgent, _ := c.Database("tally")
	lowest, _ := c.Database("plates")
	urgent.Consistency, lowest.Priority = lowest.Consistency, 2
	group, _ := c.Group("meals")
	f.cluster.Configure(catalog.NewConfiguration(2, []catalog.Database{urgent, lowest}, []catalog.Group{group}, []catalog.Organisation{o}))
	f.eventually("priorities", func() bool { return f.nodes[2].Table().Configuration().Version == 2 })
	var asked, refused, refusedLowest atomic.Int64
	var callers sync.WaitGroup
	started := time.Now()
	for n := range f.nodes {
		for range 4 {
			callers.Go(func() {
				for s := f.session(n, "plates"); time.Since(started) < 5*time.Second; time.Sleep(10 * time.Millisecond) {
					if !s.read("plates").OK() {
						refusedLowest.Add(1)
					}
				}
			})
		}
		callers.Go(func() {
			for s := f.session(n, "tally"); time.Since(started) < 5*time.Second; time.Sleep(150 * time.Millisecond) {
				if ok := s.read("tally").OK(); time.Since(started) > 2*time.Second {
					asked.Add(1)
					if !ok {
						refused.Add(1)
					}
				}
			}
		})
	}
	callers.Wait()
	if refused.Load()*10 > asked.Load() || refusedLowest.Load() < 100 {
		t.Errorf("%d of %d operations of priority 0 refused beside %d of the lowest, want at most a tenth beside 100", refused.Load(), asked.Load(), refusedLowest.Load())
	}
	t.Logf("%d of %d of priority 0 refused, %d of the lowest", refused.Load(), asked.Load(), refusedLowest.Load())
}

// Guards against callers of one place who are refused below the rate of their organisation while the shares of other
// places are unused, and against borrowed tokens that are granted by both places.
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
		t.Errorf("%d of 30 served at once, want at least 7, and at most the %g tokens of all places and 4 added meanwhile", n, rate)
	}
}

// Guards against calls between regions to places that have no unused rate.
func TestLenders(t *testing.T) {
	places := []string{"agreste", "litoral", "sertao"}
	demands := map[string]view.Demand{
		"agreste": {Rates: map[string]float64{"coop": 9}}, "litoral": {Rates: map[string]float64{"coop": 6}},
	}
	if got := entry.Lenders("coop", 20, "agreste", places, demands); !slices.Equal(got, []string{"sertao", "litoral"}) {
		t.Errorf("lenders %v, want sertao and litoral: the one with the most unused rate first", got)
	}
	demands["sertao"] = view.Demand{Rates: map[string]float64{"coop": 60}}
	if got := entry.Lenders("coop", 20, "agreste", places, demands); slices.Contains(got, "sertao") {
		t.Errorf("lenders %v, want no sertao: its demand exceeds its share", got)
	}
}

// Guards against callers who are refused below their rate when the coordinator of the place changes, because the new
// coordinator assumes that its place has no demand.
func TestRateSurvivesChangeOfCoordinator(t *testing.T) {
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
		if f.nodes[n].IsCoordinator() {
			f.nodes[n].Leave()
			break
		}
	}
	time.Sleep(3 * time.Second)
	close(stop)
	callers.Wait()
	if r, s := refused.Load(), served.Load(); r > s/50 {
		t.Errorf("%d refused and %d served below the rate, want at most 2%% refused", r, s)
	}
}

// Guards against callers who are refused below the rate when all instances of a place restart: nothing was admitted
// meanwhile, and all callers return at the same time.
func TestRestartedPlaceHasAccumulatedTokens(t *testing.T) {
	const rate, reads = 60.0, 42
	f := newFleet(t, "agreste", "agreste", "agreste")
	f.cluster.Configure(configuration(2, rate, keyText))
	f.restartAllWithoutStore()
	time.Sleep(time.Second)
	f.cluster.SetStoreDown(false)
	for _, n := range f.nodes {
		f.eventually("ready", n.Ready)
		f.session(0, "plates").read("plates") // the first read comes before all instances are seen
	}
	var served atomic.Int64
	refusals := make(chan string, reads)
	var callers sync.WaitGroup
	started := time.Now()
	for n := range reads {
		callers.Go(func() {
			a := f.session(n%3, "plates").read("plates")
			if a.OK() {
				served.Add(1)
				return
			}
			refusals <- fmt.Sprintf("%s %s after %v", a.Code, a.Text, time.Since(started).Round(time.Millisecond))
		})
	}
	callers.Wait()
	close(refusals)
	if n := served.Load(); n < reads*9/10 {
		t.Errorf("%d of %d served, want 90%%: the place has accumulated tokens for them", n, reads)
		for r := range refusals {
			t.Log(r)
		}
	}
}

// Guards against callers who are refused below their rate because their instance suspects the coordinator and asks one that
// is none: after a restart of all, that lasted for 0.8 s at an instance whose first call came before the coordinator
// listened.
func TestTokensFromSuspectedCoordinator(t *testing.T) {
	const rate, reads = 100.0, 20
	f := newFleet(t, "agreste", "agreste", "agreste")
	f.cluster.Configure(configuration(2, rate, keyText))
	time.Sleep(1500 * time.Millisecond)
	ranked := f.nodes[0].Table().Coordinators("agreste")
	last := slices.IndexFunc(f.nodes, func(n *entry.Node) bool { return n.Table().Self().Name == ranked[2].Name })
	f.session(last, "plates").read("plates")
	f.nodes[last].Table().Suspect(clock.Boot(), ranked[0].Name)
	var served atomic.Int64
	var callers sync.WaitGroup
	for range reads {
		callers.Go(func() {
			if f.session(last, "plates").read("plates").OK() {
				served.Add(1)
			}
		})
	}
	callers.Wait()
	if n := served.Load(); n < reads {
		t.Errorf("%d of %d served below the rate, want all", n, reads)
	}
}

// Guards against a restarted coordinator that hands out accumulated tokens although the other instances of its place have
// served callers meanwhile.
func TestRestartedCoordinatorHasNoAccumulatedTokens(t *testing.T) {
	const rate, window = 60.0, 4
	f := newFleet(t, "agreste", "agreste", "agreste")
	f.cluster.Configure(configuration(2, rate, keyText))
	time.Sleep(1500 * time.Millisecond)
	var admitted atomic.Int64
	var callers sync.WaitGroup
	end := time.Now().Add(window * time.Second)
	coordinator := 0
	for n := range f.nodes {
		if f.nodes[n].IsCoordinator() {
			coordinator = n
		}
	}
	for n := range f.nodes {
		if n == coordinator {
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
		f.nodes[coordinator].Stop()
		f.nodes[coordinator] = nil
		time.Sleep(200 * time.Millisecond)
		f.nodes[coordinator] = f.start(fmt.Sprintf("i%d", coordinator+1), "agreste")
		f.nodes = f.nodes[:3]
		time.Sleep(1200 * time.Millisecond)
	}
	callers.Wait()
	if limit := int64(rate*window + rate); admitted.Load() > limit+limit/10 {
		t.Errorf("%d admitted in %d s, want at most %d", admitted.Load(), window, limit)
	}
}
