package entry_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
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
	"tanagercross/internal/instance/metric"
	"tanagercross/internal/organisation/key"
	"tanagercross/internal/session/callersession"
	"tanagercross/internal/standin/cluster"
)

const keyText = "tc_key_of_coop"

// fleets counts the fleets of the process. Each has a loopback address of its own, so that tests which run at the same time take no port
// from each other, and call no instance of each other after a restart.
var fleets atomic.Int64

// fleet is a deployment in one process: a simulated platform with its servers, and instances in its places.
type fleet struct {
	t          *testing.T
	cluster    *cluster.Cluster
	nodes      []*entry.Node
	byPriority bool // instances decide by priority under load
	regions    roster.Regions
	decoder    view.Decoder         // that of the cluster if nil
	log        io.Writer            // logWriter() if nil
	boot       func() time.Duration // clock of the instances; that of the machine if nil
	host       string               // of the instances; set at the first start
	ids        atomic.Int64
}

// configuration returns a configuration with three databases of the group meals and one organisation.
func configuration(version uint64, rate float64, keys ...string) catalog.Configuration {
	o := catalog.Organisation{Name: "coop", Rate: rate, Burst: rate}
	for _, k := range keys {
		o.Keys = append(o.Keys, key.HashOf(k))
	}
	database := func(name string, c catalog.Consistency, age time.Duration) catalog.Database {
		return catalog.Database{
			Name: name, Group: "meals", Consistency: c, MaximumAge: age, Timeout: time.Second, LatencyGoal: time.Second,
		}
	}
	return catalog.NewConfiguration(version, []catalog.Database{
		database("bookings", catalog.PrimaryOnly, 0),
		database("plates", catalog.BoundedStaleness, time.Second),
		database("tally", catalog.ReadYourWrites, 2*time.Second),
	}, []catalog.Group{{Name: "meals", ConnectionLimit: 40}}, []catalog.Organisation{o}).WithTransactionIdle(3 * time.Second)
}

// newFleet starts one instance in each of the given places and waits until all are ready. The instances are named i1, i2
// and so on. At the end, the test fails if the servers have detected a violation, such as a statement that ran twice.
func newFleet(t *testing.T, places ...string) *fleet {
	t.Helper()
	return newFleetIn(t, nil, places...)
}

// newFleetIn is newFleet with places that share regions.
func newFleetIn(t *testing.T, regions roster.Regions, places ...string) *fleet {
	t.Helper()
	f := &fleet{t: t, cluster: cluster.New(clock.Boot), regions: regions}
	f.cluster.AddGroup("meals", "agreste", "sertao", "litoral")
	f.cluster.Configure(configuration(1, 100_000, keyText))
	t.Cleanup(func() {
		for _, fault := range f.cluster.Faults() {
			t.Error(fault)
		}
	})
	for n, place := range places {
		f.start(fmt.Sprintf("i%d", n+1), place)
	}
	f.awaitReady()
	return f
}

// awaitReady waits until all instances are ready.
func (f *fleet) awaitReady() {
	f.t.Helper()
	for _, n := range f.nodes {
		f.eventually("ready", n.Ready)
	}
}

func (f *fleet) start(name, place string) *entry.Node {
	f.t.Helper()
	return f.startAt(name, place, f.cluster.Store(name))
}

// startAt starts an instance that uses the given store.
func (f *fleet) startAt(name, place string, store entry.Store) *entry.Node {
	f.t.Helper()
	if f.host == "" {
		n := fleets.Add(1)
		f.host = fmt.Sprintf("127.78.%d.%d", n/250, n%250+1)
	}
	listener, err := net.Listen("tcp", f.host+":0")
	if err != nil {
		f.t.Fatal(err)
	}
	address := listener.Addr().String()
	if err := listener.Close(); err != nil {
		f.t.Fatal(err)
	}
	return f.startOn(address, name, place, store)
}

