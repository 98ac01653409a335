// Package evacuation decides which data centres are evacuated, from the operator's rows as they are read from the store or
// received from other instances. It does no I/O.
//
// # Usage
//
//	set = set.WithReading(reading)    // a read of the table, or a page of its changes
//	set = set.Merge(received)         // the rows of another instance
//	if set.Contains(server.Place) {
//		end := evacuation.TransactionsEnd(learnt, confirmed, timeout)
//	}
//
// Each writing of a row is one evacuation. It is identified by its place and version and ends once. Instances exchange
// all rows that they know, and an ended one is never active again, so that the order of messages does not matter.
//
// The store may come back from an older copy, in a new generation, and give versions out again. An evacuation that the copy
// lacks stays until its row is removed in the new generation. A row of the copy whose version is that of an ended
// evacuation is ignored until the operator writes it again.
package evacuation

import (
	"cmp"
	"slices"
	"time"
)

// DefaultTimeout is the time to the last statement at the servers of an evacuated place, if the settings name none.
const DefaultTimeout = 5 * time.Second

// maxEnded bounds the ended evacuations that are kept. They are sent with each exchange of state.
const maxEnded = 32

// TransactionsEnd returns when the open transactions on the servers of a place are rolled back. They have three fifths of the
// timeout from the moment at which the instance learnt of the evacuation. The row may be as old as the last confirmation that
// there was none, so that they end within nine tenths of the timeout after it, the rollback included. They have at least a
// fifth, because an outage of the store looks the same as a row that is learnt late. A zero confirmed stands for an instance
// that has not read the rows before.
func TransactionsEnd(learnt, confirmed, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	end := learnt + timeout*3/5
	if confirmed == 0 {
		return end
	}
	rollback := timeout / 25 // time for the rollback
	return min(end, max(confirmed+timeout*9/10-rollback, learnt+timeout/5))
}

// Row is one evacuation.
type Row struct {
	Place      string
	Generation uint64 // of the store in which the row was read
	Version    uint64 // of the row in that generation
	Ended      bool
}

func compare(a, b Row) int {
	return cmp.Or(cmp.Compare(a.Place, b.Place), cmp.Compare(a.Generation, b.Generation), cmp.Compare(a.Version, b.Version))
}

// Reading is what a read of the store says. With Whole set, places without a row are not evacuated; otherwise Rows holds
// only what has changed, and an ended row stands for a removal.
type Reading struct {
	Generation uint64
	Version    uint64 // of the store at the time of the read
	Whole      bool
	Rows       []Row
}

// Set is the known evacuations. The zero value has none. It is immutable.
type Set struct {
	rows       []Row // in the order of compare
	generation uint64
	version    uint64 // version up to which the own reads of the store are complete
}

// Rows returns all evacuations that are known. The slice must not be changed.
func (s Set) Rows() []Row { return s.rows }

// Contains reports whether a place is evacuated.
func (s Set) Contains(place string) bool {
	for _, r := range s.rows {
		if r.Place == place && !r.Ended {
			return true
		}
	}
	return false
}

// Places returns the evacuated places in alphabetical order.
func (s Set) Places() []string {
	var places []string
	for _, r := range s.rows {
		if !r.Ended {
			places = append(places, r.Place)
		}
	}
	return slices.Compact(places)
}

// WithReading returns the set after a read of the store. A read that is older than an earlier one changes nothing.
func (s Set) WithReading(r Reading) Set {
	if r.Generation < s.generation || r.Generation == s.generation && r.Version < s.version {
		return s
	}
	next := Set{rows: slices.Clone(s.rows), generation: r.Generation, version: r.Version}
	present := map[string]bool{}
	for _, row := range r.Rows {
		if row.Ended {
			next.end(row.Place, row.Generation, row.Version)
			continue
		}
		present[row.Place] = true
		// Later reads of a generation show only rows that are known or new.
		row.Ended = r.Generation > s.generation && !next.knows(row) && next.isOld(row)
		if !row.Ended {
			next.endEarlier(row)
		}
		next.add(row)
	}
	if r.Whole {
		for _, row := range s.rows {
			if !present[row.Place] && next.seenIn(row.Place, r.Generation) {
				next.end(row.Place, r.Generation, r.Version)
			}
		}
	}
	return next.pruned()
}

// knows reports whether a row is known, ended or not.
func (s Set) knows(row Row) bool {
	_, known := slices.BinarySearchFunc(s.rows, row, compare)
	return known
}

// isOld reports whether a row of a copy is that of an evacuation that ended in an earlier generation.
func (s Set) isOld(row Row) bool {
	return slices.ContainsFunc(s.rows, func(k Row) bool {
		return k.Ended && k.Place == row.Place && k.Version == row.Version && k.Generation < row.Generation
	})
}

// seenIn reports whether the store had a row of the place in a generation.
func (s Set) seenIn(place string, generation uint64) bool {
	return slices.ContainsFunc(s.rows, func(k Row) bool { return k.Place == place && k.Generation == generation })
}

// endEarlier ends the evacuations of the row's place that the row replaces.
func (s *Set) endEarlier(row Row) {
	for n, k := range s.rows {
		if k.Place == row.Place && compare(k, row) < 0 {
			s.rows[n].Ended = true
		}
	}
}

// end ends the evacuations of a place up to a version.
func (s *Set) end(place string, generation, version uint64) {
	last := Row{Place: place, Generation: generation, Version: version}
	for n, k := range s.rows {
		if k.Place == place && compare(k, last) <= 0 {
			s.rows[n].Ended = true
		}
	}
}

// add adds a row. One that is known stays ended if it has ended.
func (s *Set) add(row Row) {
	at, known := slices.BinarySearchFunc(s.rows, row, compare)
	if known {
		s.rows[at].Ended = s.rows[at].Ended || row.Ended
		return
	}
	s.rows = slices.Insert(s.rows, at, row)
}

// Merge returns the set with the rows that another instance knows. A row that the own reads of the store should have shown
// has ended, and so has one that a later row of its place and generation replaces.
func (s Set) Merge(rows []Row) Set {
	if len(rows) == 0 {
		return s
	}
	next := s
	next.rows = slices.Clone(s.rows)
	for _, row := range rows {
		if !next.knows(row) {
			row.Ended = row.Ended || row.Generation == s.generation && row.Version <= s.version
		}
		next.add(row)
	}
	for n := range next.rows[1:] {
		if k, later := &next.rows[n], next.rows[n+1]; k.Place == later.Place && k.Generation == later.Generation {
			k.Ended = true
		}
	}
	return next.pruned()
}

// pruned returns the set without the oldest ended rows above maxEnded.
func (s Set) pruned() Set {
	var ended []Row
	for _, r := range s.rows {
		if r.Ended {
			ended = append(ended, r)
		}
	}
	if len(ended) <= maxEnded {
		return s
	}
	slices.SortFunc(ended, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.Generation, a.Generation), cmp.Compare(b.Version, a.Version))
	})
	dropped := ended[maxEnded:]
	s.rows = slices.DeleteFunc(s.rows, func(r Row) bool { return slices.Contains(dropped, r) })
	return s
}
