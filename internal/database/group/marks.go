package group

import (
	"math"
	"sort"
	"time"

	"tanagercross/internal/database/driver"
)

// maxMarks bounds the history of a group. When it is full, the mark whose gap is smallest for its age is dropped, so the
// distance between marks is about a tenth of their age and the history reaches back for minutes. A missing mark only
// makes data look older.
const maxMarks = 64

// markSpacing is the smallest distance between two marks.
const markSpacing = 20 * time.Millisecond

// mark says that the primary was at or before position when the clock showed at.
type mark struct {
	at       time.Time
	position driver.Position
}

// marks are sorted by time and by position, and never changed in place.
type marks []mark

func (m marks) with(n mark) marks {
	if len(m) > 0 {
		last := m[len(m)-1]
		if n.position.Compare(last.position) < 0 || n.at.Sub(last.at) < markSpacing {
			return m
		}
	}
	out := append(make(marks, 0, len(m)+1), m...)
	out = append(out, n)
	if len(out) <= maxMarks {
		return out
	}
	drop, smallest := 1, math.Inf(1)
	for i := 1; i < len(m); i++ {
		relative := float64(out[i+1].at.Sub(out[i-1].at)) / float64(n.at.Sub(out[i].at)+time.Second)
		if relative < smallest {
			drop, smallest = i, relative
		}
	}
	return append(out[:drop], out[drop+1:]...)
}

// firstAt returns the index of the first mark at or after a position.
func (m marks) firstAt(p driver.Position) int {
	return sort.Search(len(m), func(i int) bool { return m[i].position.Compare(p) >= 0 })
}

// lastWithin returns the latest mark not after a position and not after a time.
func (m marks) lastWithin(p driver.Position, until time.Time) (mark, bool) {
	i := sort.Search(len(m), func(i int) bool { return m[i].position.Compare(p) > 0 || m[i].at.After(until) })
	if i == 0 {
		return mark{}, false
	}
	return m[i-1], true
}

// until returns the marks not after a time.
func (m marks) until(t time.Time) marks {
	return m[:sort.Search(len(m), func(i int) bool { return m[i].at.After(t) })]
}
