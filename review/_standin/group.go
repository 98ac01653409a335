package main

import (
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	heartbeat        = 1200 * time.Millisecond
	lostHeartbeats   = 3 // after which an entry is removed
	replicationPoll  = 2 * time.Millisecond
	defaultTransit   = 8 * time.Millisecond // of a commit to a replica
	statementWork    = 3 * time.Millisecond
	handshakeTime    = 12 * time.Millisecond
	connectionCap    = 34
	slotsOfServer    = 2
	syncWaitInterval = time.Millisecond
)

// position is TERM.NUMBER of a log.
type position struct{ term, number uint64 }

func (p position) String() string { return fmt.Sprintf("%d.%d", p.term, p.number) }

// commit is one entry of a log.
type commit struct {
	id   string // of the statement that committed it
	item string
	data string
}

// server is one database server. Its fields are guarded by its group.
type server struct {
	group    *group
	name     string // of the machine
	id       string
	zone     string
	address  string
	listener net.Listener
	open     map[net.Conn]bool

	up, primary, paused, draining bool

	term     uint64 // of the log
	log      []commit
	received []time.Time   // moment at which each entry was received
	due      []time.Time   // moment at which each entry of the primary's log arrives, known for a first part of it
	lag      time.Duration // from the receipt of an entry to its use
	heldTerm uint64        // of the newest PAUSE
	born     int64

	generation int           // of the servers at this address
	slots      chan struct{} // holds one value for each statement at work
	lastBeat   time.Time
}

// group is one service: a primary and its replicas.
type group struct {
	record *record
	store  *store
	name   string
	sync   int

	mu       sync.Mutex
	servers  []*server
	transit  func() time.Duration // of a commit to a replica
	source   *server              // that the replicas receive from
	acked    map[string]bool      // ids of the commits that a primary acknowledged
	longWork time.Duration        // of statements on longItem
	arrived  map[string]bool      // ids of the statements that a server has received
	ranFor   map[string]string    // tenant by the id of each statement that ran
	ended    chan struct{}
}

func newGroup(r *record, s *store, name string, synchronous int, zones ...string) (*group, error) {
	g := &group{record: r, store: s, name: name, sync: synchronous, ranFor: map[string]string{}, arrived: map[string]bool{}, acked: map[string]bool{}, ended: make(chan struct{})}
	g.transit = func() time.Duration { return defaultTransit }
	for n, zone := range zones {
		id := fmt.Sprintf("i-%s-%d", name, n+1)
		x := &server{group: g, name: id, id: id, zone: zone, open: map[net.Conn]bool{}, term: 3, primary: n == 0}
		x.slots = make(chan struct{}, slotsOfServer)
		g.servers = append(g.servers, x)
		if err := x.start(); err != nil {
			return nil, err
		}
	}
	go g.replicate()
	return g, nil
}

// start listens at the server's address, a free one at first, and takes the server up.
func (x *server) start() error {
	address := x.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	x.group.mu.Lock()
	defer x.group.mu.Unlock()
	x.listener, x.address, x.up, x.paused, x.born = l, l.Addr().String(), true, false, time.Now().UnixMilli()
	go x.accept(l)
	x.beat()
	return nil
}

// crash ends the server: its connections are reset and its address refuses new ones. Its log stays.
func (g *group) crash(x *server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.record.notef("server %s crashes", x.id)
	x.up = false
	_ = x.listener.Close()
	for c := range x.open {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// restart brings a crashed server back with its log, as a replica if another server was promoted.
func (g *group) restart(x *server) error {
	err := x.start()
	g.record.notef("server %s is back, primary: %t", x.id, g.leads(x))
	return err
}

func (g *group) server(id string) *server {
	for _, x := range g.servers {
		if x.id == id {
			return x
		}
	}
	return nil
}

func (g *group) running(x *server) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return x.up
}

func (g *group) leads(x *server) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return x.primary
}

// leader returns the primary, up or not. The caller holds the lock.
func (g *group) leader() *server {
	for _, x := range g.servers {
		if x.primary {
			return x
		}
	}
	return nil
}

// end is the position that the log has received. The caller holds the lock.
func (x *server) end() position { return position{x.term, uint64(len(x.log))} }

// usable is the position up to which reads see the log. The caller holds the lock.
func (x *server) usable() position {
	n := len(x.log)
	for !x.primary && n > 0 && time.Since(x.received[n-1]) < x.lag {
		n--
	}
	return position{x.term, uint64(n)}
}

