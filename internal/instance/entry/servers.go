package entry

import (
	"context"
	"sync"
	"time"

	"tanagercross/internal/database/readindex"
	"tanagercross/internal/database/serverpool"
	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/fleet/roster"
	"tanagercross/internal/fleet/view"
	"tanagercross/internal/instance/clock"
)

const (
	gatesTick = 100 * time.Millisecond
	// firstShare is the part of a server's connections for the instance that comes first for it; the others divide the
	// rest, because two instances may both believe to be first for a moment.
	firstShare     = 0.7
	otherShare     = 0.2
	spareLimit     = 2 // connections of a server that are left for reports
	fallbackLimit  = 8 // connections of a server whose group is not configured
	gateIdle       = 4 * time.Second
	headRecent     = time.Second // age past which a proof no longer names the leader
	headMaximumAge = 100 * time.Millisecond
	// A read at a replica that lacks a position is tried again so often, with so much time in between.
	catchUpTries = 2
	catchUpStep  = 35 * time.Millisecond
	lagPause     = time.Second
	// proofPeriod is the pace at which positions of leaders are fetched while reads need them.
	proofPeriod = 350 * time.Millisecond
	// proofDemand is how long a group's positions are fetched after the last read that needed one.
	proofDemand = 2 * time.Second
	// proofMargin covers the time between the choice of a position and the server's own reading.
	proofMargin = 30 * time.Millisecond
	proofWait   = 150 * time.Millisecond
)

// gates are the servers that this instance uses on behalf of all.
type gates struct {
	n *Node

	mu   sync.Mutex
	open map[string]*opened
	// behind holds the replicas that did not catch up while a read waited, until they are waited for again.
	behind map[string]time.Duration
}

type opened struct {
	gate   *serverpool.Pool
	server catalog.Server
	used   time.Duration
}

func newGates(n *Node) *gates {
	return &gates{n: n, open: map[string]*opened{}, behind: map[string]time.Duration{}}
}

// gate returns the gate of a server, opening it if needed.
func (g *gates) gate(server string) *serverpool.Pool {
	s, ok := g.n.table.Servers().Server(server)
	if !ok {
		return nil
	}
	now := g.n.boot()
	g.mu.Lock()
	defer g.mu.Unlock()
	o := g.open[server]
	if o != nil && (o.server.Born != s.Born || o.server.Address != s.Address) {
		o.gate.Close()
		o = nil
	}
	if o == nil {
		configuration := g.n.table.Configuration()
		target := statement.Target{Server: s.ID, Group: s.Group, Address: s.Address}
		o = &opened{server: s, gate: serverpool.New(target, g.n.options.Dialer, serverpool.Options{
			Slots: s.Slots, Connections: g.budget(now, s), TransactionIdle: configuration.TransactionIdle, Boot: g.n.boot,
		})}
		g.open[server] = o
	}
	o.used = now
	return o.gate
}

// budget returns how many connections this instance may have to a server.
func (g *gates) budget(now time.Duration, s catalog.Server) int {
	limit := fallbackLimit
	if group, ok := g.n.table.Configuration().Group(s.Group); ok && group.ConnectionLimit > 0 {
		limit = group.ConnectionLimit - spareLimit
	}
	share := otherShare
	if holders := g.n.table.Holders(now, s.ID, s.Place); len(holders) > 0 && holders[0].Name == g.n.settings.Name {
		share = firstShare
	}
	return max(1, int(float64(limit)*share))
}

// all returns the open gates as they are now.
func (g *gates) all() map[string]opened {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make(map[string]opened, len(g.open))
	for id, o := range g.open {
		list[id] = *o
	}
	return list
}

func (g *gates) transactions() int {
	total := 0
	for _, o := range g.all() {
		_, transactions, load, _ := o.gate.Counts()
		total += transactions + load
	}
	return total
}

func (g *gates) run(ctx context.Context) {
	for clock.Sleep(ctx, gatesTick) {
		now := g.n.boot()
		g.n.dispatcher.PruneLoadReports()
		for id, o := range g.all() {
			o.gate.Sweep()
			o.gate.SetConnections(g.budget(now, o.server))
			g.learn(now, o)
			g.retire(now, id)
		}
	}
}

// learn takes what a gate has seen of its server into the beliefs.
func (g *gates) learn(now time.Duration, o opened) {
	p, ok := o.gate.LastReadIndex()
	if ok && now-p.RequestedAt < headRecent && !o.gate.Health().NotLeading {
		g.n.table.ReportLeader(now, view.Leader{Group: o.server.Group, Server: o.server.ID, Term: p.Position.Term})
	}
	if g.n.guard.troubled(o.gate) {
		g.n.guard.suspect(now, o.server)
	}
}

// retire closes the gate of a server that has left or is used through another instance.
func (g *gates) retire(now time.Duration, id string) {
	_, listed := g.n.table.Servers().Server(id)
	g.mu.Lock()
	defer g.mu.Unlock()
	o := g.open[id]
	if o == nil || listed && now-o.used < gateIdle {
		return
	}
	if _, transactions, load, _ := o.gate.Counts(); transactions+load > 0 {
		return
	}
	delete(g.open, id)
	o.gate.Close()
}

func (g *gates) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, o := range g.open {
		o.gate.Close()
	}
}

