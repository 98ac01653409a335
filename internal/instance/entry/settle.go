package entry

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/promotion"
	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/fleet/relay"
	"tanagercross/internal/instance/clock"
	"tanagercross/internal/service/recovery"
)

const (
	// confirmationDelay is how long an order that the platform accepted before the confirmation may take to have effect.
	confirmationDelay = time.Second
	// inspectionInterval is the minimum time between two inspections of the replicas of a group.
	inspectionInterval = 2 * time.Second
)

// unansweredOrders returns the orders for a group that may still be carried out.
func (g *failover) unansweredOrders(group string) promotion.Orders {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.orders[group]
}

// setUnsettled records whether replicas of a group may be paused without a change of primary in progress.
func (g *failover) setUnsettled(group string, unsettled bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unsettled[group] = unsettled
}

// isSettled reports whether no earlier change threatens the primary of a group: no replica was left paused, and no order for
// another server may still be carried out.
func (g *failover) isSettled(group, primary string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.unsettled[group] && !g.orders[group].Threaten(primary)
}

// settleGroup has the primary of a group examined, and confirmed if it serves, while the group is not settled.
func (g *failover) settleGroup(group string) {
	l, known := g.n.table.Leader(group)
	if !known || g.isSettled(group, l.Server) {
		return
	}
	if s, listed := g.n.table.Servers().Server(l.Server); listed && s.Role == driver.Primary {
		g.startChange(context.Background(), relay.PrimaryChange{Group: group, Primary: l.Server})
	}
}

// confirmPrimary makes the primary that serves stay after a change that was given up. It orders the promotion of that
// primary with a higher token, which changes nothing and makes the platform refuse the orders before. Then it resumes the
// replicas. They stay paused until the order is accepted, because an order for one of them may still be carried out.
func (g *failover) confirmPrimary(ctx context.Context, group string, primary catalog.Server) error {
	claim, err := g.claim(ctx, g.unansweredOrders(group).HighestToken(primary.ID))
	if err != nil {
		return err
	}
	if claim.Holder != g.n.settings.Name {
		return eris.Errorf("the duty is held by %s, which may be changing the primary", claim.Holder)
	}
	err = g.order(ctx, group, primary.ID, claim)
	g.n.log.Info("primary confirmed", "group", group, "primary", primary.ID, "token", claim.Token, "error", errorText(err))
	if err != nil {
		return err
	}
	clock.Sleep(ctx, confirmationDelay)
	if claim, err = g.renew(ctx, claim); err != nil {
		return err
	}
	// A primary does not act on this command. Unlike a status, its answer needs no free slot, which the primary may lack
	// while its commits wait for the paused replicas.
	r, err := g.sendCommand(ctx, primary, reportTimeout, statement.ResumeReplication{})
	if err != nil {
		return err
	}
	if r.Role != driver.Primary {
		return eris.Errorf("%s no longer leads %s", primary.ID, group)
	}
	g.setUnsettled(group, false)
	g.resumeReplicas(ctx, claim, group, g.replicas(group, primary.ID))
	return nil
}

// replicas returns the listed servers of a group without its primary.
func (g *failover) replicas(group, primary string) []catalog.Server {
	var replicas []catalog.Server
	for _, s := range g.n.table.Servers().InGroup(group) {
		if s.ID != primary {
			replicas = append(replicas, s)
		}
	}
	return replicas
}

// inspectGroup looks for replicas that an earlier coordinator of the group left paused, when this instance has become the
// coordinator. It is repeated until all replicas have answered.
func (g *failover) inspectGroup(now time.Duration, group string, coordinator bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	due, waiting := g.inspectionDue[group]
	switch {
	case !coordinator:
		delete(g.inspectionDue, group)
		g.coordinated[group] = false
		return
	case !g.coordinated[group]:
		g.coordinated[group] = true
		g.inspectionDue[group] = now + inspectionInterval
		return
	case !waiting || now < due || g.inProgress[group]:
		return
	}
	g.inspectionDue[group] = now + inspectionInterval
	go g.inspectReplicas(group)
}

// inspectReplicas marks a group as unsettled if one of its replicas is paused.
func (g *failover) inspectReplicas(group string) {
	defer recovery.Catch(g.n.observer.panicked("inspection of replicas"))
	l, known := g.n.table.Leader(group)
	replicas := g.replicas(group, l.Server)
	if !known || len(replicas) == 0 {
		return
	}
	reports := g.queryServers(context.Background(), replicas, statement.Status{})
	g.notePaused(group, reports)
	if len(reports) == len(replicas) {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.inspectionDue, group)
	}
}

// notePaused marks a group as unsettled if one of its replicas reports that it is paused, while no change is in progress.
func (g *failover) notePaused(group string, reports []promotion.Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range reports {
		if r.HeldTerm > 0 && !g.inProgress[group] {
			g.n.log.Warn("replica found paused", "group", group, "server", r.Server, "term", r.HeldTerm)
			g.unsettled[group] = true
		}
	}
}
