// Package replicaset keeps which servers of a group with synchronous replicas may hold acknowledged commits, and decides
// whether the reports of some of them suffice to choose the next primary. It does no I/O: the caller collects the reports
// and keeps the set in the store.
//
// # Usage
//
//	set := recorded.WithServers(listed)
//	absent := set.Absent(replicaset.Evidence{Reports: reports, MissingFor: table.MissingFor})
//	switch replicaset.Decide(absent, syncReplicas) {
//	case replicaset.Safe: // choose the most advanced of the reports
//	case replicaset.Wait: // absent names the servers
//	case replicaset.Abandon: // all absent servers are gone for good; choose from the reports, and log what may be lost
//	}
//
// A commit is acknowledged when the primary and s other members hold it, where s is the number of synchronous replicas. So
// every acknowledged commit is in some report as long as at most s members are absent. The former primary is a member like
// the others: it may come back as a replica.
//
// A member is one start of a server. A server that started again under its id may have lost its log, so that its report does
// not stand for its earlier start. That start stays a member until the log of a primary is confirmed to be on enough of the
// others (WithConfirmed).
package replicaset

import (
	"slices"
	"strings"
	"time"

	"tanagercross/internal/database/driver"
)

// Member is one start of a server that may hold acknowledged commits.
type Member struct {
	ID        string
	Address   string
	Place     string
	StartedMS int64           // start of the server, in Unix milliseconds; 0 if not known
	Confirmed driver.Position // log position that the server was seen to hold and that is acknowledged; zero if none was
}

// sameStart reports whether both are the same start of a server. A start that is not known is taken for the same.
func (m Member) sameStart(o Member) bool {
	return m.ID == o.ID && (m.StartedMS == o.StartedMS || m.StartedMS == 0 || o.StartedMS == 0)
}

// Set is the members of a group. The zero value is empty.
type Set struct {
	members []Member // ordered by id, then by start
}

// New returns a set of the given members.
func New(members []Member) Set {
	s := Set{members: slices.Clone(members)}
	slices.SortFunc(s.members, func(a, b Member) int {
		if c := strings.Compare(a.ID, b.ID); c != 0 {
			return c
		}
		return int(min(max(a.StartedMS-b.StartedMS, -1), 1))
	})
	return s
}

// Members returns the members, ordered by id and start. The slice must not be changed.
func (s Set) Members() []Member { return s.members }

// WithServers returns a set that also has the given servers. Those that it has stay as they are, but for their address. A
// start of a server before one that the set has is left out.
func (s Set) WithServers(servers []Member) Set {
	members := slices.Clone(s.members)
	for _, server := range servers {
		n := slices.IndexFunc(members, server.sameStart)
		if n < 0 {
			if !s.StartedAgain(server) {
				members = append(members, server)
			}
			continue
		}
		members[n].Address, members[n].Place = server.Address, server.Place
		members[n].StartedMS = max(members[n].StartedMS, server.StartedMS)
	}
	return New(members)
}

// WithPositions returns a set whose members hold at least what the same members of another set were confirmed to hold. Confirmed
// positions are acknowledged, so that no change of primary rolls them back.
func (s Set) WithPositions(o Set) Set {
	members := slices.Clone(s.members)
	for n, m := range members {
		if i := slices.IndexFunc(o.members, m.sameStart); i >= 0 && o.members[i].Confirmed.Compare(m.Confirmed) > 0 {
			members[n].Confirmed = o.members[i].Confirmed
		}
	}
	return Set{members: members}
}

// StartedAgain reports whether the set has a later start of a member's server.
func (s Set) StartedAgain(m Member) bool {
	return slices.ContainsFunc(s.members, func(o Member) bool { return o.ID == m.ID && !o.sameStart(m) && o.StartedMS > m.StartedMS })
}

// Holding is what a server was seen to hold while its group's primary led. Of the member, the start is the one that its entry had
// before it was asked.
type Holding struct {
	Member
	Received driver.Position
}

