package daemon

import (
	"context"
	"time"

	"tanagercross/internal/database/operation"
	"tanagercross/internal/fleet/exchange"
	"tanagercross/internal/fleet/lease"
	"tanagercross/internal/fleet/peer"
)

// services is what this instance offers to other instances; it implements peer.Services.
type services struct{ *Daemon }

// Exchange implements peer.Services.
func (s services) Exchange(_ context.Context, request exchange.Message) exchange.Message {
	var answer exchange.Message
	s.fleet.update(func(state *exchange.State, now time.Time) { answer = state.Answer(request, now) })
	return answer
}

// Perform implements peer.Services.
func (s services) Perform(ctx context.Context, server string, op operation.Operation) operation.Reply {
	return s.pool.Perform(ctx, server, op)
}

// Vote implements peer.Services.
func (s services) Vote(_ context.Context, b peer.Ballot) []int {
	granted := s.vote(lease.Ballot{
		Candidate: b.Candidate, Incarnation: b.Incarnation, Roster: b.RosterVersion, Shards: shardsOf(b.Shards),
		Release: b.Release,
	})
	numbers := make([]int, 0, len(granted))
	for _, g := range granted {
		numbers = append(numbers, int(g))
	}
	return numbers
}

// Take implements peer.Services.
func (s services) Take(_ context.Context, _ string, takes []peer.Take) []peer.Grant {
	grants := make([]peer.Grant, 0, len(takes))
	for _, t := range takes {
		g := s.grant(t.Organisation, t.Wanted)
		grants = append(grants, peer.Grant{
			Organisation: t.Organisation, Granted: g.Granted, NotHome: g.NotHome, RetryAfter: g.RetryAfter,
		})
	}
	return grants
}