// startOn starts an instance that listens for the others on an address.
func (f *fleet) startOn(address, name, place string, store entry.Store) *entry.Node {
	f.t.Helper()
	decoder := f.decoder
	if decoder == nil {
		decoder = f.cluster
	}
	log := cmp.Or(f.log, logWriter())
	n, err := entry.Start(entry.Options{
		Settings: entry.Settings{Name: name, Place: place, Regions: f.regions, PeersAddress: address, PromotionLease: time.Second, PriorityScheduling: f.byPriority},
		Store:    store, Promoter: f.cluster, Decoder: decoder, Dialer: f.cluster.Dialer(name),
		Metrics: metric.New(), Log: slog.New(slog.NewJSONHandler(log, nil)).With("node", name), Boot: f.boot,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.nodes = append(f.nodes, n)
	f.t.Cleanup(n.Stop)
	return n
}

// restartAllWithoutStore stops all instances, takes the store down and starts them again under their names.
func (f *fleet) restartAllWithoutStore() {
	f.t.Helper()
	f.restartAll(func() { f.cluster.SetStoreDown(true) })
}

// restartAll stops all instances, calls a function and starts the instances again under their names.
func (f *fleet) restartAll(whileStopped func()) {
	f.t.Helper()
	stopped := f.nodes
	f.nodes = nil
	for _, n := range stopped {
		n.Stop()
	}
	whileStopped()
	for _, n := range stopped {
		self := n.Table().Self()
		f.start(self.Name, self.Place)
	}
}

// eventually waits up to 6 s for a condition.
func (f *fleet) eventually(what string, ok func() bool) {
	f.t.Helper()
	f.eventuallyWithin(6*time.Second, what, ok)
}

func (f *fleet) eventuallyWithin(limit time.Duration, what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	f.t.Fatalf("%s: not within %v", what, limit)
}

// session starts a session at an instance. It sets the session value "owner", by which the servers detect statements that
// run with the session values of another session.
func (f *fleet) session(n int, database string) *caller {
	f.t.Helper()
	c, refusal := f.nodes[n].Session(database, keyText)
	if c == nil {
		f.t.Fatalf("session: %+v", refusal)
	}
	s := &caller{f: f, callerSession: c, name: fmt.Sprintf("s%d", f.ids.Add(1))}
	s.do(statement.Set{Name: "owner", Value: s.name})
	return s
}

// caller is a session of a caller.
type caller struct {
	f             *fleet
	callerSession *callersession.Session
	name          string
	last          string // id of the last statement
}

func (s *caller) do(b statement.Statement) statement.Answer {
	s.last = fmt.Sprintf("%s/%d", s.name, s.f.ids.Add(1))
	return s.callerSession.Handle(context.Background(), statement.Query{ID: s.last, Body: b})
}

func (s *caller) write(item, value string) statement.Answer {
	return s.do(statement.Write{Arguments: item + " " + value})
}

func (s *caller) read(item string) statement.Answer { return s.do(statement.Read{Arguments: item}) }

// Guards against a session that does not read its own write, at an instance of each place and with a lagging replica.
func TestReadYourWrites(t *testing.T) {
	f := newFleet(t, "agreste", "sertao", "litoral")
	f.cluster.Lag("meals-sertao", time.Hour)
	for n := range f.nodes {
		s := f.session(n, "tally")
		for i := range 10 {
			want := fmt.Sprintf("%d-%d", n, i)
			if a := s.write("plates", want); !a.OK() {
				t.Fatalf("write: %+v", a)
			}
			if a := s.read("plates"); !a.OK() || a.Rows[0] != want {
				t.Errorf("instance %d read %+v, want %s", n, a, want)
			}
		}
	}
}

// Guards against a read that lacks a commit acknowledged to another session: any such commit on a database that reads
// from the primary, and one older than the bound on a database with bounded staleness.
func TestReadsSeeAcknowledgedCommits(t *testing.T) {
	f := newFleet(t, "agreste", "sertao")
	f.cluster.Lag("meals-sertao", time.Hour)
	writer, primaryReader, boundedReader := f.session(0, "bookings"), f.session(1, "bookings"), f.session(1, "plates")
	if a := writer.write("plates", "40"); !a.OK() {
		t.Fatalf("write: %+v", a)
	}
	if a := primaryReader.read("plates"); !a.OK() || a.Rows[0] != "40" {
		t.Errorf("read from the primary: %+v, want 40", a)
	}
	time.Sleep(1100 * time.Millisecond)
	if a := boundedReader.read("plates"); !a.OK() || a.Rows[0] != "40" {
		t.Errorf("read with a bound of 1 s, 1.1 s after the write: %+v, want 40", a)
	}
}

// Guards against a failed or leaving primary that is not replaced, and against a write that takes effect twice, or is
// answered as not run although the replaced primary ran it.
func TestPrimaryIsReplaced(t *testing.T) {
	for name, fail := range map[string]func(*cluster.Cluster){
		"crash":  func(c *cluster.Cluster) { c.Crash("meals-agreste") },
		"silent": func(c *cluster.Cluster) { c.Silence("meals-agreste") },
		"leave":  func(c *cluster.Cluster) { c.Drain("meals-agreste") },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, "agreste", "sertao", "litoral")
			stop := make(chan struct{})
			var acknowledged sync.Map
			var callers sync.WaitGroup
			for n := range f.nodes {
				callers.Go(func() {
					for i := 0; ; i++ {
						select {
						case <-stop:
							return
						case <-time.After(10 * time.Millisecond):
						}
						c, _ := f.nodes[n].Session("bookings", keyText)
						s := &caller{f: f, callerSession: c, name: fmt.Sprintf("w%d-%d", n, i)}
						if a := s.write("plates", "1"); a.OK() {
							acknowledged.Store(s.last, true)
						} else if a.Code != statement.Unknown && f.cluster.Runs(s.last) > 0 {
							t.Errorf("%s ran, but was answered %+v", s.last, a)
						}
					}
				})
			}
			time.Sleep(200 * time.Millisecond)
			fail(f.cluster)
			f.eventually("another primary", func() bool { return f.cluster.Promotions() > 0 })
			s := f.session(1, "bookings")
			f.eventually("a write at the new primary", func() bool { return s.write("plates", "2").OK() })
			close(stop)
			callers.Wait()
			if n := f.cluster.Promotions(); n != 1 {
				t.Errorf("%d promotions, want 1", n)
			}
			acknowledged.Range(func(id, _ any) bool {
				if f.cluster.Runs(id.(string)) != 1 {
					t.Errorf("%s was acknowledged and ran %d times, want once", id, f.cluster.Runs(id.(string)))
				}
				return true
			})
		})
	}
}

