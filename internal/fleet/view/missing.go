package view

import (
	"time"

	"tanagercross/internal/fleet/catalog"
)

// missingExpiry is how long it is kept since when a server is missing.
const missingExpiry = 10 * time.Minute

// updateMissing records since when servers have no row. The caller holds the lock.
func (t *Table) updateMissing(before catalog.Servers) {
	at := t.serverRows.ReadAt
	if t.serversFirstRead == 0 {
		t.serversFirstRead = at
	}
	for _, s := range before.All() {
		if _, listed := t.servers.Server(s.ID); !listed {
			t.missingSince[s.ID] = at
		}
	}
	for id, since := range t.missingSince {
		if _, back := t.servers.Server(id); back || at-since > missingExpiry {
			delete(t.missingSince, id)
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
	since, known := t.missingSince[server]
	if !known {
		since = t.serversFirstRead
	}
	return t.serverRows.ReadAt - since
}

// FirstServersRead returns the moment of the first read of the servers; 0 before it.
func (t *Table) FirstServersRead() time.Duration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.serversFirstRead
}
