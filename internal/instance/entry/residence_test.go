package entry_test

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/instance/clock"
	"tanagercross/internal/organisation/key"
)

// homes returns a configuration like that of newFleet in which the databases and the organisation have home regions.
func homes(version uint64, databases, organisation []string) catalog.Configuration {
	return homesWithRate(version, databases, organisation, 0)
}

// homesWithRate is homes with a limit on the statements to cold servers.
func homesWithRate(version uint64, databases, organisation []string, coldRate float64) catalog.Configuration {
	c := configuration(version, 100_000, keyText)
	var list []catalog.Database
	for _, name := range []string{"bookings", "plates", "tally"} {
		d, _ := c.Database(name)
		d.HomeRegions = databases
		list = append(list, d)
	}
	o := catalog.Organisation{Name: "coop", Rate: 100_000, Burst: 100_000, HomeRegions: organisation, Keys: []key.Hash{key.HashOf(keyText)}}
	return catalog.NewConfiguration(version, list, []catalog.Group{{Name: "meals", ConnectionLimit: 40, ColdRate: coldRate}},
		[]catalog.Organisation{o}).WithTransactionIdle(3 * time.Second)
}

// configure puts a configuration into force at all instances.
func (f *fleet) configure(c catalog.Configuration) {
	f.t.Helper()
	f.cluster.Configure(c)
	for _, n := range f.nodes {
		f.eventually("the configuration", func() bool { return n.Table().Configuration().Version == c.Version })
	}
}

// Guards against statements outside of the home regions, with a list of the database, of the organisation and of both, and
// against a refusal that comes late or does not say why.
func TestHomeRegions(t *testing.T) {
	f := newFleetIn(t, region, "agreste", "sertao", "litoral")
	for n, c := range []struct {
		databases, organisation []string
		servers                 []string // that may run reads
		writes                  bool
		reason                  string
	}{
		{[]string{"south"}, nil, []string{"meals-litoral"}, false, "outside of the home regions"},
		{nil, []string{"north"}, []string{"meals-agreste", "meals-sertao"}, true, ""},
		{[]string{"north", "south"}, []string{"south", "west"}, []string{"meals-litoral"}, false, "outside of the home regions"},
		{[]string{"north"}, []string{"south"}, nil, false, "no home region in common"},
		{[]string{"west"}, nil, nil, false, "no server is in a home region"},
	} {
		f.configure(homes(uint64(n+2), c.databases, c.organisation))
		before := map[string]int{}
		servers := []string{"meals-agreste", "meals-litoral", "meals-sertao"}
		for _, id := range servers {
			before[id] = f.cluster.Statements(id)
		}
		for instance := range f.nodes {
			writer, reader := f.session(instance, "bookings"), f.session(instance, "plates")
			for range 3 {
				started := time.Now()
				a := writer.write("plates", "1")
				if a.OK() != c.writes || !strings.Contains(a.Text, c.reason) {
					t.Errorf("%v and %v: write at instance %d: %+v", c.databases, c.organisation, instance, a)
				}
				if !a.OK() && (a.Code != statement.Busy || a.Delivery != statement.NotSent || time.Since(started) > 200*time.Millisecond) {
					t.Errorf("%v and %v: refused after %v with %+v", c.databases, c.organisation, time.Since(started), a)
				}
				if a := reader.read("plates"); a.OK() != (len(c.servers) > 0) {
					t.Errorf("%v and %v: read at instance %d: %+v", c.databases, c.organisation, instance, a)
				}
			}
		}
		for _, id := range servers {
			if got := f.cluster.Statements(id) - before[id]; got > 0 && !slices.Contains(c.servers, id) {
				t.Errorf("%v and %v: %s received %d statements", c.databases, c.organisation, id, got)
			}
		}
	}
}

// Guards against reads that leave the home region while its servers cannot be reached, and that do not come back.
func TestHomeRegionIsCutOff(t *testing.T) {
	f := newFleetIn(t, region, "agreste", "sertao", "litoral")
	f.configure(homes(2, []string{"south"}, nil))
	s := f.session(0, "plates")
	f.eventually("a read", func() bool { return s.read("plates").OK() })
	before := f.cluster.Statements("meals-agreste") + f.cluster.Statements("meals-sertao")
	f.cluster.Silence("meals-litoral")
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); {
		s.read("plates")
	}
	f.cluster.Restart("meals-litoral")
	f.eventually("a read", func() bool { return s.read("plates").OK() })
	if got := f.cluster.Statements("meals-agreste") + f.cluster.Statements("meals-sertao") - before; got != 0 {
		t.Errorf("%d statements outside of the home region", got)
	}
}

// Guards against a change of homes that ends an open transaction, and against one that does not apply to the next.
func TestChangeOfHomesInsideATransaction(t *testing.T) {
	f := newFleetIn(t, region, "agreste", "sertao", "litoral")
	s := f.session(0, "bookings")
	s.do(statement.Begin{})
	if a := s.write("plates", "1"); !a.OK() {
		t.Fatalf("write: %+v", a)
	}
	f.configure(homes(2, []string{"south"}, nil))
	if a := s.write("plates", "2"); !a.OK() {
		t.Errorf("write in the open transaction: %+v", a)
	}
	if a := s.do(statement.Commit{}); !a.OK() {
		t.Errorf("commit: %+v", a)
	}
	s.do(statement.Begin{})
	if a := s.write("plates", "3"); a.Code != statement.Busy {
		t.Errorf("write in the next transaction: %+v, want busy", a)
	}
}

// Guards against a cold server that gets more than its rate from all instances together, and against a cold primary that
// gets nothing. One instance takes the first holder for failing and relays through the second, which has to refuse.
func TestColdServerWithTwoHolders(t *testing.T) {
	const perSecond, seconds = 20, 2
	f := newFleet(t, "agreste", "agreste", "sertao")
	f.cluster.SetCold("meals-agreste", time.Minute)
	f.configure(homesWithRate(2, nil, nil, perSecond))
	for _, n := range f.nodes {
		f.eventually("the row of the cold server", func() bool { return n.Table().Cold(0, "meals-agreste") })
	}
	before := f.cluster.Statements("meals-agreste")
	first, _ := f.nodes[2].Table().FirstHolder(clock.Boot(), "meals-agreste", "agreste")
	var served atomic.Int64
	var callers sync.WaitGroup
	for n := range 9 {
		callers.Go(func() {
			for end := time.Now().Add(seconds * time.Second); time.Now().Before(end); {
				f.nodes[2].Table().Suspect(clock.Boot(), first.Name)
				a := f.session(n%3, "bookings").write("plates", "1")
				if a.OK() {
					served.Add(1)
				} else if a.Code != statement.Busy || a.Delivery != statement.NotSent {
					t.Errorf("write: %+v, want busy and not sent", a)
				}
			}
		})
	}
	callers.Wait()
	got := f.cluster.Statements("meals-agreste") - before
	// The last callers end 0.7 s after the others start, and the burst is a tenth of a second.
	if limit := perSecond*(seconds+1) + 2; got > limit || served.Load() < perSecond*seconds/2 {
		t.Errorf("%d statements, %d writes served in %d s; want at most %d and at least %d", got, served.Load(), seconds, limit,
			perSecond*seconds/2)
	}
}
