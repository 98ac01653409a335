package database

import (
	"cmp"
	"slices"
	"time"

	"tanagercross/internal/database/driver"
)

const initialHolder = "initial" // holder of term 1, which no watcher fenced

// resume restores the role at start. A primary whose log lost its tail does not lead again in its term: it would give
// the lost indexes to new entries of the same term.
func (s *Server) resume() error {
	p, found, err := loadPromise(s.promisePath())
	if err != nil {
		return err
	}
	if !found && s.config.InitialPrimary {
		p = promise{Term: 1, Holder: initialHolder, Primary: s.config.Name}
	}
	if p.Primary == s.config.Name && s.log.torn {
		p.Primary = ""
	}
	if err := p.save(s.promisePath(), s.config.Sync); err != nil {
		return err
	}
	s.promise = p
	switch p.Primary {
	case s.config.Name:
		return s.lead()
	case "":
		s.role = driver.Fenced
	default:
		s.role = driver.Replica
	}
	return nil
}

// lead makes the server primary of its promised term. It needs the mutex.
func (s *Server) lead() error {
	if s.log.last().Term != s.promise.Term {
		e := entry{Term: s.promise.Term, Index: s.log.last().Index + 1}
		if err := s.log.append(e); err != nil {
			return err
		}
	}
	s.role = driver.Primary
	s.replicated = 0
	for _, f := range s.followers {
		f.next, f.match = s.log.last().Index, 0
	}
	s.announce()
	s.countReplicated()
	return nil
}

// announce wakes everyone who waits for a change of the role or of the replicated index. It needs the mutex.
func (s *Server) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
	for _, f := range s.followers {
		f.wake()
	}
}

// take stores a promise and gives up the primary role. It ends all open transactions: the proxy concludes from an absent
// record at a newer primary that a write was not run, so that none may commit later. It needs the mutex.
func (s *Server) take(p promise, role driver.Role) error {
	if err := p.save(s.promisePath(), s.config.Sync); err != nil {
		return &Error{Operation: "promise", Kind: codeInternal, Err: err}
	}
	for t := range s.transactions {
		t.mu.Lock()
		s.finish(t, "ROLLBACK")
		t.mu.Unlock()
	}
	s.promise, s.role, s.replicated = p, role, 0
	s.demotions++
	s.announce()
	return nil
}

// adopt follows the primary of a higher term, or of the promised term if its primary was unknown. A higher term without
// primary is not adopted from another server, so that one fenced server does not end a working primary.
func (s *Server) adopt(p promise) error {
	newer := p.Term > s.promise.Term || p.Term == s.promise.Term && s.promise.Primary == ""
	if !newer || p.Primary == "" || p.Primary == s.config.Name {
		return nil
	}
	s.contact = time.Now()
	return s.take(p, driver.Replica)
}

func (s *Server) fence(term uint64, holder string) (driver.Status, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if term == s.promise.Term && holder == s.promise.Holder {
		return s.status(), nil
	}
	if term <= s.promise.Term {
		return driver.Status{}, s.stale("fence")
	}
	if err := s.take(promise{Term: term, Holder: holder}, driver.Fenced); err != nil {
		return driver.Status{}, err
	}
	return s.status(), nil
}

func (s *Server) promote(term uint64, holder string) (driver.Status, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if term != s.promise.Term || holder != s.promise.Holder {
		return driver.Status{}, s.stale("promote")
	}
	switch s.promise.Primary {
	case s.config.Name:
		return s.status(), nil
	case "":
	default:
		return driver.Status{}, s.stale("promote")
	}
	p := s.promise
	p.Primary = s.config.Name
	if err := p.save(s.promisePath(), s.config.Sync); err != nil {
		return driver.Status{}, &Error{Operation: "promote", Kind: codeInternal, Err: err}
	}
	s.promise = p
	if err := s.lead(); err != nil {
		s.fail(err)
		return driver.Status{}, &Error{Operation: "promote", Kind: codeInternal, Err: err}
	}
	return s.status(), nil
}

func (s *Server) stale(operation string) error {
	return failure(operation, codeStaleTerm, "promised term %d to %s, primary %q", s.promise.Term, s.promise.Holder, s.promise.Primary)
}

// status needs the mutex.
func (s *Server) status() driver.Status {
	status := driver.Status{
		Server: s.config.Name, Role: s.role, Term: s.promise.Term, Holder: s.promise.Holder,
		Last: s.log.last(), Primary: s.promise.Primary, ReplicatedIndex: s.replicated,
	}
	if s.role != driver.Primary {
		status.PrimaryContact = time.Since(s.contact)
	}
	return status
}

// Status returns the server's report about itself.
func (s *Server) Status() driver.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status()
}

// countReplicated moves the replicated index to the highest entry of the current term that a majority holds. It needs
// the mutex.
func (s *Server) countReplicated() {
	if s.role != driver.Primary {
		return
	}
	held := []uint64{s.log.last().Index}
	for _, f := range s.followers {
		held = append(held, f.match)
	}
	slices.SortFunc(held, func(a, b uint64) int { return cmp.Compare(b, a) })
	index := held[len(held)/2]
	if term, _ := s.log.term(index); term == s.promise.Term && index > s.replicated {
		s.replicated = index
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// await reports whether a majority holds the index in the term before the timeout.
func (s *Server) await(term, index uint64, timeout time.Duration) (bool, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		s.mu.Lock()
		primary, replicated, changed := s.role == driver.Primary && s.promise.Term == term, s.replicated, s.changed
		s.mu.Unlock()
		if !primary {
			return false, failure("await", codeReadOnly, "not primary in term %d", term)
		}
		if replicated >= index {
			return true, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return false, nil
		case <-s.ctx.Done():
			return false, failure("await", codeShutdown, "the server is ending")
		}
	}
}
