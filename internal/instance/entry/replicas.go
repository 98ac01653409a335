package entry

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/promotion"
	"tanagercross/internal/database/replicaset"
	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/fleet/view"
	"tanagercross/internal/instance/clock"
)

// candidates returns the servers that report in a change of primary: those that are not leaving, if there are any. With
// synchronous replicas, leaving and evacuated ones are included, because one of them may be the only server with the last
// commits. Evacuated ones are not promoted.
func (g *failover) candidates(group, old string, synchronous bool) []catalog.Server {
	var staying, leaving, evacuated []catalog.Server
	for _, s := range g.n.table.Servers().InGroup(group) {
		switch {
		case s.ID == old:
		case g.evacuated(s):
			evacuated = append(evacuated, s)
		case s.Leaving:
			leaving = append(leaving, s)
		default:
			staying = append(staying, s)
		}
	}
	switch {
	case synchronous:
		return slices.Concat(staying, leaving, evacuated)
	case len(staying) == 0:
		return leaving
	}
	return staying
}

// reachUnlisted returns the members of a group that have no entry in the store but answer at their addresses: they may be cut off
// the store only, or reach it again within a moment, and hold commits that no listed server has. The old primary, which is
// being replaced because it has no entry, is among them only if the listed servers cannot suffice. It fails if one of them leads
// and its entry may still come back, for example after an outage of the store.
func (g *failover) reachUnlisted(ctx context.Context, group, old string, members replicaset.Set, syncReplicas int) ([]catalog.Server, error) {
	var unlisted, reached []catalog.Server
	others := 0 // listed members but the old primary
	for _, m := range members.Members() {
		if _, listed := g.n.table.Servers().Server(m.ID); !listed {
			unlisted = append(unlisted, memberServer(group, m))
		} else if m.ID != old {
			others++
		}
	}
	if len(members.Members())-others <= syncReplicas {
		unlisted = slices.DeleteFunc(unlisted, func(s catalog.Server) bool { return s.ID == old })
	}
	for _, r := range g.queryServers(ctx, unlisted, statement.Status{}) {
		if missing := g.n.table.MissingFor(r.Server); r.Role == driver.Primary && missing < view.MissingServerGrace {
			return nil, eris.Errorf("waiting for the entry of %s, which leads and has been unlisted for %d ms", r.Server, missing.Milliseconds())
		}
		n := slices.IndexFunc(unlisted, func(s catalog.Server) bool { return s.ID == r.Server })
		if r.Role == driver.Replica {
			reached = append(reached, unlisted[n])
		}
	}
	return reached, nil
}

// demote makes a leaving primary a replica. It needs no report of the primary before: the status of a busy one is refused,
// while it goes on acknowledging commits. A primary that knows a newer term than the view tells it in its answer.
func (g *failover) demote(ctx context.Context, group string, old catalog.Server) promotion.Demotion {
	l, _ := g.n.table.Leader(group)
	term := l.Term + 1
	for range demoteAttempts {
		r, err := g.sendCommand(ctx, old, reportTimeout, statement.Demote{Term: term})
		if err == nil && r.Role != driver.Primary {
			g.n.log.Info("leaving primary demoted", "group", group, "primary", old.ID, "term", term, "end", r.Received.String())
			d := promotion.Demotion{Confirmed: true, End: r.Received}
			g.mu.Lock()
			g.demotions[group] = demotion{server: old.ID, Demotion: d}
			g.mu.Unlock()
			return d
		}
		g.n.log.Warn("leaving primary not demoted", "group", group, "primary", old.ID, "term", term, "its_term", r.Term,
			"error", errorText(err))
		term = max(term, r.Term+1)
		clock.Sleep(ctx, demoteRetryInterval)
	}
	return promotion.Demotion{}
}

// undemotedFor returns for how long a server has not confirmed its demotion, counted from the first call.
func (g *failover) undemotedFor(server string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.n.boot()
	if g.undemotedSince[server] == 0 {
		g.undemotedSince[server] = now
	}
	return now - g.undemotedSince[server]
}

