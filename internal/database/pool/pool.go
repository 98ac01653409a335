// Package pool runs operations on database servers through the lanes that this instance holds.
//
// A lane is a session-level advisory lock on a database server, held on a control connection. The holder of a lane may
// open a fixed share of the server's connections and run a fixed number of statements at the same time. The control
// connection counts towards the share.
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
// A failed operation has the outcome not_run only if it cannot have taken effect: the kind of the driver error says so,
// or the operation belongs to a transaction whose commit was not sent. Any other failure has the outcome unknown.
//
// A connection runs one operation at a time and is reset afterwards. It is closed if it is not clean or if the reset
// fails.
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

	mu                sync.Mutex
	lanes             map[LaneID]*lane
	acquiring         map[LaneID]bool
	serverStates      ServerStates
	heldServers       atomic.Pointer[serverSet]
	transactions      map[string]*transaction
	endedTransactions map[string]endedTransaction
	withdrawnKeys     map[string]time.Time // by key hash: time of the withdrawal; rejects a Begin that is still in progress
	draining          bool
}

var _ operation.Performer = (*Pool)(nil)

// New returns a pool without lanes.
func New(c driver.Connector, o Options) *Pool {
	return &Pool{
		connector: c, options: o.withDefaults(),
		lanes: make(map[LaneID]*lane), acquiring: make(map[LaneID]bool),
		transactions: make(map[string]*transaction), endedTransactions: make(map[string]endedTransaction),
		withdrawnKeys: make(map[string]time.Time),
	}
}

// Acquire locks a lane of a server and starts its background work. share is the number of connections that the lane
// may open, including its control connection; inflight limits the statements that run at the same time. It fails with
// kind Taken if this or another instance holds the lane, with Invalid if the share leaves no connection for operations,
// with Unreachable if the server cannot be reached, and with Draining once Drain was called.
func (p *Pool) Acquire(ctx context.Context, s driver.Server, number, share, inflight int) error {
	id := LaneID{Server: s.Name, Lane: number}
	if share < 2 || inflight < 1 {
		return failure("hold", Invalid, eris.Errorf("share %d, minimum 2; statements in flight %d, minimum 1", share, inflight))
	}
	if err := p.reserve(id); err != nil {
		return err
	}
	control, err := p.lockLane(ctx, s, number)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.acquiring, id)
	if err != nil {
		return err
	}
	if p.draining {
		control.Close()
		return failure("hold", Draining, eris.New("pool is draining"))
	}
	l := newLane(p, s, number, share, inflight, control)
	p.lanes[id] = l
	p.updateHeldServers()
	l.startLoops()
	return nil
}

// reserve marks a lane as being acquired, so that only one Acquire at a time tries to lock it.
func (p *Pool) reserve(id LaneID) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.draining {
		return failure("hold", Draining, eris.New("pool is draining"))
	}
	if p.lanes[id] != nil || p.acquiring[id] {
		return failure("hold", Taken, eris.New("lane is held or being acquired by this instance"))
	}
	p.acquiring[id] = true
	return nil
}

// lockLane opens the control connection and tries to take the advisory lock of the lane on it.
func (p *Pool) lockLane(ctx context.Context, s driver.Server, number int) (driver.Conn, error) {
	control, err := p.connector.Connect(ctx, s)
	if err != nil {
		return nil, failure("hold", Unreachable, err)
	}
	locked, err := control.TryLane(ctx, number)
	if err == nil && locked {
		return control, nil
	}
	control.Close()
	if err != nil {
		return nil, failure("hold", Unreachable, err)
	}
	return nil, failure("hold", Taken, eris.New("lane is locked by another session"))
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
	l.stopAccepting(outcome.LaneUnavailable)
	l.waitIdle(ctx)
	l.close(outcome.LaneUnavailable)
}

// Drain refuses new work with draining, waits until queued and running work and open transactions have ended or the
// context ends, and then closes all lanes, which cancels what is left.
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
	// Active is the state of a server that gets all operations.
	Active ServerState = iota
	// Retiring is the state of a leaving primary that has not been replaced yet. It gets no new transactions, so that
	// open ones can finish before the change of primary ends them.
	Retiring
	// Leaving is the state of a server that gets no new operations; its open transactions may finish.
	Leaving
)

