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
	"tanagercross/internal/service/recovery"
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
	// positionFetchInterval is the time between two fetches of a leader's position while reads need it.
	positionFetchInterval = 350 * time.Millisecond
	// positionFetchWindow is how long the positions of a group are fetched after the last read that needed one.
	positionFetchWindow = 2 * time.Second
	// positionAgeMargin covers the time between the choice of a position here and the read on the replica.
	positionAgeMargin    = 30 * time.Millisecond
	positionFetchTimeout = 150 * time.Millisecond
	positionHolders      = 2 // holders of the leader that one fetch tries
)

// pools holds the connections to the servers that this instance uses. All statements for a server go through one of
// its holders, so that the instances together stay below the server's connection limit.
type pools struct {
	n *Node

	mu       sync.Mutex
	byServer map[string]*openPool
	// laggingUntil holds the replicas that did not catch up during the retries of a read. Until the moment given, reads
	// on them are not retried.
	laggingUntil map[string]time.Duration
}

// openPool is the connection pool of a server, with the server's row from the time at which the pool was opened.
type openPool struct {
	pool     *serverpool.Pool
	server   catalog.Server
	lastUsed time.Duration
}

func newPools(n *Node) *pools {
	return &pools{n: n, byServer: map[string]*openPool{}, laggingUntil: map[string]time.Duration{}}
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
		})}
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
		for id, o := range g.snapshot() {
			o.pool.Sweep()
			o.pool.SetConnections(g.connectionLimit(now, o.server))
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
	pool := g.pool(server)
	if pool == nil {
		return readindex.Index{}, false
	}
	return pool.ReadIndex(ctx, positionCacheAge, g.n.firstOrganisation())
}

// readIndexes keeps recent confirmed positions of the leaders, for reads on replicas with a bound on the age of the data:
// a replica that has received a position confirmed within the bound is recent enough.
type readIndexes struct {
	n *Node

	mu     sync.Mutex
	groups map[string]*groupIndex
}

// groupIndex holds the confirmed positions of one group.
type groupIndex struct {
	history    readindex.History
	lastNeeded time.Duration
	lastFetch  time.Duration
	fetchDone  chan struct{} // closed at the end of the fetch; nil if none is in progress
}

func newReadIndexes(n *Node) *readIndexes {
	return &readIndexes{n: n, groups: map[string]*groupIndex{}}
}

// group returns the positions of a group, adding an empty record at the first use. The caller holds the lock.
func (p *readIndexes) group(name string) *groupIndex {
	g := p.groups[name]
	if g == nil {
		g = &groupIndex{}
		p.groups[name] = g
	}
	return g
}

// position returns the oldest position that satisfies a maximum age. If none is known, it fetches one and waits for it up
// to positionFetchTimeout.
func (p *readIndexes) position(ctx context.Context, group string, maximum time.Duration) (readindex.Index, bool) {
	now := p.n.boot()
	p.mu.Lock()
	g := p.group(group)
	g.lastNeeded = now
	found, ok := g.history.Oldest(now - maximum + positionAgeMargin)
	if ok {
		p.mu.Unlock()
		return found, true
	}
	fetching := p.startFetch(group, g, now)
	p.mu.Unlock()
	wait := time.NewTimer(positionFetchTimeout)
	defer wait.Stop()
	select {
	case <-fetching:
	case <-wait.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return g.history.Oldest(now - maximum + positionAgeMargin)
}

// run fetches the positions of groups that recent reads needed, until the context ends.
func (p *readIndexes) run(ctx context.Context) {
	for clock.Sleep(ctx, poolInterval) {
		now := p.n.boot()
		p.mu.Lock()
		for name, g := range p.groups {
			if now-g.lastNeeded < positionFetchWindow && now-g.lastFetch >= positionFetchInterval {
				p.startFetch(name, g, now)
			}
		}
		p.mu.Unlock()
	}
}

// startFetch fetches the position of a group's leader in the background, unless a fetch is in progress. The returned
// channel is closed at its end. The caller holds the lock.
func (p *readIndexes) startFetch(group string, g *groupIndex, now time.Duration) chan struct{} {
	if g.fetchDone != nil {
		return g.fetchDone
	}
	done := make(chan struct{})
	g.fetchDone, g.lastFetch = done, now
	go func() {
		defer func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			g.fetchDone = nil
			close(done)
		}()
		defer recovery.Catch(p.n.observer.panicked("read index"))
		found, ok := p.fetchFromHolder(group)
		if !ok {
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		g.history = g.history.With(found)
	}()
	return done
}

// fetchFromHolder requests a position of a group's leader from one of the leader's first two holders, which may be this
// instance. It fails if the leader is unknown or no holder answers within positionFetchInterval.
func (p *readIndexes) fetchFromHolder(group string) (readindex.Index, bool) {
	l, ok := p.n.table.Leader(group)
	if !ok {
		return readindex.Index{}, false
	}
	s, ok := p.n.table.Servers().Server(l.Server)
	if !ok {
		return readindex.Index{}, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), positionFetchInterval)
	defer cancel()
	attempts := 0
	for m := range p.n.table.Holders(p.n.boot(), s.ID, s.Place) {
		if attempts++; attempts > positionHolders {
			break
		}
		if m.Name == p.n.settings.Name {
			return p.n.pools.leaderPosition(ctx, s.ID)
		}
		found, ok, err := p.n.client.ReadIndex(ctx, m.Address, s.ID)
		if err == nil {
			return found, ok
		}
		if ctx.Err() == nil {
			p.n.table.Suspect(p.n.boot(), m.Name)
		}
	}
	return readindex.Index{}, false
}
