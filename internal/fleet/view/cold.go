package view

import "time"

// coldServer is the end of the period for which a server is slow after a start.
type coldServer struct {
	startedMS int64
	until     time.Duration
}

// updateCold records until when servers are cold. A row tells the time that was left when it was written, which is not known;
// the earliest end of all reads of one start is the nearest to it. The caller holds the lock.
func (t *Table) updateCold(readAt time.Duration) {
	for id := range t.coldUntil {
		if _, listed := t.servers.Server(id); !listed {
			delete(t.coldUntil, id)
		}
	}
	for _, s := range t.servers.All() {
		if s.ColdFor <= 0 {
			continue
		}
		until := readAt + s.ColdFor
		if known, ok := t.coldUntil[s.ID]; ok && known.startedMS == s.StartedMS {
			until = min(until, known.until)
		}
		t.coldUntil[s.ID] = coldServer{startedMS: s.StartedMS, until: until}
	}
}

// Cold reports whether a server is still slow after its start.
func (t *Table) Cold(now time.Duration, server string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	c, ok := t.coldUntil[server]
	return ok && now < c.until
}
