package route

import (
	"slices"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/group"
)

// candidate is a replica that may serve the read.
type candidate struct {
	server group.Server
	reason Reason
}

// serve returns the choice of this candidate for the read.
func (c candidate) serve(g *group.State, r Read, atLeast driver.Position) Serve {
	choice := Serve{Server: c.server.Name, Reason: c.reason, Term: g.Term, AtLeast: atLeast}
	if r.Mode == MaxAge {
		// A server may have been rebuilt from older data since its last status. The position of that status is
		// required, so that the read doesn't return data older than DataTime.
		if c.server.DataPosition.Compare(atLeast) > 0 {
			choice.AtLeast = c.server.DataPosition
		}
		choice.DataTime = c.server.DataTime
	}
	return choice
}

// selection holds the replicas of a group that can serve a read, and counts why the others can't.
type selection struct {
	candidates  []candidate
	nextCatchUp time.Time // when the next replica is expected to catch up; zero if none is
	counts      struct{ replicas, leaving, unreachable, oldBranch, behind, stale, tried int }
}

// selectReplicas checks each replica of a group for a read.
func selectReplicas(g *group.State, r Read, now time.Time) *selection {
	s := &selection{}
	for _, server := range g.Servers {
		if server.Name == g.Primary {
			continue
		}
		s.counts.replicas++
		switch {
		case slices.Contains(r.Exclude, server.Name):
			s.counts.tried++
		case server.Leaving:
			s.counts.leaving++
		case !server.Reachable(now):
			s.counts.unreachable++
		case !g.OnCurrentTerm(server):
			s.counts.oldBranch++
		case r.Mode == MaxAge && !withinMaxAge(server, r, now):
			s.counts.stale++
		default:
			s.classify(g, server, r, now)
		}
	}
	return s
}

// classify adds a reachable replica of the current term to the candidates if it has reached the position of the read,
// or is expected to have reached it by its lag. It sets nextCatchUp if the replica will reach the position later. Reads
// in mode MaxAge use reported positions only.
func (s *selection) classify(g *group.State, server group.Server, r Read, now time.Time) {
	if server.Position.Compare(r.AtLeast) >= 0 {
		reason := ReplicaOtherPlace
		if server.Server.Place == r.Place {
			reason = ReplicaSamePlace
		}
		s.candidates = append(s.candidates, candidate{server: server, reason: reason})
		return
	}
	s.counts.behind++
	reachedAt, ok := g.ReachedAt(r.AtLeast)
	if !ok || r.Mode == MaxAge {
		return
	}
	caughtUpAt := reachedAt.Add(server.Lag)
	if server.Lag > 0 && !caughtUpAt.After(now) {
		s.candidates = append(s.candidates, candidate{server: server, reason: ReplicaExpected})
		return
	}
	if caughtUpAt.After(now) && (s.nextCatchUp.IsZero() || caughtUpAt.Before(s.nextCatchUp)) {
		s.nextCatchUp = caughtUpAt
	}
}

// withinMaxAge reports whether the age of the server's data is known and at most that of the read.
func withinMaxAge(server group.Server, r Read, now time.Time) bool {
	age, ok := server.DataAge(now)
	return ok && age <= r.MaxAge
}

// leastLoaded returns the candidate with the lowest load among those of the first reason in order that has any.
func (s *selection) leastLoaded(order ...Reason) (candidate, bool) {
	for _, reason := range order {
		found := -1
		for i, c := range s.candidates {
			if c.reason == reason && (found < 0 || c.server.Load < s.candidates[found].server.Load) {
				found = i
			}
		}
		if found >= 0 {
			return s.candidates[found], true
		}
	}
	return candidate{}, false
}

// primaryReason returns why the primary serves the read. If replicas failed different checks, it names the check that
// comes closest to serving the read.
func (s *selection) primaryReason() Reason {
	c := s.counts
	switch {
	case c.replicas == 0:
		return PrimaryNoReplica
	case c.behind > 0:
		return PrimaryReplicaBehind
	case c.stale > 0:
		return PrimaryReplicaOld
	case c.tried > 0:
		return PrimaryReplicaTried
	case c.oldBranch > 0:
		return PrimaryReplicaOldBranch
	case c.leaving > 0:
		return PrimaryReplicaLeaving
	}
	return PrimaryReplicaUnreachable
}
