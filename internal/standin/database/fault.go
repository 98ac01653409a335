package database

import (
	"sync"
	"sync/atomic"
	"time"
)

// Cut says which directions of traffic are cut, seen from the server.
type Cut struct {
	Inbound  bool
	Outbound bool
}

// gate stops callers of wait while it is shut. The zero value is open.
type gate struct {
	mu   sync.Mutex
	open chan struct{} // nil while open
}

func (g *gate) set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case shut && g.open == nil:
		g.open = make(chan struct{})
	case !shut && g.open != nil:
		close(g.open)
		g.open = nil
	}
}

// wait returns when the gate is open or done is closed.
func (g *gate) wait(done <-chan struct{}) {
	for {
		g.mu.Lock()
		open := g.open
		g.mu.Unlock()
		if open == nil {
			return
		}
		select {
		case <-open:
		case <-done:
			return
		}
	}
}

// faults holds the faults that are set on a server. The zero value has none.
type faults struct {
	frozen     gate
	clientIn   gate
	clientOut  gate
	dropCommit atomic.Bool

	mu   sync.Mutex
	cuts map[string]Cut
}

func (f *faults) cut(peer string) Cut {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cuts[peer]
}

// SetLag sets the delay between the arrival of a log entry and its processing. An entry is confirmed only after that.
func (s *Server) SetLag(d time.Duration) { s.lag.Store(int64(d)) }

// SetServiceTime sets the time that each statement holds its slot.
func (s *Server) SetServiceTime(d time.Duration) { s.serviceTime.Store(int64(d)) }

// SetPeerCut drops replication messages from (inbound) and to (outbound) a peer. The zero Cut ends it.
func (s *Server) SetPeerCut(peer string, c Cut) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	if s.faults.cuts == nil {
		s.faults.cuts = map[string]Cut{}
	}
	s.faults.cuts[peer] = c
}

// SetClientCut holds back requests (inbound) and answers (outbound) of all clients. Held messages arrive late once the
// cut ends, as retransmitted packets do.
func (s *Server) SetClientCut(c Cut) {
	s.faults.clientIn.set(c.Inbound)
	s.faults.clientOut.set(c.Outbound)
}

// DropNextCommitAnswer lets the next commit take effect and then closes its connection without an answer.
func (s *Server) DropNextCommitAnswer() { s.faults.dropCommit.Store(true) }

// Freeze stops all work as SIGSTOP does; connections stay open.
func (s *Server) Freeze() { s.faults.frozen.set(true) }

// Thaw ends Freeze.
func (s *Server) Thaw() { s.faults.frozen.set(false) }
