package entry

import (
	"context"
	"errors"
	"iter"
	"sync"
	"sync/atomic"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/promotion"
	"tanagercross/internal/database/serverpool"
	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/fleet/relay"
	"tanagercross/internal/fleet/roster"
	"tanagercross/internal/fleet/view"
	"tanagercross/internal/instance/clock"
	"tanagercross/internal/service/recovery"
)

const (
	failoverInterval = 150 * time.Millisecond
	// reportInterval is the minimum time between two reports of a failing group to its failover coordinator.
	reportInterval = 250 * time.Millisecond
	// reexamineInterval is the minimum time before a primary that was found to serve is examined again. Each examination
	// opens a connection, which occupies a slot of a server that may only be overloaded.
	reexamineInterval = 600 * time.Millisecond
	probeTimeout      = 350 * time.Millisecond
	reportTimeout     = 450 * time.Millisecond // for the reports of replicas and leaving primaries
	// catchUpTimeout is how long replicas may take to receive the rest of a demoted primary's log.
	catchUpTimeout      = 700 * time.Millisecond
	catchUpPollInterval = 30 * time.Millisecond
	// leadershipTimeout is how long a promoted server may take to become the primary.
	leadershipTimeout      = 2 * time.Second
	leadershipPollInterval = 60 * time.Millisecond
	// promoteTimeout is how long the answer to a promotion order is awaited before the order is repeated.
	promoteTimeout = 500 * time.Millisecond
	claimTimeout   = 1800 * time.Millisecond
	// changeTimeout bounds one change of primary. Another one starts if the group still has no primary.
	changeTimeout      = 8 * time.Second
	promotionLeaseName = "promotion"
	maxCoordinators    = 3                      // failover coordinators that a report is offered to
	minRefreshInterval = 400 * time.Millisecond // between two requested reads of the servers
	// demoteDelay lets running statements end before a leaving primary is demoted.
	demoteDelay = 300 * time.Millisecond
	// A demotion that is not confirmed is repeated demoteAttempts times. Without synchronous replicas nothing else keeps the
	// primary from acknowledging commits, so that the change is tried again for demotePatience, half of the time for which
	// a leaving server serves.
	demoteAttempts      = 3
	demoteRetryInterval = 60 * time.Millisecond
	demotePatience      = 3500 * time.Millisecond
)

// failover detects failing and leaving primaries and replaces them. Instances that see a group's primary fail report it to
// the group's failover coordinator, the instance that all rank first for the group. That one examines the primary,
// acquires the promotion lease in the store, and orders the promotion of a replica.
type failover struct {
	n *Node

	mu               sync.Mutex
	inProgress       map[string]bool
	servingAt        map[string]time.Duration // when the primary of a group was last found to serve
	lastReport       map[string]time.Duration
	leaderlessSince  map[string]time.Duration
	leavingSince     map[string]time.Duration    // since when the primary of a group is leaving
	undemotedSince   map[string]time.Duration    // first demotion that a server did not confirm, by server
	demotions        map[string]demotion         // last confirmed one whose log no promoted server has, by group
	orders           map[string]promotion.Orders // without an answer, by group
	unsettled        map[string]bool             // groups with replicas that may be paused although no change is in progress
	coordinated      map[string]bool             // groups whose coordinator this instance is
	inspectionDue    map[string]time.Duration    // when replicas of a group are inspected, until all have answered
	lastRefresh      time.Duration               // last requested read of the servers
	refreshRequested bool
	hasClaimed       atomic.Bool // this process has claimed the promotion lease
}

func newFailover(n *Node) *failover {
	return &failover{
		n: n, inProgress: map[string]bool{}, servingAt: map[string]time.Duration{}, lastReport: map[string]time.Duration{}, leaderlessSince: map[string]time.Duration{},
		leavingSince: map[string]time.Duration{}, undemotedSince: map[string]time.Duration{}, orders: map[string]promotion.Orders{}, demotions: map[string]demotion{},
		unsettled: map[string]bool{}, coordinated: map[string]bool{}, inspectionDue: map[string]time.Duration{},
	}
}

// isFailing reports whether the traffic of a pool gives reason to examine its server.
func (g *failover) isFailing(pool *serverpool.Pool) bool {
	h := pool.Health()
	return h.Failures >= promotion.SuspectAfterFailures || h.Refused && h.Failures > 0 || pool.SilentFor() > promotion.SuspectAfterSilence
}

// reportFailure reports a server that fails here, if it is the primary of its group.
func (g *failover) reportFailure(now time.Duration, s catalog.Server) {
	l, ok := g.n.table.Leader(s.Group)
	if !ok || l.Server != s.ID {
		return
	}
	g.report(now, relay.PrimaryChange{Group: s.Group, Primary: s.ID})
}

// report sends a report to the failover coordinator of the group in the background, unless one was sent within
// reportInterval.
func (g *failover) report(now time.Duration, x relay.PrimaryChange) {
	g.mu.Lock()
	if now-g.lastReport[x.Group] < reportInterval && g.lastReport[x.Group] > 0 {
		g.mu.Unlock()
		return
	}
	g.lastReport[x.Group] = now
	g.mu.Unlock()
	go g.sendReport(x)
}

