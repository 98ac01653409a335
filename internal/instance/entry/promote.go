package entry

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/promotion"
	"tanagercross/internal/database/replicaset"
	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/fleet/relay"
	"tanagercross/internal/fleet/view"
	"tanagercross/internal/instance/clock"
)

// changePrimary makes another server the primary of a group. planned means that the old primary still serves and is
// demoted first, so that it acknowledges no commit that the new primary lacks. If it does not confirm the demotion, the
// pause of synchronous replicas has the same effect. The promotion lease is acquired before anything else, so that no
// other instance promotes a server meanwhile; if another instance holds it, the change is forwarded to that one. With
// synchronous replicas, the change fails unless so many members of the group's replica set report that one of them must have
// every acknowledged commit. An old primary that runs and does not lead is asked too: it leads again if the others lack commits that it has.
func (g *failover) changePrimary(ctx context.Context, group string, old catalog.Server, e promotion.Evidence) error {
	reached := e.ReachedLocally || e.ReachedByPeer
	planned, returning := reached && e.IsLeader, reached && !e.IsLeader
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
	syncReplicas := g.syncReplicas(group)
	var members replicaset.Set
	if syncReplicas > 0 {
		// A replica that returned after the last read of the servers may be the only one with the last commits.
		if members, err = g.n.replicaSets.refresh(ctx, group); err != nil {
			return err
		}
	}
	candidates := g.candidates(group, old.ID, syncReplicas > 0)
	if !g.hasSuccessor(group, old.ID) && (!returning || g.evacuated(old)) {
		return eris.Errorf("no other server of %s outside of evacuated data centres", group)
	}
	demotion := g.earlierDemotion(group, old.ID, reached && syncReplicas == 0)
	if planned {
		if !g.canFollow(ctx, candidates, old) {
			return eris.Errorf("%s is not demoted: no server that can follow it has nearly its whole log", old.ID)
		}
		demotion = g.demote(ctx, group, old)
		if !demotion.Confirmed && syncReplicas == 0 && g.undemotedFor(old.ID) < demotePatience {
			return eris.Errorf("%s is not demoted and may acknowledge commits that no replica has", old.ID)
		}
	}
	if returning && g.isReplica(ctx, old) {
		candidates = append(candidates, old)
	}
	unlisted, err := g.reachUnlisted(ctx, group, old.ID, members, syncReplicas)
	if err != nil {
		return err
	}
	candidates = append(candidates, unlisted...)
	reports := g.collectReports(ctx, group, candidates, demotion)
	if planned && demotion.Confirmed {
		reports = append(reports, g.queryServers(ctx, []catalog.Server{old}, statement.Status{})...)
	}
	c := change{group: group, old: old, candidates: candidates, reports: reports, syncReplicas: syncReplicas, claim: claim}
	for i := range reports {
		reports[i].Former = reports[i].Server == old.ID
		if reports[i].Former && reports[i].Role == driver.Primary {
			g.abandon(ctx, c)
			return eris.Errorf("%s leads again", old.ID)
		}
	}
	if leader, ok := promotion.FindNewPrimary(reports, old.ID); ok {
		g.forgetDemotion(group)
		g.announceLeader(group, leader)
		return nil
	}
	if err := g.requireReports(c, members, demotion); err != nil {
		g.abandon(ctx, c)
		return err
	}
	return g.promote(ctx, c)
}

// requireReports fails if an acknowledged commit may be in none of the reports of a change, and names the servers that may still
// come back with it.
func (g *failover) requireReports(c change, members replicaset.Set, d promotion.Demotion) error {
	counted := promotion.Counted(c.reports, c.syncReplicas, d)
	absent := members.Absent(replicaset.Evidence{Reports: counted, MissingFor: g.n.table.MissingFor})
	g.logReports(c, absent, d)
	if !promotion.EnoughReports(c.reports, absent, c.syncReplicas, d) {
		return eris.Errorf("an acknowledged commit may be lost: %d of %d servers report, waiting for %s", len(counted), len(c.candidates),
			strings.Join(absenceTexts(absent), ", "))
	}
	if !d.Confirmed && replicaset.Decide(absent, c.syncReplicas) == replicaset.Abandon {
		g.n.log.Warn("acknowledged commits may be lost", "group", c.group, "absent", absenceTexts(absent))
	}
	return nil
}

// logReports logs what a change of primary is decided from: the servers that were asked, the report of each, and the members of
// the group without a report that counts.
func (g *failover) logReports(c change, absent []replicaset.Absence, d promotion.Demotion) {
	asked := make([]string, 0, len(c.candidates))
	for _, s := range c.candidates {
		asked = append(asked, s.ID)
	}
	reports := make([]string, 0, len(c.reports))
	for _, r := range c.reports {
		reports = append(reports, fmt.Sprintf("%s: %s, received %s, paused %t", r.Server, r.Role, r.Received, r.Paused))
	}
	_, read, _ := g.n.table.ReadTimes()
	g.n.log.Info("reports for a change of primary", "group", c.group, "old", c.old.ID, "asked", asked, "reports", reports,
		"absent", absenceTexts(absent), "sync_replicas", c.syncReplicas, "verdict", string(replicaset.Decide(absent, c.syncReplicas)),
		"demoted", d.Confirmed, "list_age_ms", (g.n.boot() - read).Milliseconds())
}

