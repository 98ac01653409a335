package belief

import (
	"time"

	"tanagercross/internal/database/driver"
)

// reportDelay is how long a server's report of a new role may be under way to the store and the reader.
const reportDelay = 300 * time.Millisecond

// Leader is the primary of a group. The term is that of the last proof of a lead in the group, 0 before the first; a server
// that is taken for the leader because of its own entry keeps it.
type Leader struct {
	Group  string
	Server string
	Term   uint64
}

// disproval is a leader that refused to lead.
type disproval struct {
	leader Leader
	at     time.Duration
}

// adoptRoles derives leaders from the servers' own reports where nothing better is known.
func (t *Table) adoptRoles() {
	for _, s := range t.servers.All() {
		if s.Role != driver.Primary {
			continue
		}
		present, known := t.leaders[s.Group]
		if known {
			holder, listed := t.servers.Server(present.Server)
			if present.Server == s.ID || listed && holder.Role == driver.Primary {
				continue
			}
		}
		// The list may be older than the refusal, or than the promotion of another server.
		if d, ok := t.disproved[s.Group]; ok && d.leader.Server == s.ID && t.serverRows.Read < d.at+reportDelay {
			continue
		}
		// Others may still tell of the earlier leader, so that the term stays.
		t.setLeader(Leader{Group: s.Group, Server: s.ID, Term: present.Term})
	}
}

func (t *Table) setLeader(l Leader) {
	before := t.leaders[l.Group]
	if before == l {
		return
	}
	t.leaders[l.Group] = l
	if before.Server != l.Server {
		t.observer.LeaderChanged(before, l)
	}
	t.signal()
}

// Leader returns the primary of a group.
func (t *Table) Leader(group string) (Leader, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	l, ok := t.leaders[group]
	return l, ok
}

// Lead takes a leader with the term in which it was proved to lead. A lower term than the known one changes nothing.
func (t *Table) Lead(now time.Duration, l Leader) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lead(now, l)
}

func (t *Table) lead(now time.Duration, l Leader) {
	if d, ok := t.disproved[l.Group]; ok && !t.follows(l, d.leader) {
		return // a server that refused to lead leads again only in a later term
	}
	present, known := t.leaders[l.Group]
	if !known || t.follows(l, present) {
		if known && present.Server != l.Server {
			t.disproved[l.Group] = disproval{leader: present, at: now}
		}
		t.setLeader(l)
	}
}

// follows reports whether a leader comes after another one: in a later term, or in the same one under another id, because
// its server started again under that id and the earlier one is gone.
func (t *Table) follows(l, earlier Leader) bool {
	if l.Term != earlier.Term || l.Server == earlier.Server {
		return l.Term > earlier.Term
	}
	_, listed := t.servers.Server(l.Server)
	_, remains := t.servers.Server(earlier.Server)
	return listed && !remains
}

// Disprove takes back that a server leads, because it refused to.
func (t *Table) Disprove(now time.Duration, group, server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.leaders[group]
	if !ok || l.Server != server {
		return
	}
	// The server's term may not be known, but it is not below that of an earlier refusal.
	l.Term = max(l.Term, t.disproved[group].leader.Term)
	t.disproved[group] = disproval{leader: l, at: now}
	delete(t.leaders, group)
	t.observer.LeaderChanged(l, Leader{Group: group})
	for _, s := range t.servers.InGroup(group) {
		if s.Role == driver.Primary && s.ID != server {
			t.setLeader(Leader{Group: group, Server: s.ID})
		}
	}
}
