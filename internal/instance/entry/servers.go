package entry

import (
	"context"
	"sync"
	"time"

	"tanagercross/internal/database/connplan"
	"tanagercross/internal/database/readindex"
	"tanagercross/internal/database/serverpool"
	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/fleet/roster"
	"tanagercross/internal/fleet/view"
	"tanagercross/internal/instance/clock"
)

const (
	poolInterval = 100 * time.Millisecond
	// firstHolderShare is the part of a server's connections that its first holder may open. Part of the rest is left to
	// each other holder (otherHolderShare), because for a moment two instances may both rank themselves first.
	firstHolderShare       = 0.7
	otherHolderShare       = 0.2
	reservedConnections    = 2 // connections of a server that are kept free for status reports
	defaultConnectionLimit = 8 // connections to a server whose group has no configured limit
	poolIdleTimeout        = 4 * time.Second
	positionLeaderTTL      = time.Second // age past which a confirmed position no longer shows who leads
	positionCacheAge       = 100 * time.Millisecond
	// A read at a replica that has not received the required position is retried catchUpRetries times, after
	// catchUpRetryDelay each.
	catchUpRetries    = 2
	catchUpRetryDelay = 35 * time.Millisecond
	laggingBackOff    = time.Second
)

// pools holds the connections to the servers that this instance uses. All statements for a server go through one of
// its holders, so that the instances together stay below the server's connection limit.
type pools struct {
	n *Node

	evacuating sync.Mutex // held while the evacuations are applied to the pools; locked before mu
	mu         sync.Mutex
	byServer   map[string]*openPool
	// laggingUntil holds the replicas that did not catch up during the retries of a read. Until the moment given, reads
	// on them are not retried.
	laggingUntil  map[string]time.Duration
	stranded      map[string]bool // evacuated primaries that no server can follow, by id
	checkedPlaces map[string]bool // evacuated places that were looked up among the servers
	cold          coldServers
	starts        slowStarts
}

// openPool is the connection pool of a server, with the server's row from the time at which the pool was opened.
type openPool struct {
	pool     *serverpool.Pool
	server   catalog.Server
	lastUsed time.Duration
}

func newPools(n *Node) *pools {
	return &pools{n: n, byServer: map[string]*openPool{}, laggingUntil: map[string]time.Duration{}, stranded: map[string]bool{}, checkedPlaces: map[string]bool{}}
}

// pool returns the connection pool of a server. It opens one at the first use, and anew when the server restarted or has
// another address. It returns nil for a server that is not listed.
func (g *pools) pool(server string) *serverpool.Pool {
	s, ok := g.n.table.Servers().Server(server)
	if !ok {
		return nil
	}
	now := g.n.boot()
	g.mu.Lock()
	defer g.mu.Unlock()
	o := g.byServer[server]
	if o != nil && (o.server.StartedMS != s.StartedMS || o.server.Address != s.Address) {
		o.pool.Close()
		o = nil
	}
	if o == nil {
		configuration := g.n.table.Configuration()
		target := statement.Target{Server: s.ID, Group: s.Group, Address: s.Address}
		o = &openPool{server: s, pool: serverpool.New(target, g.n.options.Dialer, serverpool.Options{
			Slots: s.Slots, Connections: g.connectionLimit(now, s), TransactionIdle: configuration.TransactionIdle, Boot: g.n.boot,
			PriorityScheduling: g.n.settings.PriorityScheduling, Queue: g.n.observer,
			SlowStart: g.n.slowStartEnabled(s.Group), Latencies: g.starts.latenciesOf(s.Group), OnSlowStart: g.n.observer.slowStartChanged,
		})}
		g.planConnections(o)
		g.beginSlowStart(o.pool, now)
		g.byServer[server] = o
	}
	o.lastUsed = now
	return o.pool
}

// connectionLimit returns how many connections this instance may have to a server.
func (g *pools) connectionLimit(now time.Duration, s catalog.Server) int {
	limit := defaultConnectionLimit
	if group, ok := g.n.table.Configuration().Group(s.Group); ok && group.ConnectionLimit > 0 {
		limit = group.ConnectionLimit - reservedConnections
	}
	share := otherHolderShare
	if m, ok := g.n.table.FirstHolder(now, s.ID, s.Place); ok && m.Name == g.n.settings.Name {
		share = firstHolderShare
	}
	return max(1, int(float64(limit)*share))
}

// planConnections lets a plan decide who has connections to a server if it allows fewer than there are organisations.
func (g *pools) planConnections(o *openPool) {
	configuration := g.n.table.Configuration()
	group, _ := configuration.Group(o.server.Group)
	scarce := group.ConnectionLimit > 0 && group.ConnectionLimit < configuration.OrganisationCount()
	o.pool.PlanConnections(scarce, func(e connplan.Eviction, organisation string) {
		g.n.log.Info("connection evicted", "server", o.server.ID, "organisation", e.Organisation, "for", organisation,
			"reason", string(e.Reason), "connections", e.Connections, "calls", e.Calls, "saved", e.Saved)
	})
}

// snapshot returns a copy of the open pools, by server id.
func (g *pools) snapshot() map[string]openPool {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make(map[string]openPool, len(g.byServer))
	for id, o := range g.byServer {
		list[id] = *o
	}
	return list
}

// openTransactions returns the number of open transactions and of queued or running statements in all pools.
func (g *pools) openTransactions() int {
	total := 0
	for _, o := range g.snapshot() {
		_, openTransactions, load, _ := o.pool.Counts()
		total += openTransactions + load
	}
	return total
}

