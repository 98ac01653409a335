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

// replace names a new primary. The duty is claimed first, so that no other instance names one meanwhile.
func (g *guard) replace(ctx context.Context, group string, old catalog.Server, planned bool) error {
	claim, err := g.claim(ctx, 0)
	if err != nil {
		return err
	}
	if claim.Holder != g.n.settings.Name {
		return g.handOver(ctx, claim, relay.Succession{Group: group, Primary: old.ID, Planned: planned})
	}
	if l, ok := g.n.table.Leader(group); ok && old.ID != "" && l.Server != old.ID {
		return nil
	}
	syncReplicas := 0
	if c, ok := g.n.table.Configuration().Group(group); ok {
		syncReplicas = c.SyncReplicas
	}
	if syncReplicas > 0 {
		// A replica that came back after the last read may have the last commits.
		if err := g.n.readServersOnce(ctx); err != nil {
			return err
		}
	}
	candidates := g.candidates(group, old.ID, syncReplicas > 0)
	if len(candidates) == 0 {
		return eris.Errorf("no other server of %s", group)
	}
	var relieved driver.Position
	if planned {
		relieved = g.relieve(ctx, group, old)
	}
	reports := g.prepare(ctx, group, candidates, relieved, planned)
	if leading, ok := promotion.FindNewPrimary(reports, old.ID); ok {
		g.lead(group, leading)
		return nil
	}
	missing := g.n.table.MissingReplicas(group)
	if !promotion.EnoughReports(reports, len(candidates)+missing, syncReplicas, relieved) {
		g.resume(candidates, reports, "")
		return eris.Errorf("%d of %d replicas report, %d are missing: an acknowledged commit may be lost", len(reports), len(candidates), missing)
	}
	return g.promote(ctx, group, old, claim, candidates, reports)
}

// claim takes the promotion duty with a token above a given one.
func (g *guard) claim(ctx context.Context, above uint64) (Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	claim, err := g.n.options.Store.Claim(ctx, duty, g.n.settings.Name, above, g.n.settings.DutyLease)
	g.n.observer.dependency("store duties", err)
	if err == nil {
		g.n.log.Info("duty", "holder", claim.Holder, "token", claim.Token, "remaining_ms", claim.Remaining.Milliseconds())
	}
	return claim, err
}