// Execute implements dispatch.Executor.
func (g *gates) Execute(ctx context.Context, through roster.Member, server string, c statement.Call) statement.Answer {
	if through.Name == g.n.settings.Name {
		return g.execute(ctx, server, c)
	}
	a, err := g.n.client.Execute(ctx, through.Address, server, c)
	if err == nil {
		return a
	}
	expired := ctx.Err() != nil
	if !expired {
		g.n.table.Suspect(g.n.boot(), through.Name)
		g.n.observer.peerLost(through.Name, err)
	}
	if sent(err) {
		return statement.NoAnswer("no answer from the instance " + through.Name)
	}
	return statement.Refused(statement.WrongServer, "the instance "+through.Name+" is not reached")
}

// execute runs a statement on a server that this instance uses.
func (g *gates) execute(ctx context.Context, server string, c statement.Call) statement.Answer {
	gate := g.gate(server)
	if gate == nil {
		return statement.Refused(statement.WrongServer, "the server is not known")
	}
	if c.Scope == statement.Replica && c.MaximumAge > 0 && (c.Step == statement.Single || c.Step == statement.First) {
		p, ok := g.n.proofs.position(ctx, gate.Target().Group, c.MaximumAge)
		if !ok {
			return statement.Refused(statement.Behind, "no recent position of the primary is known")
		}
		if p.Position.Compare(c.After) > 0 {
			c.After = p.Position
		}
	}
	return g.catchUp(ctx, server, gate, c)
}

// catchUp runs a statement, and runs it again after a moment if the replica lacks the position: most replicas are a few
// steps behind, and the primary has work that no replica can do. A replica that was still behind is not waited for.
func (g *gates) catchUp(ctx context.Context, server string, gate *serverpool.Pool, c statement.Call) statement.Answer {
	for n := 0; ; n++ {
		a := gate.Execute(ctx, c)
		if a.Code != statement.Behind || c.Scope != statement.Replica {
			g.lagging(server, false)
			return a
		}
		if n == catchUpTries {
			g.lagging(server, true)
			return a
		}
		if g.isLagging(server) || !clock.Sleep(ctx, catchUpStep) {
			return a
		}
	}
}

func (g *gates) lagging(server string, still bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if still {
		g.behind[server] = g.n.boot() + lagPause
		return
	}
	delete(g.behind, server)
}

func (g *gates) isLagging(server string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.n.boot() < g.behind[server]
}

// head returns a position that a server gave while it led.
func (g *gates) head(ctx context.Context, server string) (readindex.Index, bool) {
	gate := g.gate(server)
	if gate == nil {
		return readindex.Index{}, false
	}
	return gate.ReadIndex(ctx, headMaximumAge, g.n.anyOrganisation())
}

// proofs keeps positions of leaders for reads on replicas that may miss what is younger than a bound.
type proofs struct {
	n *Node

	mu     sync.Mutex
	groups map[string]*proven
}

type proven struct {
	history  readindex.History
	wanted   time.Duration
	fetched  time.Duration
	fetching chan struct{} // closed at the end of the fetch; nil if none is under way
}

func newProofs(n *Node) *proofs { return &proofs{n: n, groups: map[string]*proven{}} }

func (p *proofs) group(name string) *proven {
	g := p.groups[name]
	if g == nil {
		g = &proven{}
		p.groups[name] = g
	}
	return g
}

// position returns the oldest position that proves an age, fetching one if none is known.
func (p *proofs) position(ctx context.Context, group string, maximum time.Duration) (readindex.Index, bool) {
	now := p.n.boot()
	p.mu.Lock()
	g := p.group(group)
	g.wanted = now
	found, ok := g.history.Oldest(now - maximum + proofMargin)
	if ok {
		p.mu.Unlock()
		return found, true
	}
	fetching := p.fetch(group, g, now)
	p.mu.Unlock()
	wait := time.NewTimer(proofWait)
	defer wait.Stop()
	select {
	case <-fetching:
	case <-wait.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return g.history.Oldest(now - maximum + proofMargin)
}

func (p *proofs) run(ctx context.Context) {
	for clock.Sleep(ctx, gatesTick) {
		now := p.n.boot()
		p.mu.Lock()
		for name, g := range p.groups {
			if now-g.wanted < proofDemand && now-g.fetched >= proofPeriod {
				p.fetch(name, g, now)
			}
		}
		p.mu.Unlock()
	}
}

// fetch asks the instance that uses a group's leader; the caller holds the lock.
func (p *proofs) fetch(group string, g *proven, now time.Duration) chan struct{} {
	if g.fetching != nil {
		return g.fetching
	}
	done := make(chan struct{})
	g.fetching, g.fetched = done, now
	go func() {
		found, ok := p.ask(group)
		p.mu.Lock()
		defer p.mu.Unlock()
		if ok {
			g.history = g.history.With(found)
		}
		g.fetching = nil
		close(done)
	}()
	return done
}

func (p *proofs) ask(group string) (readindex.Index, bool) {
	l, ok := p.n.table.Leader(group)
	if !ok {
		return readindex.Index{}, false
	}
	s, ok := p.n.table.Servers().Server(l.Server)
	if !ok {
		return readindex.Index{}, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), proofPeriod)
	defer cancel()
	for n, m := range p.n.table.Holders(p.n.boot(), s.ID, s.Place) {
		if n >= 2 {
			break
		}
		if m.Name == p.n.settings.Name {
			return p.n.gates.head(ctx, s.ID)
		}
		found, ok, err := p.n.client.Head(ctx, m.Address, s.ID)
		if err == nil {
			return found, ok
		}
		if ctx.Err() == nil {
			p.n.table.Suspect(p.n.boot(), m.Name)
		}
	}
	return readindex.Index{}, false
}
