package view_test

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/fleet/roster"
	"tanagercross/internal/fleet/view"
)

// decoder reads rows of words: the version of a configuration, the role of a server, the place of a member.
type decoder struct{}

func (decoder) Configuration(value []byte) (catalog.Configuration, error) {
	if string(value) == "faulty" {
		return catalog.Configuration{}, errors.New("faulty")
	}
	return catalog.NewConfiguration(uint64(len(value)), nil, nil, nil), nil
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
func (o *observer) RowIgnored(key string, _ error)                                 { o.ignored = append(o.ignored, key) }

func table() (*view.Table, *observer) {
	o := &observer{}
	return view.NewTable(view.Presence{Name: "i1", Address: "i1", Place: "agreste"}, decoder{}, o), o
}

func rows(version uint64, read time.Duration, entries ...string) view.Rows {
	r := view.Rows{Version: version, ReadAt: read}
	for _, e := range entries {
		key, value, _ := strings.Cut(e, "=")
		r.Rows = append(r.Rows, view.Row{Key: key, Value: []byte(value), Version: version})
	}
	return r
}

// Guards against a configuration that goes back, from the store or from another instance.
func TestConfigurationNeverGoesBack(t *testing.T) {
	b, o := table()
	b.SetConfiguration(rows(7, time.Second, "config=xxx"))
	b.SetConfiguration(rows(5, 2*time.Second, "config=x"))
	b.Merge(3*time.Second, view.State{ConfigurationVersion: 6, Configuration: rows(6, 3*time.Second, "config=xx")})
	if v := b.Configuration().Version; v != 3 {
		t.Errorf("version %d, want 3", v)
	}
	b.SetConfiguration(rows(9, 4*time.Second, "config=faulty"))
	if v := b.Configuration().Version; v != 3 || len(o.ignored) != 1 {
		t.Errorf("version %d after a faulty row, ignored %v", v, o.ignored)
	}
}

// Guards against servers that are given up because their entries lapsed while the store was away.
func TestMissingEntriesAfterAnOutage(t *testing.T) {
	b, _ := table()
	b.SetServers(time.Second, rows(1, time.Second, "a=primary", "b=replica"))
	b.SetServers(2*time.Second, rows(2, 2*time.Second, "a=primary"))
	if n := len(b.Servers().All()); n != 1 {
		t.Errorf("%d servers, want 1: b is gone", n)
	}
	b.SetServers(12*time.Second, rows(9, 12*time.Second))
	if n := len(b.Servers().All()); n != 1 {
		t.Errorf("%d servers right after an outage, want a to be kept", n)
	}
	b.SetServers(15*time.Second, rows(12, 15*time.Second))
	if n := len(b.Servers().All()); n != 0 {
		t.Errorf("%d servers, want none: a is still missing", n)
	}
}

// Guards against an entry of another writer that hides the servers.
func TestStrangeEntryIsIgnored(t *testing.T) {
	b, o := table()
	b.SetServers(time.Second, rows(1, time.Second, "a=primary", "strange"))
	if _, ok := b.Leader("meals"); !ok || !slices.Equal(o.ignored, []string{"strange"}) {
		t.Errorf("leader known %t, ignored %v", ok, o.ignored)
	}
}

// Guards against a replaced primary that is believed again: by an entry that is older than the refusal, by gossip of its
// term, or by an older proof.
func TestReplacedLeaderIsNotBelieved(t *testing.T) {
	b, _ := table()
	b.SetServers(time.Second, rows(1, time.Second, "a=primary", "b=replica"))
	b.ReportLeader(time.Second, view.Leader{Group: "meals", Server: "a", Term: 4})
	b.RejectLeader(2*time.Second, "meals", "a")
	if l, ok := b.Leader("meals"); ok {
		t.Errorf("leader %+v after its refusal", l)
	}
	b.ReportLeader(2*time.Second, view.Leader{Group: "meals", Server: "a", Term: 4})
	b.SetServers(2*time.Second, rows(2, 2*time.Second, "a=primary", "b=replica", "c=replica"))
	if l, ok := b.Leader("meals"); ok {
		t.Errorf("leader %+v from old evidence", l)
	}
	b.ReportLeader(3*time.Second, view.Leader{Group: "meals", Server: "b", Term: 5})
	b.Merge(3*time.Second, view.State{Leaders: []view.Leader{{Group: "meals", Server: "a", Term: 4}}})
	if l, _ := b.Leader("meals"); l.Server != "b" {
		t.Errorf("leader %+v, want b", l)
	}
	b.RejectLeader(4*time.Second, "meals", "a")
	if l, _ := b.Leader("meals"); l.Server != "b" {
		t.Errorf("leader %+v after the refusal of another server", l)
	}
}

// Guards against holders that are down or leaving, and against instances that choose different ones.
func TestHolders(t *testing.T) {
	b, _ := table()
	b.SetMembers(rows(1, time.Second, "i1=agreste", "i2=agreste", "i3=agreste", "j1=sertao"))
	now := 10 * time.Second
	names := func() (list []string) {
		for _, m := range b.Holders(now, "a", "agreste") {
			list = append(list, m.Name)
		}
		return list
	}
	if got := names(); !slices.Equal(got, []string{"i1", "j1"}) {
		t.Errorf("holders %v: instances of the place that were never heard count", got)
	}
	for _, name := range []string{"i2", "i3"} {
		b.MergePresence(view.Presence{Name: name, Address: name, Place: "agreste", LastSeen: now})
	}
	all := names()
	if len(all) != 4 || all[3] != "j1" {
		t.Errorf("holders %v, want those of the place first", all)
	}
	first := all[0]
	b.Suspect(now, first)
	if got := names(); first != "i1" && slices.Contains(got, first) || len(got) < 3 {
		t.Errorf("holders %v, want only %s passed over, unless it is the instance itself", got, first)
	}
	now += 2 * view.AliveTimeout
	if got := names(); !slices.Equal(got, []string{"i1", "j1"}) {
		t.Errorf("holders %v after silence", got)
	}
	b.Leave()
	if got := names(); slices.Contains(got, "i1") {
		t.Errorf("holders %v, want i1 left out while it leaves", got)
	}
}

// Guards against a part of the rate that is held back for instances that have stopped, and against instances that are
// cut off and take the part of the others.
func TestLiveInstances(t *testing.T) {
	b, _ := table()
	b.SetMembers(rows(1, time.Second, "i1=agreste", "i2=agreste", "i3=agreste", "i4=agreste"))
	now := 10 * time.Second
	for _, name := range []string{"i2", "i3"} {
		b.MergePresence(view.Presence{Name: name, Address: name, Place: "agreste", LastSeen: now, Leaving: name == "i3"})
	}
	if live, all := b.CountAlive(now); live != 2 || all != 3 {
		t.Errorf("%d of %d, want 2 of 3: i3 leaves, i4 is silent", live, all)
	}
	b.MarkStopped("i4")
	if live, all := b.CountAlive(now); live != 2 || all != 2 {
		t.Errorf("%d of %d, want 2 of 2: i4 does not run", live, all)
	}
	b.MergePresence(view.Presence{Name: "i4", Address: "i4", Place: "agreste", LastSeen: now})
	if live, all := b.CountAlive(now); live != 3 || all != 3 {
		t.Errorf("%d of %d, want 3 of 3: i4 is back", live, all)
	}
}

// Guards against a leaving instance that other instances do not learn of, in its place and elsewhere.
func TestLeavingIsTold(t *testing.T) {
	b, _ := table()
	b.Leave()
	for _, place := range []string{"agreste", "sertao"} {
		told := b.Delta(time.Second, view.State{}, place)
		if len(told.Presences) != 1 || !told.Presences[0].Leaving {
			t.Errorf("%s is told %+v", place, told.Presences)
		}
	}
}

// Guards against a missing replica that is forgotten while it may be the only one with the last commits, and against one
// that is waited for although the leader has outlived it.
func TestMissingReplicas(t *testing.T) {
	b, _ := table()
	at := time.Second
	read := func(entries ...string) int {
		at += time.Second
		b.SetServers(at, rows(uint64(at), at, entries...))
		return b.MissingReplicas("meals")
	}
	if n := read("a=primary", "b=replica", "c=replica"); n != 0 {
		t.Errorf("%d missing, want none", n)
	}
	if n := read("a=primary", "b=replica"); n != 1 {
		t.Errorf("%d missing, want c", n)
	}
	if n := read("a=primary", "b=replica", "c=replica"); n != 0 {
		t.Errorf("%d missing after c came back", n)
	}
	for range 9 {
		read("a=primary", "b=replica")
	}
	if n := read("a=primary", "b=replica"); n != 0 {
		t.Errorf("%d missing although the leader has outlived c", n)
	}
	read("a=primary")
	for range 9 {
		read()
	}
	if n := b.MissingReplicas("meals"); n != 1 {
		t.Errorf("%d missing after the death of all, want b", n)
	}
}

// Guards against instances that start together and each use every server until they hear the others.
func TestInstancesOfThePlaceAreAssumedAliveAtFirst(t *testing.T) {
	b, _ := table()
	holders := func(now time.Duration) []string {
		var names []string
		for _, m := range b.Holders(now, "server", "agreste") {
			names = append(names, m.Name)
		}
		slices.Sort(names)
		return names
	}
	b.SetMembers(rows(1, time.Second, "i2=agreste", "i3=agreste"))
	if got := holders(1100 * time.Millisecond); !slices.Equal(got, []string{"i1", "i2", "i3"}) {
		t.Errorf("holders %v at first, want all", got)
	}
	b.Suspect(1100*time.Millisecond, "i2")
	b.MergePresence(view.Presence{Name: "i3", Place: "agreste", LastSeen: 1200 * time.Millisecond, Leaving: true})
	if got := holders(1200 * time.Millisecond); !slices.Equal(got, []string{"i1"}) {
		t.Errorf("holders %v, want neither the one that does not answer nor the one that leaves", got)
	}
	if got := holders(3 * time.Second); !slices.Equal(got, []string{"i1"}) {
		t.Errorf("holders %v later, want only what was heard", got)
	}
}

// Guards against a primary that starts again under another id and is given up for its earlier id, of which other instances
// still tell.
func TestLeaderUnderAnotherID(t *testing.T) {
	for _, disproved := range []bool{false, true} {
		b, _ := table()
		b.SetServers(time.Second, rows(1, time.Second, "a=primary", "b=replica"))
		b.ReportLeader(time.Second, view.Leader{Group: "meals", Server: "a", Term: 2})
		if disproved {
			b.RejectLeader(time.Second, "meals", "a")
		}
		b.SetServers(2*time.Second, rows(2, 2*time.Second, "b=replica", "c=primary"))
		b.Merge(2*time.Second, view.State{Leaders: []view.Leader{{Group: "meals", Server: "a", Term: 2}}})
		if l, _ := b.Leader("meals"); l.Server != "c" {
			t.Errorf("disproved %t: leader %+v, want c", disproved, l)
		}
		b.ReportLeader(2*time.Second, view.Leader{Group: "meals", Server: "c", Term: 2})
		b.ReportLeader(2*time.Second, view.Leader{Group: "meals", Server: "b", Term: 3})
		if l, _ := b.Leader("meals"); l.Server != "b" || l.Term != 3 {
			t.Errorf("disproved %t: leader %+v, want b in term 3", disproved, l)
		}
		b.Merge(2*time.Second, view.State{Leaders: []view.Leader{{Group: "meals", Server: "c", Term: 2}}})
		if l, _ := b.Leader("meals"); l.Server != "b" {
			t.Errorf("disproved %t: leader %+v, went back", disproved, l)
		}
	}
}
