package database

import (
	"encoding/json"
	"net"
	"time"

	"tanagercross/internal/database/driver"
)

// follower is the primary's knowledge of another server's log. It is guarded by the server's mutex.
type follower struct {
	next   uint64 // index of the next entry to send
	match  uint64 // highest index known to be equal
	notify chan struct{}
}

func (f *follower) wake() {
	select {
	case f.notify <- struct{}{}:
	default:
	}
}

// message goes to another server at least once per heartbeat. Only a primary sets Append.
type message struct {
	From     string          `json:"from"`
	Promise  promise         `json:"promise"`
	Append   bool            `json:"append,omitempty"`
	Previous driver.Position `json:"previous"` // of the entry before Entries
	Entries  []entry         `json:"entries,omitempty"`
}

// reply answers a message. Match and Hint belong to an append in the same term.
type reply struct {
	Promise promise `json:"promise"`
	Append  bool    `json:"append,omitempty"`
	Term    uint64  `json:"term"` // of the message
	Equal   bool    `json:"equal,omitempty"`
	Match   uint64  `json:"match,omitempty"` // highest index known to be equal, if Equal
	Hint    uint64  `json:"hint,omitempty"`  // highest index that may be equal, if not Equal
}

func (s *Server) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.ctx.Done():
	}
}

// contactPeer keeps a connection to a peer until the server ends.
func (s *Server) contactPeer(p Peer) {
	for s.ctx.Err() == nil {
		s.faults.frozen.wait(s.ctx.Done())
		conn, err := net.DialTimeout("tcp", p.Address, dialTimeout)
		if err == nil && s.track(conn, false) {
			s.stream(p, conn)
			s.untrack(conn)
		}
		s.sleep(redialInterval)
	}
}

// stream sends messages on a connection and processes the replies until the connection fails.
func (s *Server) stream(p Peer, conn net.Conn) {
	s.mu.Lock()
	f := s.followers[p.Name]
	f.next = f.match + 1
	s.mu.Unlock()
	received := make(chan struct{})
	go func() {
		defer close(received)
		s.receiveReplies(p, conn)
	}()
	defer func() {
		conn.Close()
		<-received
	}()
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	encoder := json.NewEncoder(conn)
	for {
		s.faults.frozen.wait(s.ctx.Done())
		m, more := s.nextMessage(f)
		if !s.faults.cut(p.Name).Outbound {
			conn.SetWriteDeadline(time.Now().Add(peerWriteTimeout))
			if encoder.Encode(m) != nil {
				return
			}
		}
		if more {
			continue
		}
		select {
		case <-f.notify:
		case <-ticker.C:
		case <-received:
			return
		case <-s.ctx.Done():
			return
		}
	}
}

// nextMessage takes the next entries for a follower and reports whether more are left.
func (s *Server) nextMessage(f *follower) (message, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := message{From: s.config.Name, Promise: s.promise}
	if s.role != driver.Primary {
		return m, false
	}
	last := s.log.last().Index
	f.next = max(1, min(f.next, last+1))
	end := min(last, f.next-1+batchSize)
	m.Append = true
	m.Previous.Index = f.next - 1
	m.Previous.Term, _ = s.log.term(m.Previous.Index)
	m.Entries = append(m.Entries, s.log.entries[f.next-1:end]...)
	f.next = end + 1
	return m, end < last
}

func (s *Server) receiveReplies(p Peer, conn net.Conn) {
	decoder := json.NewDecoder(conn)
	for {
		var r reply
		if decoder.Decode(&r) != nil {
			return
		}
		s.faults.frozen.wait(s.ctx.Done())
		if !s.faults.cut(p.Name).Inbound {
			s.receiveReply(s.followers[p.Name], r)
		}
	}
}