// run maintains the open pools until the context ends.
func (g *pools) run(ctx context.Context) {
	for clock.Sleep(ctx, poolInterval) {
		now := g.n.boot()
		g.n.dispatcher.PruneLoadReports()
		g.maintainEvacuations(now)
		g.cold.retain(func(server string) bool { return g.n.table.Cold(now, server) })
		for id, o := range g.snapshot() {
			o.pool.Sweep()
			o.pool.SetConnections(g.connectionLimit(now, o.server))
			g.planConnections(&o)
			g.reportState(now, o)
			g.closeUnused(now, id)
		}
	}
}

// reportState updates the view from the traffic of a pool: it reports the server as leader if it confirmed a position
// recently, and reports a failure if calls to it fail.
func (g *pools) reportState(now time.Duration, o openPool) {
	p, ok := o.pool.LastReadIndex()
	if ok && now-p.RequestedAt < positionLeaderTTL && !o.pool.Health().NotLeading {
		g.n.table.ReportLeader(now, view.Leader{Group: o.server.Group, Server: o.server.ID, Term: p.Position.Term})
	}
	if g.n.failover.isFailing(o.pool) {
		g.n.failover.reportFailure(now, o.server)
	}
}

// closeUnused closes the pool of a server that is no longer listed, or that was not used for poolIdleTimeout, for example
// because another instance holds it now. A pool with work stays open.
func (g *pools) closeUnused(now time.Duration, id string) {
	_, listed := g.n.table.Servers().Server(id)
	g.mu.Lock()
	defer g.mu.Unlock()
	o := g.byServer[id]
	if o == nil || listed && now-o.lastUsed < poolIdleTimeout {
		return
	}
	if _, transactions, load, _ := o.pool.Counts(); transactions+load > 0 {
		return
	}
	delete(g.byServer, id)
	o.pool.Close()
}

func (g *pools) closeAll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, o := range g.byServer {
		o.pool.Close()
	}
}

// Execute implements dispatch.Executor. If the call to another instance fails, the answer says whether that instance may
// have run the statement.
func (g *pools) Execute(ctx context.Context, through roster.Member, server string, c statement.Call) statement.Answer {
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
		g.n.observer.peerUnreachable(through.Name, err)
	}
	if maybeHandled(err) {
		return statement.NoAnswer("no answer from the instance " + through.Name)
	}
	return statement.Refused(statement.WrongServer, "the instance "+through.Name+" is not reached")
}

// execute runs a statement on a server through a pool of this instance. A read with an age bound on a replica first gets
// the position that the replica must have received.
func (g *pools) execute(ctx context.Context, server string, c statement.Call) statement.Answer {
	s, listed := g.n.table.Servers().Server(server)
	if refusal, evacuated := g.refuseEvacuated(s, c); listed && evacuated {
		return refusal
	}
	if refusal, admitted := g.admitCold(ctx, s, c); listed && !admitted {
		return refusal
	}
	pool := g.pool(server)
	if pool == nil {
		return statement.Refused(statement.WrongServer, "the server is not known")
	}
	if c.Scope == statement.Replica && c.MaximumAge > 0 && (c.Step == statement.Single || c.Step == statement.First) {
		p, ok := g.n.readIndexes.position(ctx, pool.Target().Group, c.MaximumAge)
		if !ok {
			return statement.Refused(statement.Behind, "no recent position of the primary is known")
		}
		if p.Position.Compare(c.After) > 0 {
			c.After = p.Position
		}
	}
	return g.executeWithCatchUp(ctx, server, pool, c)
}

// executeWithCatchUp runs a statement, and retries it if the replica has not received the position that the statement
// requires. Most replicas are only a few log records behind, and a retry spares the primary, which has work that no replica
// can do. A replica that is still behind after the last retry is not retried again for laggingBackOff.
func (g *pools) executeWithCatchUp(ctx context.Context, server string, pool *serverpool.Pool, c statement.Call) statement.Answer {
	for n := 0; ; n++ {
		a := pool.Execute(ctx, c)
		if a.Code != statement.Behind || c.Scope != statement.Replica {
			g.setLagging(server, false)
			return a
		}
		if n == catchUpRetries {
			g.setLagging(server, true)
			return a
		}
		if g.isLagging(server) || !clock.Sleep(ctx, catchUpRetryDelay) {
			return a
		}
	}
}

// setLagging records whether a replica was still behind after the retries of a read.
func (g *pools) setLagging(server string, lagging bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if lagging {
		g.laggingUntil[server] = g.n.boot() + laggingBackOff
		return
	}
	delete(g.laggingUntil, server)
}

// isLagging reports whether reads on a replica are not to be retried at present.
func (g *pools) isLagging(server string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.n.boot() < g.laggingUntil[server]
}

// leaderPosition returns a log position that a server confirmed while it was the leader.
func (g *pools) leaderPosition(ctx context.Context, server string) (readindex.Index, bool) {
	s, listed := g.n.table.Servers().Server(server)
	if _, evacuated := g.n.table.Evacuated(s.Place); !listed || evacuated {
		return readindex.Index{}, false
	}
	pool := g.pool(server)
	if pool == nil {
		return readindex.Index{}, false
	}
	if index, ok := pool.LastReadIndex(); ok && g.n.boot()-index.RequestedAt <= positionCacheAge {
		return index, true
	}
	if _, admitted := g.admitCold(ctx, s, statement.Call{}); !admitted {
		return readindex.Index{}, false
	}
	return pool.ReadIndex(ctx, positionCacheAge, g.n.firstOrganisation())
}
