package entry_test

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/fleet/roster"
	"tanagercross/internal/fleet/view"
	"tanagercross/internal/instance/entry"
)

// delayedMembersStore is a store that does not answer reads of the member list before it is released.
type delayedMembersStore struct {
	entry.Store
	released chan struct{}
}

func (s delayedMembersStore) Members(ctx context.Context) (view.Rows, error) {
	select {
	case <-s.released:
		return s.Store.Members(ctx)
	case <-ctx.Done():
		return view.Rows{}, ctx.Err()
	}
}

// Guards against an instance that serves callers before it has the member list, and so opens connections to all servers
// itself.
func TestSessionsWaitForMemberList(t *testing.T) {
	f := newFleet(t, "agreste")
	store := delayedMembersStore{Store: f.cluster.Store("i2"), released: make(chan struct{})}
	n := f.startAt("i2", "agreste", store)
	f.eventually("the configuration", func() bool { return n.Table().Configuration().Version > 0 })
	started := make(chan struct{})
	go func() {
		defer close(started)
		n.Session("bookings", keyText)
	}()
	select {
	case <-started:
		t.Error("a session started before the member list was read")
	case <-time.After(200 * time.Millisecond):
	}
	close(store.released)
	select {
	case <-started:
	case <-time.After(2 * time.Second):
		t.Error("no session within 2 s after the member list was read")
	}
}

// silentStore does not answer reads of the configuration, and counts them.
type silentStore struct {
	entry.Store
	calls *atomic.Int64
}

func (s silentStore) Configuration(ctx context.Context) (view.OperatorRows, error) {
	s.calls.Add(1)
	<-ctx.Done()
	return view.OperatorRows{}, ctx.Err()
}

// Guards against an instance that keeps repeating its first read at a high rate while the store does not answer: each call
// is paid for.
func TestRepeatedFirstReadsSlowDown(t *testing.T) {
	f := newFleet(t, "agreste")
	f.nodes[0].Stop()
	store := silentStore{Store: f.cluster.Store("i2"), calls: new(atomic.Int64)}
	f.startAt("i2", "litoral", store)
	time.Sleep(time.Second)
	if n := store.calls.Load(); n < 3 {
		t.Errorf("%d reads in the first second, want at least 3: one every 250 ms", n)
	}
	time.Sleep(5 * time.Second)
	before := store.calls.Load()
	time.Sleep(2 * time.Second)
	if n := store.calls.Load() - before; n > 3 {
		t.Errorf("%d reads in 2 s, more than 6 s after the start; want at most 3: one every 1.4 s", n)
	}
}

// region has two places, so that one coordinator reads the store for both.
var region = roster.Regions{"agreste": "north", "litoral": "south", "sertao": "north"}

// Guards against store calls that grow with the places of a region: each is paid for.
func TestOneReaderForEachRegion(t *testing.T) {
	rate := func(places ...string) int {
		f := newFleetIn(t, region, places...)
		time.Sleep(2 * time.Second)
		before := f.cluster.Calls()
		time.Sleep(4 * time.Second)
		return f.cluster.Calls() - before
	}
	if one, two := rate("agreste", "agreste"), rate("agreste", "sertao"); two > one+3 {
		t.Errorf("%d calls in 4 s with two places in a region, %d with one; want at most 3 more", two, one)
	}
}

// Guards against a withdrawn key that a place still accepts because the instance that reads for its region has stopped, or
// is not served by the store any more.
func TestRegionWithoutItsReader(t *testing.T) {
	for name, fail := range map[string]func(*fleet){
		"stopped":     func(f *fleet) { f.nodes[0].Stop() },
		"turned away": func(f *fleet) { f.cluster.TurnAway("i1", true) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleetIn(t, region, "agreste", "sertao", "sertao")
			time.Sleep(2 * time.Second)
			s := f.session(2, "bookings")
			fail(f)
			f.cluster.Configure(configuration(2, 100_000, "another key"))
			f.eventuallyWithin(4*time.Second, "the key is refused", func() bool { return s.read("plates").Code == statement.Unauthorized })
		})
	}
}

