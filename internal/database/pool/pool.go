// Package pool runs operations on database servers through the lanes that this instance holds.
//
// A lane is a session-level advisory lock on a server, held by a control connection. It gives the right to a share of
// the server's connections and to a number of statements in flight. The control connection counts towards the share.
//
// # Usage
//
//	p := pool.New(connector, pool.Options{})
//	if err := p.Acquire(ctx, server, 0, 15, 2); pool.KindOf(err) == pool.Taken {
//		return // another instance holds the lane
//	}
//	reply := p.Perform(ctx, server.Name, operation.Read{Organisation: "sertao_coop", Statement: s})
//	p.Drain(ctx)
//
// Verdicts are exact: not_run is given only if the statement provably took no effect, by the kinds of driver errors and
// because a transaction whose commit was never sent cannot take effect. Everything else is unknown.
//
// A connection runs one operation at a time and is reset after it. A connection that is not clean, or that fails to
// reset, is closed.
package pool

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/operation"
	"tanagercross/internal/session/outcome"
)

// LaneID identifies a lane of a server.
type LaneID struct {
	Server string
	Lane   int
}

// Pool holds lanes and implements operation.Performer. It is safe for concurrent use.
type Pool struct {
	connector driver.Connector
	options   Options

	mu           sync.Mutex
	lanes        map[LaneID]*lane
	taking       map[LaneID]bool
	presences    ServerStates
	held         atomic.Pointer[heldServers]
	transactions map[string]*transaction
	endings      map[string]ending
	withdrawn    map[string]time.Time // key hashes, so that a Begin in progress does not survive the withdrawal
	draining     bool
}

var _ operation.Performer = (*Pool)(nil)

// New returns a pool without lanes.
func New(c driver.Connector, o Options) *Pool {
	return &Pool{
		connector: c, options: o.withDefaults(),
		lanes: make(map[LaneID]*lane), taking: make(map[LaneID]bool),
		transactions: make(map[string]*transaction), endings: make(map[string]ending),
		withdrawn: make(map[string]time.Time),
	}
}

// Acquire locks a lane of a server and starts its background work. share is the number of connections that the lane
// may open, including its control connection; inflight limits the statements that run at the same time. It fails with
// kind Taken if this or another instance holds the lane, with Invalid if the share leaves no connection for operations,
// with Unreachable if the server cannot be reached, and with Draining once Drain was called.
func (p *Pool) Acquire(ctx context.Context, s driver.Server, number, share, inflight int) error {
	h := LaneID{Server: s.Name, Lane: number}
	if share < 2 || inflight < 1 {
		return failure("hold", Invalid, eris.Errorf("share %d, in flight %d", share, inflight))
	}
	if err := p.reserve(h); err != nil {
		return err
	}
	control, err := p.lock(ctx, s, number)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.taking, h)
	if err != nil {
		return err
	}
	if p.draining {
		control.Close()
		return failure("hold", Draining, eris.New("pool is draining"))
	}
	l := newLane(p, s, number, share, inflight, control)
	p.lanes[h] = l
	p.publish()
	l.start()
	return nil
}

func (p *Pool) reserve(h LaneID) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.draining {
		return failure("hold", Draining, eris.New("pool is draining"))
	}
	if p.lanes[h] != nil || p.taking[h] {
		return failure("hold", Taken, eris.New("lane is held here"))
	}
	p.taking[h] = true
	return nil
}

func (p *Pool) lock(ctx context.Context, s driver.Server, number int) (driver.Conn, error) {
	control, err := p.connector.Connect(ctx, s)
	if err != nil {
		return nil, failure("hold", Unreachable, err)
	}
	free, err := control.TryLane(ctx, number)
	if err == nil && free {
		return control, nil
	}
	control.Close()
	if err != nil {
		return nil, failure("hold", Unreachable, err)
	}
	return nil, failure("hold", Taken, eris.New("lane is held elsewhere"))
}

// Release releases a lane and its lock. Queued work is rejected with lane_unavailable. Running statements and open
// transactions may finish before the lock is released; those that remain when the context ends are cancelled.
func (p *Pool) Release(ctx context.Context, server string, number int) {
	p.mu.Lock()
	l := p.lanes[LaneID{Server: server, Lane: number}]
	p.mu.Unlock()
	if l == nil {
		return
	}
	l.refuse(outcome.LaneUnavailable)
	l.waitIdle(ctx)
	l.close(outcome.LaneUnavailable)
}

// Drain refuses new work, lets queued and running work and open transactions end until the context ends, and releases
// all lanes.
func (p *Pool) Drain(ctx context.Context) {
	p.mu.Lock()
	p.draining = true
	lanes := make([]*lane, 0, len(p.lanes))
	for _, l := range p.lanes {
		lanes = append(lanes, l)
	}
	p.mu.Unlock()
	for _, l := range lanes {
		l.waitIdle(ctx)
		l.close(outcome.Draining)
	}
}

