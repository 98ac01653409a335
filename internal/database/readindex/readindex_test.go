package readindex_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/readindex"
)

func at(ms, index int) readindex.Index {
	return readindex.Index{
		RequestedAt: time.Duration(ms) * time.Millisecond, Position: driver.Position{Term: 1, Index: uint64(index)},
	}
}

// Guards against a proof older than the bound, and against giving up a replica that holds an older position.
func TestOldestInsideTheBound(t *testing.T) {
	var h readindex.History
	for n := 1; n <= 10; n++ {
		h = h.With(at(n*200, n))
	}
	if p, ok := h.Oldest(900 * time.Millisecond); !ok || p.Position.Index != 5 {
		t.Errorf("got %+v %t, want the proof of 1,000 ms", p, ok)
	}
	if p, ok := h.Oldest(2001 * time.Millisecond); ok {
		t.Errorf("got %+v for a bound that no proof meets", p)
	}
}

// Guards against a history that loses its newest proof, grows without bound, or changes one that is in use.
func TestHistoryKeepsNewestAndStaysBounded(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		var h readindex.History
		moment := 0
		for n := range 400 {
			moment += 1 + random.IntN(150)
			before, _ := h.Newest()
			next := h.With(at(moment, n))
			if p, ok := next.Newest(); !ok || p != at(moment, n) {
				t.Fatalf("seed %d: newest %+v", seed, p)
			}
			if p, _ := h.Newest(); p != before {
				t.Fatalf("seed %d: an older history changed", seed)
			}
			h = next
		}
		if same := h.With(at(moment-1, 999)); same.Len() != h.Len() || h.Len() > 48 {
			t.Errorf("seed %d: %d proofs after an old one, %d before", seed, same.Len(), h.Len())
		}
	}
}
