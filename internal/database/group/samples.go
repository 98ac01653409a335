package group

import (
	"math"
	"sort"
	"time"

	"tanagercross/internal/database/driver"
)

// maxSamples bounds the samples of a group. Above it, the sample whose neighbours are closest to each other relative to
// its age is dropped, so the interval between samples is about a tenth of their age and the history covers several
// minutes. A missing sample only makes data look older.
const maxSamples = 64

// minSampleInterval is the minimum time between two samples.
const minSampleInterval = 20 * time.Millisecond

// sample is an upper bound of the primary's log position at a time: the primary was at or before position at that time.
type sample struct {
	at       time.Time
	position driver.Position
}

// samples are sorted by time and by position. They are immutable, because states that requests hold share them.
type samples []sample

// withSample returns a copy with a sample added, or the unchanged samples if n is below the last position or follows the
// last sample by less than minSampleInterval.
func (m samples) withSample(n sample) samples {
	if len(m) > 0 {
		last := m[len(m)-1]
		if n.position.Compare(last.position) < 0 || n.at.Sub(last.at) < minSampleInterval {
			return m
		}
	}
	out := append(make(samples, 0, len(m)+1), m...)
	out = append(out, n)
	if len(out) <= maxSamples {
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

// firstAtOrAfter returns the index of the first sample at or after a position, or len(m) if there is none.
func (m samples) firstAtOrAfter(p driver.Position) int {
	return sort.Search(len(m), func(i int) bool { return m[i].position.Compare(p) >= 0 })
}

// lastNotAfter returns the latest sample that is not after a position and not after a time.
func (m samples) lastNotAfter(p driver.Position, until time.Time) (sample, bool) {
	i := sort.Search(len(m), func(i int) bool { return m[i].position.Compare(p) > 0 || m[i].at.After(until) })
	if i == 0 {
		return sample{}, false
	}
	return m[i-1], true
}

// upTo returns the samples not after a time.
func (m samples) upTo(t time.Time) samples {
	return m[:sort.Search(len(m), func(i int) bool { return m[i].at.After(t) })]
}
