// Package readindex keeps read indexes: log positions that a primary confirmed while it led, each with the time at which
// the confirmation was requested.
//
// A server whose log holds the position of a read index lacks no commit that was acknowledged before the request. A read
// with a bound on its staleness may therefore run on any server that holds the position of an index inside the bound.
//
// # Usage
//
//	h = h.With(readindex.Index{Position: position, RequestedAt: sent})
//	if index, ok := h.Oldest(now - bound); ok {
//		read.After = index.Position
//	}
//
// Times are readings of a clock that counts suspended time. The oldest index inside the bound is used, because the largest
// number of servers holds its position.
package readindex

import (
	"time"

	"tanagercross/internal/database/driver"
)

const (
	// minSpacing is the least time between two indexes that are kept.
	minSpacing = 100 * time.Millisecond
	// maxIndexes is how many indexes are kept, enough to span the longest usual bound on staleness.
	maxIndexes = 48
)

// Index is a log position that a primary confirmed while it led, after it was requested.
type Index struct {
	Position    driver.Position
	RequestedAt time.Duration
}

// History is an immutable list of read indexes, oldest first. The zero value is empty.
type History struct{ indexes []Index }

// With returns a history that includes an index. An index that was not requested after the last one is left out. The
// oldest index is dropped when the history is full.
func (h History) With(index Index) History {
	n := len(h.indexes)
	if n > 0 && index.RequestedAt <= h.indexes[n-1].RequestedAt {
		return h
	}
	kept := h.indexes
	// The newest index is always kept. The one before it is dropped instead if it is too close to its predecessor.
	if n > 1 && h.indexes[n-1].RequestedAt-h.indexes[n-2].RequestedAt < minSpacing {
		kept = kept[:n-1]
	}
	if len(kept) >= maxIndexes {
		kept = kept[1:]
	}
	indexes := make([]Index, 0, len(kept)+1)
	return History{indexes: append(append(indexes, kept...), index)}
}

// Oldest returns the oldest index that was requested at or after a time, or false if there is none.
func (h History) Oldest(since time.Duration) (Index, bool) {
	for _, index := range h.indexes {
		if index.RequestedAt >= since {
			return index, true
		}
	}
	return Index{}, false
}

// Newest returns the newest index, or false if the history is empty.
func (h History) Newest() (Index, bool) {
	if len(h.indexes) == 0 {
		return Index{}, false
	}
	return h.indexes[len(h.indexes)-1], true
}

// Len returns the number of indexes.
func (h History) Len() int { return len(h.indexes) }
