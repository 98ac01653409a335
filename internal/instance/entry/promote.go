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
// demoted first. The promotion lease is acquired before anything else, so that no other instance promotes a server
// meanwhile; if another instance holds it, the change is forwarded to that one. With synchronous replicas, the change
// fails unless so many replicas report that one of them must have every acknowledged commit.
func (g *failover) changePrimary(ctx context.Context, group string, old catalog.Server, planned bool) error {
	claim, err := g.claim(ctx, 0)
	if err != nil {
		return err
	}
	if claim.Holder != g.n.settings.Name {
		return g.forwardToHolder(ctx, claim, relay.Succession{Group: group, Primary: old.ID, Planned: planned})
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
	var logEnd driver.Position
	if planned {
		logEnd = g.demote(ctx, group, old)
	}
	reports := g.collectReports(ctx, group, candidates, logEnd, planned)
	if leader, ok := promotion.FindNewPrimary(reports, old.ID); ok {
		g.announceLeader(group, leader)
		return nil
	}
	missing := g.n.table.MissingReplicas(group)
	if !promotion.EnoughReports(reports, len(candidates)+missing, syncReplicas, logEnd) {
		g.resumeReplicas(candidates, reports, "")
		return eris.Errorf("%d of %d replicas report, %d are missing: an acknowledged commit may be lost", len(reports), len(candidates), missing)
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
func (g *failover) forwardToHolder(ctx context.Context, claim Claim, x relay.Succession) error {
	end := g.n.boot() + min(claim.Remaining, time.Second)
	if m, ok := g.n.table.Roster().Member(claim.Holder); ok {
		call, cancel := context.WithTimeout(ctx, claim.Remaining)
		accepted, _, err := g.n.client.Succeed(call, m.Address, x)
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

// candidates returns the servers that may be promoted: those that are not leaving, if there are any. With synchronous
// replicas, leaving ones are included, because one of them may be the only server with the last commits.
func (g *failover) candidates(group, old string, synchronous bool) []catalog.Server {
	var staying, leaving []catalog.Server
	for _, s := range g.n.table.Servers().Of(group) {
		switch {
		case s.ID == old:
		case s.Leaving:
			leaving = append(leaving, s)
		default:
			staying = append(staying, s)
		}
	}
	if synchronous || len(staying) == 0 {
		return append(staying, leaving...)
	}
	return staying
}

// demote makes a leaving primary a replica and returns the end of its log. If the demotion fails, it returns the last
// reported position, or none if the server does not report.
func (g *failover) demote(ctx context.Context, group string, old catalog.Server) driver.Position {
	l, _ := g.n.table.Leader(group)
	r, err := g.sendCommand(ctx, old, reportTimeout, statement.Status{})
	if err != nil {
		g.n.log.Warn("leaving primary does not report", "group", group, "primary", old.ID, "error", err.Error())
		return driver.Position{}
	}
	demoted, err := g.sendCommand(ctx, old, reportTimeout, statement.Demote{Term: max(r.Term, l.Term) + 1})
	if err != nil {
		g.n.log.Warn("leaving primary not demoted", "group", group, "primary", old.ID, "error", err.Error())
		return r.Received
	}
	return demoted.Received
}

// collectReports requests the candidates' reports of what they have received. Replicas of a failed primary are paused, so
// that they receive nothing after their report. After a planned demotion, it waits up to catchUpTimeout until the best
// replica has the whole log of the demoted primary.
func (g *failover) collectReports(ctx context.Context, group string, candidates []catalog.Server, logEnd driver.Position, planned bool) []promotion.Report {
	reports := g.queryServers(ctx, candidates, statement.Status{})
	if planned {
		for end := g.n.boot() + catchUpTimeout; g.n.boot() < end; {
			if best, ok := promotion.ChoosePrimary(reports, ""); ok && best.Received.Compare(logEnd) >= 0 {
				return reports
			}
			clock.Sleep(ctx, catchUpPollInterval)
			reports = g.queryServers(ctx, candidates, statement.Status{})
		}
		return reports
	}
	if _, ok := promotion.FindNewPrimary(reports, ""); ok || len(reports) == 0 {
		return reports
	}
	l, _ := g.n.table.Leader(group)
	return g.queryServers(ctx, candidates, statement.Pause{Term: promotion.NextTerm(reports, l.Term)})
}

// queryServers sends a command to all servers at once and returns the reports of those that answer within reportTimeout.
func (g *failover) queryServers(ctx context.Context, servers []catalog.Server, c statement.Command) []promotion.Report {
	results := make(chan *promotion.Report, len(servers))
	for _, s := range servers {
		go func() {
			r, err := g.sendCommand(ctx, s, reportTimeout, c)
			if err != nil {
				g.n.log.Warn("server does not report", "group", s.Group, "server", s.ID, "error", err.Error())
				results <- nil
				return
			}
			results <- &promotion.Report{Server: s.ID, Place: s.Place, Leaving: s.Leaving, Report: r}
		}()
	}
	var reports []promotion.Report
	for range servers {
		if r := <-results; r != nil {
			reports = append(reports, *r)
		}
	}
	return reports
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

// resumeReplicas lets the paused replicas, except the new leader, receive again. Failures are only logged.
func (g *failover) resumeReplicas(candidates []catalog.Server, reports []promotion.Report, leader string) {
	for _, s := range candidates {
		if s.ID == leader || !hasReport(reports, s.ID) {
			continue
		}
		go func() {
			if _, err := g.sendCommand(context.Background(), s, reportTimeout, statement.Resume{}); err != nil {
				g.n.log.Warn("replica not resumed", "group", s.Group, "server", s.ID, "error", err.Error())
			}
		}()
	}
}

// hasReport reports whether a server is among the reports.
func hasReport(reports []promotion.Report, server string) bool {
	for _, r := range reports {
		if r.Server == server {
			return true
		}
	}
	return false
}
