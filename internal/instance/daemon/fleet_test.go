package daemon

import (
	"fmt"
	"testing"
	"time"

	"tanagercross/internal/fleet/document"
	"tanagercross/internal/fleet/exchange"
	"tanagercross/internal/fleet/roster"
	"tanagercross/internal/service/store"
)

// newTestFleet returns a fleet that holds a roster of n members, each with two lanes, and a group list.
func newTestFleet(tb testing.TB, n, groups int) (*fleet, time.Time) {
	tb.Helper()
	now := time.Now()
	f := newFleet(exchange.Params{Self: "i-0000", Incarnation: 1}, "agreste", func() time.Time { return now })
	var members []roster.Member
	var states []exchange.MemberState
	for i := range n {
		name := fmt.Sprintf("i-%04d", i)
		members = append(members, roster.Member{Name: name, Address: "127.0.0.1:1", Place: fmt.Sprint("p", i%8)})
		lanes := []exchange.Lane{{Server: fmt.Sprint("s", i)}, {Server: fmt.Sprint("s", i), Lane: 1}}
		states = append(states, exchange.MemberState{Member: name, Incarnation: 1, Sequence: 1, Lanes: lanes})
	}
	var list []store.Group
	for i := range groups {
		list = append(list, store.Group{Name: fmt.Sprint("g", i)})
	}
	content, err := roster.New(1, members).Encode()
	if err != nil {
		tb.Fatal(err)
	}
	listed, err := encodeGroups(list)
	if err != nil {
		tb.Fatal(err)
	}
	f.update(func(s *exchange.State, now time.Time) {
		s.MergeDocument(document.Document{Name: document.Roster, Version: 1, Content: content}, now)
		s.MergeDocument(document.Document{Name: document.Groups, Version: 1, Content: listed}, now)
		s.Answer(exchange.Message{From: "i-0001", Members: states}, now)
	})
	return f, now
}

// Guards against a snapshot that misses a change because it is rebuilt only on changes, and against one that is rebuilt
// on every exchange.
func TestSnapshotFollowsChanges(t *testing.T) {
	f, now := newTestFleet(t, 5, 1)
	first := f.view()
	f.update(func(*exchange.State, time.Time) {})
	if again := f.view(); again.ranking != first.ranking || &again.members[0] != &first.members[0] {
		t.Error("rebuilt without a change")
	}
	tell := func(m exchange.MemberState) {
		m.Member, m.Incarnation = "i-0002", 1
		f.update(func(s *exchange.State, _ time.Time) {
			s.Answer(exchange.Message{From: "i-0001", Members: []exchange.MemberState{m}}, now)
		})
	}
	tell(exchange.MemberState{Sequence: 2})
	if v := f.view(); len(v.members[2].Lanes) != 0 || v.ranking != first.ranking {
		t.Errorf("lanes %v, or ranked again for them", v.members[2].Lanes)
	}
	tell(exchange.MemberState{Sequence: 3, Leaving: true})
	if v := f.view(); !v.roster.Members()[2].Leaving || v.ranking == first.ranking {
		t.Error("a leaving member is not seen")
	}
}

// Guards against groups that the platform no longer lists and that members send each other for ever.
func TestUnlistedGroupsAreDropped(t *testing.T) {
	f, now := newTestFleet(t, 3, 2)
	known := func() (n int) {
		f.update(func(s *exchange.State, _ time.Time) {
			for _, name := range []string{"g0", "g1"} {
				s.MergeGroup(exchange.GroupState{Group: name, Term: 1, Primary: "p"}, now)
				if _, ok := s.Group(name); ok {
					n++
				}
			}
		})
		return n
	}
	if known() != 2 {
		t.Fatal("listed groups are not kept")
	}
	content, err := encodeGroups([]store.Group{{Name: "g1"}})
	if err != nil {
		t.Fatal(err)
	}
	f.update(func(s *exchange.State, now time.Time) {
		s.MergeDocument(document.Document{Name: document.Groups, Version: 2, Content: content}, now)
	})
	if known() != 1 {
		t.Error("a group that is not listed is kept")
	}
}

func sizes(b *testing.B, run func(b *testing.B, members int)) {
	b.Helper()
	for _, n := range []int{20, 200, 1000, 4000} {
		b.Run(fmt.Sprint("members=", n), func(b *testing.B) { run(b, n) })
	}
}

// BenchmarkPublishLanes is the publishing of a snapshot after the lanes of one member changed.
func BenchmarkPublishLanes(b *testing.B) {
	sizes(b, func(b *testing.B, n int) {
		f, now := newTestFleet(b, n, n/2)
		for sequence := uint64(2); b.Loop(); sequence++ {
			states := []exchange.MemberState{{Member: "i-0002", Incarnation: 1, Sequence: sequence}}
			f.update(func(s *exchange.State, _ time.Time) {
				s.Answer(exchange.Message{From: "i-0001", Members: states}, now)
			})
		}
	})
}