// WithConfirmed returns a set after the primary was seen to hold its log up to a position, and then its replicas to hold what
// their reports say. It changes nothing unless enough replicas hold that position, because it may not be acknowledged
// otherwise. If they do, every commit up to it is on the primary and on as many replicas as are synchronous, so that the
// members that gone reports true for are no longer needed. A primary without a position that was confirmed before has lost its
// log, and confirms nothing.
func (s Set) WithConfirmed(primary Holding, replicas []Holding, syncReplicas int, gone func(Member) bool) Set {
	if slices.ContainsFunc(s.members, func(m Member) bool { return primary.Received.Compare(m.Confirmed) < 0 }) {
		return s
	}
	holders := []Member{primary.Member}
	for _, r := range replicas {
		if r.ID != primary.ID && !s.StartedAgain(r.Member) && r.Received.Compare(primary.Received) >= 0 {
			holders = append(holders, r.Member)
		}
	}
	if len(holders)-1 < syncReplicas || s.StartedAgain(primary.Member) {
		return s
	}
	members := slices.DeleteFunc(slices.Clone(s.members), gone)
	for n, m := range members {
		if slices.ContainsFunc(holders, m.sameStart) {
			members[n].Confirmed = primary.Received
		}
	}
	return Set{members: members}
}

// Equal reports whether both sets have the same members at the same addresses, confirmed in the same terms. Newer positions of
// a term are no difference, so that a record of the set is not written for them.
func (s Set) Equal(o Set) bool {
	return slices.EqualFunc(s.members, o.members, func(a, b Member) bool {
		a.Confirmed.Index, b.Confirmed.Index = min(a.Confirmed.Index, 1), min(b.Confirmed.Index, 1)
		return a == b
	})
}

// GoneAfter is how long a server must be missing from the store before a group without a primary stops waiting for it. A
// crashed server is back within 10 s, and reports to the store within a heartbeat of its return.
const GoneAfter = 15 * time.Second

// Report is the log position that a server reported and receives nothing beyond.
type Report struct {
	Server   string
	Received driver.Position
}

// Evidence is what is known of a group's servers during a change of primary.
type Evidence struct {
	Reports    []Report
	MissingFor func(server string) time.Duration // for how long a server has had no entry in the store; 0 if it has one
}

// State is why a member has no report that counts.
type State string

// States of absent members.
const (
	Silent State = "silent" // it may come back
	Lost   State = "lost"   // it started again or reports less than it held, so that its log is lost
	Gone   State = "gone"   // it has been missing for GoneAfter
)

// Absence is a member without a report that counts.
type Absence struct {
	Member
	State   State
	Missing time.Duration // from the store; 0 if the server is listed
}

// Absent returns the members without a report that counts.
func (s Set) Absent(e Evidence) []Absence {
	var absent []Absence
	for _, m := range s.members {
		a := Absence{Member: m, Missing: e.MissingFor(m.ID)}
		r := slices.IndexFunc(e.Reports, func(r Report) bool { return r.Server == m.ID })
		switch {
		case s.StartedAgain(m), r >= 0 && e.Reports[r].Received.Compare(m.Confirmed) < 0:
			a.State = Lost
		case r >= 0:
			continue
		case a.Missing >= GoneAfter:
			a.State = Gone
		default:
			a.State = Silent
		}
		absent = append(absent, a)
	}
	return absent
}

// Decision says what the reports of a group permit.
type Decision string

// Decisions.
const (
	Safe    Decision = "safe"    // every acknowledged commit is in a report
	Wait    Decision = "wait"    // an absent member may come back with commits that no report has
	Abandon Decision = "abandon" // no absent member is expected back; commits that only they held are lost
)

// Decide returns whether a primary may be chosen from the reports of the members that are not absent.
func Decide(absent []Absence, syncReplicas int) Decision {
	if len(absent) <= syncReplicas {
		return Safe
	}
	if slices.ContainsFunc(absent, func(a Absence) bool { return a.State == Silent }) {
		return Wait
	}
	return Abandon
}
