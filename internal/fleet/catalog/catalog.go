// Package catalog defines the operator's configuration and the list of database servers as immutable values, which are safe
// for concurrent use.
//
// # Usage
//
//	c := catalog.NewConfiguration(version, databases, groups, organisations)
//	database, ok := c.Database("meals")
//	organisation, ok := c.OrganisationByKey(key.HashOf(text))
//
// Package platform decodes both from rows that are read from the metadata store or received from another instance.
package catalog

import (
	"maps"
	"slices"
	"strings"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/organisation/key"
)

// Consistency is what a caller's read must observe.
type Consistency uint8

// Levels of consistency.
const (
	PrimaryOnly      Consistency = iota // every acknowledged commit
	BoundedStaleness                    // every commit older than the bound
	ReadYourWrites                      // as BoundedStaleness, and every commit of the same session
)

// Database is a name that callers connect to, with the group that serves it and the guarantees of its reads.
type Database struct {
	Name        string
	Group       string
	Consistency Consistency
	MaximumAge  time.Duration // bound of staleness: a read may miss only commits younger than this
	Timeout     time.Duration // time limit of one statement
	LatencyGoal time.Duration // target for the time of a whole operation
	Public      bool          // callers need no key
	Priority    int           // of statements; 0 is the highest
	HomeRegions []string      // regions whose servers may run its statements; empty for all
}

// Group is a replicated database: a primary and its replicas.
type Group struct {
	Name            string
	ConnectionLimit int // most connections to one server, over all instances
	SyncReplicas    int // replicas that must hold a commit before it is acknowledged
	// ColdPeriod is how long a server is cold after its start, and ColdRate the number of statements per second that a cold
	// server may get from all instances together; 0 for no limit.
	ColdPeriod time.Duration
	ColdRate   float64
}

// Organisation is a customer with its API keys and its rate limit.
type Organisation struct {
	Name        string
	Keys        []key.Hash
	Rate        float64  // operations per second
	Burst       float64  // capacity of the token bucket, in operations
	Priority    int      // within the same priority of databases; 0 is the highest
	HomeRegions []string // regions whose servers may run its statements; empty for all
}

// Configuration is one version of the operator's configuration. The zero value has no database and no organisation, so that
// every caller is refused.
type Configuration struct {
	Version           uint64
	TransactionIdle   time.Duration // longest pause inside a transaction
	databases         map[string]Database
	groups            map[string]Group
	organisations     map[string]Organisation
	organisationNames map[key.Hash]string
	ignored           []IgnoredEntry
}

// IgnoredEntry is an entry of the operator's configuration that names nothing that can be used. The others hold.
type IgnoredEntry struct {
	Entry string
	Err   error
}

// NewConfiguration returns a configuration. Of several entries with the same name or key the last one is used.
func NewConfiguration(version uint64, databases []Database, groups []Group, organisations []Organisation) Configuration {
	c := Configuration{
		Version: version, databases: map[string]Database{}, groups: map[string]Group{},
		organisations: map[string]Organisation{}, organisationNames: map[key.Hash]string{},
	}
	for _, d := range databases {
		c.databases[d.Name] = d
	}
	for _, g := range groups {
		c.groups[g.Name] = g
	}
	for _, o := range organisations {
		c.organisations[o.Name] = o
		for _, h := range o.Keys {
			c.organisationNames[h] = o.Name
		}
	}
	return c
}

// WithTransactionIdle returns a copy with another limit on pauses inside transactions.
func (c Configuration) WithTransactionIdle(d time.Duration) Configuration {
	c.TransactionIdle = d
	return c
}

// WithIgnored returns a copy that lists the entries that were left out of it.
func (c Configuration) WithIgnored(entries []IgnoredEntry) Configuration {
	c.ignored = slices.Clone(entries)
	return c
}

// Ignored returns the entries that were left out of the configuration. The slice must not be changed.
func (c Configuration) Ignored() []IgnoredEntry { return c.ignored }

// WithGroup returns a copy in which a group is added or replaced.
func (c Configuration) WithGroup(g Group) Configuration {
	c.groups = maps.Clone(c.groups)
	c.groups[g.Name] = g
	return c
}

// Database returns a database by the name that callers use.
func (c Configuration) Database(name string) (Database, bool) {
	d, ok := c.databases[name]
	return d, ok
}

// Group returns a group by name.
func (c Configuration) Group(name string) (Group, bool) {
	g, ok := c.groups[name]
	return g, ok
}

// Groups returns the names of the groups that at least one database uses, sorted.
func (c Configuration) Groups() []string {
	var names []string
	for _, d := range c.databases {
		names = append(names, d.Group)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Organisation returns an organisation by name.
func (c Configuration) Organisation(name string) (Organisation, bool) {
	o, ok := c.organisations[name]
	return o, ok
}

// OrganisationCount returns the number of organisations.
func (c Configuration) OrganisationCount() int { return len(c.organisations) }

// FirstOrganisation returns the organisation whose name sorts first. It returns false if there is none.
func (c Configuration) FirstOrganisation() (Organisation, bool) {
	if len(c.organisations) == 0 {
		return Organisation{}, false
	}
	return c.organisations[slices.Min(slices.Collect(maps.Keys(c.organisations)))], true
}

// OrganisationByKey returns the organisation that an API key belongs to.
func (c Configuration) OrganisationByKey(h key.Hash) (Organisation, bool) {
	name, ok := c.organisationNames[h]
	if !ok {
		return Organisation{}, false
	}
	return c.organisations[name], true
}

// Server is a database server, as it describes itself in the metadata store.
type Server struct {
	ID        string
	Group     string
	Address   string
	Place     string
	Slots     int  // statements that the server runs at the same time
	Leaving   bool // the server is about to shut down
	Role      driver.Role
	StartedMS int64         // start of the server, in Unix milliseconds; a restarted server may keep its id
	ColdFor   time.Duration // how much longer the server stays slow after its start, when its row was written
}

// Servers is the list of all database servers at one version of the metadata store. The zero value is empty.
type Servers struct {
	Version uint64
	all     []Server // ordered by id
	byID    map[string]Server
	byGroup map[string][]Server
}

// NewServers returns the list of servers at a version of the metadata store.
func NewServers(version uint64, list []Server) Servers {
	s := Servers{Version: version, all: slices.Clone(list), byID: map[string]Server{}, byGroup: map[string][]Server{}}
	slices.SortFunc(s.all, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	for _, server := range s.all {
		s.byID[server.ID] = server
		s.byGroup[server.Group] = append(s.byGroup[server.Group], server)
	}
	return s
}

// Server returns a server by id.
func (s Servers) Server(id string) (Server, bool) {
	server, ok := s.byID[id]
	return server, ok
}

// All returns all servers, ordered by id. The slice must not be changed.
func (s Servers) All() []Server { return s.all }

// InGroup returns the servers of a group, ordered by id. The slice must not be changed.
func (s Servers) InGroup(group string) []Server { return s.byGroup[group] }
