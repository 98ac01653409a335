package entry

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/promotion"
	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/fleet/relay"
	"tanagercross/internal/fleet/view"
	"tanagercross/internal/instance/clock"
)

// changePrimary makes another server the primary of a group. planned means that the old primary still serves and is
// demoted first, so that it acknowledges no commit that the new primary lacks. If it does not confirm the demotion, the
// pause of synchronous replicas has the same effect. The promotion lease is acquired before anything else, so that no other instance promotes a server
// meanwhile; if another instance holds it, the change is forwarded to that one. With synchronous replicas, the change
// fails unless so many replicas report that one of them must have every acknowledged commit.
func (g *failover) changePrimary(ctx context.Context, group string, old catalog.Server, planned bool) error {
	claim, err := g.claim(ctx, 0)
	if err != nil {
		return err
	}
	if claim.Holder != g.n.settings.Name {
		return g.forwardToHolder(ctx, claim, relay.PrimaryChange{Group: group, Primary: old.ID, Planned: planned})
	}
	if l, ok := g.n.table.Leader(group); ok && old.ID != "" && l.Server != old.ID {
		return nil
	}
	syncReplicas := 0
	if c, ok := g.n.table.Configuration().Group(group); ok {
		syncReplicas = c.SyncReplicas
	}
	if syncReplicas > 0 {
		// A replica that returned after the last read of the servers may be the only one with the last commits.
		if err := g.n.readServersOnce(ctx); err != nil {
			return err
		}
	}
	candidates := g.candidates(group, old.ID, syncReplicas > 0)
	if len(candidates) == 0 {
		return eris.Errorf("no other server of %s", group)
	}
	var demotion promotion.Demotion
	if planned {
		demotion = g.demote(ctx, group, old)
		if !demotion.Confirmed && syncReplicas == 0 && g.undemotedFor(old.ID) < demotePatience {
			return eris.Errorf("%s is not demoted and may acknowledge commits that no replica has", old.ID)
		}
	}
	reports := g.collectReports(ctx, group, candidates, demotion)
	if demotion.Confirmed && syncReplicas > 0 {
		// The old primary is asked too: it leads again if the replicas lack commits that it acknowledged.
		reports = append(reports, g.queryServers(ctx, []catalog.Server{old}, statement.Status{})...)
	}
	if leader, ok := promotion.FindNewPrimary(reports, old.ID); ok {
		g.announceLeader(group, leader)
		return nil
	}
	missing := g.n.table.MissingReplicas(group)
	if !promotion.EnoughReports(reports, len(candidates)+missing, syncReplicas, demotion) {
		g.resumeReplicas(candidates, reports, "")
		return eris.Errorf("%d of %d replicas report, %d are missing, demoted %t: an acknowledged commit may be lost", len(reports),
			len(candidates), missing, demotion.Confirmed)
	}
	return g.promote(ctx, group, old, claim, candidates, reports)
}

// claim acquires or renews the promotion lease, with a fencing token above the given one. The returned claim names another
// holder if that one's lease has not expired.
func (g *failover) claim(ctx context.Context, above uint64) (Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	claim, err := g.n.options.Store.Claim(ctx, promotionLeaseName, g.n.settings.Name, above, g.n.settings.PromotionLease)
	g.n.observer.dependency("store duties", err)
	if err == nil {
		g.n.log.Info("duty", "holder", claim.Holder, "token", claim.Token, "remaining_ms", claim.Remaining.Milliseconds())
	}
	return claim, err
}

