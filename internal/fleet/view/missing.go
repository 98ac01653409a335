package view

import (
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/fleet/catalog"
)

// missingServer is a server without a row, as it was last listed.
type missingServer struct {
	server catalog.Server
	since  time.Duration
}

// updateMissing records the servers that the last read no longer lists. A server is dropped from the record when it is
// listed again, or when it has been missing for missingReplicaExpiry while its group has a listed primary: that primary
// has survived the missing server, so that the listed servers have the commits that it acknowledged. The caller holds the
// lock.
func (t *Table) updateMissing(before catalog.Servers) {
	for _, s := range before.All() {
		if _, listed := t.servers.Server(s.ID); !listed {
			t.missingServers[s.ID] = missingServer{server: s, since: t.serverRows.ReadAt}
		}
	}
	for id, m := range t.missingServers {
		leader, listed := t.servers.Server(t.leaders[m.server.Group].Server)
		survived := listed && leader.Role == driver.Primary && t.serverRows.ReadAt-m.since > missingReplicaExpiry
		if _, back := t.servers.Server(id); back || survived {
			delete(t.missingServers, id)
		}
	}
}

// MissingReplicas returns how many replicas of a group are not listed and may hold commits that no listed server has.
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
