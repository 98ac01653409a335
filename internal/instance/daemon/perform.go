package daemon

import (
	"context"
	"math/rand/v2"
	"slices"

	"tanagercross/internal/database/operation"
	"tanagercross/internal/fleet/exchange"
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
	if p.holds(server) {
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

func (d *Daemon) holds(server string) bool {
	for _, h := range d.pool.Held() {
		if h.Server == server {
			return true
		}
	}
	return false
}

// holders returns the other live members that tell that they hold a lane of a server, those of this place first, each
// part in random order.
func (d *Daemon) holders(server string) []roster.Member {
	view := d.fleet.view()
	var near, far []roster.Member
	for _, state := range view.members {
		if state.Member == d.settings.Name || !d.liveness.alive(state.Member) {
			continue
		}
		m, listed := view.roster.Member(state.Member)
		if !listed || !slices.ContainsFunc(state.Lanes, func(l exchange.Lane) bool { return l.Server == server }) {
			continue
		}
		if m.Place == d.settings.Place {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	all := append(near, far...)
	return all[:min(len(all), holdersAsked)]
}
