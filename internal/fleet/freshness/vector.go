// Package freshness decides whether an instance may admit requests.
//
// A Vector has one entry per witness of the roster (every member of a roster of up to 255) and one for the store. An entry is the moment as of which the instance has merged
// all documents that the member, or the store, held.
//
// # Usage
//
//	v := freshness.New("i-01", start)
//	v.Store(beforeRead)                  // after the rows of a read are merged
//	v.Merge(beforeSending, reply.Ages)   // after the documents of an answer are merged
//	deadline := v.Deadline(r, now)
//	if !now.Before(deadline) { ... }     // before use
//	if !later.Before(deadline) { ... }   // after use: withhold the answer
//
// Times are parameters and must carry a monotonic reading. An entry only holds the moment before the exchange started,
// so a process that is paused between sending and merging gets an entry that is too old, never one that is too young.
// For the same reason ages are merged only from answers: a request does not say how long it was under way.
//
// A restart forgets documents. If a restarted instance counted towards majorities at once, a majority could consist of
// members of which none still holds a change. An instance therefore counts itself, and tells others its own entry, only
// after it has merged the store, or a majority without itself, as of its start or later.
package freshness

import (
	"maps"
	"slices"
	"time"

	"tanagercross/internal/fleet/roster"
)

// Bound is F, the age over which neither the store entry nor a majority entry makes an instance fresh.
const Bound = 4 * time.Second

// StoreName is the name of the store's entry. Names of members are not empty.
const StoreName = ""

// Age is how long ago all that a member knew was merged.
type Age struct {
	Member string
	Age    time.Duration
}

// Vector is the age vector of one instance.
type Vector struct {
	self        string
	start       time.Time
	established bool
	joining     bool // not fresh before the store has been merged as of start or later
	entries     map[string]time.Time
}

// New returns the empty vector of a member that started at a moment. It is not fresh.
func New(self string, start time.Time) *Vector {
	return &Vector{self: self, start: start, entries: map[string]time.Time{}}
}

// Join makes an instance that enters the roster start anew: it is not fresh, by whatever it has merged, before it has
// merged the store as of now or later. A change that was committed under the roster before is in force without asking
// the instance, whose entries may be older than the change.
func (v *Vector) Join(now time.Time) {
	v.start, v.established, v.joining = now, false, true
	delete(v.entries, StoreName)
}

func (v *Vector) raise(name string, at time.Time) {
	if v.joining && name == StoreName {
		if at.Before(v.start) {
			return
		}
		v.joining = false
	}
	if old, ok := v.entries[name]; !ok || at.After(old) {
		v.entries[name] = at
	}
}

// Store records that all rows of the store were merged as of the moment before the read.
func (v *Vector) Store(before time.Time) {
	v.raise(StoreName, before)
	v.established = v.established || !before.Before(v.start)
}

// Establish lets the instance count itself once it has merged, as of its start or later, the store or a majority of
// the roster without itself.
func (v *Vector) Establish(r roster.Roster) {
	if v.established || v.joining {
		return
	}
	if t, ok := v.entries[StoreName]; ok && !t.Before(v.start) {
		v.established = true
		return
	}
	merged := 0
	for _, m := range r.Witnesses() {
		if t, ok := v.entries[m.Name]; ok && m.Name != v.self && !t.Before(v.start) {
			merged++
		}
	}
	v.established = r.Len() > 0 && merged >= r.Quorum()
}

// Merge takes over the ages of an answer, counted from the moment before the request was sent. All documents that the
// answer names must have been merged before.
func (v *Vector) Merge(before time.Time, ages []Age) {
	for _, a := range ages {
		if a.Member != v.self && a.Age >= 0 {
			v.raise(a.Member, before.Add(-a.Age))
		}
	}
}

// at returns the moment of an entry. The own entry is always of now, if the instance counts itself.
func (v *Vector) at(name string, now time.Time) (time.Time, bool) {
	if name == v.self {
		return now, v.established
	}
	t, ok := v.entries[name]
	return t, ok
}

// Age returns how old an entry is; it is false if there is none that is younger than the bound. The own entry has age 0
// once the instance counts itself.
func (v *Vector) Age(name string, now time.Time) (time.Duration, bool) {
	t, ok := v.at(name, now)
	age := now.Sub(t)
	return age, ok && age < Bound
}

// KnownAge returns how old an entry is, however old, and false if there is none.
func (v *Vector) KnownAge(name string, now time.Time) (time.Duration, bool) {
	t, ok := v.at(name, now)
	return now.Sub(t), ok
}

// Deadline returns the moment from which the instance is no longer fresh with what it has merged by now. An instance
// outside the roster is never fresh, because changes are not confirmed by it.
func (v *Vector) Deadline(r roster.Roster, now time.Time) time.Time {
	deadline := time.Time{}
	if _, ok := r.Index(v.self); !ok || v.joining {
		return deadline
	}
	if t, ok := v.entries[StoreName]; ok {
		deadline = t.Add(Bound)
	}
	if t, ok := v.majority(r, now); ok && t.Add(Bound).After(deadline) {
		deadline = t.Add(Bound)
	}
	return deadline
}

// majority returns the oldest moment among the youngest entries of a quorum of the witnesses.
func (v *Vector) majority(r roster.Roster, now time.Time) (time.Time, bool) {
	moments := make([]time.Time, 0, len(r.Witnesses()))
	for _, m := range r.Witnesses() {
		if t, ok := v.at(m.Name, now); ok {
			moments = append(moments, t)
		}
	}
	if len(moments) < r.Quorum() {
		return time.Time{}, false
	}
	slices.SortFunc(moments, func(a, b time.Time) int { return b.Compare(a) })
	return moments[r.Quorum()-1], true
}

// Fresh reports whether the instance may admit requests at this moment.
func (v *Vector) Fresh(r roster.Roster, now time.Time) bool { return now.Before(v.Deadline(r, now)) }

// Retain drops the entries of members that are not in the roster.
func (v *Vector) Retain(r roster.Roster) {
	maps.DeleteFunc(v.entries, func(name string, _ time.Time) bool {
		_, ok := r.Index(name)
		return !ok && name != StoreName
	})
}
