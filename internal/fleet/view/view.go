// Package view holds an instance's local view of the fleet: the configuration in force, the database servers, the
// instances (members) and which of them are alive, the leader of each group, and the request rate (demand) of each place.
//
// Rows of the configuration, the servers and the members are read from the platform's store, either by this instance or
// by another one that passes them on by gossip. Rows are replaced only by rows of a higher version, so that the view never
// reverts within a process.
//
// # Usage
//
//	t := view.NewTable(self, decoder)
//	t.Merge(now, state)
//	configuration := t.Configuration()
//	leader, ok := t.Leader("meals-1")
//
// All moments are readings of a clock that continues while the machine is suspended.
package view

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/fleet/evacuation"
	"tanagercross/internal/fleet/roster"
)

const (
	// AliveTimeout is how long an instance counts as alive after it was last seen.
	AliveTimeout = 1500 * time.Millisecond
	// startupAliveGrace is how long the other instances of the own place count as alive after the first member list, even
	// if they were not seen yet. Without it, instances that start together would each use every server until the first
	// gossip between them.
	startupAliveGrace = 500 * time.Millisecond
	// suspicionTimeout is how long an instance is skipped after a call to it failed.
	suspicionTimeout = 800 * time.Millisecond
	// remotePresenceTTL is how long a report that an instance of another place is down or leaving is valid.
	remotePresenceTTL = 3 * time.Second
	// MissingServerGrace is how long after an outage of the store a server without a row may still write one.
	MissingServerGrace = 2500 * time.Millisecond
	// storeOutageThreshold is the time between two successful reads of the servers that counts as an outage of the store.
	storeOutageThreshold = 4 * time.Second
	// recentConfiguration and recentMembers are the ages up to which an instance of another region counts as reading the
	// store successfully. A healthy region confirms its configuration every 1.2 s and reads the members every 10 s.
	recentConfiguration = 1600 * time.Millisecond
	recentMembers       = 15 * time.Second
)

// Row is a row of the store.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
}

// Rows is the content of a table of the store at one version.
type Rows struct {
	Version uint64
	Rows    []Row
	ReadAt  time.Duration // moment just before the read; the content is at least as recent
}

// Presence is the last known state of an instance.
type Presence struct {
	Name     string
	Address  string
	Place    string
	Leaving  bool
	Down     bool    // no longer seen by the coordinator of its place; only sent to other places
	Power    float64 // processing power of the machine, in cores; 0 if not known
	LastSeen time.Duration
}

// Demand is the rate at which the callers of a place request operations.
type Demand struct {
	Place     string
	Rates     map[string]float64 // operations per second, by organisation
	UpdatedAt time.Duration
}

// State is what one instance sends to another about its view. Rows that the receiver already has are left out; their
// version and the moment of their last read are sent nevertheless.
type State struct {
	ConfigurationVersion uint64
	ServersVersion       uint64
	MembersVersion       uint64
	Configuration        Rows // one row
	Servers              Rows
	Members              Rows
	Leaders              []Leader
	Presences            []Presence
	Demands              []Demand
	Evacuations          []evacuation.Row
}

// DemandOf returns the demand of a place in the state, the zero value if it has none.
func (s State) DemandOf(place string) Demand {
	for _, d := range s.Demands {
		if d.Place == place {
			return d
		}
	}
	return Demand{}
}

// Decoder decodes rows of the store. A row that cannot be decoded is ignored.
type Decoder interface {
	Configuration(value []byte) (catalog.Configuration, error)
	Server(id string, value []byte) (catalog.Server, error)
	Member(name string, value []byte) (roster.Member, error)
}

// Observer is called for each change of a table. The table is locked during a call, so that calls are sequential and must
// not use the table.
type Observer interface {
	ConfigurationChanged(before, after catalog.Configuration, readAt time.Duration)
	ServersChanged(before, after catalog.Servers, readAt time.Duration)
	LeaderChanged(before, after Leader)
	RowIgnored(key string, err error)
	EvacuationsChanged(before, after evacuation.Set)
}

