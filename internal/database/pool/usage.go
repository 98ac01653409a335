package pool

import (
	"cmp"
	"slices"
	"time"
)

// Usage is the use of a server's lanes that are held here.
type Usage struct {
	Server       string
	Lanes        int
	Connections  int // open, with the control connections
	Idle         int
	InFlight     int // statements that have their turn
	Queued       int
	Oldest       time.Duration // wait of the longest waiting operation
	Transactions int           // open
}

// Usage returns the use of every server of which a lane is held, by name.
func (p *Pool) Usage() []Usage {
	p.mu.Lock()
	lanes := make([]*lane, 0, len(p.lanes))
	for _, l := range p.lanes {
		lanes = append(lanes, l)
	}
	p.mu.Unlock()
	slices.SortFunc(lanes, func(a, b *lane) int { return cmp.Compare(a.server.Name, b.server.Name) })
	var servers []Usage
	for _, l := range lanes {
		if n := len(servers); n == 0 || servers[n-1].Server != l.server.Name {
			servers = append(servers, Usage{Server: l.server.Name})
		}
		servers[len(servers)-1].add(l)
	}
	return servers
}

func (u *Usage) add(l *lane) {
	backlog := l.scheduler.Backlog()
	u.Lanes++
	u.InFlight += backlog.Running
	u.Queued += backlog.Queued
	if !backlog.Oldest.IsZero() {
		u.Oldest = max(u.Oldest, time.Since(backlog.Oldest))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	u.Connections += l.open + 1
	u.Idle += len(l.idle)
	u.Transactions += l.pinned
}
