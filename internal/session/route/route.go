// Package route chooses the server for a read or a write from the state of a group.
//
// A choice is Serve, Wait or Refuse. After a Wait the caller asks again with a new state and time. After a failed
// attempt it asks again with the server in Exclude. Waits are bounded by times that the request carries, so asking
// again always ends.
//
// The state of a group is only a hint. Serve.AtLeast must be checked on the connection that serves the read; it keeps
// read-your-writes and keeps reads off abandoned branches even when the state is out of date.
//
// # Usage
//
//	state, ok := view.Group("meals-1")
//	switch c := route.ChooseRead(state, route.Read{AtLeast: token.Position("meals-1"), Started: now}, now).(type) {
//	case route.Serve:
//		// run on c.Server with c.AtLeast and c.Durable, count c.Reason
//	case route.Wait:
//		// sleep until c.Until, then choose again
//	case route.Refuse:
//		// answer not_run with c.Reason
//	}
package route

import (
	"cmp"
	"slices"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/group"
	"tanagercross/internal/session/outcome"
)

// CatchUpWait bounds the wait of a read for a replica that is about to catch up, if Read.ReplicaWait is zero.
const CatchUpWait = 50 * time.Millisecond

// PrimaryRetry is the time between two looks for a primary while there is none.
const PrimaryRetry = 20 * time.Millisecond

// Mode says what a read accepts.
type Mode string

// Modes of a read. All of them see the session's own writes.
const (
	Session    Mode = ""           // any server that is at the session's position
	MaxAge     Mode = "max_age"    // as Session, and the data is not older than the stated age
	Primary    Mode = "primary"    // the primary, because the caller asked for it
	Unresolved Mode = "unresolved" // the primary, because the caller has requests of unknown outcome
)

// Reason says why a server was chosen. It is a metric label.
type Reason string

// Reasons of reads that a replica serves.
const (
	ReplicaSamePlace Reason = "replica_same_place"
	ReplicaOther     Reason = "replica_other_place"
	ReplicaExpected  Reason = "replica_expected" // its lag says that it has caught up since the last probe
)

// Reasons of reads that the primary serves, and of writes.
const (
	PrimaryAsked         Reason = "primary_asked"
	PrimaryUnresolved    Reason = "primary_unresolved"
	PrimaryNoReplica     Reason = "primary_no_replica"          // the group lists no other server
	PrimaryUnreachable   Reason = "primary_replica_unreachable" // no replica answers
	PrimaryLeaving       Reason = "primary_replica_leaving"     // the replicas that answer are leaving
	PrimaryOldBranch     Reason = "primary_replica_old_branch"  // the replicas that answer are not in the term
	PrimaryReplicaBehind Reason = "primary_replica_behind"      // the replicas are below the position
	PrimaryReplicaOld    Reason = "primary_replica_old"         // the replicas' data is older than the stated age
	PrimaryReplicaTried  Reason = "primary_replica_tried"       // the replicas that would do were tried
	PrimaryWrite         Reason = "primary_write"
)

// ByReplica reports whether the reason belongs to a read that a replica serves.
func (r Reason) ByReplica() bool {
	return r == ReplicaSamePlace || r == ReplicaOther || r == ReplicaExpected
}

// Choice is one of Serve, Wait and Refuse.
type Choice interface{ choice() }

// Serve names a server.
type Serve struct {
	Server  string
	Reason  Reason
	Term    uint64          // term of the group; a write is only valid on the primary of this term
	AtLeast driver.Position // to check on the connection
	Durable bool            // the answer must wait until the position seen is held by a majority
	// DataTime is set for reads of a stated age: the data is not older than this. The caller compares it with the stated
	// age again when it has the answer.
	DataTime time.Time
}

// Wait asks the caller to choose again at a time.
type Wait struct {
	Until  time.Time
	Reason outcome.Reason // what the request would be refused with
}

// Refuse says that no server can serve the request now.
type Refuse struct{ Reason outcome.Reason }

func (Serve) choice()  {}
func (Wait) choice()   {}
func (Refuse) choice() {}

// Read describes a read.
type Read struct {
	Mode    Mode
	MaxAge  time.Duration   // for mode MaxAge
	AtLeast driver.Position // the session's position in the group
	Place   string          // place of the instance
	Exclude []string        // servers already tried
	Started time.Time       // when the read was first routed; bounds the wait for a replica
	// ReplicaWait bounds the wait for a replica that is about to catch up; zero means CatchUpWait, and less no wait.
	ReplicaWait time.Duration
	// PrimaryUntil bounds the wait for a primary; zero means no wait.
	PrimaryUntil time.Time
}

// Write describes a write, or a look-up of its record.
type Write struct {
	Exclude      []string
	PrimaryUntil time.Time // bounds the wait for a primary; zero means no wait
}

// ChooseWrite chooses the server for a write. A leaving primary still takes writes, because only a change of primary
// can move them.
func ChooseWrite(g *group.State, w Write, now time.Time) Choice {
	return choosePrimary(g, PrimaryWrite, w.Exclude, w.PrimaryUntil, driver.Position{}, now)
}

// ChooseRead chooses the server for a read.
func ChooseRead(g *group.State, r Read, now time.Time) Choice {
	atLeast := r.AtLeast
	if branch := (driver.Position{Term: g.Term}); atLeast.Compare(branch) < 0 {
		atLeast = branch
	}
	switch r.Mode {
	case Primary:
		return choosePrimary(g, PrimaryAsked, r.Exclude, r.PrimaryUntil, atLeast, now)
	case Unresolved:
		return choosePrimary(g, PrimaryUnresolved, r.Exclude, r.PrimaryUntil, atLeast, now)
	}
	s := newSelection(g, r, now)
	if c, ok := s.best(ReplicaSamePlace, ReplicaOther, ReplicaExpected); ok {
		return c.serve(g, r, atLeast)
	}
	until := r.Started.Add(cmp.Or(r.ReplicaWait, CatchUpWait))
	if !s.soonest.IsZero() && !s.soonest.After(until) && now.Before(until) {
		return Wait{Until: s.soonest, Reason: outcome.ServerBehind}
	}
	return choosePrimary(g, s.fallback(), r.Exclude, r.PrimaryUntil, atLeast, now)
}

func choosePrimary(g *group.State, why Reason, exclude []string, until time.Time, atLeast driver.Position, now time.Time) Choice {
	missing := outcome.NoPrimary
	if p, ok := g.WritablePrimary(); ok {
		switch {
		case slices.Contains(exclude, p.Name):
			return Refuse{Reason: outcome.NoServer}
		case p.Reachable(now):
			return Serve{Server: p.Name, Reason: why, Term: g.Term, AtLeast: atLeast, Durable: why != PrimaryWrite}
		}
		missing = outcome.ServerUnreachable
	}
	if now.Before(until) {
		next := now.Add(PrimaryRetry)
		if next.After(until) {
			next = until
		}
		return Wait{Until: next, Reason: missing}
	}
	return Refuse{Reason: missing}
}
