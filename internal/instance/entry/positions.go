package entry

import (
	"context"
	"sync"
	"time"

	"tanagercross/internal/database/readindex"
	"tanagercross/internal/instance/clock"
	"tanagercross/internal/service/recovery"
)

const (
	// positionFetchInterval is the time between two fetches of a leader's position while reads need it.
	positionFetchInterval = 350 * time.Millisecond
	// positionFetchWindow is how long the positions of a group are fetched after the last read that needed one.
	positionFetchWindow = 2 * time.Second
	// positionAgeMargin covers the time between the choice of a position here and the read on the replica.
	positionAgeMargin    = 30 * time.Millisecond
	positionFetchTimeout = 150 * time.Millisecond
	positionHolders      = 2 // holders of the leader that one fetch tries
)

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
