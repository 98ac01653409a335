package view

import (
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/fleet/catalog"
)

// missingServer is a server whose entry is gone.
type missingServer struct {
	server catalog.Server
	since  time.Duration
}

// updateMissing keeps the servers whose entries went. One is excused once the leader of its group has outlived it: whatever
// the leader acknowledged since then is on the others.
func (t *Table) updateMissing(before catalog.Servers) {
	for _, s := range before.All() {
		if _, listed := t.servers.Server(s.ID); !listed {
			t.missingServers[s.ID] = missingServer{server: s, since: t.serverRows.ReadAt}
		}
	}
	for id, m := range t.missingServers {
		leader, listed := t.servers.Server(t.leaders[m.server.Group].Server)
		outlived := listed && leader.Role == driver.Primary && t.serverRows.ReadAt-m.since > missingReplicaExpiry
		if _, back := t.servers.Server(id); back || outlived {
			delete(t.missingServers, id)
		}
	}
}

// MissingReplicas returns how many replicas of a group are not listed and may hold commits that no listed one has.
func (t *Table) MissingReplicas(group string) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	n := 0
	for _, m := range t.missingServers {
		if m.server.Group == group && m.server.Role == driver.Replica {
			n++
		}
	}
	return n
}