// absenceTexts returns the members without a report in the form of the log.
func absenceTexts(absent []replicaset.Absence) []string {
	texts := make([]string, 0, len(absent))
	for _, a := range absent {
		texts = append(texts, fmt.Sprintf("%s: %s, unlisted for %d ms, held %s", a.ID, a.State, a.Missing.Milliseconds(), a.Confirmed))
	}
	return texts
}

// change is one change of primary: its group, the old primary, the servers that may follow it, their reports, and the claim of the
// promotion lease under which it is made.
type change struct {
	group        string
	old          catalog.Server
	candidates   []catalog.Server
	reports      []promotion.Report
	syncReplicas int
	claim        lease
}

// promote orders the promotion of the most advanced replica and waits until it is the primary. An order without an answer
// is repeated while the promotion lease is held.
func (g *failover) promote(ctx context.Context, c change) error {
	best, ok := promotion.ChoosePrimary(g.promotable(c.reports, c.old.ID), c.old.Place)
	if !ok {
		g.abandon(ctx, c)
		return eris.Errorf("no replica of %s reports", c.group)
	}
	if newest, _ := promotion.ChoosePrimary(c.reports, ""); newest.Received.Compare(best.Received) > 0 {
		g.abandon(ctx, c)
		return eris.Errorf("waiting for %s, which has commits that %s lacks, and has no entry in the store or is in an evacuated data centre",
			newest.Server, best.Server)
	}
	var err error
	if c.claim, err = g.supersede(ctx, c.group, best.Server, c.claim); err != nil {
		g.abandon(ctx, c)
		return err
	}
	orderErr := ErrUncertain
	for end := g.n.boot() + leadershipTimeout; g.n.boot() < end; clock.Sleep(ctx, leadershipPollInterval) {
		if errors.Is(orderErr, ErrUncertain) {
			if c.claim, err = g.renew(ctx, c.claim); err != nil {
				g.abandon(ctx, c)
				return err
			}
			orderErr = g.order(ctx, c.group, best.Server, c.claim)
			g.n.log.Info("promotion ordered", "group", c.group, "old", c.old.ID, "new", best.Server, "received", best.Received.String(),
				"reports", len(c.reports), "token", c.claim.Token, "error", errorText(orderErr))
		}
		if errors.Is(orderErr, ErrConflict) {
			// Another holder of the lease may be changing the primary and rely on the paused replicas.
			g.setUnsettled(c.group, true)
			g.abandon(ctx, c)
			return orderErr
		}
		s, _ := g.n.table.Servers().Server(best.Server)
		r, err := g.sendCommand(ctx, s, probeTimeout, statement.Status{})
		if err == nil && r.Role == driver.Primary {
			g.forgetDemotion(c.group)
			g.n.replicaSets.checkSoon(c.group)
			g.announceLeader(c.group, promotion.Report{Server: best.Server, Report: r})
			g.resumeReplicas(ctx, c.claim, c.group, reported(c.candidates, c.reports, best.Server))
			return nil
		}
	}
	g.abandon(ctx, c)
	return eris.Errorf("%s does not lead %s in time", best.Server, c.group)
}

// abandon ends a change without a new primary. Replicas that were paused are resumed, unless the group has synchronous
// replicas and an order for one of them may still be carried out: the old primary, if it runs, would acknowledge commits
// that the promoted replica lacks. They stay paused until confirmPrimary or another change.
func (g *failover) abandon(ctx context.Context, c change) {
	if c.syncReplicas > 0 && !g.isSettled(c.group, c.old.ID) {
		g.n.log.Warn("replicas stay paused", "group", c.group, "primary", c.old.ID)
		return
	}
	g.resumeReplicas(ctx, c.claim, c.group, reported(c.candidates, c.reports, ""))
}

// supersede renews the lease with a higher token if an earlier order for another server was not answered. That order may
// still take effect and would replace the server that is promoted now; the higher token makes the platform refuse it.
func (g *failover) supersede(ctx context.Context, group, server string, claim lease) (lease, error) {
	earlier := g.unansweredOrders(group).HighestToken(server)
	if earlier < claim.Token {
		return claim, nil
	}
	return g.raiseToken(ctx, claim, earlier)
}

// order orders a promotion from the platform and records whether it was answered.
func (g *failover) order(ctx context.Context, group, server string, claim lease) error {
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	err := g.n.options.Promoter.Promote(ctx, claim.Holder, claim.Token, group, server)
	o := promotion.Order{Server: server, Token: claim.Token}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case err == nil:
		g.orders[group] = g.orders[group].WithAccepted(o)
	case errors.Is(err, ErrUncertain):
		g.orders[group] = g.orders[group].WithUnanswered(o)
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
