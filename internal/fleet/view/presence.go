package view

import (
	"iter"
	"maps"
	"slices"
	"time"

	"tanagercross/internal/fleet/roster"
)

// MergePresence takes in the state of another instance, unless it is older than the known one.
func (t *Table) MergePresence(p Presence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mergePresence(p)
}

// mergePresence is MergePresence for callers that hold the lock.
func (t *Table) mergePresence(p Presence) {
	if p.Name == t.self.Name {
		return
	}
	current, known := t.presences[p.Name]
	if known && p.LastSeen < current.LastSeen {
		return
	}
	t.presences[p.Name] = p
	// An instance that is not in the member list yet, or has another address there, has just joined or restarted.
	m, listed := t.members.Member(p.Name)
	if p.Address != "" && (!listed || m.Address != p.Address) {
		members := slices.DeleteFunc(slices.Clone(t.members.Members()), func(m roster.Member) bool { return m.Name == p.Name })
		members = append(members, roster.Member{Name: p.Name, Address: p.Address, Place: p.Place, Power: p.Power})
		t.members = roster.New(t.members.Version(), members)
	}
}

// Suspect marks an instance as failing for suspicionTimeout, because a call to it failed. Holders skips it meanwhile.
func (t *Table) Suspect(now time.Duration, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspectedUntil[name] = now + suspicionTimeout
}

// ClearSuspicion records that an instance called or answered a call: it is no longer suspected.
func (t *Table) ClearSuspicion(now time.Duration, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.suspectedUntil, name)
	if p, ok := t.presences[name]; ok {
		p.LastSeen = max(p.LastSeen, now)
		t.presences[name] = p
	}
}

// LastSeen returns when an instance was last seen; 0 if never.
func (t *Table) LastSeen(name string) time.Duration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.presences[name].LastSeen
}

// CountAlive returns how many instances of the own place are alive and were seen since a moment, this one included, and how
// many there are. Instances that said that they leave are in neither number. One that refuses connections is still counted
// among all: a network partition may refuse them on behalf of a machine that serves callers.
func (t *Table) CountAlive(now, since time.Duration) (live, all int) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, m := range t.members.Members() {
		if m.Place != t.self.Place {
			continue
		}
		p := t.presences[m.Name]
		if m.Name != t.self.Name && p.Leaving {
			continue // it admits no operations, so that the others may use its part of the rate
		}
		all++
		if m.Name == t.self.Name || p.LastSeen >= since && now-p.LastSeen < AliveTimeout {
			live++
		}
	}
	return live, all
}

// alive reports whether an instance is worth calling. An instance of another place counts as alive unless it was reported
// as down or leaving within remotePresenceTTL. An instance of the own place must have been seen within AliveTimeout; one
// that was never seen counts as alive during startupAliveGrace. The caller holds the lock.
func (t *Table) alive(now time.Duration, m roster.Member) bool {
	if m.Name == t.self.Name {
		return !t.self.Leaving
	}
	if now < t.suspectedUntil[m.Name] {
		return false
	}
	p, seen := t.presences[m.Name]
	switch {
	case m.Place == t.self.Place && !seen:
		return now-t.membersFirstRead < startupAliveGrace
	case m.Place == t.self.Place:
		return !p.Leaving && now-p.LastSeen < AliveTimeout
	}
	return !seen || now-p.LastSeen > remotePresenceTTL || !p.Leaving && !p.Down
}

// Holders yields the live instances through which a server is to be used, in order of preference: those of the given
// place first. Rendezvous hashing gives all instances the same order for the same members.
func (t *Table) Holders(now time.Duration, server, place string) iter.Seq[roster.Member] {
	return func(yield func(roster.Member) bool) {
		for m := range t.Roster().RankByPower(server, place) {
			if t.isAlive(now, m) && !yield(m) {
				return
			}
		}
	}
}

// FirstHolder returns the first of Holders, or false if no instance is live.
func (t *Table) FirstHolder(now time.Duration, server, place string) (roster.Member, bool) {
	for m := range t.Holders(now, server, place) {
		return m, true
	}
	return roster.Member{}, false
}

// isAlive is alive for callers that do not hold the lock.
func (t *Table) isAlive(now time.Duration, m roster.Member) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.alive(now, m)
}

// Coordinators returns all instances of a place in order of preference as its coordinator, alive or not. The caller must
// not change the slice.
func (t *Table) Coordinators(place string) []roster.Member {
	// Instances that rank by another key would choose another coordinator, so that the key stays as it is.
	return t.Roster().PlaceByPower("steward", place)
}

// Suspected reports whether a call to an instance failed within suspicionTimeout, or the instance is leaving.
func (t *Table) Suspected(now time.Duration, name string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return now < t.suspectedUntil[name] || t.presences[name].Leaving
}

// Places returns the places that have instances, in alphabetical order.
func (t *Table) Places() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	places := map[string]bool{}
	for _, m := range t.members.Members() {
		places[m.Place] = true
	}
	return slices.Sorted(maps.Keys(places))
}