// Guards against a fleet that polls the store with every instance while it is down: with 195 instances, five seconds of
// outage cost as many calls as the rest of a day, and each is paid for. Its return must still be noticed within a second.
func TestCallsDuringStoreOutage(t *testing.T) {
	calls := func(instances int) int {
		f := newFleet(t, slices.Repeat([]string{"agreste"}, instances)...)
		f.cluster.SetStoreDown(true)
		time.Sleep(3 * time.Second)
		before := f.cluster.Calls()
		time.Sleep(4 * time.Second)
		made := f.cluster.Calls() - before
		f.cluster.SetStoreDown(false)
		f.cluster.Configure(configuration(2, 100_000, "another key"))
		for _, n := range f.nodes {
			f.eventuallyWithin(1500*time.Millisecond, "the new configuration", func() bool { return n.Table().Configuration().Version == 2 })
		}
		return made
	}
	if few, many := calls(2), calls(12); many > 3*few {
		t.Errorf("%d calls in 4 s of outage with 12 instances, %d with 2; want at most three times as many", many, few)
	}
}

// Guards against instances that each take themselves for the only one, and connect to all servers, when the store returns
// after an outage in which all of them restarted.
func TestStoreReturnsAfterRestartOfAll(t *testing.T) {
	f := newFleet(t, "agreste", "agreste", "agreste")
	f.restartAllWithoutStore()
	time.Sleep(2500 * time.Millisecond)
	for n, node := range f.nodes {
		if node.IsCoordinator() || node.Ready() {
			t.Errorf("instance %d without a member list: coordinator %t, ready %t; want neither", n, node.IsCoordinator(), node.Ready())
		}
	}
	f.cluster.SetStoreDown(false)
	for n, node := range f.nodes {
		f.eventuallyWithin(1500*time.Millisecond, "ready", node.Ready)
		if members := node.Table().Roster().Len(); members != 3 {
			t.Errorf("instance %d is ready and knows %d members, want 3", n, members)
		}
	}
}

// Guards against a restarted instance that never serves because the store turns it away, although the others have what it
// needs, and against one that admits a key that was withdrawn while it was down.
func TestRestartWhileStoreTurnsAway(t *testing.T) {
	f := newFleet(t, "agreste", "agreste", "agreste")
	stopped := f.nodes[2]
	address := stopped.Table().Self().Address
	stopped.Stop()
	f.cluster.TurnAway("i3", true)
	f.cluster.Configure(configuration(2, 100_000, "another key"))
	n := f.startOn(address, "i3", "agreste", f.cluster.Store("i3"))
	f.eventually("ready", n.Ready)
	if c, refusal := n.Session("bookings", keyText); c != nil || refusal.Code != statement.Unauthorized {
		t.Errorf("session with a withdrawn key: %v, %+v; want unauthorized", c, refusal)
	}
	if c, refusal := n.Session("bookings", "another key"); c == nil {
		t.Errorf("session with the new key: %+v, want one", refusal)
	}
}

// panickingDecoder panics at the row of one server.
type panickingDecoder struct{ view.Decoder }

func (d panickingDecoder) Server(id string, value []byte) (catalog.Server, error) {
	if id == "meals-litoral" {
		panic("faulty row")
	}
	return d.Decoder.Server(id, value)
}

// Guards against one row of the store that ends all processes of the fleet.
func TestPanicInDecoderIgnoresRow(t *testing.T) {
	f := newFleet(t)
	f.decoder = panickingDecoder{f.cluster}
	n := f.start("i1", "agreste")
	f.eventually("ready", n.Ready)
	f.eventually("the other servers", func() bool { return len(n.Table().Servers().All()) == 2 })
	if a := f.session(0, "bookings").write("plates", "1"); !a.OK() {
		t.Errorf("write: %+v", a)
	}
}