// sendReport sends a report to the failover coordinator of the group, or to one of the next two instances if it cannot be
// reached. If the receiver answers that another server leads, the view is updated.
func (g *failover) sendReport(x relay.PrimaryChange) {
	defer recovery.Catch(g.n.observer.panicked("report"))
	attempts := 0
	for m := range g.coordinators(x.Group) {
		if attempts++; attempts > maxCoordinators {
			return
		}
		if m.Name == g.n.settings.Name {
			g.startChange(context.Background(), x)
			return
		}
		_, l, err := g.n.client.ChangePrimary(context.Background(), m.Address, x)
		if err == nil {
			if l.Term > 0 {
				g.n.table.ReportLeader(g.n.boot(), l)
			}
			return
		}
		g.n.table.Suspect(g.n.boot(), m.Name)
		g.n.log.Warn("guardian not reached", "group", x.Group, "guardian", m.Name, "error", err.Error())
	}
}

// coordinators returns the live instances in order of preference as the failover coordinator of a group.
func (g *failover) coordinators(group string) iter.Seq[roster.Member] {
	return g.n.table.Holders(g.n.boot(), coordinatorKey(group), "")
}

// isCoordinator reports whether this instance is the failover coordinator of a group.
func (g *failover) isCoordinator(now time.Duration, group string) bool {
	m, ok := g.n.table.FirstHolder(now, coordinatorKey(group), "")
	return ok && m.Name == g.n.settings.Name
}

// coordinatorKey returns the key by which instances are ranked as failover coordinator of a group. Instances that rank by
// another key would choose another coordinator, so that it stays as it is.
func coordinatorKey(group string) string { return "guard/" + group }

// startChange starts an examination, and if needed a change, of a group's primary in the background. It does nothing if
// one is in progress, or if the primary was found to serve within reexamineInterval and the change is not planned. If
// another server leads already, it returns false and that leader.
func (g *failover) startChange(_ context.Context, x relay.PrimaryChange) (bool, view.Leader) {
	if l, ok := g.n.table.Leader(x.Group); ok && x.Primary != "" && l.Server != x.Primary {
		return false, l
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if servingAt := g.servingAt[x.Group]; g.inProgress[x.Group] || servingAt > 0 && g.n.boot()-servingAt < reexamineInterval && !x.Planned {
		return true, view.Leader{}
	}
	g.inProgress[x.Group] = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
		defer cancel()
		defer func() {
			g.mu.Lock()
			delete(g.inProgress, x.Group)
			g.mu.Unlock()
		}()
		defer recovery.Catch(g.n.observer.panicked("change of primary"))
		err := g.examine(ctx, x)
		if err != nil {
			g.n.log.Warn("change of primary failed", "group", x.Group, "primary", x.Primary, "error", err.Error())
		}
	}()
	return true, view.Leader{}
}

// takeRefreshRequest reports whether the servers are to be read now because a group may have lost its leader, and clears
// the request. It returns true at most once per minRefreshInterval.
func (g *failover) takeRefreshRequest() bool {
	now := g.n.boot()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.refreshRequested || now-g.lastRefresh < minRefreshInterval {
		return false
	}
	g.refreshRequested, g.lastRefresh = false, now
	return true
}

// requestRefresh requests a read of the servers before the regular one.
func (g *failover) requestRefresh() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refreshRequested = true
}

// run checks the groups whose failover coordinator this instance is, and settles those whose last change it gave up, until
// the context ends.
func (g *failover) run(ctx context.Context) {
	for clock.Sleep(ctx, failoverInterval) {
		now := g.n.boot()
		if _, servers, _ := g.n.table.ReadTimes(); servers == 0 || !g.n.gossip.joined() {
			continue
		}
		for _, group := range g.n.table.Configuration().Groups() {
			coordinator := g.isCoordinator(now, group)
			if coordinator {
				g.checkGroup(now, group)
				if syncReplicas := g.syncReplicas(group); syncReplicas > 0 {
					g.n.replicaSets.check(now, group, syncReplicas)
				}
			}
			g.inspectGroup(now, group, coordinator)
			g.settleGroup(group)
		}
	}
}

// syncReplicas returns how many replicas of a group must hold a commit before it is acknowledged.
func (g *failover) syncReplicas(group string) int {
	c, _ := g.n.table.Configuration().Group(group)
	return c.SyncReplicas
}