// SetDemand records the demand of a place, unless it is older than the known one.
func (t *Table) SetDemand(d Demand) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setDemand(d)
}

// setDemand is SetDemand for callers that hold the lock.
func (t *Table) setDemand(d Demand) {
	if d.UpdatedAt >= t.demands[d.Place].UpdatedAt {
		t.demands[d.Place] = d
	}
}

// Demands returns the known demand of each place.
func (t *Table) Demands() map[string]Demand {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return maps.Clone(t.demands)
}

// Presence returns the state of this instance, as sent to the others.
func (t *Table) Presence(now time.Duration) Presence {
	t.mu.RLock()
	defer t.mu.RUnlock()
	p := t.self
	p.LastSeen = now
	return p
}

// Delta returns the part of the view that an instance of a place lacks. has holds the versions that the instance has. An
// instance of another place receives only the presences of instances that it must not use (down or leaving), the demand
// of this place alone, and outside of the region rows only if it has none or its own were not confirmed lately, because
// traffic between regions is paid for.
func (t *Table) Delta(now time.Duration, has State, place string) State {
	t.mu.RLock()
	defer t.mu.RUnlock()
	b := State{ConfigurationVersion: t.configurationVersion(), ServersVersion: t.serverRows.Version, MembersVersion: t.memberRows.Version}
	b.Configuration.ReadAt, b.Servers.ReadAt, b.Members.ReadAt = t.configurationRows.ReadAt, t.serverRows.ReadAt, t.memberRows.ReadAt
	b.Evacuations = t.evacuations.Rows()
	sameRegion, samePlace := t.regions.Same(place, t.self.Place), place == t.self.Place
	// needs reports whether rows are worth their bytes. Every region reads the store, so that one with recent rows will have
	// the newer ones soon.
	needs := func(known uint64, readAt, recent time.Duration) bool {
		return sameRegion || known == 0 || now-readAt > recent
	}
	if b.ConfigurationVersion > has.ConfigurationVersion && needs(has.ConfigurationVersion, has.Configuration.ReadAt, recentConfiguration) {
		b.Configuration = t.configurationRows
	}
	if b.ServersVersion > has.ServersVersion && needs(has.ServersVersion, has.Servers.ReadAt, storeOutageThreshold) {
		b.Servers = t.serverRows
	}
	if b.MembersVersion > has.MembersVersion && needs(has.MembersVersion, has.Members.ReadAt, recentMembers) {
		b.Members = t.memberRows
	}
	for _, l := range t.leaders {
		if l.Term > 0 {
			b.Leaders = append(b.Leaders, l)
		}
	}
	if samePlace || t.self.Leaving {
		own := t.self
		own.LastSeen = now
		b.Presences = append(b.Presences, own)
	}
	for _, p := range t.presences {
		if !samePlace && p.Place != t.self.Place {
			continue
		}
		if samePlace {
			b.Presences = append(b.Presences, p)
			continue
		}
		p.Down = now-p.LastSeen >= AliveTimeout
		if p.Down || p.Leaving {
			p.LastSeen = now
			b.Presences = append(b.Presences, p)
		}
	}
	if !samePlace {
		b.Presences = append(b.Presences, t.neverSeen(now)...)
	}
	for _, d := range t.demands {
		if samePlace || d.Place == t.self.Place {
			b.Demands = append(b.Demands, d)
		}
	}
	return b
}

// neverSeen reports the members of the own place as down that this instance has not seen since its first member list. They
// may have stopped before it started, and other places would call them. The caller holds the lock.
func (t *Table) neverSeen(now time.Duration) []Presence {
	if t.membersFirstRead == 0 || now-t.membersFirstRead < AliveTimeout {
		return nil
	}
	var list []Presence
	for _, m := range t.members.Members() {
		if _, seen := t.presences[m.Name]; !seen && m.Place == t.self.Place && m.Name != t.self.Name {
			list = append(list, Presence{Name: m.Name, Place: m.Place, Down: true, LastSeen: now})
		}
	}
	return list
}

// Versions returns the versions and read times of the view, without rows.
func (t *Table) Versions() State {
	t.mu.RLock()
	defer t.mu.RUnlock()
	b := State{ConfigurationVersion: t.configurationVersion(), ServersVersion: t.serverRows.Version, MembersVersion: t.memberRows.Version}
	b.Configuration.ReadAt, b.Servers.ReadAt, b.Members.ReadAt = t.configurationRows.ReadAt, t.serverRows.ReadAt, t.memberRows.ReadAt
	return b
}

// extendServersReadAt records that the present server rows were still current at a later moment.
func (t *Table) extendServersReadAt(read time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.serverRows.ReadAt = max(t.serverRows.ReadAt, read)
}

// Merge takes in the state that another instance sent.
func (t *Table) Merge(now time.Duration, b State) {
	// Rows, or a version equal to the own one, show that the own rows were current at the sender's read time.
	mine := t.Versions()
	confirmed := mine.Configuration.ReadAt
	// The evacuations come first: an instance that has just started sends as soon as it has a configuration.
	t.mergeEvacuations(Evacuation{now, confirmed}, b.Evacuations)
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