// ServerState says which work a server may get.
type ServerState int

// States of a server.
const (
	Active ServerState = iota
	// Retiring is the state of a leaving primary that has not been replaced yet. It gets no new transactions, so that open
	// ones can finish before the change of primary ends them.
	Retiring
	// Leaving is the state of a server that gets no new operations; its open transactions may finish.
	Leaving
)

// ServerStates maps server names to states. A server that is missing is Active.
type ServerStates map[string]ServerState

// SetServerStates replaces the states of all servers. The caller must not change the map afterwards.
func (p *Pool) SetServerStates(all ServerStates) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.presences = all
}

// HeldLanes lists the lanes that this pool holds, in no particular order.
func (p *Pool) HeldLanes() []LaneID {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := make([]LaneID, 0, len(p.lanes))
	for h := range p.lanes {
		held = append(held, h)
	}
	return held
}

// HoldsLane reports whether this pool holds a lane.
func (p *Pool) HoldsLane(h LaneID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lanes[h] != nil
}

// heldServers holds the names of the servers of which a lane is held. It is not changed once published.
type heldServers map[string]struct{}

// publish publishes the servers of the lanes. It needs the mutex.
func (p *Pool) publish() {
	held := heldServers{}
	for h := range p.lanes {
		held[h.Server] = struct{}{}
	}
	p.held.Store(&held)
}

// HoldsAnyLane reports whether this pool holds a lane of a server. It takes no lock, because it is called for every
// operation.
func (p *Pool) HoldsAnyLane(server string) bool {
	held := p.held.Load()
	if held == nil {
		return false
	}
	_, ok := (*held)[server]
	return ok
}

// WithdrawKey ends the open transactions of a withdrawn key, rejects its queued work with key_withdrawn, and returns the
// number of transactions that it ended. Work that arrives later is rejected too, for EndedTransactionTTL.
func (p *Pool) WithdrawKey(keyHash string) int {
	if keyHash == "" {
		return 0
	}
	p.mu.Lock()
	p.withdrawn[keyHash] = time.Now()
	lanes := make([]*lane, 0, len(p.lanes))
	for _, l := range p.lanes {
		lanes = append(lanes, l)
	}
	p.mu.Unlock()
	n := p.endWhere(outcome.KeyWithdrawn, func(t *transaction) bool { return t.keyHash == keyHash })
	for _, l := range lanes {
		l.scheduler.Remove(outcome.KeyWithdrawn, func(t tag) bool { return t.keyHash != "" && t.keyHash == keyHash })
	}
	return n
}

// Perform implements operation.Performer. The context carries the deadline.
func (p *Pool) Perform(ctx context.Context, server string, op operation.Operation) operation.Reply {
	if ctx.Err() != nil {
		return refused(outcome.DeadlineExceeded)
	}
	switch op := op.(type) {
	case operation.Run:
		return p.run(ctx, server, op)
	case operation.Commit:
		return p.commit(ctx, server, op)
	case operation.Rollback:
		return p.rollback(server, op)
	}
	_, begins := op.(operation.Begin)
	l, reason := p.choose(server, begins)
	if reason != "" {
		return refused(reason)
	}
	defer l.leave()
	switch op := op.(type) {
	case operation.Read:
		return l.read(ctx, op)
	case operation.Write:
		return l.write(ctx, op)
	case operation.Begin:
		return l.begin(ctx, op)
	case operation.Lookup:
		return l.lookup(ctx, op)
	}
	return refused(outcome.RequestInvalid)
}

// choose returns the least loaded lane of a server, entered by one operation. A transaction begins only at a server that
// stays.
func (p *Pool) choose(server string, begins bool) (*lane, outcome.Reason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.draining {
		return nil, outcome.Draining
	}
	if presence := p.presences[server]; presence == Leaving || begins && presence != Active {
		return nil, outcome.ServerLeaving
	}
	var best *lane
	load := 0
	for h, l := range p.lanes {
		if h.Server != server || !l.usable() {
			continue
		}
		if n := l.scheduler.Load(); best == nil || n < load {
			best, load = l, n
		}
	}
	if best == nil || !best.enter() {
		return nil, outcome.LaneUnavailable
	}
	return best, ""
}

func (p *Pool) forget(l *lane) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := LaneID{Server: l.server.Name, Lane: l.number}
	if p.lanes[h] == l {
		delete(p.lanes, h)
		p.publish()
	}
}

// sleep waits for a duration and reports false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// errClosed is the cause of a use of a lane that is closed.
var errClosed = errors.New("lane is closed")
