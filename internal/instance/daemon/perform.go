package daemon

import (
	"context"
	"math/rand/v2"

	"tanagercross/internal/database/operation"
	"tanagercross/internal/fleet/roster"
	"tanagercross/internal/session/outcome"
)

// holdersAsked is how many holders of a server's lanes are tried before the attempt counts as refused.
const holdersAsked = 3

// performer runs operations through this instance's lanes or those of others; it implements execution.Performer.
type performer struct{ *Daemon }

// Perform implements execution.Performer.
func (p performer) Perform(
	ctx context.Context, server string, op operation.Operation,
) (operation.Reply, string) {
	reply, holder := refusedNoLane(), p.settings.Name
	if p.pool.HoldsAnyLane(server) {
		if reply = p.pool.Perform(ctx, server, op); !noLane(reply) {
			return reply, holder
		}
	}
	for _, m := range p.holders(server) {
		reply, holder = p.client.Perform(ctx, m.Address, server, op), m.Name
		if !noLane(reply) {
			break
		}
	}
	return reply, holder
}

// PerformAt implements execution.Performer.
func (p performer) PerformAt(ctx context.Context, holder, server string, op operation.Operation) operation.Reply {
	if holder == p.settings.Name {
		return p.pool.Perform(ctx, server, op)
	}
	address := p.addressOf(holder)
	if address == "" {
		return operation.Reply{Verdict: outcome.NotRun(outcome.TransactionUnknown)}
	}
	return p.client.Perform(ctx, address, server, op)
}

func refusedNoLane() operation.Reply {
	return operation.Reply{Verdict: outcome.NotRun(outcome.LaneUnavailable)}
}

func noLane(r operation.Reply) bool {
	return r.Verdict.Outcome == outcome.NotRunOutcome && r.Verdict.Reason == outcome.LaneUnavailable
}

// holders returns other live members that tell that they hold a lane of a server, those of this place first, each part
// from a random one on.
func (d *Daemon) holders(server string) []roster.Member {
	p := d.fleet.view().holders[server]
	holders := make([]roster.Member, 0, holdersAsked)
	for _, part := range [][]roster.Member{p.near, p.far} {
		if len(part) == 0 {
			continue
		}
		first := rand.IntN(len(part))
		for i := range part {
			m := part[(first+i)%len(part)]
			if len(holders) < holdersAsked && d.liveness.alive(m.Name) {
				holders = append(holders, m)
			}
		}
	}
	return holders
}
