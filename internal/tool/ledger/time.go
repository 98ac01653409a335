package ledger

import (
	"slices"
	"time"

	"tanagercross/internal/session/outcome"
)

// WriteGap returns the longest time without an acknowledged write in the window of a failure, as far as writes were
// offered in that time.
func (l *Ledger) WriteGap(f Failure) time.Duration { return writeGap(l.Entries(), f) }

// writeGap returns the longest time without an acknowledged write in the window of a failure, as far as writes were
// offered in that time.
func writeGap(entries []Entry, f Failure) time.Duration {
	from, to := f.At.Add(-f.Before), f.At.Add(f.After)
	var offered []Entry
	marks := []time.Time{from}
	for _, e := range entries {
		if e.Kind != Write || e.Group != f.Group || e.Ended.Before(from) || e.Started.After(to) {
			continue
		}
		offered = append(offered, e)
		if e.Outcome == outcome.Done && !e.Ended.After(to) {
			marks = append(marks, e.Ended)
		}
	}
	marks = append(marks, to)
	slices.SortFunc(marks, time.Time.Compare)
	var longest time.Duration
	for i := 1; i < len(marks); i++ {
		longest = max(longest, offeredWithin(offered, marks[i-1], marks[i]))
	}
	return longest
}

// offeredWithin returns the time from the first to the last moment between a and b at which a write was offered.
func offeredWithin(offered []Entry, a, b time.Time) time.Duration {
	var first, last time.Time
	for _, e := range offered {
		if !e.Ended.After(a) || !e.Started.Before(b) {
			continue
		}
		started, ended := e.Started, e.Ended
		if started.Before(a) {
			started = a
		}
		if ended.After(b) {
			ended = b
		}
		if first.IsZero() || started.Before(first) {
			first = started
		}
		if ended.After(last) {
			last = ended
		}
	}
	return last.Sub(first)
}

// lastUse returns the time from a withdrawal to the end of the last request that was done under the key.
func lastUse(entries []Entry, w Withdrawal) time.Duration {
	var longest time.Duration
	for _, e := range entries {
		if e.Key == w.Key && e.Outcome == outcome.Done {
			longest = max(longest, e.Ended.Sub(w.At))
		}
	}
	return longest
}

// checkChange measures the time until the last observation of an old value, and finds instances that went back.
func checkChange(r *Report, observations []Observation, c Change) {
	type state struct{ changed, reverted, current bool }
	instances := map[string]state{}
	var longest time.Duration
	for _, o := range observations {
		s := instances[o.Instance]
		s.current = o.Value == c.Value
		switch {
		case s.current:
			s.changed = true
		case o.At.After(c.At):
			longest = max(longest, o.At.Sub(c.At))
			s.reverted = s.reverted || s.changed
		}
		instances[o.Instance] = s
	}
	r.ConfigInForceMS = milliseconds(longest)
	for _, s := range instances {
		if s.reverted {
			r.ConfigReverted++
		}
		if !s.current {
			r.ConfigMissing++
		}
	}
}
