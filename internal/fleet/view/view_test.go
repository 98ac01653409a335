package view_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/fleet/evacuation"
	"tanagercross/internal/fleet/roster"
	"tanagercross/internal/fleet/view"
)

// decoder decodes plain values: the length of a configuration is its version, and "partly" has an ignored entry; a server's
// value is its role, a member's value is its place.
type decoder struct{}

func (decoder) Configuration(value []byte) (catalog.Configuration, error) {
	if string(value) == "faulty" {
		return catalog.Configuration{}, errors.New("faulty")
	}
	c := catalog.NewConfiguration(uint64(len(value)), nil, nil, nil)
	if string(value) == "partly" {
		c = c.WithIgnored([]catalog.IgnoredEntry{{Entry: "organisation", Err: errors.New("odd name")}})
	}
	return c, nil
}

func (decoder) Server(id string, value []byte) (catalog.Server, error) {
	if len(value) == 0 {
		return catalog.Server{}, errors.New("empty")
	}
	return catalog.Server{ID: id, Group: "meals", Place: "agreste", Role: driver.Role(value)}, nil
}

func (decoder) Member(name string, value []byte) (roster.Member, error) {
	return roster.Member{Name: name, Place: string(value), Address: name}, nil
}

type observer struct{ ignored []string }

func (*observer) ConfigurationChanged(_, _ catalog.Configuration, _ time.Duration) {}
func (*observer) ServersChanged(_, _ catalog.Servers, _ time.Duration)             {}
func (*observer) LeaderChanged(_, _ view.Leader)                                   {}
func (*observer) EvacuationsChanged(_, _ evacuation.Set)                           {}
func (o *observer) RowIgnored(key string, _ error)                                 { o.ignored = append(o.ignored, key) }

func table() (*view.Table, *observer) {
	o := &observer{}
	return view.NewTable(view.Presence{Name: "i1", Address: "i1", Place: "agreste"}, nil, decoder{}, o), o
}

func rows(version uint64, read time.Duration, entries ...string) view.Rows {
	r := view.Rows{Version: version, ReadAt: read}
	for _, e := range entries {
		key, value, _ := strings.Cut(e, "=")
		r.Rows = append(r.Rows, view.Row{Key: key, Value: []byte(value), Version: version})
	}
	return r
}

// Guards against a configuration that reverts to an earlier version read from the store or sent by another instance, and
// against one that is lost because a later row cannot be decoded.
func TestConfigurationNeverReverts(t *testing.T) {
	b, o := table()
	b.SetConfiguration(rows(7, time.Second, "config=xxx"))
	b.SetConfiguration(rows(5, 2*time.Second, "config=x"))
	b.Merge(3*time.Second, view.State{ConfigurationVersion: 6, Configuration: rows(6, 3*time.Second, "config=xx")})
	if v := b.Configuration().Version; v != 3 {
		t.Errorf("version %d, want 3", v)
	}
	b.SetConfiguration(rows(9, 4*time.Second, "config=faulty"))
	if v := b.Configuration().Version; v != 3 || len(o.ignored) != 1 {
		t.Errorf("version %d after a row that cannot be decoded, want 3; ignored rows: %v, want one", v, o.ignored)
	}
}

// Guards against an entry of the configuration that is left out without notice, or that costs the other entries.
func TestIgnoredEntriesAreReported(t *testing.T) {
	b, o := table()
	b.SetConfiguration(rows(7, time.Second, "config=partly"))
	if v := b.Configuration().Version; v != 6 || !slices.Equal(o.ignored, []string{"config organisation"}) {
		t.Errorf("version %d, reported %q; want 6 and the entry", v, o.ignored)
	}
}

// Guards against the loss of live servers whose rows expired during an outage of the store.
func TestServersWithoutRowsAfterStoreOutage(t *testing.T) {
	b, _ := table()
	b.SetServers(time.Second, rows(1, time.Second, "a=primary", "b=replica"))
	b.SetServers(2*time.Second, rows(2, 2*time.Second, "a=primary"))
	if n := len(b.Servers().All()); n != 1 {
		t.Errorf("%d servers without an outage, want 1: the row of b is gone", n)
	}
	b.SetServers(12*time.Second, rows(9, 12*time.Second))
	if n := len(b.Servers().All()); n != 1 {
		t.Errorf("%d servers right after an outage, want 1: a is kept", n)
	}
	b.SetServers(15*time.Second, rows(12, 15*time.Second))
	if n := len(b.Servers().All()); n != 0 {
		t.Errorf("%d servers after the grace period, want none: a is still missing", n)
	}
}

