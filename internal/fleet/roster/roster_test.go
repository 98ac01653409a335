package roster_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"tanagercross/internal/fleet/roster"
)

func members(n int) []roster.Member {
	var list []roster.Member
	for i := range n {
		list = append(list, roster.Member{Name: fmt.Sprintf("i-%02d", i), Place: fmt.Sprintf("place-%d", i%3)})
	}
	return list
}

func names(list []roster.Member) []string {
	var out []string
	for _, m := range list {
		out = append(out, m.Name)
	}
	return out
}

// Guards against ranks that move more than the removed member's keys, which would reshuffle lanes and homes.
func TestRankIsStable(t *testing.T) {
	all := members(15)
	before, after := roster.New(1, all), roster.New(2, all[1:])
	for k := range 200 {
		key := fmt.Sprint(k)
		want := names(before.Rank(key, "place-1"))
		var kept []string
		for _, n := range want {
			if n != all[0].Name {
				kept = append(kept, n)
			}
		}
		if d := cmp.Diff(kept, names(after.Rank(key, "place-1"))); d != "" {
			t.Fatal(d)
		}
		if m := before.Rank(key, "place-1")[0]; m.Place != "place-1" {
			t.Fatalf("key %s: first is in %s", key, m.Place)
		}
	}
}

// Guards against watchers in one place, leaving watchers, and committees that differ by the leaving flag.
func TestSpreadAndLeaving(t *testing.T) {
	r := roster.New(1, members(15))
	leaving := r.WithLeaving(func(n string) bool { return n < "i-05" })
	for k := range 100 {
		places := map[string]bool{}
		for _, m := range leaving.Watchers(fmt.Sprint(k), 3) {
			places[m.Place] = true
			if m.Leaving {
				t.Fatalf("leaving watcher %s", m.Name)
			}
		}
		if len(places) != 3 {
			t.Fatalf("group %d: places %v", k, places)
		}
		if d := cmp.Diff(names(r.Committee(k, 5)), names(leaving.Committee(k, 5))); d != "" {
			t.Fatal(d)
		}
	}
	if err := roster.CheckChange(r, roster.New(2, members(17))); err == nil {
		t.Error("two members added at once")
	}
	if got := len(r.Committee(1, 50)); got != 15 || r.Majority() != 8 {
		t.Errorf("committee %d majority %d", got, r.Majority())
	}
}

// Guards against two quorums without a common witness while a roster change spreads.
func TestQuorumsIntersect(t *testing.T) {
	all := make([]roster.Member, 0, 600)
	for i := range cap(all) {
		all = append(all, roster.Member{Name: fmt.Sprintf("i-%03d", i)})
	}
	for n := 1; n < len(all); n++ {
		before, after := roster.New(1, all[:n]), roster.New(2, all[:n+1])
		held := map[string]bool{}
		for _, m := range before.Witnesses() {
			held[m.Name] = true
		}
		common := 0
		for _, m := range after.Witnesses() {
			if held[m.Name] {
				common++
			}
		}
		union := len(before.Witnesses()) + len(after.Witnesses()) - common
		if before.Quorum()+after.Quorum() <= union || 2*after.Quorum() <= len(after.Witnesses()) {
			t.Fatalf("%d members: quorums %d and %d of %d", n, before.Quorum(), after.Quorum(), union)
		}
	}
}

// Guards against a removal that is not marked: a change would be reported in force while the removed member, which no
// longer counts, is still fresh without it.
func TestRemovalIsMarked(t *testing.T) {
	both := roster.New(1, []roster.Member{{Name: "a"}, {Name: "b"}})
	rest := roster.New(2, both.Members()[:1])
	if roster.CheckChange(both, rest) == nil || roster.CheckChange(both, rest.WithRemoval()) != nil {
		t.Error("the check does not ask for the mark")
	}
	content, err := rest.WithRemoval().Encode()
	if err != nil {
		t.Fatal(err)
	}
	if r, err := roster.Decode(2, content); err != nil || !r.WithLeaving(func(string) bool { return true }).Removal() {
		t.Errorf("the mark is lost: %v", err)
	}
}

// Guards against a shortlist that differs from the full rank, so that members with different code disagree.
func TestFirstIsHeadOfRank(t *testing.T) {
	var all []roster.Member
	for i := range 50 {
		all = append(all, roster.Member{Name: fmt.Sprintf("i-%02d", i), Place: fmt.Sprint(i % 3), Leaving: i%7 == 0})
	}
	r := roster.New(1, all)
	for k := range 100 {
		key := fmt.Sprint("shard/", k)
		rank := r.Rank(key, "")
		if d := cmp.Diff(rank[:6], r.First(key, 6)); d != "" {
			t.Fatal(d)
		}
		places := map[string]int{}
		for _, m := range r.Committee(k, 5) {
			places[m.Place]++
		}
		if len(places) != 3 || r.Watchers(key, 1)[0] != r.First("watch/"+key, 1)[0] {
			t.Fatalf("committee over %v", places)
		}
	}
}

// Guards against work for many instances on a machine that is much weaker than others of its place, and against all of it
// on one machine.
func TestRankByPower(t *testing.T) {
	list := []roster.Member{{Name: "x", Place: "sertao", Power: 4}}
	for n := range 12 {
		m := roster.Member{Name: fmt.Sprint("i", n), Place: "agreste", Power: 0.134}
		if n%4 == 0 {
			m.Power = 0.8
		}
		list = append(list, m)
	}
	r := roster.New(1, list)
	first := map[string]bool{}
	for k := range 100 {
		ranked := slices.Collect(r.RankByPower(fmt.Sprint(k), "agreste"))
		first[ranked[0].Name] = true
		for n, m := range ranked {
			if strong := m.Power == 0.8; strong != (n < 3) || (m.Place == "sertao") != (n == 12) {
				t.Fatalf("key %d: %s with power %g is at %d", k, m.Name, m.Power, n)
			}
		}
	}
	if len(first) != 3 {
		t.Errorf("only %v come first", first)
	}
	equal := roster.New(1, members(9))
	if d := cmp.Diff(names(equal.Rank("k", "place-1")), names(slices.Collect(equal.RankByPower("k", "place-1")))); d != "" {
		t.Error(d)
	}
}
