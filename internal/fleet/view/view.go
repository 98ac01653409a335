// Package view holds what an instance knows of its deployment: the configuration, the servers, the members, the leaders
// of groups, who is alive, and what callers of each place ask for.
//
// Documents come from the platform's store, read by the instance itself or by another one. A document is replaced only by
// one of a higher version, so that nothing goes back within a process.
//
// # Usage
//
//	t := view.NewTable(self, decoder)
//	t.Merge(now, state)
//	configuration := t.Configuration()
//	leader, ok := t.Leader("meals-1")
//
// Moments are readings of a clock that counts suspended time.
package view

import (
	"slices"
	"sync"
	"time"

	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/fleet/roster"
)

const (
	// AliveTimeout is how long an instance counts as alive after it was last heard.
	AliveTimeout = 1500 * time.Millisecond
	// startupAliveGrace is how long the instances of the own place count as alive after this one has learned of them. Otherwise
	// instances that start together would each use every server until they hear the others.
	startupAliveGrace = 500 * time.Millisecond
	// suspicionTimeout is how long an instance is passed over after a call to it failed.
	suspicionTimeout = 800 * time.Millisecond
	// remotePresenceTTL is how long a report about an instance of another place holds.
	remotePresenceTTL = 3 * time.Second
	// missingServerGrace is how long a server whose entry is missing is kept after an outage of the store.
	missingServerGrace = 2500 * time.Millisecond
	// missingReplicaExpiry is how long a server must be missing before its group's leader is known to have outlived it: the entry
	// of a leader that has died lasts three heartbeats, and the list is up to two seconds old.
	missingReplicaExpiry = 8 * time.Second
	// storeOutageThreshold is the pause between two reads that counts as an outage.
	storeOutageThreshold = 4 * time.Second
)

// Row is a row of the store.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
}

// Rows is the content of a table at one version of the store.
type Rows struct {
	Version uint64
	Rows    []Row
	ReadAt  time.Duration // moment before the read
}

// Presence is an instance as last heard.
type Presence struct {
	Name     string
	Address  string
	Place    string
	Leaving  bool
	Down     bool    // not heard by the steward of its place; told to other places only
	Power    float64 // processing power of the machine, in cores; 0 if not known
	LastSeen time.Duration
}

// Demand is what callers of a place asked for, in operations per second.
type Demand struct {
	Place     string
	Rates     map[string]float64
	UpdatedAt time.Duration
}

// State is a set of what one instance tells another. Documents without content are only versions.
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
}

// Decoder turns rows of the store into values.
type Decoder interface {
	Configuration(value []byte) (catalog.Configuration, error)
	Server(id string, value []byte) (catalog.Server, error)
	Member(name string, value []byte) (roster.Member, error)
}

// Observer is told of what changes. Calls come one at a time.
type Observer interface {
	ConfigurationChanged(before, after catalog.Configuration, age time.Duration)
	ServersChanged(before, after catalog.Servers, age time.Duration)
	LeaderChanged(before, after Leader)
	RowIgnored(key string, err error)
}

// Table is what one instance knows. It is safe for concurrent use.
type Table struct {
	self     Presence
	decoder  Decoder
	observer Observer

	mu                sync.RWMutex
	configuration     catalog.Configuration
	configurationRows Rows
	servers           catalog.Servers
	serverRows        Rows
	outageUntil       time.Duration
	missingServers    map[string]missingServer // by id
	members           roster.Roster
	memberRows        Rows
	membersFirstRead  time.Duration // moment of the first list
	leaders           map[string]Leader
	rejected          map[string]rejection
	presences         map[string]Presence
	demands           map[string]Demand
	suspectedUntil    map[string]time.Duration
	stopped           map[string]bool
	changed           chan struct{}
}

// NewTable returns the table of an instance that knows only itself.
func NewTable(self Presence, d Decoder, o Observer) *Table {
	t := &Table{
		self: self, decoder: d, observer: o, leaders: map[string]Leader{},
		missingServers: map[string]missingServer{}, rejected: map[string]rejection{}, presences: map[string]Presence{}, demands: map[string]Demand{},
		suspectedUntil: map[string]time.Duration{}, stopped: map[string]bool{}, changed: make(chan struct{}),
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

// Leave marks the instance as leaving.
func (t *Table) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Leaving = true
}

// Configuration returns the configuration in force.
func (t *Table) Configuration() catalog.Configuration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.configuration
}

// Servers returns the servers.
func (t *Table) Servers() catalog.Servers {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.servers
}

// Roster returns the instances.
func (t *Table) Roster() roster.Roster {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.members
}

// ReadTimes returns the moments before the reads on which configuration, servers and members rest; 0 if never read.
func (t *Table) ReadTimes() (configuration, servers, members time.Duration) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.configurationRows.ReadAt, t.serverRows.ReadAt, t.memberRows.ReadAt
}

// Changed returns a channel that is closed at the next change of leaders or servers.
func (t *Table) Changed() <-chan struct{} {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.changed
}

func (t *Table) notifyChange() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// SetConfiguration takes the configuration row as read.
func (t *Table) SetConfiguration(r Rows) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(r.Rows) == 1 && r.Rows[0].Version > t.configurationVersion() {
		c, err := t.decoder.Configuration(r.Rows[0].Value)
		if err != nil {
			t.observer.RowIgnored(r.Rows[0].Key, err)
			return
		}
		before := t.configuration
		t.configuration, t.configurationRows.Rows = c, r.Rows
		t.observer.ConfigurationChanged(before, c, r.ReadAt)
		t.notifyChange()
	}
	t.configurationRows.ReadAt = max(t.configurationRows.ReadAt, r.ReadAt)
}

// configurationVersion returns the row version of the configuration.
func (t *Table) configurationVersion() uint64 {
	if len(t.configurationRows.Rows) == 0 {
		return 0
	}
	return t.configurationRows.Rows[0].Version
}

// SetServers takes the servers' rows as read. After an outage of the store, servers whose entries are missing are kept
// for a moment, because the entries of live servers come back.
func (t *Table) SetServers(now time.Duration, r Rows) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Version < t.serverRows.Version || r.ReadAt < t.serverRows.ReadAt {
		return
	}
	if t.serverRows.ReadAt > 0 && r.ReadAt-t.serverRows.ReadAt > storeOutageThreshold {
		t.outageUntil = now + missingServerGrace
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
	if !slices.Equal(before.All(), t.servers.All()) {
		t.observer.ServersChanged(before, t.servers, r.ReadAt)
		t.adoptReportedRoles()
		t.notifyChange()
		return
	}
	t.servers = before
}

// SetMembers takes the instances' rows as read.
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
	t.members, t.memberRows = roster.New(r.Version, members), r
	if t.membersFirstRead == 0 {
		t.membersFirstRead = r.ReadAt
	}
}

// MemberRowVersion returns the row version of an instance.
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