// Table is the view of one instance. It is safe for concurrent use.
type Table struct {
	self     Presence
	regions  roster.Regions
	decoder  Decoder
	observer Observer

	mu                sync.RWMutex
	configuration     catalog.Configuration
	configurationRows Rows
	configuredAt      time.Duration // moment of the first configuration
	servers           catalog.Servers
	serverRows        Rows
	outageUntil       time.Duration
	serversFirstRead  time.Duration
	missing           map[string]missingServer // by id
	members           roster.Roster
	memberRows        Rows
	membersFirstRead  time.Duration        // moment of the first member list
	leaders           map[string]Leader    // by group
	rejected          map[string]rejection // by group
	presences         map[string]Presence  // other instances, by name
	demands           map[string]Demand    // by place
	evacuations       evacuation.Set
	evacuated         map[string]Evacuation // by place
	coldUntil         map[string]coldServer // by server id
	suspectedUntil    map[string]time.Duration
	changed           chan struct{} // closed and replaced at each change of configuration, servers or leaders
}

// NewTable returns a table that contains only the instance itself.
func NewTable(self Presence, r roster.Regions, d Decoder, o Observer) *Table {
	t := &Table{
		self: self, regions: r, decoder: d, observer: o, leaders: map[string]Leader{},
		missing: map[string]missingServer{}, rejected: map[string]rejection{}, presences: map[string]Presence{}, demands: map[string]Demand{},
		suspectedUntil: map[string]time.Duration{}, changed: make(chan struct{}), coldUntil: map[string]coldServer{},
	}
	t.members = roster.New(0, []roster.Member{{Name: self.Name, Address: self.Address, Place: self.Place, Power: self.Power}})
	return t
}

// Self returns the instance's own presence.
func (t *Table) Self() Presence {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.self
}

// Leave marks this instance as leaving, which gossip passes on to the others.
func (t *Table) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Leaving = true
}

// Configuration returns the configuration in force, or an empty one if none was received yet.
func (t *Table) Configuration() catalog.Configuration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.configuration
}

// Servers returns the database servers.
func (t *Table) Servers() catalog.Servers {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.servers
}

// Roster returns the instances, this one included.
func (t *Table) Roster() roster.Roster {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.members
}

// ReadTimes returns the moments at which configuration, servers and members were last known to be current; 0 before the
// first read.
func (t *Table) ReadTimes() (configuration, servers, members time.Duration) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.configurationRows.ReadAt, t.serverRows.ReadAt, t.memberRows.ReadAt
}

// FirstReads returns the moments of the first configuration and of the first member list; 0 before them.
func (t *Table) FirstReads() (configuration, members time.Duration) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.configuredAt, t.membersFirstRead
}

// Changed returns a channel that is closed at the next change of configuration, servers, leaders or evacuations.
func (t *Table) Changed() <-chan struct{} {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.changed
}

// notifyChange wakes everyone who waits for a change. The caller holds the lock.
func (t *Table) notifyChange() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// SetConfiguration applies the configuration row of a read. An older row changes nothing. If the row cannot be decoded,
// the present configuration and its read time stay.
func (t *Table) SetConfiguration(r Rows) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(r.Rows) == 1 && r.Rows[0].Version > t.configurationVersion() {
		c, err := t.decoder.Configuration(r.Rows[0].Value)
		if err != nil {
			t.observer.RowIgnored(r.Rows[0].Key, err)
			return
		}
		if c.Version < t.configuration.Version {
			// The store has come back from an older copy. The operator writes the newer configuration again.
			t.observer.RowIgnored(r.Rows[0].Key, fmt.Errorf("version %d is older than %d in force", c.Version, t.configuration.Version))
			return
		}
		for _, e := range c.Ignored() {
			t.observer.RowIgnored(r.Rows[0].Key+" "+e.Entry, e.Err)
		}
		before := t.configuration
		t.configuration, t.configurationRows.Rows = c, r.Rows
		if t.configuredAt == 0 {
			t.configuredAt = r.ReadAt
		}
		t.observer.ConfigurationChanged(before, c, r.ReadAt)
		t.notifyChange()
	}
	t.configurationRows.ReadAt = max(t.configurationRows.ReadAt, r.ReadAt)
}