// beat writes the server's entry in the store. The caller holds the lock.
func (x *server) beat() {
	state, role := "ready", "replica"
	if x.draining {
		state = "draining"
	}
	if x.primary {
		role = "primary"
	}
	value, _ := json.Marshal(map[string]any{
		"service": x.group.name, "address": x.address, "zone": x.zone, "version": "v1", "slots": slotsOfServer, "state": state,
		"coldRemainingMs": 0, "databaseRole": role, "sequence": 1, "born": x.born,
	})
	x.lastBeat = time.Now()
	x.group.store.put("servers", x.id, value)
}

// tenantOf returns the tenant for which a statement ran, or nothing if it did not run.
func (g *group) tenantOf(id string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ranFor[id]
}

// started reports whether a server has received a statement.
func (g *group) started(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.arrived[id]
}

// replicate lets the replicas receive what the primary has committed, and renews the entries of servers.
func (g *group) replicate() {
	for {
		select {
		case <-g.ended:
			return
		case <-time.After(replicationPoll):
		}
		g.mu.Lock()
		if p := g.leader(); p != nil {
			g.source = p
		}
		p := g.source // a demoted primary still passes on what it has
		for _, x := range g.servers {
			switch {
			case x.up && time.Since(x.lastBeat) > heartbeat:
				x.beat()
			case !x.up && time.Since(x.lastBeat) > lostHeartbeats*heartbeat:
				g.store.drop("servers", x.id)
			}
			if x != p && p != nil && p.up && x.up && !x.paused {
				x.receive(p)
			}
		}
		g.mu.Unlock()
	}
}

// receive takes over what the primary has and has been under way for long enough. The caller holds the lock.
func (x *server) receive(p *server) {
	if x.term != p.term {
		n := 0
		for n < len(x.log) && n < len(p.log) && x.log[n].id == p.log[n].id {
			n++
		}
		x.log, x.received, x.term = x.log[:n:n], x.received[:n:n], p.term
		x.due = slices.Clone(p.received[:n])
	}
	for n := len(x.due); n < len(p.log); n++ {
		x.due = append(x.due, p.received[n].Add(x.group.transit()))
	}
	for n := len(x.log); n < len(p.log) && !time.Now().Before(x.due[n]); n++ {
		x.log, x.received = append(x.log, p.log[n]), append(x.received, time.Now())
	}
}

// promote lets a server lead the next term with what it has received, and checks the rule LOST.
func (g *group) promote(x *server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !x.up || x.primary {
		return
	}
	term, known := x.term, map[string]bool{}
	for _, e := range x.log {
		known[e.id] = true
	}
	var missing []commit
	for _, s := range g.servers {
		term = max(term, s.term)
		if s.primary {
			g.record.notef("server %s led term %d with %d commits", s.id, s.term, len(s.log))
		}
		s.primary = false
		for _, e := range s.log {
			if g.acked[e.id] && !known[e.id] {
				known[e.id] = true
				missing = append(missing, e)
			}
		}
	}
	g.record.notef("server %s leads term %d with %d commits", x.id, term+1, len(x.log))
	if g.sync > 0 {
		time.AfterFunc(time.Second, func() { g.checkLost(x.id, missing) })
	}
	x.primary, x.term, x.paused = true, term+1, false
	for _, s := range g.servers {
		if s.up {
			s.beat()
		}
	}
}

// checkLost checks the rule LOST, when the answers to the commits that a promoted server lacks have reached the clients.
func (g *group) checkLost(promoted string, missing []commit) {
	var lost []commit
	for _, e := range missing {
		if g.record.wasTold(e.id) {
			lost = append(lost, e)
		}
	}
	if len(lost) > 0 {
		g.record.breakf("LOST: %d commits whose success a client was told are not in the log of %s, which was promoted; the first is %s (%s %s)",
			len(lost), promoted, lost[0].id, lost[0].item, lost[0].data)
	}
}

// acknowledge waits until enough replicas have received the log up to n. It returns
// false if the server stopped leading or running meanwhile: its caller then gets no answer.
func (g *group) acknowledge(x *server, term uint64, n int) bool {
	for {
		g.mu.Lock()
		if !x.up || !x.primary || x.term != term {
			g.mu.Unlock()
			return false
		}
		have := 0
		for _, s := range g.servers {
			if s != x && s.term == term && len(s.log) >= n {
				have++
			}
		}
		if have >= g.sync {
			g.acked[x.log[n-1].id] = true
			g.mu.Unlock()
			return true
		}
		g.mu.Unlock()
		time.Sleep(syncWaitInterval)
	}
}
