// Package proof keeps positions that a leading primary confirmed, with the moment at which it was asked.
//
// A log that holds such a position lacks no commit that was acknowledged before that moment. A read that may miss what is
// younger than a bound therefore runs on any server that holds the position of a proof inside the bound.
//
// # Usage
//
//	h = h.With(proof.Proof{Position: position, Asked: sent})
//	if p, ok := h.Oldest(now - bound); ok {
//		read.After = p.Position
//	}
//
// Moments are readings of a clock that counts suspended time. The oldest proof inside the bound is used, because the
// most servers hold its position.
package proof

import (
	"time"

	"tanagercross/internal/database/driver"
)

// spacing is the least time between two proofs that are kept; size of them cover the longest usual bound.
const (
	spacing = 100 * time.Millisecond
	size    = 48
)

// Proof is a position that a leading primary confirmed after it was asked.
type Proof struct {
	Position driver.Position
	Asked    time.Duration
}

// History is an immutable list of proofs, oldest first. The zero value is empty.
type History struct{ proofs []Proof }

// With returns a history that includes a proof. A proof that is not newer than the last one changes nothing.
func (h History) With(p Proof) History {
	n := len(h.proofs)
	if n > 0 && p.Asked <= h.proofs[n-1].Asked {
		return h
	}
	kept := h.proofs
	// The last proof gives way if it is close to the one before it, so that the newest is always kept.
	if n > 1 && h.proofs[n-1].Asked-h.proofs[n-2].Asked < spacing {
		kept = kept[:n-1]
	}
	if len(kept) >= size {
		kept = kept[1:]
	}
	proofs := make([]Proof, 0, len(kept)+1)
	return History{proofs: append(append(proofs, kept...), p)}
}

// Oldest returns the oldest proof that was asked at or after a moment.
func (h History) Oldest(since time.Duration) (Proof, bool) {
	for _, p := range h.proofs {
		if p.Asked >= since {
			return p, true
		}
	}
	return Proof{}, false
}

// Newest returns the newest proof.
func (h History) Newest() (Proof, bool) {
	if len(h.proofs) == 0 {
		return Proof{}, false
	}
	return h.proofs[len(h.proofs)-1], true
}

// Len returns the number of proofs.
func (h History) Len() int { return len(h.proofs) }
