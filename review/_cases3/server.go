package main

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeat    = 1200 * time.Millisecond
	promoteDelay = 300 * time.Millisecond
	replication  = time.Millisecond // between two steps of replication
	refillRate   = 900              // commits a second, to a server that started with nothing
	busyQueue    = 16               // statements that wait for a slot of a server; more are answered BUSY
)

// entry is a commit of a group's log.
type entry struct {
	term, number uint64
	id           string // of the write or commit
	writes       map[string]string
}

func (e entry) position() string { return fmt.Sprintf("%d.%d", e.term, e.number) }

// group is a service with its servers. Its lock guards the state of all of them.
type group struct {
	name  string
	store *store
	sync  int
	slots int
	work  time.Duration // of a statement
	log   *recorder

	mu      sync.Mutex
	servers []*server
	token   uint64
	signed  atomic.Uint64

	promotions []promotion
}

// promotion is a change of the primary, with the log that the new one has.
type promotion struct {
	server string
	at     time.Time
	log    []entry
}

// server is one server of a group.
type server struct {
	g        *group
	id, zone string
	address  string
	listener net.Listener
	born     int64
	free     chan struct{}
	waiting  atomic.Int64

	// Guarded by group.mu.
	primary bool
	state   string // ready or draining
	term    uint64
	held    uint64 // term of the pause, 0 without one
	entries []entry
	deaf    bool
	down    bool
	cutOff  bool // does not reach the store

	refilling bool      // started with nothing and has not got the whole log yet
	started   time.Time // when it did
	sequence  int
	wrote     time.Time // last entry that the store has taken
	listed    bool
	conns     map[net.Conn]bool
}

func newGroup(st *store, log *recorder, name string, sync, slots int, work time.Duration, zones ...string) (*group, error) {
	g := &group{name: name, store: st, sync: sync, slots: slots, work: work, log: log}
	for n, zone := range zones {
		if _, err := g.add(fmt.Sprintf("i-%s-%d", name, n), zone, n == 0); err != nil {
			return nil, err
		}
	}
	go g.run()
	return g, nil
}

// add starts a server of the group.
func (g *group) add(id, zone string, primary bool) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{
		g: g, id: id, zone: zone, address: l.Addr().String(), listener: l, born: time.Now().UnixMilli(), free: make(chan struct{}, g.slots),
		primary: primary, state: "ready", term: 1, conns: map[net.Conn]bool{},
	}
	g.mu.Lock()
	g.servers = append(g.servers, s)
	g.mu.Unlock()
	go s.accept(l)
	go s.beat()
	s.report()
	return s, nil
}

func (s *server) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		s.g.mu.Lock()
		down := s.down
		s.conns[conn] = true
		s.g.mu.Unlock()
		if down {
			_ = conn.Close()
			continue
		}
		go func() {
			s.serve(conn)
			s.g.mu.Lock()
			delete(s.conns, conn)
			s.g.mu.Unlock()
			_ = conn.Close()
		}()
	}
}

func (s *server) beat() {
	for range time.Tick(heartbeat) {
		s.report()
	}
}

// report writes the row of the server.
func (s *server) report() {
	s.g.mu.Lock()
	s.sequence++
	role := "replica"
	if s.primary {
		role = "primary"
	}
	row := map[string]any{
		"service": s.g.name, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.g.slots, "state": s.state,
		"coldRemainingMs": 0, "databaseRole": role, "sequence": s.sequence, "born": s.born,
	}
	away := s.down || s.cutOff
	if !away {
		s.wrote, s.listed = time.Now(), true
	}
	s.g.mu.Unlock()
	if !away {
		s.g.store.put("servers", s.id, row)
	}
}

// position returns the end of the log of a server. The caller holds the lock.
func (s *server) position() string {
	if len(s.entries) == 0 {
		return "-"
	}
	return s.entries[len(s.entries)-1].position()
}