// Guards against one row that cannot be decoded hiding all servers.
func TestUndecodableRowIsIgnored(t *testing.T) {
	b, o := table()
	b.SetServers(time.Second, rows(1, time.Second, "a=primary", "strange"))
	if _, ok := b.Leader("meals"); !ok || !slices.Equal(o.ignored, []string{"strange"}) {
		t.Errorf("leader known: %t, want true; ignored rows: %v, want only strange", ok, o.ignored)
	}
}

// Guards against a replaced primary that becomes the known leader again, because of a row that is older than its
// rejection, gossip about its earlier term, or an older confirmation.
func TestReplacedLeaderIsNotAcceptedAgain(t *testing.T) {
	b, _ := table()
	b.SetServers(time.Second, rows(1, time.Second, "a=primary", "b=replica"))
	b.ReportLeader(time.Second, view.Leader{Group: "meals", Server: "a", Term: 4})
	b.RejectLeader(2*time.Second, "meals", "a")
	if l, ok := b.Leader("meals"); ok {
		t.Errorf("leader %+v after its rejection, want none", l)
	}
	b.ReportLeader(2*time.Second, view.Leader{Group: "meals", Server: "a", Term: 4})
	b.SetServers(2*time.Second, rows(2, 2*time.Second, "a=primary", "b=replica", "c=replica"))
	if l, ok := b.Leader("meals"); ok {
		t.Errorf("leader %+v after reports older than the rejection, want none", l)
	}
	b.ReportLeader(3*time.Second, view.Leader{Group: "meals", Server: "b", Term: 5})
	b.Merge(3*time.Second, view.State{Leaders: []view.Leader{{Group: "meals", Server: "a", Term: 4}}})
	if l, _ := b.Leader("meals"); l.Server != "b" {
		t.Errorf("leader %+v after gossip about an earlier term, want b", l)
	}
	b.RejectLeader(4*time.Second, "meals", "a")
	if l, _ := b.Leader("meals"); l.Server != "b" {
		t.Errorf("leader %+v after the rejection of another server, want b", l)
	}
}

// Guards against holders that are down, suspected or leaving.
func TestHolders(t *testing.T) {
	b, _ := table()
	b.SetMembers(rows(1, time.Second, "i1=agreste", "i2=agreste", "i3=agreste", "j1=sertao"))
	now := 10 * time.Second
	names := func() (list []string) {
		for m := range b.Holders(now, "a", "agreste") {
			list = append(list, m.Name)
		}
		return list
	}
	if got := names(); !slices.Equal(got, []string{"i1", "j1"}) {
		t.Errorf("holders %v, want i1 and j1: i2 and i3 were never seen", got)
	}
	for _, name := range []string{"i2", "i3"} {
		b.MergePresence(view.Presence{Name: name, Address: name, Place: "agreste", LastSeen: now})
	}
	all := names()
	if len(all) != 4 || all[3] != "j1" {
		t.Errorf("holders %v, want all four, those of the place first", all)
	}
	first := all[0]
	b.Suspect(now, first)
	if got := names(); first != "i1" && slices.Contains(got, first) || len(got) < 3 {
		t.Errorf("holders %v, want only %s skipped, unless it is the instance itself", got, first)
	}
	now += 2 * view.AliveTimeout
	if got := names(); !slices.Equal(got, []string{"i1", "j1"}) {
		t.Errorf("holders %v after AliveTimeout, want i1 and j1", got)
	}
	b.Leave()
	if got := names(); slices.Contains(got, "i1") {
		t.Errorf("holders %v, want no i1: it is leaving", got)
	}
}

// Guards against a part of the rate that stays unused because it is reserved for instances that said that they leave, and
// against partitioned instances that use the part of the others: those that were not seen, or not since a moment, are
// counted among all.
func TestCountAlive(t *testing.T) {
	b, _ := table()
	b.SetMembers(rows(1, time.Second, "i1=agreste", "i2=agreste", "i3=agreste", "i4=agreste"))
	now := 10 * time.Second
	for _, name := range []string{"i2", "i3"} {
		b.MergePresence(view.Presence{Name: name, Address: name, Place: "agreste", LastSeen: now, Leaving: name == "i3"})
	}
	if live, all := b.CountAlive(now, 0); live != 2 || all != 3 {
		t.Errorf("%d of %d alive, want 2 of 3: i3 is leaving, i4 was not seen", live, all)
	}
	b.Suspect(now, "i4")
	if live, all := b.CountAlive(now, 0); live != 2 || all != 3 {
		t.Errorf("%d of %d alive, want 2 of 3: i4 does not answer, but may serve callers", live, all)
	}
	if live, all := b.CountAlive(now, now+1); live != 1 || all != 3 {
		t.Errorf("%d of %d alive, want 1 of 3: i2 was not seen since", live, all)
	}
	b.MergePresence(view.Presence{Name: "i4", Address: "i4", Place: "agreste", LastSeen: now})
	if live, all := b.CountAlive(now, 0); live != 3 || all != 3 {
		t.Errorf("%d of %d alive, want 3 of 3: i4 was seen again", live, all)
	}
}