// ServerStates maps server names to states. A server that is missing is Active.
type ServerStates map[string]ServerState

// SetServerStates replaces the states of all servers. The caller must not change the map afterwards.
func (p *Pool) SetServerStates(states ServerStates) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serverStates = states
}

// HeldLanes lists the lanes that this pool holds, in no particular order.
func (p *Pool) HeldLanes() []LaneID {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := make([]LaneID, 0, len(p.lanes))
	for id := range p.lanes {
		held = append(held, id)
	}
	return held
}

// HoldsLane reports whether this pool holds a lane.
func (p *Pool) HoldsLane(id LaneID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lanes[id] != nil
}

// serverSet is a set of server names. It is immutable once it is stored in Pool.heldServers.
type serverSet map[string]struct{}

// updateHeldServers stores the set of servers of which this pool holds a lane. The caller holds p.mu.
func (p *Pool) updateHeldServers() {
	heldServers := serverSet{}
	for id := range p.lanes {
		heldServers[id.Server] = struct{}{}
	}
	p.heldServers.Store(&heldServers)
}

// HoldsAnyLane reports whether this pool holds a lane of a server. It takes no lock, because it is called for every
// operation.
func (p *Pool) HoldsAnyLane(server string) bool {
	heldServers := p.heldServers.Load()
	if heldServers == nil {
		return false
	}
	_, ok := (*heldServers)[server]
	return ok
}

// WithdrawKey ends the open transactions of a withdrawn key, rejects its queued work with key_withdrawn, and returns the
// number of transactions that it ended. Work that arrives later is rejected too, for EndedTransactionTTL.
func (p *Pool) WithdrawKey(keyHash string) int {
	if keyHash == "" {
		return 0
	}
	p.mu.Lock()
	p.withdrawnKeys[keyHash] = time.Now()
	lanes := make([]*lane, 0, len(p.lanes))
	for _, l := range p.lanes {
		lanes = append(lanes, l)
	}
	p.mu.Unlock()
	n := p.endMatching(outcome.KeyWithdrawn, func(t *transaction) bool { return t.keyHash == keyHash })
	for _, l := range lanes {
		l.scheduler.Remove(outcome.KeyWithdrawn, func(t queueTag) bool { return t.keyHash != "" && t.keyHash == keyHash })
	}
	return n
}

// Perform implements operation.Performer. It runs an operation on a lane of the server, or in the open transaction that
// the operation names. The context carries the deadline; it also bounds the wait in the lane's queue.
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
	_, beginsTransaction := op.(operation.Begin)
	l, reason := p.chooseLane(server, beginsTransaction)
	if reason != "" {
		return refused(reason)
	}
	defer l.finishOperation()
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

// chooseLane returns the least loaded usable lane of a server and counts one operation on it, which the caller ends with
// finishOperation. Otherwise it returns the reason for the refusal. beginsTransaction restricts the choice to active
// servers.
func (p *Pool) chooseLane(server string, beginsTransaction bool) (*lane, outcome.Reason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.draining {
		return nil, outcome.Draining
	}
	if state := p.serverStates[server]; state == Leaving || beginsTransaction && state != Active {
		return nil, outcome.ServerLeaving
	}
	var best *lane
	load := 0
	for id, l := range p.lanes {
		if id.Server != server || !l.usable() {
			continue
		}
		if n := l.scheduler.Load(); best == nil || n < load {
			best, load = l, n
		}
	}
	if best == nil || !best.startOperation() {
		return nil, outcome.LaneUnavailable
	}
	return best, ""
}

// removeLane deletes a closed lane from the pool.
func (p *Pool) removeLane(l *lane) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := LaneID{Server: l.server.Name, Lane: l.number}
	if p.lanes[id] == l {
		delete(p.lanes, id)
		p.updateHeldServers()
	}
}

// sleep waits for a duration. It returns false if the context ends first.
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

// errLaneClosed is returned when a connection is requested from a lane that is closed or whose last ping is too old.
var errLaneClosed = errors.New("lane is closed")
