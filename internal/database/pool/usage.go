package pool

import (
	"cmp"
	"slices"
	"time"
)

// Usage sums up the lanes that this pool holds on one server.
type Usage struct {
	Server       string
	Lanes        int
	Connections  int           // open connections, including the control connections
	Idle         int           // idle connections
	InFlight     int           // statements that have left the queue and have not ended
	Queued       int           // operations that wait for a turn
	Oldest       time.Duration // how long the longest queued operation has waited
	Transactions int           // open transactions
}

// Usage returns the usage of every server of which this pool holds a lane, ordered by server name.
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

// add adds the present usage of one lane.
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
	u.Connections += l.openConns + 1
	u.Idle += len(l.idle)
	u.Transactions += l.openTransactions
}
