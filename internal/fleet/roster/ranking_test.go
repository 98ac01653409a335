package roster_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"tanagercross/internal/fleet/roster"
)

// holders is how many members of a ranking a statement tries.
const holders = 3

// firstByPower returns the first n members of a ranking.
func firstByPower(r roster.Roster, key, place string, n int) []roster.Member {
	var list []roster.Member
	for m := range r.RankByPower(key, place) {
		if list = append(list, m); len(list) == n {
			break
		}
	}
	return list
}

// Guards against a ranking whose kept members differ from the order of all, at the first and at later uses, and against
// one that is still used after the members changed.
func TestKeptRanksAreThoseOfAll(t *testing.T) {
	all := members(60)
	for n := range all {
		all[n].Power = []float64{0.1, 0.8}[n%2]
	}
	r := roster.New(1, all)
	leaving := r.WithLeaving(func(name string) bool { return name < "i-20" })
	for k := range 50 {
		key := fmt.Sprint(k)
		want := r.Rank(key, "place-1")
		slices.SortStableFunc(want, func(a, b roster.Member) int { return class(a) - class(b) })
		for range 2 {
			if d := cmp.Diff(names(want), names(slices.Collect(r.RankByPower(key, "place-1")))); d != "" {
				t.Fatal(d)
			}
			if d := cmp.Diff(names(want[:holders]), names(firstByPower(r, key, "place-1", holders))); d != "" {
				t.Fatal(d)
			}
		}
		if d := cmp.Diff(names(want[:20]), names(r.PlaceByPower(key, "place-1"))); d != "" {
			t.Fatal(d)
		}
		staying := slices.DeleteFunc(want, func(m roster.Member) bool { return m.Name < "i-20" })
		if d := cmp.Diff(names(staying), names(slices.Collect(leaving.RankByPower(key, "place-1")))); d != "" {
			t.Fatal(d)
		}
	}
}

// class orders members of place-1 before others and powerful ones before weak ones.
func class(m roster.Member) int {
	c := 0
	if m.Place != "place-1" {
		c += 2
	}
	if m.Power < 0.4 {
		c++
	}
	return c
}

// Guards against a choice of holders whose cost for each statement grows with the fleet: at 195 instances, ranking all of
// them for each statement, group and tick took half of an idle instance's processor time.
func TestCostOfHoldersIsFlat(t *testing.T) {
	const calls, most = 1000, 1 << 10 // bytes allocated by one choice
	for _, n := range []int{20, 200, 1000} {
		r := roster.New(1, members(n))
		_ = firstByPower(r, "server", "place-1", holders)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range calls {
			_ = firstByPower(r, "server", "place-1", holders)
			_ = r.PlaceByPower("steward", "place-1")
		}
		runtime.ReadMemStats(&after)
		if got := (after.TotalAlloc - before.TotalAlloc) / calls; got > most {
			t.Errorf("%d members: %d bytes for each choice, want at most %d", n, got, most)
		}
	}
}

// BenchmarkHolders measures the choice of the holders of a server, once its ranking is kept.
func BenchmarkHolders(b *testing.B) {
	for _, n := range []int{20, 200, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := roster.New(1, members(n))
			b.ReportAllocs()
			for b.Loop() {
				_ = firstByPower(r, "server", "place-1", holders)
			}
		})
	}
}

// BenchmarkRanking measures the first use of a ranking after the members changed.
func BenchmarkRanking(b *testing.B) {
	for _, n := range []int{20, 200, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := roster.New(1, members(n))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				_ = firstByPower(r, fmt.Sprint(i), "place-1", holders)
			}
		})
	}
}
