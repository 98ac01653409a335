// Package route chooses the server for a read or a write from the state of a group.
//
// A choice is Serve, Wait or Refuse. After a Wait, the calling code chooses again with a new state and time. After a
// failed attempt, it chooses again with the server in Exclude. The request carries the time limits of its waits, so a
// loop of choices and waits always ends.
//
// The state of a group is only a hint and may be out of date. Serve.AtLeast must be checked on the connection that
// serves the read. The check guarantees read-your-writes and keeps reads off servers that still have the history of an
// old term.
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

// DefaultReplicaWait limits the wait of a read for a replica that is about to catch up, if Read.ReplicaWait is zero.
const DefaultReplicaWait = 50 * time.Millisecond

// PrimaryRetryInterval is the time between two checks for a primary while none is known or reachable.
const PrimaryRetryInterval = 20 * time.Millisecond

// Mode says which servers and how old data a read accepts.
type Mode string

// Modes of a read. All of them see the session's own writes.
const (
	Session    Mode = ""           // any server that has reached the session's position
	MaxAge     Mode = "max_age"    // as Session, and the data is not older than Read.MaxAge
	Primary    Mode = "primary"    // the primary, because the caller asked for it
	Unresolved Mode = "unresolved" // the primary, because the caller has requests of unknown outcome
)

// Reason says why a server was chosen. It is a metric label, so existing texts must not change.
type Reason string

// Reasons for reads that a replica serves.
const (
	ReplicaSamePlace  Reason = "replica_same_place"
	ReplicaOtherPlace Reason = "replica_other_place"
	ReplicaExpected   Reason = "replica_expected" // according to its lag, it has caught up since its last status
)

// Reasons for reads that the primary serves, and for writes.
const (
	PrimaryRequested          Reason = "primary_asked"
	PrimaryUnresolved         Reason = "primary_unresolved"
	PrimaryNoReplica          Reason = "primary_no_replica"          // the group lists no other server
	PrimaryReplicaUnreachable Reason = "primary_replica_unreachable" // no replica is reachable
	PrimaryReplicaLeaving     Reason = "primary_replica_leaving"     // the reachable replicas are leaving
	PrimaryReplicaOldBranch   Reason = "primary_replica_old_branch"  // the reachable replicas are not in the current term
	PrimaryReplicaBehind      Reason = "primary_replica_behind"      // a replica has not reached the session's position
	PrimaryReplicaOld         Reason = "primary_replica_old"         // the data of a replica is older than Read.MaxAge
	PrimaryReplicaTried       Reason = "primary_replica_tried"       // a replica was tried and failed
	PrimaryWrite              Reason = "primary_write"
)

// ByReplica reports whether a replica serves the read.
func (r Reason) ByReplica() bool {
	return r == ReplicaSamePlace || r == ReplicaOtherPlace || r == ReplicaExpected
}

// Choice is one of Serve, Wait and Refuse.
type Choice interface{ choice() }

// Serve names the server for the request.
type Serve struct {
	Server  string
	Reason  Reason
	Term    uint64          // term of the group; a write is only valid on the primary of this term
	AtLeast driver.Position // position that the server must have reached; to be checked on the connection
	Durable bool            // the answer must wait until a majority holds the position that was read
	// DataTime is set in mode MaxAge: the data that the server returns is at least as new as this time. It must be
	// compared with Read.MaxAge again when the answer has arrived.
	DataTime time.Time
}

// Wait says that the request should be routed again at a time.
type Wait struct {
	Until  time.Time
	Reason outcome.Reason // reason for a refusal if the request can't wait
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
	Started time.Time       // when the read was first routed; the wait for a replica is limited from here
	// ReplicaWait limits the wait for a replica that is about to catch up. Zero means DefaultReplicaWait, and a
	// negative value means no wait.
	ReplicaWait time.Duration
	// PrimaryUntil ends the wait for a primary; zero means no wait.
	PrimaryUntil time.Time
}

// Write describes a write, or a lookup of its record.
type Write struct {
	Exclude      []string  // servers already tried
	PrimaryUntil time.Time // ends the wait for a primary; zero means no wait
}

// ChooseWrite chooses the server for a write. A leaving primary still takes writes, because no other server can until
// the primary is changed.
func ChooseWrite(g *group.State, w Write, now time.Time) Choice {
	return choosePrimary(g, PrimaryWrite, w.Exclude, w.PrimaryUntil, driver.Position{}, now)
}

// ChooseRead chooses the server for a read. It prefers a replica of the same place, then another replica, then one that
// has probably caught up since its last status. If none is suitable, it waits for a replica that is about to catch up,
// or chooses the primary.
func ChooseRead(g *group.State, r Read, now time.Time) Choice {
	atLeast := r.AtLeast
	if branch := (driver.Position{Term: g.Term}); atLeast.Compare(branch) < 0 {
		atLeast = branch
	}
	switch r.Mode {
	case Primary:
		return choosePrimary(g, PrimaryRequested, r.Exclude, r.PrimaryUntil, atLeast, now)
	case Unresolved:
		return choosePrimary(g, PrimaryUnresolved, r.Exclude, r.PrimaryUntil, atLeast, now)
	}
	s := selectReplicas(g, r, now)
	if c, ok := s.leastLoaded(ReplicaSamePlace, ReplicaOtherPlace, ReplicaExpected); ok {
		return c.serve(g, r, atLeast)
	}
	until := r.Started.Add(cmp.Or(r.ReplicaWait, DefaultReplicaWait))
	if !s.nextCatchUp.IsZero() && !s.nextCatchUp.After(until) && now.Before(until) {
		return Wait{Until: s.nextCatchUp, Reason: outcome.ServerBehind}
	}
	return choosePrimary(g, s.primaryReason(), r.Exclude, r.PrimaryUntil, atLeast, now)
}

// choosePrimary returns the primary if it is known, reachable and not excluded. Otherwise it returns a Wait before
// until, and a Refuse after it or if the primary is excluded. All choices except those for writes are durable.
func choosePrimary(g *group.State, reason Reason, exclude []string, until time.Time, atLeast driver.Position, now time.Time) Choice {
	unavailable := outcome.NoPrimary
	if p, ok := g.WritablePrimary(); ok {
		switch {
		case slices.Contains(exclude, p.Name):
			return Refuse{Reason: outcome.NoServer}
		case p.Reachable(now):
			return Serve{Server: p.Name, Reason: reason, Term: g.Term, AtLeast: atLeast, Durable: reason != PrimaryWrite}
		}
		unavailable = outcome.ServerUnreachable
	}
	if now.Before(until) {
		next := now.Add(PrimaryRetryInterval)
		if next.After(until) {
			next = until
		}
		return Wait{Until: next, Reason: unavailable}
	}
	return Refuse{Reason: unavailable}
}
