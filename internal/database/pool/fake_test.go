package pool

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"tanagercross/internal/database/driver"
)

// fakeServer is an in-memory server with one group log. It counts the executions of each request id, and its fault hook
// makes calls fail or loses their answers.
type fakeServer struct {
	mu                sync.Mutex
	term              uint64
	index             uint64
	records           map[string]driver.Record
	executions        map[string]int
	lanes             map[int]*fakeConn
	open              int
	maxOpen           int
	invalidCalls      atomic.Int32   // calls on a connection that is busy or closed, or whose last answer is still outstanding
	statementsStarted atomic.Int32   // reads, writes and statements of transactions
	lateEffects       []func() error // effects of writes and commits lost before they ran; a test applies them last
	// fault is called before and after the effect of each call and returns the error of the call, if any. An error
	// before the effect prevents it.
	fault func(ctx context.Context, call string, after bool) error
}

// fakeConn is a connection to a fakeServer.
type fakeConn struct {
	server        *fakeServer
	busy          atomic.Bool
	closed        atomic.Bool
	answerPending atomic.Bool // the answer to the last call was lost
	inTransaction bool
	pending       int
}

func newFakeServer() *fakeServer {
	return &fakeServer{
		term: 1, records: make(map[string]driver.Record), executions: make(map[string]int),
		lanes: make(map[int]*fakeConn), fault: func(context.Context, string, bool) error { return nil },
	}
}

// lost returns the error of a call whose answer was lost.
func lost() error { return fail(driver.ResponseLost) }

// fail returns a driver error of a kind.
func fail(k driver.Kind) error {
	return &driver.Error{Operation: "fake", Kind: k, Err: errors.New(string(k))}
}

func (s *fakeServer) Connect(context.Context, driver.Server) (driver.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open++
	s.maxOpen = max(s.maxOpen, s.open)
	return &fakeConn{server: s}, nil
}

// call runs the effect of one call between the two points at which the fault hook can make it fail.
func (c *fakeConn) call(ctx context.Context, name string, effect func() error) error {
	if !c.busy.CompareAndSwap(false, true) || c.closed.Load() || c.answerPending.Load() {
		c.server.invalidCalls.Add(1)
		return lost()
	}
	defer c.busy.Store(false)
	err := c.server.fault(ctx, name, false)
	if err == nil {
		c.server.mu.Lock()
		err = effect()
		c.server.mu.Unlock()
		if later := c.server.fault(ctx, name, true); later != nil {
			err = later
		}
	} else if driver.KindOf(err) == driver.ResponseLost && (name == "write" || name == "commit") {
		c.server.mu.Lock()
		c.server.lateEffects = append(c.server.lateEffects, effect)
		c.server.mu.Unlock()
	}
	c.answerPending.Store(err != nil && driver.KindOf(err) == driver.ResponseLost)
	return err
}

func (s *fakeServer) position() driver.Position { return driver.Position{Term: s.term, Index: s.index} }

// commit stores a record and counts its execution, or reports a replay or a reused request id.
func (s *fakeServer) commit(r driver.Record, replayed *bool) error {
	if old, ok := s.records[r.RequestID]; ok {
		*replayed = true
		if old != r {
			return fail(driver.RequestIDConflict)
		}
		return nil
	}
	s.records[r.RequestID] = r
	s.executions[r.RequestID]++
	s.index++
	return nil
}

func (c *fakeConn) Status(ctx context.Context) (st driver.Status, err error) {
	err = c.call(ctx, "status", func() error {
		st = driver.Status{Role: driver.Primary, Term: c.server.term, Last: c.server.position()}
		return nil
	})
	return st, err
}

func (c *fakeConn) Read(ctx context.Context, _ string, _ driver.Position, _ driver.Statement) (r driver.Result, err error) {
	c.server.statementsStarted.Add(1)
	err = c.call(ctx, "read", func() error { r.Position = c.server.position(); return nil })
	return r, err
}

func (c *fakeConn) Write(ctx context.Context, _ string, term uint64, rec driver.Record, _ driver.Statement) (r driver.Result, err error) {
	err = c.call(ctx, "write", func() error {
		if term != c.server.term {
			return fail(driver.NotPrimary)
		}
		c.server.statementsStarted.Add(1)
		err := c.server.commit(rec, &r.Replayed)
		r.Position = c.server.position()
		return err
	})
	return r, err
}

func (c *fakeConn) Begin(ctx context.Context, _ string, _ uint64) error {
	return c.call(ctx, "begin", func() error { c.inTransaction = true; return nil })
}

func (c *fakeConn) Run(ctx context.Context, _ driver.Statement) (r driver.Result, err error) {
	c.server.statementsStarted.Add(1)
	err = c.call(ctx, "run", func() error { c.pending++; return nil })
	return r, err
}

func (c *fakeConn) Commit(ctx context.Context, rec driver.Record) (r driver.Result, err error) {
	err = c.call(ctx, "commit", func() error {
		c.inTransaction = false
		err := c.server.commit(rec, &r.Replayed)
		r.Position = c.server.position()
		return err
	})
	return r, err
}

func (c *fakeConn) Rollback(ctx context.Context) error {
	return c.call(ctx, "rollback", func() error { c.inTransaction, c.pending = false, 0; return nil })
}

func (c *fakeConn) LookupRecord(ctx context.Context, _, id string) (st driver.RecordState, err error) {
	err = c.call(ctx, "recorded", func() error {
		rec, ok := c.server.records[id]
		st = driver.RecordState{Found: ok, Fingerprint: rec.Fingerprint, Position: c.server.position()}
		return nil
	})
	return st, err
}

func (c *fakeConn) RemoveRecords(ctx context.Context, _, before string, limit int) (n int64, err error) {
	err = c.call(ctx, "remove", func() error {
		for id := range c.server.records {
			if id < before && n < int64(limit) {
				delete(c.server.records, id)
				n++
			}
		}
		return nil
	})
	return n, err
}

func (c *fakeConn) Await(ctx context.Context, p driver.Position, _ time.Duration) error {
	return c.call(ctx, "await", func() error {
		if p.Term != c.server.term {
			return fail(driver.NotPrimary)
		}
		return nil
	})
}

func (c *fakeConn) Fence(context.Context, uint64, string) (driver.Status, error) {
	return driver.Status{}, fail(driver.StaleTerm)
}

func (c *fakeConn) Promote(context.Context, uint64, string) (driver.Status, error) {
	return driver.Status{}, fail(driver.StaleTerm)
}

func (c *fakeConn) TryLane(ctx context.Context, lane int) (free bool, err error) {
	err = c.call(ctx, "lane", func() error {
		if free = c.server.lanes[lane] == nil; free {
			c.server.lanes[lane] = c
		}
		return nil
	})
	return free, err
}

func (c *fakeConn) Ping(ctx context.Context) error {
	return c.call(ctx, "ping", func() error { return nil })
}

func (c *fakeConn) Reset(ctx context.Context) error {
	return c.call(ctx, "reset", func() error { return nil })
}

func (c *fakeConn) Clean() bool { return !c.answerPending.Load() && !c.inTransaction }

func (c *fakeConn) Close() {
	if c.closed.Swap(true) {
		return
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.server.open--
	for n, held := range c.server.lanes {
		if held == c {
			delete(c.server.lanes, n)
		}
	}
}
