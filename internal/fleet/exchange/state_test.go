package exchange_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/fleet/document"
	"tanagercross/internal/fleet/exchange"
	"tanagercross/internal/fleet/roster"
)

func group(term uint64, primary string, observed time.Time, index uint64) exchange.GroupState {
	return exchange.GroupState{Group: "g", Term: term, Primary: primary, Servers: []exchange.ServerPosition{
		{Server: "s", Position: driver.Position{Term: term, Index: index}, Observed: observed},
	}}
}

// Guards against an older term, an older position or an earlier process of a member that replaces a newer one.
func TestMergeStates(t *testing.T) {
	now := time.Now()
	content, err := roster.New(1, []roster.Member{{Name: "a"}, {Name: "b"}}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	s := exchange.New(exchange.Params{Self: "a", Incarnation: 1}, now)
	s.MergeDocument(document.Document{Name: document.Roster, Version: 1, Content: content}, time.Now())
	s.MergeGroup(group(4, "p", now, 9), now)
	s.MergeGroup(group(3, "q", now.Add(-time.Second), 99), now)
	s.MergeGroup(group(4, "r", now.Add(-time.Second), 8), now)
	got, _ := s.Group("g")
	if d := cmp.Diff(group(4, "p", now, 9), got); d != "" {
		t.Error(d)
	}
	evidence := []exchange.Evidence{{Group: "g", Term: 4}}
	for _, m := range []exchange.MemberState{
		{Member: "b", Incarnation: 2, Sequence: 1, Evidence: evidence},
		{Member: "b", Incarnation: 1, Sequence: 9},
		{Member: "gone", Incarnation: 1, Sequence: 1, Evidence: evidence},
		{Member: "a", Incarnation: 9, Sequence: 9, Leaving: true},
	} {
		s.Answer(exchange.Message{From: "b", Members: []exchange.MemberState{m}}, now)
	}
	if d := cmp.Diff([]string{"b"}, s.Reporters("g", 4)); d != "" {
		t.Error(d)
	}
	if s.Reporters("g", 5) != nil || s.Roster().Members()[0].Leaving {
		t.Error("evidence counts for another term, or a peer changed the own state")
	}
}

// Guards against states that do not reach a member that was away, and against sending them once both sides agree.
func TestDigests(t *testing.T) {
	n := newNetwork(t, 1, 5)
	n.run(time.Second)
	away := n.nodes[4]
	away.noPeers = true
	n.nodes[0].state.SetOwn(exchange.MemberState{Leaving: true, Lanes: []exchange.Lane{{Server: "s", Lane: 1}}}, n.now)
	n.nodes[0].state.MergeGroup(group(4, "p", n.now, 9), n.now)
	n.run(10 * time.Second)
	away.noPeers = false
	n.run(2 * time.Second)
	m, _ := away.state.Member("i-000")
	if g, _ := away.state.Group("g"); g.Term != 4 || !m.Leaving || len(m.Lanes) != 1 {
		t.Errorf("group %+v, member %+v", g, m)
	}
	n.run(5 * time.Second)
	answer := away.state.Answer(n.nodes[0].state.Request(away.name, n.now), n.now)
	if len(answer.Members) > 0 || len(answer.Documents) > 0 {
		t.Errorf("sent again: %+v", answer)
	}
}

// Guards against large tables that never agree: entries that the peer does not have must reach it within a round of
// all buckets.
func TestBuckets(t *testing.T) {
	now := time.Now()
	var members []exchange.MemberState
	for i := range 1000 {
		members = append(members, exchange.MemberState{Member: fmt.Sprint(i), Incarnation: 1, Sequence: 1})
	}
	a := exchange.New(exchange.Params{Self: "a", Incarnation: 1}, now)
	b := exchange.New(exchange.Params{Self: "b", Incarnation: 1}, now)
	a.Answer(exchange.Message{From: "x", Members: members}, now)
	b.Answer(exchange.Message{From: "x", Members: members[:990]}, now)
	now = now.Add(time.Minute)
	sent := 0
	for range 70 {
		answer := a.Answer(b.Request("a", now), now)
		sent += len(answer.Members)
		b.Answered(now, "a", answer, now)
		now = now.Add(2 * time.Second)
	}
	if got := len(b.Members()); got != 1002 || sent > 400 {
		t.Errorf("%d members known, %d entries sent", got, sent)
	}
}

// Guards against positions that peers send and that the tables of the instance never get, and against reading all groups
// at each tick.
func TestMergedGroups(t *testing.T) {
	now := time.Now()
	s := exchange.New(exchange.Params{Self: "a", Incarnation: 1}, now)
	s.Answer(exchange.Message{From: "b", Groups: []exchange.GroupState{group(4, "p", now, 9)}}, now)
	if got := s.MergedGroups(); len(got) != 1 || got[0].Servers[0].Position.Index != 9 || len(s.MergedGroups()) != 0 {
		t.Errorf("merged %+v, then again", got)
	}
	s.Answer(exchange.Message{From: "b", Groups: []exchange.GroupState{group(4, "p", now.Add(time.Second), 10)}}, now)
	if got := s.MergedGroups(); len(got) != 1 || got[0].Servers[0].Position.Index != 10 || len(s.Groups()) != 1 {
		t.Errorf("a newer position is not reported: %+v", got)
	}
}
