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

func (c candidate) serve(g *group.State, r Read, atLeast driver.Position) Serve {
	out := Serve{Server: c.server.Name, Reason: c.reason, Term: g.Term, AtLeast: atLeast}
	if r.Mode == MaxAge {
		// A server that was rebuilt since its last status must not serve data older than the age promised for it.
		if c.server.DataPosition.Compare(atLeast) > 0 {
			out.AtLeast = c.server.DataPosition
		}
		out.DataTime = c.server.DataTime
	}
	return out
}

// selection sorts the replicas of a group for one read.
type selection struct {
	candidates []candidate
	soonest    time.Time // when the first replica is expected to catch up; zero if none is
	counts     struct{ replicas, leaving, unreachable, branch, behind, old, tried int }
}

func newSelection(g *group.State, r Read, now time.Time) *selection {
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
			s.counts.branch++
		case r.Mode == MaxAge && !young(server, r, now):
			s.counts.old++
		default:
			s.place(g, server, r, now)
		}
	}
	return s
}

// place decides whether a server is, should be, or will soon be at the position.
func (s *selection) place(g *group.State, server group.Server, r Read, now time.Time) {
	if server.Position.Compare(r.AtLeast) >= 0 {
		reason := ReplicaOther
		if server.Server.Place == r.Place {
			reason = ReplicaSamePlace
		}
		s.candidates = append(s.candidates, candidate{server: server, reason: reason})
		return
	}
	s.counts.behind++
	reached, ok := g.ReachedAt(r.AtLeast)
	if !ok || r.Mode == MaxAge {
		return
	}
	expected := reached.Add(server.Lag)
	if server.Lag > 0 && !expected.After(now) {
		s.candidates = append(s.candidates, candidate{server: server, reason: ReplicaExpected})
		return
	}
	if expected.After(now) && (s.soonest.IsZero() || expected.Before(s.soonest)) {
		s.soonest = expected
	}
}

func young(server group.Server, r Read, now time.Time) bool {
	age, ok := server.DataAge(now)
	return ok && age <= r.MaxAge
}

// best returns the least loaded candidate of the first reason that has one.
func (s *selection) best(order ...Reason) (candidate, bool) {
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

// fallback names why no replica serves the read: the reason that came closest to serving it.
func (s *selection) fallback() Reason {
	c := s.counts
	switch {
	case c.replicas == 0:
		return PrimaryNoReplica
	case c.behind > 0:
		return PrimaryReplicaBehind
	case c.old > 0:
		return PrimaryReplicaOld
	case c.tried > 0:
		return PrimaryReplicaTried
	case c.branch > 0:
		return PrimaryOldBranch
	case c.leaving > 0:
		return PrimaryLeaving
	}
	return PrimaryUnreachable
}
