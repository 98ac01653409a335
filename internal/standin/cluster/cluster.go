// Package cluster is an in-memory stand-in of the platform: groups of database servers with terms, positions, lag and
// faults, the store with its rows, and the promotion call. It speaks in the product's types, so that tests of decisions
// need no wire format.
//
// # Usage
//
//	c := cluster.New(clock.Boot)
//	c.AddGroup("meals-1", "agreste", "sertao", "litoral")
//	c.Configure(catalog.NewConfiguration(1, databases, groups, organisations))
//	node, err := entry.Start(entry.Options{Store: c.Store(), Promoter: c, Decoder: c, Dialer: c.Dialer("i1"), ...})
//	c.Crash("meals-1-agreste")
//
// Servers check what the product promises: statements run with the session values of their caller, a write takes effect
// once, and a prepared name is the shape that was defined. What is broken is kept in Faults.
package cluster

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/instance/entry"
)

// promoteDelay is the time between an order and the lead of the named server.
const promoteDelay = 50 * time.Millisecond

// commit is one entry of a server's log.
type commit struct {
	position driver.Position
	item     string
	value    string
}

// Server is one database server. Its fields are guarded by the cluster.
type Server struct {
	catalog.Server
	term     uint64
	log      []commit
	received int // entries of the primary's log
	applied  int
	paused   bool
	heldTerm uint64        // of the pause
	down     bool          // refuses connections
	silent   bool          // answers nothing
	deaf     bool          // receives nothing
	unlisted bool          // does not reach the store
	lag      time.Duration // of what a replica applies
	cut      map[string]bool
	lose     int // answers to lose
	// statements is the number of statements of callers that the server has received.
	statements int
	conns      map[*conn]bool
	busy       int

	refuseStatus, refuseDemotion bool // these commands are answered Busy
}

// Cluster is a set of groups with a store. It is safe for concurrent use.
type Cluster struct {
	boot func() time.Duration

	mu            sync.Mutex
	servers       map[string]*Server
	version       uint64
	configuration catalog.Configuration
	configured    uint64 // row version
	evacuations   evacuations
	members       map[string]member
	duties        map[string]dutyRow
	replicaSets   map[string]entry.ReplicaSetRecord // by group
	storeDown     bool
	turnedAway    map[string]bool // instances that the store does not serve
	calls         int
	// replicaSetCalls is how many of the calls were for replica sets.
	replicaSetCalls int
	promotions      int
	lateOrders      int // promotions to carry out late and without an answer
	lateBy          time.Duration
	tokens          map[string]uint64   // newest by group
	holders         map[uint64]string   // of the promotion duty, by token
	runs            map[string]int      // committed writes by statement id
	rolledBack      map[commit]bool     // commits that a promotion dropped
	synchronous     map[string]bool     // groups whose commits wait for a replica
	acknowledged    map[string][]commit // of synchronous groups, by group
	faults          []string
	changed         chan struct{}
}

// New returns an empty cluster.
func New(boot func() time.Duration) *Cluster {
	return &Cluster{
		boot: boot, servers: map[string]*Server{}, members: map[string]member{}, duties: map[string]dutyRow{}, replicaSets: map[string]entry.ReplicaSetRecord{},
		turnedAway: map[string]bool{}, tokens: map[string]uint64{}, holders: map[uint64]string{},
		runs: map[string]int{}, rolledBack: map[commit]bool{}, synchronous: map[string]bool{}, acknowledged: map[string][]commit{}, changed: make(chan struct{}), version: 1,
		evacuations: evacuations{written: map[string]uint64{}, removed: map[string]uint64{}},
	}
}

// AddGroup adds a group with one server in each place; the first one leads term 1. A server is named GROUP-PLACE.
func (c *Cluster) AddGroup(group string, places ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n, place := range places {
		id := group + "-" + place
		role := driver.Replica
		if n == 0 {
			role = driver.Primary
		}
		c.servers[id] = &Server{
			Server: catalog.Server{ID: id, Group: group, Address: id, Place: place, Slots: 2, Role: role, StartedMS: 1},
			term:   1, cut: map[string]bool{}, conns: map[*conn]bool{},
		}
	}
	c.bump()
}

func (c *Cluster) bump() {
	c.version++
	close(c.changed)
	c.changed = make(chan struct{})
}

// Configure replaces the configuration.
func (c *Cluster) Configure(configuration catalog.Configuration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bump()
	c.configuration, c.configured = configuration, c.version
}

// Synchronous makes the commits of a group wait until a replica has received them.
func (c *Cluster) Synchronous(group string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.synchronous[group] = true
}

// Crash stops a server with its connections; Restart brings it back with its log.
func (c *Cluster) Crash(id string) { c.change(id, func(s *Server) { s.down = true; s.drop() }) }

// Restart brings a server back, as a replica if another one leads, and lets it receive the log.
func (c *Cluster) Restart(id string) {
	c.change(id, func(s *Server) { s.down, s.silent, s.paused, s.deaf, s.heldTerm = false, false, false, false, 0 })
}

// RestartEmpty starts a server again under its id, with nothing of what it held.
func (c *Cluster) RestartEmpty(id string) {
	c.Restart(id)
	c.change(id, func(s *Server) { s.log, s.received, s.applied, s.term, s.StartedMS = nil, 0, 0, 0, s.StartedMS+1 })
}

// Deafen stops or lets a replica receive the log.
func (c *Cluster) Deafen(id string, deaf bool) { c.change(id, func(s *Server) { s.deaf = deaf }) }

// Unlist takes away or gives back the entry of a server, as if it were cut off the store.
func (c *Cluster) Unlist(id string, unlisted bool) {
	c.change(id, func(s *Server) { s.unlisted = unlisted })
}

