package entry

import (
	"context"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/promotion"
	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/catalog"
)

// demotion is the confirmed demotion of a server.
type demotion struct {
	server string
	promotion.Demotion
}

// earlierDemotion returns the demotion of a primary in an earlier attempt to replace it. The end of its log bounds what may be
// promoted as long as the server runs. It is forgotten if it does not count any more: the server is not reached and treated as
// crashed, or the number of reports that synchronous replicas require is enough without it.
func (g *failover) earlierDemotion(group, server string, counts bool) promotion.Demotion {
	if !counts {
		g.forgetDemotion(group)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if d := g.demotions[group]; d.server == server {
		return d.Demotion
	}
	return promotion.Demotion{}
}

// forgetDemotion is called when a server leads the group, or when the demoted one is gone.
func (g *failover) forgetDemotion(group string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.demotions, group)
}

// isReplica reports whether a server answers and does not lead.
func (g *failover) isReplica(ctx context.Context, s catalog.Server) bool {
	r, err := g.sendCommand(ctx, s, reportTimeout, statement.Status{})
	return err == nil && r.Role == driver.Replica
}

// canFollow reports whether a primary may be demoted because a server can take over. For an evacuated primary, one has to
// receive, within catchUpTimeout, what the primary had at the start of the call; if the primary is too busy to tell that, one
// has to report. A primary that is about to stop has no time for that: a server that is reached suffices, also a busy one.
func (g *failover) canFollow(ctx context.Context, candidates []catalog.Server, primary catalog.Server) bool {
	if primary.Leaving {
		return g.anyReached(ctx, candidates)
	}
	var end driver.Position
	if r, err := g.sendCommand(ctx, primary, reportTimeout, statement.Status{}); err == nil {
		end = r.Received
	}
	best, ok := promotion.ChoosePrimary(g.promotable(g.awaitLogEnd(ctx, candidates, end), ""), "")
	return ok && best.Received.Compare(end) >= 0
}

// anyReached reports whether a server outside of the evacuated places is reached. It returns as soon as one is.
func (g *failover) anyReached(ctx context.Context, servers []catalog.Server) bool {
	results := make(chan bool, len(servers))
	for _, s := range servers {
		go func() { results <- !g.evacuated(s) && g.probe(ctx, s.ID).Reached }()
	}
	for range servers {
		if <-results {
			return true
		}
	}
	return false
}
