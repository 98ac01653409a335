package main

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"
)

// commit is an entry of a server's log.
type commit struct {
	term, number   uint64
	id, item, data string
	at             time.Time // when the primary appended it
}

func (c commit) position() string { return fmt.Sprintf("%d.%d", c.term, c.number) }

// group is a service of three database servers, of which one leads. It follows PROTOCOL.md, "Servers".
type group struct {
	name         string
	syncReplicas int
	promoteTime  time.Duration
	delay        time.Duration // one way, between two servers
	record       *recorder

	mu         sync.Mutex
	servers    []*server
	primary    *server // of the newest term
	term       uint64
	token      uint64 // highest fencing token seen
	signatures int
	promotions []promotion

	repetitions int             // answers to BEGIN that are still to be sent twice
	repeatFor   string          // to whom
	inside      map[string]bool // ids of statements that their client sent inside a transaction
	outside     []string        // of these, those that ran outside of one
}

// takeRepetition reports whether the answer to a BEGIN is to be sent twice.
func (g *group) takeRepetition(who string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.repetitions == 0 || who != g.repeatFor {
		return false
	}
	g.repetitions--
	return true
}

// noteRun records that a server runs a statement of a client, and whether that is inside a transaction.
func (g *group) noteRun(server, id, verb string, inside bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.inside[id] {
		return
	}
	g.record.printf("server %s runs %s %s, inside a transaction: %t", server, verb, id, inside)
	if !inside {
		g.outside = append(g.outside, id)
	}
}

// promotion is a change of the primary, with the log that the new one had.
type promotion struct {
	server, holder string
	token          uint64
	log            []commit
	at             time.Time
}

// server is one database server. The fields below the listener are guarded by the group's mutex.
type server struct {
	g        *group
	id, zone string
	address  string
	listener net.Listener

	up        bool
	deaf      bool // receives nothing
	role      string
	term      uint64 // newest known
	held      uint64 // term of a pause, 0 without one
	log       []commit
	arrived   []time.Time // of the entries of log
	bornMS    int64
	conns     map[net.Conn]struct{}
	nextBeat  time.Time
	lastBeat  time.Time // that the store accepted
	withStore bool      // reaches the store
}

const (
	primaryRole = "primary"
	replicaRole = "replica"
)

func newGroup(name string, syncReplicas int, promoteTime, delay time.Duration, record *recorder) *group {
	return &group{name: name, syncReplicas: syncReplicas, promoteTime: promoteTime, delay: delay, record: record, term: 3}
}

// add adds a server that listens on a free port of an address. The first one leads.
func (g *group) add(id, zone, ip string) (*server, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &server{
		g: g, id: id, zone: zone, address: l.Addr().String(), listener: l, up: true, role: replicaRole, term: g.term,
		bornMS: time.Now().UnixMilli(), conns: map[net.Conn]struct{}{}, withStore: true, nextBeat: time.Now(),
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.servers) == 0 {
		s.role, g.primary = primaryRole, s
	}
	g.servers = append(g.servers, s)
	go s.accept(l)
	return s, nil
}

// replicate lets replicas receive what the primary has sent, until the process ends.
func (g *group) replicate() {
	for {
		time.Sleep(time.Millisecond)
		g.mu.Lock()
		if p := g.primary; p != nil && p.up && p.role == primaryRole {
			for _, s := range g.servers {
				if s != p && s.up && !s.deaf && s.held == 0 {
					s.receive(p, time.Now())
				}
			}
		}
		g.mu.Unlock()
	}
}

// receive takes the entries of the primary that have arrived. Entries that the primary lacks are rolled back.
func (s *server) receive(p *server, now time.Time) {
	s.role, s.term = replicaRole, max(s.term, p.term)
	keep := min(len(s.log), len(p.log))
	for keep > 0 && s.log[keep-1] != p.log[keep-1] {
		keep--
	}
	if keep < len(s.log) {
		s.g.record.printf("server %s rolls back %d commits", s.id, len(s.log)-keep)
		s.log, s.arrived = slices.Clone(s.log[:keep]), s.arrived[:keep]
	}
	for _, c := range p.log[keep:] {
		if now.Sub(c.at) < s.g.delay {
			return
		}
		s.log, s.arrived = append(s.log, c), append(s.arrived, now)
	}
}