// Guards against gossip, within the place or to another one, that does not say that this instance is leaving.
func TestDeltaReportsLeaving(t *testing.T) {
	b, _ := table()
	b.Leave()
	for _, place := range []string{"agreste", "sertao"} {
		delta := b.Delta(time.Second, view.State{}, place)
		if len(delta.Presences) != 1 || !delta.Presences[0].Leaving {
			t.Errorf("presences sent to %s: %+v, want the leaving instance", place, delta.Presences)
		}
	}
}

// Guards against rows that are sent to another region although it reads the store itself: with 195 instances, the member
// list alone was most of the traffic between regions that is not caused by callers. A region that is cut off from the
// store, or has just started, needs them.
func TestRowsForOtherRegions(t *testing.T) {
	now := 30 * time.Second
	b := view.NewTable(view.Presence{Name: "i1", Place: "agreste-a"}, roster.Regions{"agreste-a": "agreste", "agreste-b": "agreste"}, decoder{}, &observer{})
	b.SetConfiguration(rows(9, now, "config=x"))
	b.SetServers(now, rows(9, now, "a=primary"))
	b.SetMembers(rows(9, now, "i2=agreste-a"))
	sent := func(place string, version uint64, age time.Duration) string {
		has := view.State{ConfigurationVersion: version, ServersVersion: version, MembersVersion: version}
		has.Configuration.ReadAt, has.Servers.ReadAt, has.Members.ReadAt = now-age, now-age, now-age
		d := b.Delta(now, has, place)
		return fmt.Sprint(len(d.Configuration.Rows), len(d.Servers.Rows), len(d.Members.Rows))
	}
	for _, c := range []struct {
		place   string
		version uint64
		age     time.Duration
		want    string
	}{
		{"agreste-b", 8, time.Second, "1 1 1"},
		{"agreste-b", 9, time.Second, "0 0 0"},
		{"sertao-a", 8, time.Second, "0 0 0"},
		{"sertao-a", 8, 2 * time.Second, "1 0 0"},
		{"sertao-a", 8, 20 * time.Second, "1 1 1"},
		{"sertao-a", 0, time.Second, "1 1 1"},
	} {
		if got := sent(c.place, c.version, c.age); got != c.want {
			t.Errorf("%s has version %d, read %v ago: rows sent %s, want %s", c.place, c.version, c.age, got, c.want)
		}
	}
}

// Guards against an instance that has been down since before this one started and that other places keep calling: after a
// restart of all, one machine that did not come back held up 6 statements a second for 400 ms each.
func TestDeltaReportsMembersNeverSeen(t *testing.T) {
	members := rows(1, time.Second, "i1=agreste", "i2=agreste", "j1=sertao")
	coordinator, _ := table()
	coordinator.SetMembers(members)
	remote := view.NewTable(view.Presence{Name: "j1", Address: "j1", Place: "sertao"}, nil, decoder{}, &observer{})
	remote.SetMembers(members)
	holds := func(now time.Duration) bool {
		remote.Merge(now, coordinator.Delta(now, remote.Versions(), "sertao"))
		for m := range remote.Holders(now, "a", "agreste") {
			if m.Name == "i2" {
				return true
			}
		}
		return false
	}
	if now := time.Second + view.AliveTimeout/2; !holds(now) {
		t.Errorf("i2 is no holder %v after the first member list, want one: it may be starting too", now)
	}
	if now := time.Second + view.AliveTimeout; holds(now) {
		t.Errorf("i2 is a holder %v after the first member list, want none: its place has never seen it", now)
	}
	now := 10 * time.Second
	coordinator.MergePresence(view.Presence{Name: "i2", Address: "i2", Place: "agreste", LastSeen: now})
	if !holds(now) {
		t.Error("i2 is no holder after its place has seen it")
	}
}

