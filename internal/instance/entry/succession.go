package entry

import (
	"context"
	"errors"
	"sync"
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
)

const (
	guardTick = 150 * time.Millisecond
	// reportPause is the pace at which trouble with a group is passed on to its guardian.
	reportPause = 250 * time.Millisecond
	// keepPause is the time without a further examination of a primary that was found to serve. Each one takes a new
	// connection, which occupies a slot of a server that may only be overloaded.
	keepPause    = 600 * time.Millisecond
	probeTimeout = 350 * time.Millisecond
	reportWait   = 450 * time.Millisecond // for the reports of the replicas
	// catchUpWait is how long replicas may take to receive what a relieved primary has.
	catchUpWait  = 700 * time.Millisecond
	catchUpPause = 30 * time.Millisecond
	// leadWait is how long a promoted server may take to lead.
	leadWait  = 2 * time.Second
	leadPause = 60 * time.Millisecond
	// promoteTimeout is how long the answer to an order is awaited before the order is given again.
	promoteTimeout = 500 * time.Millisecond
	claimTimeout   = 1800 * time.Millisecond
	// attemptLimit bounds one change of primary; a further one follows if the group still has none.
	attemptLimit  = 8 * time.Second
	duty          = "promotion"
	serversDemand = 400 * time.Millisecond // between two reads of the servers on demand
	// relieveDelay lets statements that are under way end before a leaving primary gives up the lead.
	relieveDelay = 300 * time.Millisecond
)

// guard changes primaries. Trouble with a group goes to the group's guardian, the same instance for all; the guardian
// examines the primary, claims the duty in the store, and names the next primary.
type guard struct {
	n *Node

	mu         sync.Mutex
	running    map[string]bool
	kept       map[string]time.Duration // groups whose primary was found to serve, when
	reported   map[string]time.Duration
	leaderless map[string]time.Duration
	leaving    map[string]time.Duration // servers that lead and leave, since when
	unanswered map[string]order         // orders that may still be carried out, by group
	asked      time.Duration            // last read of the servers on demand
	wanted     bool
}

func newGuard(n *Node) *guard {
	return &guard{
		n: n, running: map[string]bool{}, kept: map[string]time.Duration{}, reported: map[string]time.Duration{}, leaderless: map[string]time.Duration{},
		leaving: map[string]time.Duration{}, unanswered: map[string]order{},
	}
}

// troubled reports whether what a gate has seen asks for an examination of its server.
func (g *guard) troubled(gate *serverpool.Pool) bool {
	h := gate.Health()
	return h.Failures >= promotion.SuspectAfterFailures || h.Refused && h.Failures > 0 || gate.SilentFor() > promotion.SuspectAfterSilence
}

// suspect acts on trouble with a server of this instance's gates.
func (g *guard) suspect(now time.Duration, s catalog.Server) {
	l, ok := g.n.table.Leader(s.Group)
	if !ok || l.Server != s.ID {
		return
	}
	g.report(now, relay.Succession{Group: s.Group, Primary: s.ID})
}

// report passes trouble on to the guardian of the group.
func (g *guard) report(now time.Duration, x relay.Succession) {
	g.mu.Lock()
	if now-g.reported[x.Group] < reportPause && g.reported[x.Group] > 0 {
		g.mu.Unlock()
		return
	}
	g.reported[x.Group] = now
	g.mu.Unlock()
	go g.deliver(x)
}

// deliver asks the guardian, or the next one if it is not reached.
func (g *guard) deliver(x relay.Succession) {
	for n, m := range g.guardians(x.Group) {
		if n >= 3 {
			return
		}
		if m.Name == g.n.settings.Name {
			g.requested(context.Background(), x)
			return
		}
		_, l, err := g.n.client.Succeed(context.Background(), m.Address, x)
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

func (g *guard) guardians(group string) []roster.Member {
	return g.n.table.Holders(g.n.boot(), "guard/"+group, "")
}

// requested starts a change of primary unless one is under way.
func (g *guard) requested(_ context.Context, x relay.Succession) (bool, view.Leader) {
	if l, ok := g.n.table.Leader(x.Group); ok && x.Primary != "" && l.Server != x.Primary {
		return false, l
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if kept := g.kept[x.Group]; g.running[x.Group] || kept > 0 && g.n.boot()-kept < keepPause && !x.Planned {
		return true, view.Leader{}
	}
	g.running[x.Group] = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), attemptLimit)
		defer cancel()
		err := g.examine(ctx, x)
		if err != nil {
			g.n.log.Warn("change of primary failed", "group", x.Group, "primary", x.Primary, "error", err.Error())
		}
		g.mu.Lock()
		delete(g.running, x.Group)
		g.mu.Unlock()
	}()
	return true, view.Leader{}
}

// wantsServers reports whether the servers are to be read now because a leader is in doubt.
func (g *guard) wantsServers() bool {
	now := g.n.boot()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.wanted || now-g.asked < serversDemand {
		return false
	}
	g.wanted, g.asked = false, now
	return true
}

func (g *guard) want() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wanted = true
}