// acknowledged reports whether enough replicas have received entry n of the primary's log and said so.
func (g *group) acknowledged(p *server, n int, now time.Time) bool {
	count := 0
	for _, s := range g.servers {
		if s != p && len(s.log) > n && s.log[n] == p.log[n] && now.Sub(s.arrived[n]) >= g.delay {
			count++
		}
	}
	return count >= g.syncReplicas
}

// commit appends entries to the log of a server that leads, and waits until they are acknowledged. It returns false if the
// server crashes or loses the lead before.
func (s *server) commit(term uint64, entries []commit) bool {
	g := s.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if !s.leads(term) {
		return false
	}
	for _, c := range entries {
		c.term, c.number, c.at = s.term, uint64(len(s.log)+1), time.Now()
		s.log, s.arrived = append(s.log, c), append(s.arrived, c.at)
	}
	last := len(s.log) - 1
	for s.leads(term) {
		if g.acknowledged(s, last, time.Now()) {
			return true
		}
		g.mu.Unlock()
		time.Sleep(time.Millisecond)
		g.mu.Lock()
	}
	return false
}

// leads reports whether a server leads in a term. The caller holds the group's mutex.
func (s *server) leads(term uint64) bool {
	return s.up && s.role == primaryRole && s.g.primary == s && s.term == term
}

// position returns the end of a server's log. The caller holds the group's mutex.
func (s *server) position() string {
	if len(s.log) == 0 {
		return "-"
	}
	return s.log[len(s.log)-1].position()
}

// promote handles the order to promote a server. It returns the status of the answer.
func (g *group) promote(holder, tokenText, id string) int {
	token, err := strconv.ParseUint(tokenText, 10, 64)
	g.mu.Lock()
	defer g.mu.Unlock()
	n := slices.IndexFunc(g.servers, func(s *server) bool { return s.id == id })
	if err != nil || n < 0 {
		return 400
	}
	s := g.servers[n]
	status := 200
	if token < g.token || !s.up {
		status = 409
	}
	g.record.printf("platform: promotion of %s ordered by %s, token %d: %d", id, holder, token, status)
	if status != 200 {
		return status
	}
	g.token = token
	if s != g.primary {
		time.AfterFunc(g.promoteTime, func() { g.lead(s, holder, token) })
	}
	return status
}

// lead makes a server the primary of the next term with what it has received.
func (g *group) lead(s *server, holder string, token uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !s.up || s == g.primary {
		return
	}
	if g.primary != nil {
		g.primary.role = replicaRole
	}
	g.term++
	s.role, s.term, s.held, g.primary = primaryRole, g.term, 0, s
	g.promotions = append(g.promotions, promotion{server: s.id, holder: holder, token: token, log: slices.Clone(s.log), at: time.Now()})
	g.record.printf("server %s leads term %d with its log up to %s", s.id, s.term, s.position())
}

// crash stops a server: its connections are reset and new ones refused. It keeps its log.
func (g *group) crash(s *server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.up, s.held = false, 0
	_ = s.listener.Close()
	for conn := range s.conns {
		_ = conn.Close()
	}
	g.record.printf("server %s crashes with its log up to %s, %s", s.id, s.position(), s.role)
}

// restart starts a server that crashed, at the same address and with its log.
func (g *group) restart(s *server) error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s.listener, s.up, s.nextBeat = l, true, time.Now()
	g.record.printf("server %s is back with its log up to %s, %s", s.id, s.position(), s.role)
	go s.accept(l)
	return nil
}

// set changes fields of a server under the group's mutex.
func (g *group) set(s *server, change func(s *server)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(s)
}
