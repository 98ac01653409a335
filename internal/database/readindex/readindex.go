// Package readindex keeps positions that a leading primary confirmed, with the moment at which it was asked.
//
// A log that holds such a position lacks no commit that was acknowledged before that moment. A read that may miss what is
// younger than a bound therefore runs on any server that holds the position of a proof inside the bound.
//
// # Usage
//
//	h = h.With(readindex.Index{Position: position, Asked: sent})
//	if p, ok := h.Oldest(now - bound); ok {
//		read.After = p.Position
//	}
//
// Moments are readings of a clock that counts suspended time. The oldest proof inside the bound is used, because the
// most servers hold its position.
package readindex

import (
	"time"

	"tanagercross/internal/database/driver"
)

// spacing is the least time between two proofs that are kept; size of them cover the longest usual bound.
const (
	minSpacing = 100 * time.Millisecond
	maxIndexes = 48
)

// Index is a position that a leading primary confirmed after it was asked.
type Index struct {
	Position    driver.Position
	RequestedAt time.Duration
}

// History is an immutable list of proofs, oldest first. The zero value is empty.
type History struct{ indexes []Index }

// With returns a history that includes a proof. A proof that is not newer than the last one changes nothing.
func (h History) With(p Index) History {
	n := len(h.indexes)
	if n > 0 && p.RequestedAt <= h.indexes[n-1].RequestedAt {
		return h
	}
	kept := h.indexes
	// The last proof gives way if it is close to the one before it, so that the newest is always kept.
	if n > 1 && h.indexes[n-1].RequestedAt-h.indexes[n-2].RequestedAt < minSpacing {
		kept = kept[:n-1]
	}
	if len(kept) >= maxIndexes {
		kept = kept[1:]
	}
	indexes := make([]Index, 0, len(kept)+1)
	return History{indexes: append(append(indexes, kept...), p)}
}

// Oldest returns the oldest proof that was asked at or after a moment.
func (h History) Oldest(since time.Duration) (Index, bool) {
	for _, p := range h.indexes {
		if p.RequestedAt >= since {
			return p, true
		}
	}
	return Index{}, false
}

// Newest returns the newest proof.
func (h History) Newest() (Index, bool) {
	if len(h.indexes) == 0 {
		return Index{}, false
	}
	return h.indexes[len(h.indexes)-1], true
}

// Len returns the number of proofs.
func (h History) Len() int { return len(h.indexes) }
