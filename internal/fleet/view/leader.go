package view

import (
	"time"

	"tanagercross/internal/database/driver"
)

// roleReportDelay bounds the time until a server's report of a new role is visible to readers of the store.
const roleReportDelay = 300 * time.Millisecond

// Leader is the primary of a group. Term is the last term in which a server of the group was confirmed as leader, 0 before
// the first confirmation. A server that becomes the leader only because its own row reports the primary role keeps the
// term of the leader before it.
type Leader struct {
	Group  string
	Server string
	Term   uint64
}

// rejection records a server that answered that it is not the leader, or that was replaced by a later leader.
type rejection struct {
	leader Leader
	at     time.Duration
}

// adoptReportedRoles makes servers that report the primary role the leaders of their groups, where the present leader is
// unknown, has no row or reports another role. The caller holds the lock.
func (t *Table) adoptReportedRoles() {
	for _, s := range t.servers.All() {
		if s.Role != driver.Primary {
			continue
		}
		current, known := t.leaders[s.Group]
		if known {
			currentServer, listed := t.servers.Server(current.Server)
			if current.Server == s.ID || listed && currentServer.Role == driver.Primary {
				continue
			}
		}
		// The list may be older than the rejection of this server or the promotion of another one.
		if d, ok := t.rejected[s.Group]; ok && d.leader.Server == s.ID && t.serverRows.ReadAt < d.at+roleReportDelay {
			continue
		}
		// Other instances may still report the earlier leader with this term; keeping the term rejects their reports.
		t.setLeader(Leader{Group: s.Group, Server: s.ID, Term: current.Term})
	}
}

// setLeader replaces the leader of a group. The observer is called if the server changes, not if only the term does.
// The caller holds the lock.
func (t *Table) setLeader(l Leader) {
	before := t.leaders[l.Group]
	if before == l {
		return
	}
	t.leaders[l.Group] = l
	if before.Server != l.Server {
		t.observer.LeaderChanged(before, l)
	}
	t.notifyChange()
}

// Leader returns the primary of a group, if it is known.
func (t *Table) Leader(group string) (Leader, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	l, ok := t.leaders[group]
	return l, ok
}

// ReportLeader records a server that is known to lead its group in a term. A term below the known one changes nothing.
func (t *Table) ReportLeader(now time.Duration, l Leader) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reportLeader(now, l)
}

// reportLeader is ReportLeader for callers that hold the lock.
func (t *Table) reportLeader(now time.Duration, l Leader) {
	if d, ok := t.rejected[l.Group]; ok && !t.supersedes(l, d.leader) {
		return // a rejected server becomes the leader again only in a later term
	}
	current, known := t.leaders[l.Group]
	if !known || t.supersedes(l, current) {
		if known && current.Server != l.Server {
			t.rejected[l.Group] = rejection{leader: current, at: now}
		}
		t.setLeader(l)
	}
}

// supersedes reports whether a leader replaces an earlier one: it has a later term, or it has the same term under another
// id, because the server restarted with a new id and the earlier id is no longer listed.
func (t *Table) supersedes(l, earlier Leader) bool {
	if l.Term != earlier.Term || l.Server == earlier.Server {
		return l.Term > earlier.Term
	}
	_, listed := t.servers.Server(l.Server)
	_, earlierListed := t.servers.Server(earlier.Server)
	return listed && !earlierListed
}

// RejectLeader removes a server as the leader of its group, because it answered that it is not the leader. If another
// server reports the primary role, that one becomes the leader. It does nothing if the server is not the known leader.
func (t *Table) RejectLeader(now time.Duration, group, server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.leaders[group]
	if !ok || l.Server != server {
		return
	}
	// The server's term may be unknown (0), but it is not below that of an earlier rejection in the group.
	l.Term = max(l.Term, t.rejected[group].leader.Term)
	t.rejected[group] = rejection{leader: l, at: now}
	delete(t.leaders, group)
	t.observer.LeaderChanged(l, Leader{Group: group})
	for _, s := range t.servers.Of(group) {
		if s.Role == driver.Primary && s.ID != server {
			t.setLeader(Leader{Group: group, Server: s.ID})
		}
	}
}
