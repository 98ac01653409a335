package main

import (
	"net"
	"slices"
	"strconv"
	"strings"
	"time"
)

// receive lets the replicas take what the primary has. The caller holds the lock.
func (g *group) receive() {
	p := g.leader()
	if p == nil || p.down {
		return
	}
	for _, s := range g.servers {
		if s == p || s.down || s.deaf || s.held != 0 {
			continue
		}
		n := len(p.entries)
		if s.refilling {
			// A server that started with nothing gets the log at a limited rate until it has all of it.
			n = min(n, max(len(s.entries), int(refillRate*time.Since(s.started).Seconds())))
			s.refilling = n < len(p.entries)
		}
		s.entries = append([]entry(nil), p.entries[:n]...)
		s.term = p.term
	}
}

func (g *group) leader() *server {
	for _, s := range g.servers {
		if s.primary {
			return s
		}
	}
	return nil
}

// holds reports whether a server's log has a position.
func (s *server) holds(position string) bool {
	t, n := parsePosition(position)
	if len(s.entries) == 0 {
		return n == 0
	}
	last := s.entries[len(s.entries)-1]
	return last.term > t || last.term == t && last.number >= n
}

func parsePosition(text string) (term, number uint64) {
	t, n, _ := strings.Cut(text, ".")
	term, _ = strconv.ParseUint(t, 10, 64)
	number, _ = strconv.ParseUint(n, 10, 64)
	return term, number
}

// promote carries out a promotion call.
func (g *group) promote(_, id, holder string, token uint64) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if token < g.token {
		return 409
	}
	var s *server
	for _, x := range g.servers {
		if x.id == id {
			s = x
		}
	}
	if s == nil || s.down {
		return 409
	}
	g.token = token
	g.log.add("promotion", map[string]any{"service": g.name, "id": id, "holder": holder, "token": token})
	if s.primary {
		return 200
	}
	time.AfterFunc(promoteDelay, func() {
		g.mu.Lock()
		if old := g.leader(); old != nil {
			old.primary = false
			s.term = max(s.term, old.term)
		}
		s.primary, s.held = true, 0
		s.term++
		g.promotions = append(g.promotions, promotion{server: s.id, at: time.Now(), log: slices.Clone(s.entries)})
		g.log.add("leads", map[string]any{"id": id, "term": s.term, "position": s.position()})
		g.mu.Unlock()
		for _, x := range g.servers {
			x.report()
		}
	})
	return 200
}

// crash stops a server: its connections are reset and new ones refused. It keeps its log.
func (s *server) crash() {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	s.down, s.held = true, 0
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
	s.g.log.add("crash", map[string]any{"server": s.id, "primary": s.primary, "position": s.position()})
}

// restart starts a server that crashed at its address, with its log or with nothing.
func (s *server) restart(empty bool) error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.g.mu.Lock()
	s.listener, s.down, s.born, s.sequence = l, false, time.Now().UnixMilli(), 0
	if empty {
		s.entries, s.term, s.refilling, s.started = nil, 0, true, time.Now()
	}
	s.g.log.add("start", map[string]any{"server": s.id, "primary": s.primary, "position": s.position()})
	s.g.mu.Unlock()
	go s.accept(l)
	s.report()
	return nil
}

// run lets replicas receive, and removes the entries of servers that have not written theirs for three heartbeat intervals.
func (g *group) run() {
	for range time.Tick(replication) {
		g.mu.Lock()
		g.receive()
		var gone []string
		for _, s := range g.servers {
			if s.listed && time.Since(s.wrote) > 3*heartbeat {
				s.listed = false
				gone = append(gone, s.id)
			}
		}
		g.mu.Unlock()
		for _, id := range gone {
			g.store.remove("servers", id)
		}
	}
}