// Guards against a primary that is replaced because a single instance does not reach it.
func TestReachablePrimaryIsKept(t *testing.T) {
	f := newFleet(t, "agreste", "agreste", "sertao", "litoral")
	f.cluster.Cut("meals-agreste", "i1")
	s := f.session(2, "bookings")
	f.eventually("writes through the other instance", func() bool { return s.write("plates", "1").OK() })
	time.Sleep(500 * time.Millisecond)
	if n := f.cluster.Promotions(); n != 0 {
		t.Errorf("%d promotions, want none", n)
	}
}

// Guards against statements that are still sent through an instance that has stopped.
func TestHolderIsReplaced(t *testing.T) {
	f := newFleet(t, "agreste", "agreste", "agreste")
	s := f.session(2, "bookings")
	if a := s.write("plates", "1"); !a.OK() {
		t.Fatalf("write: %+v", a)
	}
	f.nodes[0].Stop()
	f.eventually("a write without the first instance", func() bool { return s.write("plates", "2").OK() })
	f.nodes[1].Stop()
	f.eventually("a write without both", func() bool { return s.write("plates", "3").OK() })
}

// Guards against a withdrawn key that sessions can still use, also at an instance whose calls the store refuses.
func TestWithdrawnKeyIsRefused(t *testing.T) {
	f := newFleet(t, "agreste", "agreste", "sertao")
	f.cluster.TurnAway("i2", true)
	var sessions []*caller
	for n := range f.nodes {
		sessions = append(sessions, f.session(n, "bookings"))
	}
	f.cluster.Configure(configuration(2, 100_000, "another key"))
	withdrawn := time.Now()
	for n, s := range sessions {
		f.eventually("the key is refused", func() bool { return s.read("plates").Code == statement.Unauthorized })
		if took := time.Since(withdrawn); took > 4*time.Second {
			t.Errorf("instance %d refused the key after %v, want at most 4 s", n, took)
		}
		if !s.callerSession.ShouldClose() {
			t.Error("the session is not over after the refusal of its key")
		}
	}
}

// Guards against an instance without a configuration that answers that the caller's database does not exist.
func TestNoRefusalWithoutConfiguration(t *testing.T) {
	f := newFleet(t, "agreste")
	f.cluster.SetStoreDown(true)
	f.nodes[0].Stop()
	n := f.start("i2", "agreste")
	if c, refusal := n.Session("bookings", keyText); c != nil || refusal.Code != statement.Busy {
		t.Errorf("session %v, %+v; want busy", c, refusal)
	}
}

// Guards against store calls that grow with the number of instances.
func TestStoreCallsDoNotGrowWithInstances(t *testing.T) {
	rate := func(instances int) int {
		places := make([]string, instances)
		for n := range places {
			places[n] = "agreste"
		}
		f := newFleet(t, places...)
		time.Sleep(time.Second)
		before := f.cluster.Calls()
		time.Sleep(3 * time.Second)
		return f.cluster.Calls() - before
	}
	if few, many := rate(2), rate(10); many > few+4 {
		t.Errorf("%d calls in 3 s with 10 instances, %d with 2; want at most 4 more", many, few)
	}
}

// Guards against statements that fail during an outage of the store.
func TestStatementsRunDuringStoreOutage(t *testing.T) {
	f := newFleet(t, "agreste", "sertao")
	f.cluster.SetStoreDown(true)
	s := f.session(1, "tally")
	for i := range 30 {
		if a := s.write("plates", fmt.Sprint(i)); !a.OK() {
			t.Fatalf("write %d: %+v", i, a)
		}
		time.Sleep(100 * time.Millisecond)
	}
	n := f.start("i3", "sertao")
	if n.Ready() {
		t.Error("an instance that started during the outage is ready without a configuration")
	}
}
