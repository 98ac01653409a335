package view

import (
	"time"

	"tanagercross/internal/fleet/catalog"
)

// missingExpiry is how long it is kept since when a server is missing.
const missingExpiry = 10 * time.Minute

// missingServer is a server without a row, as it was last listed.
type missingServer struct {
	server catalog.Server
	since  time.Duration // first read without its row
}

// updateMissing records since when servers have no row. The caller holds the lock.
func (t *Table) updateMissing(before catalog.Servers) {
	at := t.serverRows.ReadAt
	if t.serversFirstRead == 0 {
		t.serversFirstRead = at
	}
	for _, s := range before.All() {
		if _, listed := t.servers.Server(s.ID); !listed {
			t.missing[s.ID] = missingServer{server: s, since: at}
		}
	}
	for id, m := range t.missing {
		if _, back := t.servers.Server(id); back || at-m.since > missingExpiry {
			delete(t.missing, id)
		}
	}
}

// MissingFor returns for how long a server has had no row, by the reads of this instance; 0 if it has one. A server that was
// never listed is missing since the first read: nothing from before the start of the instance is known.
func (t *Table) MissingFor(server string) time.Duration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if _, listed := t.servers.Server(server); listed {
		return 0
	}
	since := t.serversFirstRead
	if m, known := t.missing[server]; known {
		since = m.since
	}
	return t.serverRows.ReadAt - since
}

// MissingServers returns the servers of a group that this instance saw listed and that have had no row for less than a time.
func (t *Table) MissingServers(group string, within time.Duration) []catalog.Server {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var servers []catalog.Server
	for _, m := range t.missing {
		if m.server.Group == group && t.serverRows.ReadAt-m.since < within {
			servers = append(servers, m.server)
		}
	}
	return servers
}

// FirstServersRead returns the moment of the first read of the servers; 0 before it.
func (t *Table) FirstServersRead() time.Duration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.serversFirstRead
}