func (s *Server) receiveReply(f *follower, r reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return
	}
	if err := s.adopt(r.Promise); err != nil {
		s.fail(err)
		return
	}
	if !r.Append || s.role != driver.Primary || r.Term != s.promise.Term || r.Promise.Primary != s.config.Name {
		return
	}
	if !r.Equal {
		f.next, f.match = r.Hint+1, min(f.match, r.Hint)
		f.wake()
		return
	}
	f.match = max(f.match, r.Match)
	s.countReplicated()
}

func (s *Server) acceptPeers() {
	for {
		conn, err := s.peers.Accept()
		if err != nil {
			return
		}
		if s.track(conn, false) {
			s.start(func() {
				s.servePeer(conn)
				s.untrack(conn)
			})
		}
	}
}

type arrival struct {
	message message
	at      time.Time
}

// servePeer answers a peer's messages in order, each at least the lag after its arrival.
func (s *Server) servePeer(conn net.Conn) {
	inbox := make(chan arrival, inboxSize)
	s.start(func() {
		defer close(inbox)
		decoder := json.NewDecoder(conn)
		for {
			var m message
			if decoder.Decode(&m) != nil {
				return
			}
			s.faults.frozen.wait(s.ctx.Done())
			if s.faults.cut(m.From).Inbound {
				continue
			}
			s.noteContact(m)
			select {
			case inbox <- arrival{m, time.Now()}:
			case <-s.ctx.Done():
				return
			}
		}
	})
	encoder := json.NewEncoder(conn)
	for a := range inbox {
		if a.message.Append {
			s.sleep(time.Until(a.at.Add(time.Duration(s.lag.Load()))))
		}
		s.faults.frozen.wait(s.ctx.Done())
		r, err := s.receive(a.message)
		if err != nil {
			s.fail(err)
			return
		}
		if s.faults.cut(a.message.From).Outbound {
			continue
		}
		conn.SetWriteDeadline(time.Now().Add(peerWriteTimeout))
		if encoder.Encode(r) != nil {
			conn.Close() // ends the reading goroutine, which closes the inbox
		}
	}
}

// noteContact records that the primary is alive as soon as its message arrives, whatever the lag.
func (s *Server) noteContact(m message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.Append && m.Promise.Term == s.promise.Term && m.From == s.promise.Primary {
		s.contact = time.Now()
	}
}

// receive processes a message from another server.
func (s *Server) receive(m message) (reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return reply{}, nil
	}
	if err := s.adopt(m.Promise); err != nil {
		return reply{}, err
	}
	r := reply{Promise: s.promise, Append: m.Append, Term: m.Promise.Term}
	if !m.Append || m.Promise.Term != s.promise.Term || m.From != s.promise.Primary {
		return r, nil
	}
	if term, ok := s.log.term(m.Previous.Index); !ok || term != m.Previous.Term {
		r.Hint = s.hint(m.Previous.Index)
		return r, nil
	}
	r.Equal = true
	r.Match = m.Previous.Index + uint64(len(m.Entries))
	return r, s.store(m.Entries)
}

// hint returns the highest index below a mismatch at index that may be equal; it passes over the whole mismatched term.
func (s *Server) hint(index uint64) uint64 {
	last := s.log.last().Index
	if index > last {
		return last
	}
	term, _ := s.log.term(index)
	for index > 0 {
		if t, _ := s.log.term(index); t != term {
			break
		}
		index--
	}
	return index
}

// store appends the entries that the log lacks. A branch that differs is truncated first and the files are rebuilt.
func (s *Server) store(entries []entry) error {
	for _, e := range entries {
		term, ok := s.log.term(e.Index)
		if ok && term == e.Term {
			continue
		}
		if ok {
			if err := s.log.truncate(e.Index - 1); err != nil {
				return err
			}
			if err := s.rebuild(); err != nil {
				return err
			}
		}
		if err := s.log.append(e); err != nil {
			return err
		}
		if e.Organisation == "" {
			continue
		}
		o, err := s.openOrganisation(e.Organisation)
		if err != nil {
			return err
		}
		if err := o.apply(e); err != nil {
			return err
		}
	}
	return nil
}
