// Package catalog holds what the operator configured and which servers and instances exist, as immutable values.
//
// # Usage
//
//	c := catalog.NewConfiguration(version, databases, groups, organisations)
//	database, ok := c.Database("meals")
//	organisation, ok := c.OrganisationByKey(key.HashOf(text))
//
// Values come from the platform's store through the decoder of the adapter, or from another instance.
package catalog

import (
	"maps"
	"slices"
	"strings"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/organisation/key"
)

// Consistency says what a caller's read must see.
type Consistency uint8

// Consistencies.
const (
	PrimaryOnly      Consistency = iota // every acknowledged commit
	BoundedStaleness                    // every commit older than the bound
	ReadYourWrites                      // as BoundedStaleness, and the commits of its own session
)

// Database is what callers name when they connect.
type Database struct {
	Name        string
	Group       string
	Consistency Consistency
	MaximumAge  time.Duration // of what a read may miss
	Timeout     time.Duration // of one statement
	LatencyGoal time.Duration // of a whole operation
	Public      bool          // no key needed
}

// Group is a replicated database.
type Group struct {
	Name            string
	ConnectionLimit int // of each server, over all instances
	SyncReplicas    int
}

// Organisation is a customer with its keys and its rate.
type Organisation struct {
	Name  string
	Keys  []key.Hash
	Rate  float64 // operations per second
	Burst float64 // operations
}

// Configuration is one version of what the operator configured. The zero value allows nothing.
type Configuration struct {
	Version         uint64
	TransactionIdle time.Duration // longest pause inside a transaction
	databases       map[string]Database
	groups          map[string]Group
	organisations   map[string]Organisation
	byKey           map[key.Hash]string
}

// NewConfiguration returns a configuration.
func NewConfiguration(version uint64, databases []Database, groups []Group, organisations []Organisation) Configuration {
	c := Configuration{
		Version: version, databases: map[string]Database{}, groups: map[string]Group{},
		organisations: map[string]Organisation{}, byKey: map[key.Hash]string{},
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
			c.byKey[h] = o.Name
		}
	}
	return c
}

// WithTransactionIdle returns a copy with another limit of pauses inside transactions.
func (c Configuration) WithTransactionIdle(d time.Duration) Configuration {
	c.TransactionIdle = d
	return c
}

// WithGroup returns a copy in which a replicated database is added or replaced.
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

// Group returns a replicated database.
func (c Configuration) Group(name string) (Group, bool) {
	g, ok := c.groups[name]
	return g, ok
}

// Groups returns the names of all groups that a database uses, sorted.
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

// FirstOrganisation returns the organisation whose name sorts first.
func (c Configuration) FirstOrganisation() (Organisation, bool) {
	if len(c.organisations) == 0 {
		return Organisation{}, false
	}
	return c.organisations[slices.Min(slices.Collect(maps.Keys(c.organisations)))], true
}

// OrganisationByKey returns the organisation that holds a key.
func (c Configuration) OrganisationByKey(h key.Hash) (Organisation, bool) {
	name, ok := c.byKey[h]
	if !ok {
		return Organisation{}, false
	}
	return c.organisations[name], true
}

// Server is one database server as it describes itself.
type Server struct {
	ID        string
	Group     string
	Address   string
	Place     string
	Slots     int
	Leaving   bool
	Role      driver.Role
	StartedMS int64 // start of the server, in Unix milliseconds; a restarted server may keep its id
}

// Servers is the list of servers at one version of the store. The zero value is empty.
type Servers struct {
	Version uint64
	all     []Server // ordered by id
	byID    map[string]Server
	byGroup map[string][]Server
}

// NewServers returns a list of servers.
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