// Guards against a server that counts as missing for too short or too long: one that was never listed has been missing since the
// first read, and a list that another instance confirmed as current counts as a read.
func TestMissingFor(t *testing.T) {
	b, _ := table()
	read := func(at time.Duration, entries ...string) { b.SetServers(at, rows(uint64(at), at, entries...)) }
	read(time.Second, "a=primary", "b=replica", "c=replica")
	b.Merge(30*time.Second, view.State{ServersVersion: uint64(time.Second), Servers: view.Rows{ReadAt: 30 * time.Second}})
	read(31*time.Second, "a=primary", "b=replica")
	check := func(server string, want time.Duration) {
		t.Helper()
		if got := b.MissingFor(server); got != want {
			t.Errorf("%s is missing for %v, want %v", server, got, want)
		}
	}
	check("c", 0)
	read(33*time.Second, "a=primary", "b=replica")
	check("a", 0)
	check("c", 2*time.Second)
	check("unknown", 32*time.Second)
	if lately, before := b.MissingServers("meals", 3*time.Second), b.MissingServers("meals", time.Second); len(lately) != 1 || lately[0].ID != "c" || len(before) != 0 {
		t.Errorf("missing for less than 3 s: %v, for less than 1 s: %v; want c, and none", lately, before)
	}
	read(34*time.Second, "a=primary", "c=replica")
	check("b", 0)
	check("c", 0)
	read(39*time.Second, "a=primary", "c=replica")
	check("b", 5*time.Second)
}

// Guards against instances that start together and each use every server until their first gossip.
func TestInstancesOfPlaceCountAsAliveAtStartup(t *testing.T) {
	b, _ := table()
	holders := func(now time.Duration) []string {
		var names []string
		for m := range b.Holders(now, "server", "agreste") {
			names = append(names, m.Name)
		}
		slices.Sort(names)
		return names
	}
	b.SetMembers(rows(1, time.Second, "i2=agreste", "i3=agreste"))
	if got := holders(1100 * time.Millisecond); !slices.Equal(got, []string{"i1", "i2", "i3"}) {
		t.Errorf("holders %v at first, want i1, i2 and i3", got)
	}
	b.Suspect(1100*time.Millisecond, "i2")
	b.MergePresence(view.Presence{Name: "i3", Place: "agreste", LastSeen: 1200 * time.Millisecond, Leaving: true})
	if got := holders(1200 * time.Millisecond); !slices.Equal(got, []string{"i1"}) {
		t.Errorf("holders %v, want only i1: i2 does not answer, i3 is leaving", got)
	}
	if got := holders(3 * time.Second); !slices.Equal(got, []string{"i1"}) {
		t.Errorf("holders %v after the grace period, want only i1: no other was seen", got)
	}
}

// Guards against a primary that restarts under another id and is replaced by its earlier id, which other instances still
// report in gossip.
func TestLeaderRestartsUnderAnotherID(t *testing.T) {
	for _, rejected := range []bool{false, true} {
		b, _ := table()
		b.SetServers(time.Second, rows(1, time.Second, "a=primary", "b=replica"))
		b.ReportLeader(time.Second, view.Leader{Group: "meals", Server: "a", Term: 2})
		if rejected {
			b.RejectLeader(time.Second, "meals", "a")
		}
		b.SetServers(2*time.Second, rows(2, 2*time.Second, "b=replica", "c=primary"))
		b.Merge(2*time.Second, view.State{Leaders: []view.Leader{{Group: "meals", Server: "a", Term: 2}}})
		if l, _ := b.Leader("meals"); l.Server != "c" {
			t.Errorf("rejected %t: leader %+v, want c", rejected, l)
		}
		b.ReportLeader(2*time.Second, view.Leader{Group: "meals", Server: "c", Term: 2})
		b.ReportLeader(2*time.Second, view.Leader{Group: "meals", Server: "b", Term: 3})
		if l, _ := b.Leader("meals"); l.Server != "b" || l.Term != 3 {
			t.Errorf("rejected %t: leader %+v, want b in term 3", rejected, l)
		}
		b.Merge(2*time.Second, view.State{Leaders: []view.Leader{{Group: "meals", Server: "c", Term: 2}}})
		if l, _ := b.Leader("meals"); l.Server != "b" {
			t.Errorf("rejected %t: leader %+v after gossip about an earlier term, want b", rejected, l)
		}
	}
}
