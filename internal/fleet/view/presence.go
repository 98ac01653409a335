package view

import (
	"maps"
	"slices"
	"time"

	"tanagercross/internal/fleet/roster"
)

// MergePresence takes a presence that was heard at a moment.
func (t *Table) MergePresence(p Presence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mergePresence(p)
}

func (t *Table) mergePresence(p Presence) {
	if p.Name == t.self.Name {
		return
	}
	present, known := t.presences[p.Name]
	if known && p.LastSeen < present.LastSeen {
		return
	}
	t.presences[p.Name] = p
	if now := p.LastSeen; now > present.LastSeen {
		delete(t.stopped, p.Name)
	}
	// An instance that the table of members does not list yet has just joined.
	m, listed := t.members.Member(p.Name)
	if p.Address != "" && (!listed || m.Address != p.Address) {
		members := slices.DeleteFunc(slices.Clone(t.members.Members()), func(m roster.Member) bool { return m.Name == p.Name })
		members = append(members, roster.Member{Name: p.Name, Address: p.Address, Place: p.Place, Power: p.Power})
		t.members = roster.New(t.members.Version(), members)
	}
}

// Suspect passes an instance over for a moment, because a call to it failed.
func (t *Table) Suspect(now time.Duration, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspectedUntil[name] = now + suspicionTimeout
}

// ClearSuspicion ends a suspicion, because the instance answered.
func (t *Table) ClearSuspicion(now time.Duration, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.suspectedUntil, name)
	delete(t.stopped, name)
	if p, ok := t.presences[name]; ok {
		p.LastSeen = max(p.LastSeen, now)
		t.presences[name] = p
	}
}

// LastSeen returns when an instance was last heard; 0 if never.
func (t *Table) LastSeen(name string) time.Duration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.presences[name].LastSeen
}

// MarkStopped notes that an instance's process does not run: its machine refuses connections. It counts again when it is heard.
func (t *Table) MarkStopped(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped[name] = true
}

// CountAlive returns how many instances of the own place were heard lately, itself included, and how many there are, without
// those that are known to be stopped or about to stop.
func (t *Table) CountAlive(now time.Duration) (live, all int) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, m := range t.members.Members() {
		if m.Place != t.self.Place {
			continue
		}
		if p := t.presences[m.Name]; m.Name != t.self.Name && (p.Leaving || t.stopped[m.Name]) {
			continue // admits nobody on its own
		}
		all++
		if m.Name == t.self.Name || now-t.presences[m.Name].LastSeen < AliveTimeout {
			live++
		}
	}
	return live, all
}

// alive reports whether an instance can be called. Instances of other places count as alive until something else is
// heard, those of the own place only for a moment.
func (t *Table) alive(now time.Duration, m roster.Member) bool {
	if m.Name == t.self.Name {
		return !t.self.Leaving
	}
	if now < t.suspectedUntil[m.Name] {
		return false
	}
	p, heard := t.presences[m.Name]
	switch {
	case m.Place == t.self.Place && !heard:
		return now-t.membersFirstRead < startupAliveGrace
	case m.Place == t.self.Place:
		return !p.Leaving && now-p.LastSeen < AliveTimeout
	}
	return !heard || now-p.LastSeen > remotePresenceTTL || !p.Leaving && !p.Down
}

// Holders returns the instances through which a server is to be used, best first. All instances derive the same order
// from the same members.
func (t *Table) Holders(now time.Duration, server, place string) []roster.Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var usable []roster.Member
	for _, m := range t.members.RankByPower(server, place) {
		if t.alive(now, m) {
			usable = append(usable, m)
		}
	}
	return usable
}

// Coordinators returns the instances of a place in the order in which they act for it.
func (t *Table) Coordinators(place string) []roster.Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	all := t.members.RankByPower("steward", place)
	n := slices.IndexFunc(all, func(m roster.Member) bool { return m.Place != place })
	if n >= 0 {
		all = all[:n]
	}
	return all
}

// Suspected reports whether a call to an instance failed lately or it is leaving.
func (t *Table) Suspected(now time.Duration, name string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return now < t.suspectedUntil[name] || t.presences[name].Leaving
}