// checkGroup starts a change of primary if the group has had no primary for failoverInterval, or if its primary has been
// leaving for demoteDelay.
func (g *failover) checkGroup(now time.Duration, group string) {
	l, known := g.n.table.Leader(group)
	s, listed := g.n.table.Servers().Server(l.Server)
	g.mu.Lock()
	// If a server dies right after its promotion, the primary before it is still the known leader and may be listed again,
	// but as a replica.
	if known && listed && s.Role == driver.Primary {
		delete(g.leaderlessSince, group)
	} else if g.leaderlessSince[group] == 0 {
		g.leaderlessSince[group] = now
	}
	since := g.leaderlessSince[group]
	if !listed || !g.departing(s) {
		delete(g.leavingSince, group)
	} else if g.leavingSince[group] == 0 {
		g.leavingSince[group] = now
	}
	leavingSince := g.leavingSince[group]
	g.mu.Unlock()
	switch {
	case since > 0 && len(g.n.table.Servers().InGroup(group)) > 0:
		g.requestRefresh()
		if now-since > failoverInterval {
			g.startChange(context.Background(), relay.PrimaryChange{Group: group, Primary: l.Server})
		}
	case leavingSince > 0 && g.demotionDue(s, now-leavingSince):
		g.startChange(context.Background(), relay.PrimaryChange{Group: group, Primary: l.Server, Planned: true})
	}
}

// probe requests a status report of a server. A server that refuses the connection because it is busy counts as reached.
func (g *failover) probe(ctx context.Context, server string) relay.Probe {
	s, ok := g.n.table.Servers().Server(server)
	if !ok {
		return relay.Probe{}
	}
	r, err := g.sendCommand(ctx, s, probeTimeout, statement.Status{})
	var refused *statement.DialError
	if errors.As(err, &refused) && (refused.Code == statement.Busy || refused.Code == statement.TooMany) {
		return relay.Probe{Reached: true, Primary: s.Role == driver.Primary} // it runs, but is too busy to report
	}
	return relay.Probe{Reached: err == nil, Primary: err == nil && r.Role == driver.Primary}
}

// sendCommand sends a command to a server on a new connection and returns the server's report.
func (g *failover) sendCommand(ctx context.Context, s catalog.Server, limit time.Duration, c statement.Command) (statement.Report, error) {
	t := statement.Target{Server: s.ID, Group: s.Group, Address: s.Address, Organisation: g.n.firstOrganisation()}
	return serverpool.FetchReport(ctx, g.n.options.Dialer, t, limit, c)
}

// examine collects evidence about a primary, decides whether it is to be replaced, demoted or kept, and does so. If the
// evidence does not suffice, it returns without an error, and the next check of the group examines again.
func (g *failover) examine(ctx context.Context, x relay.PrimaryChange) error {
	e := promotion.Evidence{Primary: x.Primary}
	s, listed := g.n.table.Servers().Server(x.Primary)
	e.Listed, e.Leaving = listed, listed && g.departing(s)
	g.mu.Lock()
	if since := g.leaderlessSince[x.Group]; since > 0 {
		e.LeaderlessFor = g.n.boot() - since
	}
	g.mu.Unlock()
	if listed {
		remoteProbe := g.remoteProbe(ctx, x.Primary)
		local := g.probe(ctx, x.Primary)
		e.ReachedLocally, e.IsLeader = local.Reached, local.Primary
		if !local.Reached {
			other := <-remoteProbe
			e.PeerConsulted, e.ReachedByPeer, e.IsLeader = other.answered, other.Reached, other.Primary
		}
	}
	decision := promotion.Decide(e)
	g.n.log.Info("primary examined", "group", x.Group, "primary", x.Primary, "listed", e.Listed, "leaving", e.Leaving, "evacuated", g.evacuated(s),
		"reached_here", e.ReachedLocally, "reached_there", e.ReachedByPeer, "leads", e.IsLeader,
		"leaderless_ms", e.LeaderlessFor.Milliseconds(), "verdict", int(decision))
	switch decision {
	case promotion.Replace:
		return g.changePrimary(ctx, x.Group, s, e)
	case promotion.Demote:
		g.forgetDemotion(x.Group)
		return g.changePrimary(ctx, x.Group, s, e)
	case promotion.Keep:
		g.forgetDemotion(x.Group)
		g.mu.Lock()
		g.servingAt[x.Group] = g.n.boot()
		g.mu.Unlock()
		if g.isSettled(x.Group, s.ID) {
			return nil
		}
		return g.confirmPrimary(ctx, x.Group, s)
	}
	clock.Sleep(ctx, failoverInterval)
	return nil
}

// probeResult is the result of a probe from another place. answered is false if no instance there answered.
type probeResult struct {
	relay.Probe
	answered bool
}

// remoteProbe has an instance of another place probe a server, so that a network failure between this instance and the
// server is not taken for a failure of the server. The channel yields one result.
func (g *failover) remoteProbe(ctx context.Context, server string) <-chan probeResult {
	out := make(chan probeResult, 1)
	var other *roster.Member
	for m := range g.n.table.Holders(g.n.boot(), server, "") {
		if m.Place != g.n.settings.Place {
			other = &m
			break
		}
	}
	if other == nil {
		out <- probeResult{}
		return out
	}
	go func() {
		result := probeResult{}
		defer func() { out <- result }()
		defer recovery.Catch(g.n.observer.panicked("probe"))
		p, err := g.n.client.Probe(ctx, other.Address, server)
		if err != nil {
			g.n.table.Suspect(g.n.boot(), other.Name) // the next examination uses another instance
			g.n.observer.peerUnreachable(other.Name, err)
		}
		result = probeResult{Probe: p, answered: err == nil}
	}()
	return out
}
