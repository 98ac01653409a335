package readindex_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/readindex"
)

// at returns a read index that was requested at a time in milliseconds.
func at(ms, index int) readindex.Index {
	return readindex.Index{
		RequestedAt: time.Duration(ms) * time.Millisecond, Position: driver.Position{Term: 1, Index: uint64(index)},
	}
}

// Guards against an index older than the bound, which allows stale reads, and against a newer one than needed, which
// excludes replicas that hold only the older position.
func TestOldestInsideTheBound(t *testing.T) {
	var history readindex.History
	for n := 1; n <= 10; n++ {
		history = history.With(at(n*200, n))
	}
	if index, ok := history.Oldest(900 * time.Millisecond); !ok || index.Position.Index != 5 {
		t.Errorf("got %+v %t, want the index of 1,000 ms", index, ok)
	}
	if index, ok := history.Oldest(2001 * time.Millisecond); ok {
		t.Errorf("got %+v for a bound that no index meets", index)
	}
}

// Guards against a history that loses its newest index, grows without bound, or changes while a reader uses it.
func TestHistoryKeepsNewestAndStaysBounded(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		var history readindex.History
		moment := 0
		for n := range 400 {
			moment += 1 + random.IntN(150)
			before, _ := history.Newest()
			next := history.With(at(moment, n))
			if index, ok := next.Newest(); !ok || index != at(moment, n) {
				t.Fatalf("seed %d: newest %+v", seed, index)
			}
			if index, _ := history.Newest(); index != before {
				t.Fatalf("seed %d: an older history changed", seed)
			}
			history = next
		}
		if same := history.With(at(moment-1, 999)); same.Len() != history.Len() || history.Len() > 48 {
			t.Errorf("seed %d: %d indexes after an old one was added, %d before", seed, same.Len(), history.Len())
		}
	}
}