// configurationVersion returns the row version of the configuration, 0 if there is none.
func (t *Table) configurationVersion() uint64 {
	if len(t.configurationRows.Rows) == 0 {
		return 0
	}
	return t.configurationRows.Rows[0].Version
}

// SetServers applies the server rows of a read, unless they are older than the present ones. After an outage of the store,
// servers without a row are kept for MissingServerGrace: rows expire when servers cannot renew them, and live servers
// write theirs again.
func (t *Table) SetServers(now time.Duration, r Rows) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Version < t.serverRows.Version || r.ReadAt < t.serverRows.ReadAt {
		return
	}
	returned := Generation(r.Version) > Generation(t.serverRows.Version)
	if t.serverRows.ReadAt > 0 && (returned || r.ReadAt-t.serverRows.ReadAt > storeOutageThreshold) {
		t.outageUntil = now + MissingServerGrace
	}
	var list []catalog.Server
	seen := map[string]bool{}
	for _, row := range r.Rows {
		s, err := t.decoder.Server(row.Key, row.Value)
		if err != nil {
			t.observer.RowIgnored(row.Key, err)
			continue
		}
		seen[s.ID] = true
		list = append(list, s)
	}
	if now < t.outageUntil {
		for _, s := range t.servers.All() {
			if !seen[s.ID] {
				list = append(list, s)
			}
		}
	}
	before := t.servers
	t.servers, t.serverRows = catalog.NewServers(r.Version, list), r
	t.updateMissing(before)
	t.updateCold(r.ReadAt)
	if !slices.Equal(before.All(), t.servers.All()) {
		t.observer.ServersChanged(before, t.servers, r.ReadAt)
		t.adoptReportedRoles()
		t.notifyChange()
		return
	}
	t.servers = before
}

// SetMembers applies the instance rows of a read, unless they are older than the present ones. This instance is a member
// even if it has no row. The first read after the store returned from an older copy removes no member, because the rows of
// instances that started since the copy are gone until these write them again.
func (t *Table) SetMembers(r Rows) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Version < t.memberRows.Version {
		return
	}
	members := []roster.Member{{Name: t.self.Name, Address: t.self.Address, Place: t.self.Place, Power: t.self.Power}}
	for _, row := range r.Rows {
		m, err := t.decoder.Member(row.Key, row.Value)
		if err != nil {
			t.observer.RowIgnored(row.Key, err)
			continue
		}
		if m.Name != t.self.Name {
			members = append(members, m)
		}
	}
	if Generation(r.Version) > Generation(t.memberRows.Version) {
		members = t.withPresentMembers(members)
	}
	t.members, t.memberRows = roster.New(r.Version, members), r
	if t.membersFirstRead == 0 {
		t.membersFirstRead = r.ReadAt
	}
}

// withPresentMembers adds the members that the list lacks. The caller holds the lock.
func (t *Table) withPresentMembers(list []roster.Member) []roster.Member {
	for _, m := range t.members.Members() {
		if !slices.ContainsFunc(list, func(l roster.Member) bool { return l.Name == m.Name }) {
			list = append(list, m)
		}
	}
	return list
}

// MemberRowVersion returns the row version of an instance, if it has a row.
func (t *Table) MemberRowVersion(name string) (uint64, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, row := range t.memberRows.Rows {
		if row.Key == name {
			return row.Version, true
		}
	}
	return 0, false
}
