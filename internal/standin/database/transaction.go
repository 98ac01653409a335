package database

import (
	"sync"
	"time"

	"tanagercross/internal/database/driver"
)

// transaction is the one write transaction of an organisation. It is guarded by mu; the server's mutex is taken first
// where both are needed.
type transaction struct {
	mu           sync.Mutex
	organisation string
	store        *organisation
	statements   []statement
	ended        bool
}

func errNotPrimary(operation string) error {
	return failure(operation, codeReadOnly, "the server is not primary")
}

func (s *Server) isPrimary() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.role == driver.Primary
}

// demotionCount returns how often the server has taken a promise.
func (s *Server) demotionCount() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.demotions
}

// beginWrite waits for the organisation's writer place and starts a transaction. It refuses work that arrived before the
// server last took a promise, also if the server is primary again.
func (s *Server) beginWrite(name string, demotions uint64) (*transaction, error) {
	store, _, err := s.organisation(name)
	if err != nil {
		return nil, err
	}
	if !s.isPrimary() {
		return nil, errNotPrimary("write")
	}
	timer := time.NewTimer(s.config.LockTimeout)
	defer timer.Stop()
	select {
	case <-store.place:
	case <-timer.C:
		return nil, failure("write", codeLockTimeout, "another transaction of the organisation is writing")
	case <-s.ctx.Done():
		return nil, failure("write", codeShutdown, "the server is ending")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != driver.Primary || s.organisations[name] != store || s.demotions != demotions {
		store.place <- struct{}{}
		return nil, errNotPrimary("write")
	}
	if err := store.control("BEGIN IMMEDIATE"); err != nil {
		store.place <- struct{}{}
		return nil, err
	}
	t := &transaction{organisation: name, store: store}
	s.transactions[t] = struct{}{}
	return t, nil
}

// run runs a statement in the transaction.
func (t *transaction) run(c command, arguments []*string) (result, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return result{}, errNotPrimary("write")
	}
	if c.class == classRead {
		return query(t.store.writer, c, arguments)
	}
	r, err := t.store.change(c, arguments)
	if err == nil {
		t.statements = append(t.statements, statement{SQL: c.text, Arguments: arguments})
	}
	return r, err
}

// finish ends the SQLite transaction. It needs both mutexes.
func (s *Server) finish(t *transaction, verb string) error {
	err := t.store.control(verb)
	if err != nil && verb == "COMMIT" {
		t.store.control("ROLLBACK")
	}
	t.ended = true
	delete(s.transactions, t)
	t.store.place <- struct{}{}
	return err
}

// rollback ends a transaction without effect.
func (s *Server) rollback(t *transaction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.ended {
		s.finish(t, "ROLLBACK")
	}
}

// commit makes a transaction's changes visible and appends them to the log. Both happen under the server's mutex, so
// nobody sees a change without its position.
func (s *Server) commit(t *transaction) (driver.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return driver.Position{}, errNotPrimary("commit")
	}
	if s.ctx.Err() != nil {
		s.finish(t, "ROLLBACK")
		return driver.Position{}, failure("commit", codeShutdown, "the server is ending")
	}
	if err := s.finish(t, "COMMIT"); err != nil {
		return driver.Position{}, err
	}
	e := entry{Term: s.promise.Term, Index: s.log.last().Index + 1, Organisation: t.organisation, Statements: t.statements}
	if err := s.log.append(e); err != nil {
		s.fail(err)
		return driver.Position{}, &Error{Operation: "commit", Kind: codeShutdown, Err: err}
	}
	for _, f := range s.followers {
		f.wake()
	}
	s.countReplicated()
	return e.position(), nil
}