// run looks after the groups whose guardian this instance is.
func (g *guard) run(ctx context.Context) {
	for clock.Sleep(ctx, guardTick) {
		now := g.n.boot()
		if _, servers, _ := g.n.table.ReadTimes(); servers == 0 || !g.n.exchanges.joined() {
			continue
		}
		for _, group := range g.n.table.Configuration().Groups() {
			if guardians := g.guardians(group); len(guardians) > 0 && guardians[0].Name == g.n.settings.Name {
				g.watch(now, group)
			}
		}
	}
}

func (g *guard) watch(now time.Duration, group string) {
	l, known := g.n.table.Leader(group)
	s, listed := g.n.table.Servers().Server(l.Server)
	g.mu.Lock()
	// A server that died right after its promotion leaves its predecessor as the known leader, which is back as a replica.
	if known && listed && s.Role == driver.Primary {
		delete(g.leaderless, group)
	} else if g.leaderless[group] == 0 {
		g.leaderless[group] = now
	}
	since := g.leaderless[group]
	if !listed || !s.Leaving {
		delete(g.leaving, group)
	} else if g.leaving[group] == 0 {
		g.leaving[group] = now
	}
	leaving := g.leaving[group]
	g.mu.Unlock()
	switch {
	case since > 0 && len(g.n.table.Servers().Of(group)) > 0:
		g.want()
		if now-since > guardTick {
			g.requested(context.Background(), relay.Succession{Group: group, Primary: l.Server})
		}
	case leaving > 0 && now-leaving > relieveDelay:
		g.requested(context.Background(), relay.Succession{Group: group, Primary: l.Server, Planned: true})
	}
}

// probe asks a server for its report.
func (g *guard) probe(ctx context.Context, server string) relay.Probe {
	s, ok := g.n.table.Servers().Server(server)
	if !ok {
		return relay.Probe{}
	}
	r, err := g.ask(ctx, s, probeTimeout, statement.Status{})
	var refused *statement.DialError
	if errors.As(err, &refused) && (refused.Code == statement.Busy || refused.Code == statement.TooMany) {
		return relay.Probe{Reached: true, Primary: s.Role == driver.Primary} // it lives, but is too busy to report
	}
	return relay.Probe{Reached: err == nil, Primary: err == nil && r.Role == driver.Primary}
}

func (g *guard) ask(ctx context.Context, s catalog.Server, limit time.Duration, c statement.Command) (statement.Report, error) {
	t := statement.Target{Server: s.ID, Group: s.Group, Address: s.Address, Organisation: g.n.anyOrganisation()}
	return serverpool.FetchReport(ctx, g.n.options.Dialer, t, limit, c)
}

// examine gathers evidence about the primary and replaces it if the evidence says so.
func (g *guard) examine(ctx context.Context, x relay.Succession) error {
	e := promotion.Evidence{Primary: x.Primary}
	s, listed := g.n.table.Servers().Server(x.Primary)
	e.Listed, e.Leaving = listed, listed && s.Leaving
	g.mu.Lock()
	if since := g.leaderless[x.Group]; since > 0 {
		e.LeaderlessFor = g.n.boot() - since
	}
	g.mu.Unlock()
	if listed {
		second := g.second(ctx, x.Primary)
		first := g.probe(ctx, x.Primary)
		e.ReachedLocally, e.IsLeader = first.Reached, first.Primary
		if !first.Reached {
			other := <-second
			e.PeerConsulted, e.ReachedByPeer, e.IsLeader = other.asked, other.Reached, other.Primary
		}
	}
	verdict := promotion.Decide(e)
	g.n.log.Info("primary examined", "group", x.Group, "primary", x.Primary, "listed", e.Listed, "leaving", e.Leaving,
		"reached_here", e.ReachedLocally, "reached_there", e.ReachedByPeer, "leads", e.IsLeader,
		"leaderless_ms", e.LeaderlessFor.Milliseconds(), "verdict", int(verdict))
	switch verdict {
	case promotion.Replace:
		return g.replace(ctx, x.Group, s, false)
	case promotion.Demote:
		return g.replace(ctx, x.Group, s, true)
	case promotion.Keep:
		g.mu.Lock()
		defer g.mu.Unlock()
		g.kept[x.Group] = g.n.boot()
		return nil
	}
	clock.Sleep(ctx, guardTick)
	return nil
}

type opinion struct {
	relay.Probe
	asked bool
}

// second asks an instance of another place, if there is one, whether it reaches a server.
func (g *guard) second(ctx context.Context, server string) <-chan opinion {
	out := make(chan opinion, 1)
	var other *roster.Member
	for _, m := range g.n.table.Holders(g.n.boot(), server, "") {
		if m.Place != g.n.settings.Place {
			other = &m
			break
		}
	}
	if other == nil {
		out <- opinion{}
		return out
	}
	go func() {
		p, err := g.n.client.Probe(ctx, other.Address, server)
		if err != nil {
			g.n.table.Suspect(g.n.boot(), other.Name) // another one is asked next time
			g.n.observer.peerLost(other.Name, err)
		}
		out <- opinion{Probe: p, asked: err == nil}
	}()
	return out
}