// handOver asks the holder of the duty, and waits for the end of its claim if it is not reached.
func (g *guard) handOver(ctx context.Context, claim Claim, x relay.Succession) error {
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

// candidates returns the servers that may lead: those that stay, if there are any. With synchronous replicas one that
// leaves may be the only one that has the last commits.
func (g *guard) candidates(group, old string, synchronous bool) []catalog.Server {
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

// relieve makes a leaving primary a replica and returns the end of its log.
func (g *guard) relieve(ctx context.Context, group string, old catalog.Server) driver.Position {
	l, _ := g.n.table.Leader(group)
	r, err := g.ask(ctx, old, reportWait, statement.Status{})
	if err != nil {
		g.n.log.Warn("leaving primary does not report", "group", group, "primary", old.ID, "error", err.Error())
		return driver.Position{}
	}
	demoted, err := g.ask(ctx, old, reportWait, statement.Demote{Term: max(r.Term, l.Term) + 1})
	if err != nil {
		g.n.log.Warn("leaving primary not demoted", "group", group, "primary", old.ID, "error", err.Error())
		return r.Received
	}
	return demoted.Received
}

// prepare asks the candidates for what they received. Replicas of a lost primary are paused, so that nothing arrives
// after their report; replicas of a relieved one are given time to receive the rest.
func (g *guard) prepare(ctx context.Context, group string, candidates []catalog.Server, relieved driver.Position, planned bool) []promotion.Report {
	reports := g.collect(ctx, candidates, statement.Status{})
	if planned {
		for end := g.n.boot() + catchUpWait; g.n.boot() < end; {
			if best, ok := promotion.ChoosePrimary(reports, ""); ok && best.Received.Compare(relieved) >= 0 {
				return reports
			}
			clock.Sleep(ctx, catchUpPause)
			reports = g.collect(ctx, candidates, statement.Status{})
		}
		return reports
	}
	if _, ok := promotion.FindNewPrimary(reports, ""); ok || len(reports) == 0 {
		return reports
	}
	l, _ := g.n.table.Leader(group)
	return g.collect(ctx, candidates, statement.Pause{Term: promotion.NextTerm(reports, l.Term)})
}

// collect asks all servers at once and returns the reports that come in time.
func (g *guard) collect(ctx context.Context, servers []catalog.Server, c statement.Command) []promotion.Report {
	results := make(chan *promotion.Report, len(servers))
	for _, s := range servers {
		go func() {
			r, err := g.ask(ctx, s, reportWait, c)
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

// order is an order to the platform to make a server lead.
type order struct {
	server string
	token  uint64
}

// promote names the most advanced server and waits until it leads. An order without an answer is given again.
func (g *guard) promote(ctx context.Context, group string, old catalog.Server, claim Claim, candidates []catalog.Server, reports []promotion.Report) error {
	best, ok := promotion.ChoosePrimary(reports, old.Place)
	if !ok {
		return eris.Errorf("no replica of %s reports", group)
	}
	claim, err := g.overrule(ctx, group, best.Server, claim)
	if err != nil {
		g.resume(candidates, reports, "")
		return err
	}
	ordered := ErrUncertain
	for end := g.n.boot() + leadWait; g.n.boot() < end; clock.Sleep(ctx, leadPause) {
		if errors.Is(ordered, ErrUncertain) {
			ordered = g.order(ctx, group, best.Server, claim)
			g.n.log.Info("promotion ordered", "group", group, "old", old.ID, "new", best.Server, "received", best.Received.String(),
				"reports", len(reports), "token", claim.Token, "error", errorText(ordered))
		}
		if errors.Is(ordered, ErrConflict) {
			g.resume(candidates, reports, "")
			return ordered
		}
		s, _ := g.n.table.Servers().Server(best.Server)
		r, err := g.ask(ctx, s, probeTimeout, statement.Status{})
		if err == nil && r.Role == driver.Primary {
			g.lead(group, promotion.Report{Server: best.Server, Report: r})
			g.resume(candidates, reports, best.Server)
			return nil
		}
	}
	g.resume(candidates, reports, best.Server)
	return eris.Errorf("%s does not lead %s in time", best.Server, group)
}

// overrule takes a higher token if an order for another server has not been answered: it may be carried out later and
// would end the lead of the server that is named now.
func (g *guard) overrule(ctx context.Context, group, server string, claim Claim) (Claim, error) {
	g.mu.Lock()
	earlier, ok := g.unanswered[group]
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

func (g *guard) order(ctx context.Context, group, server string, claim Claim) error {
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	err := g.n.options.Promoter.Promote(ctx, claim.Holder, claim.Token, group, server)
	if errors.Is(err, ErrUncertain) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.unanswered[group] = order{server: server, token: claim.Token}
	}
	return err
}

// lead makes a new leader known.
func (g *guard) lead(group string, r promotion.Report) {
	now := g.n.boot()
	g.n.table.ReportLeader(now, view.Leader{Group: group, Server: r.Server, Term: max(r.Term, r.Received.Term)})
	g.n.exchanges.announce()
	g.n.exchanges.spread()
}

// resume lets paused replicas receive again.
func (g *guard) resume(candidates []catalog.Server, reports []promotion.Report, leader string) {
	for _, s := range candidates {
		if s.ID == leader || !reported(reports, s.ID) {
			continue
		}
		go func() {
			if _, err := g.ask(context.Background(), s, reportWait, statement.Resume{}); err != nil {
				g.n.log.Warn("replica not resumed", "group", s.Group, "server", s.ID, "error", err.Error())
			}
		}()
	}
}

func reported(reports []promotion.Report, server string) bool {
	for _, r := range reports {
		if r.Server == server {
			return true
		}
	}
	return false
}