// forwardToHolder requests the change from the holder of the promotion lease. If the holder cannot be reached, it waits for
// the end of the lease, at most a second, and returns an error, so that the next check of the group tries again.
func (g *failover) forwardToHolder(ctx context.Context, claim Claim, x relay.PrimaryChange) error {
	end := g.n.boot() + min(claim.Remaining, time.Second)
	if m, ok := g.n.table.Roster().Member(claim.Holder); ok {
		call, cancel := context.WithTimeout(ctx, claim.Remaining)
		accepted, _, err := g.n.client.ChangePrimary(call, m.Address, x)
		cancel()
		if err == nil {
			g.n.log.Info("change of primary handed over", "group", x.Group, "holder", claim.Holder, "accepted", accepted)
			clock.Sleep(ctx, time.Second)
			return nil
		}
	}
	clock.Sleep(ctx, max(0, end-g.n.boot()))
	return eris.Errorf("the duty is held by %s, which is not reached", claim.Holder)
}

// order is an order to the platform to promote a server, with the fencing token of the promotion lease.
type order struct {
	server string
	token  uint64
}

// promote orders the promotion of the most advanced replica and waits until it is the primary. An order without an answer
// is repeated. Paused replicas are resumed in any case.
func (g *failover) promote(ctx context.Context, group string, old catalog.Server, claim Claim, candidates []catalog.Server, reports []promotion.Report) error {
	best, ok := promotion.ChoosePrimary(reports, old.Place)
	if !ok {
		return eris.Errorf("no replica of %s reports", group)
	}
	claim, err := g.supersede(ctx, group, best.Server, claim)
	if err != nil {
		g.resumeReplicas(candidates, reports, "")
		return err
	}
	orderErr := ErrUncertain
	for end := g.n.boot() + leadershipTimeout; g.n.boot() < end; clock.Sleep(ctx, leadershipPollInterval) {
		if errors.Is(orderErr, ErrUncertain) {
			orderErr = g.order(ctx, group, best.Server, claim)
			g.n.log.Info("promotion ordered", "group", group, "old", old.ID, "new", best.Server, "received", best.Received.String(),
				"reports", len(reports), "token", claim.Token, "error", errorText(orderErr))
		}
		if errors.Is(orderErr, ErrConflict) {
			g.resumeReplicas(candidates, reports, "")
			return orderErr
		}
		s, _ := g.n.table.Servers().Server(best.Server)
		r, err := g.sendCommand(ctx, s, probeTimeout, statement.Status{})
		if err == nil && r.Role == driver.Primary {
			g.announceLeader(group, promotion.Report{Server: best.Server, Report: r})
			g.resumeReplicas(candidates, reports, best.Server)
			return nil
		}
	}
	g.resumeReplicas(candidates, reports, best.Server)
	return eris.Errorf("%s does not lead %s in time", best.Server, group)
}

// supersede renews the lease with a higher token if an earlier order for another server was not answered. That order may
// still take effect and would replace the server that is promoted now; the higher token makes the platform refuse it.
func (g *failover) supersede(ctx context.Context, group, server string, claim Claim) (Claim, error) {
	g.mu.Lock()
	earlier, ok := g.unansweredOrders[group]
	g.mu.Unlock()
	if !ok || earlier.server == server || earlier.token < claim.Token {
		return claim, nil
	}
	higher, err := g.claim(ctx, earlier.token)
	if err != nil {
		return claim, err
	}
	if higher.Holder != claim.Holder {
		return claim, eris.Errorf("the duty has passed to %s", higher.Holder)
	}
	return higher, nil
}

// order orders a promotion from the platform. It records an order without an answer for supersede.
func (g *failover) order(ctx context.Context, group, server string, claim Claim) error {
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	err := g.n.options.Promoter.Promote(ctx, claim.Holder, claim.Token, group, server)
	if errors.Is(err, ErrUncertain) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.unansweredOrders[group] = order{server: server, token: claim.Token}
	}
	return err
}

// announceLeader records a new leader in the view and sends it to the other instances at once.
func (g *failover) announceLeader(group string, r promotion.Report) {
	now := g.n.boot()
	g.n.table.ReportLeader(now, view.Leader{Group: group, Server: r.Server, Term: max(r.Term, r.Received.Term)})
	g.n.gossip.notifyCoordinators()
	g.n.gossip.notifyPlace()
}