// RefuseStatus makes a server answer Busy to requests of its status.
func (c *Cluster) RefuseStatus(id string) { c.change(id, func(s *Server) { s.refuseStatus = true }) }

// RefuseDemotion makes a server answer Busy to a demotion.
func (c *Cluster) RefuseDemotion(id string) {
	c.change(id, func(s *Server) { s.refuseDemotion = true })
}

// Silence makes a server answer nothing.
func (c *Cluster) Silence(id string) { c.change(id, func(s *Server) { s.silent = true }) }

// Lag delays what a replica applies.
func (c *Cluster) Lag(id string, d time.Duration) { c.change(id, func(s *Server) { s.lag = d }) }

// Cut separates a server from an instance.
func (c *Cluster) Cut(id, instance string) { c.change(id, func(s *Server) { s.cut[instance] = true }) }

// Drain marks a server as leaving.
func (c *Cluster) Drain(id string) { c.change(id, func(s *Server) { s.Leaving = true }) }

// LoseAnswers makes a server run the next n statements of callers without an answer.
func (c *Cluster) LoseAnswers(id string, n int) { c.change(id, func(s *Server) { s.lose = n }) }

func (c *Cluster) change(id string, f func(s *Server)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.servers[id])
	c.bump()
}

func (s *Server) drop() {
	for k := range s.conns {
		k.broken = true
	}
}

// SetStoreDown turns the store off or on.
func (c *Cluster) SetStoreDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeDown = down
}

// DelayOrders makes the next n promotions get no answer and take effect only later.
func (c *Cluster) DelayOrders(n int, by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lateOrders, c.lateBy = n, by
}

// TurnAway makes the store refuse an instance.
func (c *Cluster) TurnAway(instance string, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turnedAway[instance] = refused
}

// Faults returns what broke a promise.
func (c *Cluster) Faults() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.faults)
}

// Promotions returns how many orders were carried out, and Calls how many calls the store has got.
func (c *Cluster) Promotions() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.promotions
}

// Calls returns the number of calls to the store.
func (c *Cluster) Calls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// ReplicaSetCalls returns how many of the calls to the store were for replica sets.
func (c *Cluster) ReplicaSetCalls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replicaSetCalls
}

// Runs returns how often a statement's write was committed.
func (c *Cluster) Runs(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

// Paused reports whether a server does not receive the log because of a pause.
func (c *Cluster) Paused(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers[id].paused
}

// Token returns the highest fencing token that a promotion of a group was accepted with.
func (c *Cluster) Token(group string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tokens[group]
}

// Primary returns the server that leads a group.
func (c *Cluster) Primary(group string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.primary(group); s != nil {
		return s.ID
	}
	return ""
}

func (c *Cluster) primary(group string) *Server {
	var best *Server
	for _, s := range c.servers {
		if s.Group == group && s.Role == driver.Primary && (best == nil || s.term > best.term) {
			best = s
		}
	}
	return best
}

// Fault keeps what broke a promise, as seen by an adapter before the servers.
func (c *Cluster) Fault(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault(format, args...)
}

func (c *Cluster) fault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

// catchUp lets a replica receive and apply what is due.
func (c *Cluster) catchUp(s *Server) {
	if s.Role == driver.Primary {
		s.applied = len(s.log)
		return
	}
	p := c.primary(s.Group)
	if p == nil || p.down || p.silent || s.paused || s.deaf || p.term < s.term {
		return
	}
	s.term = p.term
	// What the primary does not have is rolled back, also where it was applied already.
	s.applied = min(s.applied, common(s.log, p.log))
	s.log = slices.Clone(p.log)
	if s.lag == 0 {
		s.applied = len(s.log)
	}
	s.received = len(s.log)
}

// common returns the number of first entries that two logs share.
func common(a, b []commit) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// position returns the end of what a server has applied.
func (s *Server) position() driver.Position {
	if s.applied == 0 {
		return driver.Position{Term: 1, Index: 0}
	}
	return s.log[s.applied-1].position
}

// promote makes a server lead the next term with what it has received.
func (c *Cluster) promote(s *Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.down {
		return
	}
	old := c.primary(s.Group)
	c.catchUp(s)
	if old == s {
		return
	}
	c.checkFence(s, old)
	c.checkAcknowledged(s)
	term := s.term
	if old != nil {
		term = max(term, old.term)
		old.Role = driver.Replica
	}
	if old != nil {
		for _, e := range old.log[min(len(s.log), len(old.log)):] {
			c.rolledBack[e] = true
		}
	}
	s.Role, s.term, s.applied = driver.Primary, term+1, len(s.log)
	for _, other := range c.servers {
		if other.Group == s.Group {
			other.paused, other.heldTerm = false, 0
		}
	}
	c.promotions++
	c.bump()
}

// checkFence records a fault if a server is promoted while the old primary of a synchronous group runs, was not demoted,
// and could have acknowledged a commit that only another replica has received.
func (c *Cluster) checkFence(promoted, old *Server) {
	if old == nil || old.down || !c.synchronous[promoted.Group] {
		return
	}
	for _, s := range c.servers {
		if s.Group == promoted.Group && s != promoted && s != old && !s.down && !s.paused {
			c.fault("%s is promoted while %s leads and %s receives its commits", promoted.ID, old.ID, s.ID)
		}
	}
}

// rows lists the ids of all servers that have an entry.
func (c *Cluster) listed() []string {
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(c.servers)) {
		if s := c.servers[id]; !s.down && !s.silent && !s.unlisted {
			ids = append(ids, id)
		}
	}
	return ids
}