// collectReports requests the candidates' reports of what they have received. Replicas of a primary that has not confirmed
// its demotion are paused, so that they receive nothing after their report.
func (g *failover) collectReports(ctx context.Context, group string, candidates []catalog.Server, d promotion.Demotion) []promotion.Report {
	if d.Confirmed {
		return g.awaitLogEnd(ctx, candidates, d.End)
	}
	reports := g.queryServers(ctx, candidates, statement.Status{})
	if _, ok := promotion.FindNewPrimary(reports, ""); ok {
		return reports
	}
	l, _ := g.n.table.Leader(group)
	return g.pauseReplicas(ctx, candidates, promotion.NextTerm(reports, l.Term))
}

// awaitLogEnd returns the candidates' reports as soon as one of them has the whole log of the demoted primary, and after
// catchUpTimeout in any case.
func (g *failover) awaitLogEnd(ctx context.Context, candidates []catalog.Server, logEnd driver.Position) []promotion.Report {
	reports := g.queryServers(ctx, candidates, statement.Status{})
	for end := g.n.boot() + catchUpTimeout; g.n.boot() < end; {
		if best, ok := promotion.ChoosePrimary(g.promotable(reports, ""), ""); ok && best.Received.Compare(logEnd) >= 0 {
			return reports
		}
		clock.Sleep(ctx, catchUpPollInterval)
		reports = g.queryServers(ctx, candidates, statement.Status{})
	}
	return reports
}

// pauseReplicas stops the candidates from receiving the log and returns the reports that they give then. The pause takes no
// slot of a server, so that those that were too busy for a status report answer as well.
func (g *failover) pauseReplicas(ctx context.Context, candidates []catalog.Server, term uint64) []promotion.Report {
	reports := g.queryServers(ctx, candidates, statement.PauseReplication{Term: term})
	for i, r := range reports {
		reports[i] = r.WithPause(term)
	}
	return reports
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
			results <- &promotion.Report{Server: s.ID, Place: s.Place, Leaving: s.Leaving || g.evacuated(s), Report: r}
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

// resumeReplicas lets replicas receive the log again, and waits until they have confirmed it, so that a late command does
// not end the pause of a later change. Nothing in the command tells it from one of another change, so that it is sent only
// under the claim of the change in which the replicas were paused: an instance that was frozen meanwhile may wake in a change of
// another one that relies on their pause. The group stays unsettled if a replica does not confirm.
func (g *failover) resumeReplicas(ctx context.Context, claim lease, group string, servers []catalog.Server) {
	if len(servers) == 0 {
		return
	}
	if _, err := g.renew(ctx, claim); err != nil {
		g.n.log.Warn("replicas not resumed", "group", group, "paused", len(servers), "resumed", 0, "error", err.Error())
		g.setUnsettled(group, true)
		return
	}
	resumed := g.queryServers(ctx, servers, statement.ResumeReplication{})
	if len(resumed) < len(servers) {
		g.n.log.Warn("replicas not resumed", "group", group, "paused", len(servers), "resumed", len(resumed), "error", "no report")
		g.setUnsettled(group, true)
	}
}

// promotable returns the reports of listed servers outside of the evacuated places, and that of the old primary, which may lead
// again. Instances send no statement to a server that is not listed.
func (g *failover) promotable(reports []promotion.Report, old string) []promotion.Report {
	return slices.DeleteFunc(slices.Clone(reports), func(r promotion.Report) bool {
		_, evacuated := g.n.table.Evacuated(r.Place)
		_, listed := g.n.table.Servers().Server(r.Server)
		return !listed || evacuated && r.Server != old
	})
}

// reported returns the candidates that gave a report, without the given server.
func reported(candidates []catalog.Server, reports []promotion.Report, without string) []catalog.Server {
	var servers []catalog.Server
	for _, s := range candidates {
		if s.ID != without && slices.ContainsFunc(reports, func(r promotion.Report) bool { return r.Server == s.ID }) {
			servers = append(servers, s)
		}
	}
	return servers
}