// Places returns the places that have instances, sorted.
func (t *Table) Places() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	places := map[string]bool{}
	for _, m := range t.members.Members() {
		places[m.Place] = true
	}
	return slices.Sorted(maps.Keys(places))
}

// SetDemand takes the demand of a place.
func (t *Table) SetDemand(d Demand) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setDemand(d)
}

func (t *Table) setDemand(d Demand) {
	if d.UpdatedAt >= t.demands[d.Place].UpdatedAt {
		t.demands[d.Place] = d
	}
}

// Demands returns the demand of all places that is known.
func (t *Table) Demands() map[string]Demand {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return maps.Clone(t.demands)
}

// Presence returns this instance as it tells others.
func (t *Table) Presence(now time.Duration) Presence {
	t.mu.RLock()
	defer t.mu.RUnlock()
	p := t.self
	p.LastSeen = now
	return p
}

// Delta returns what to tell an instance that has documents of the given versions. An instance of another place is told
// only of the instances that are not to be used.
func (t *Table) Delta(now time.Duration, has State, place string) State {
	t.mu.RLock()
	defer t.mu.RUnlock()
	b := State{ConfigurationVersion: t.configurationVersion(), ServersVersion: t.serverRows.Version, MembersVersion: t.memberRows.Version}
	b.Configuration.ReadAt, b.Servers.ReadAt, b.Members.ReadAt = t.configurationRows.ReadAt, t.serverRows.ReadAt, t.memberRows.ReadAt
	if b.ConfigurationVersion > has.ConfigurationVersion {
		b.Configuration = t.configurationRows
	}
	near := place == t.self.Place
	if b.ServersVersion > has.ServersVersion && (near || has.ServersVersion == 0 || now-has.Servers.ReadAt > storeOutageThreshold) {
		b.Servers = t.serverRows
	}
	if b.MembersVersion > has.MembersVersion {
		b.Members = t.memberRows
	}
	for _, l := range t.leaders {
		if l.Term > 0 {
			b.Leaders = append(b.Leaders, l)
		}
	}
	if near || t.self.Leaving {
		own := t.self
		own.LastSeen = now
		b.Presences = append(b.Presences, own)
	}
	for _, p := range t.presences {
		if !near && p.Place != t.self.Place {
			continue
		}
		if near {
			b.Presences = append(b.Presences, p)
			continue
		}
		p.Down = now-p.LastSeen >= AliveTimeout
		if p.Down || p.Leaving {
			p.LastSeen = now
			b.Presences = append(b.Presences, p)
		}
	}
	for _, d := range t.demands {
		if near || d.Place == t.self.Place {
			b.Demands = append(b.Demands, d)
		}
	}
	return b
}

// Versions returns the versions and ages of the documents, without content.
func (t *Table) Versions() State {
	t.mu.RLock()
	defer t.mu.RUnlock()
	b := State{ConfigurationVersion: t.configurationVersion(), ServersVersion: t.serverRows.Version, MembersVersion: t.memberRows.Version}
	b.Configuration.ReadAt, b.Servers.ReadAt, b.Members.ReadAt = t.configurationRows.ReadAt, t.serverRows.ReadAt, t.memberRows.ReadAt
	return b
}

func (t *Table) extendServersReadAt(read time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.serverRows.ReadAt = max(t.serverRows.ReadAt, read)
}

// Merge takes what another instance told.
func (t *Table) Merge(now time.Duration, b State) {
	// Content, or the same version as the own one, extends the age on which the own document rests.
	mine := t.Versions()
	if len(b.Configuration.Rows) > 0 || b.ConfigurationVersion == mine.ConfigurationVersion {
		t.SetConfiguration(b.Configuration)
	}
	switch {
	case len(b.Servers.Rows) > 0:
		t.SetServers(now, b.Servers)
	case b.ServersVersion == mine.ServersVersion:
		t.extendServersReadAt(b.Servers.ReadAt)
	}
	if b.Members.Version > mine.MembersVersion {
		t.SetMembers(b.Members)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range b.Leaders {
		t.reportLeader(now, l)
	}
	for _, p := range b.Presences {
		t.mergePresence(p)
	}
	for _, d := range b.Demands {
		t.setDemand(d)
	}
}
