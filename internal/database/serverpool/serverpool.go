// Package serverpool runs statements on one database server through a bounded pool of connections.
//
// A server connection belongs to one organisation. The pool reuses connections of the same organisation, sets the session
// values and prepared statements of a call on its connection before the statement runs, shares the server's slots fairly
// between organisations, and runs all statements of a transaction on the same connection.
//
// # Usage
//
//	p := serverpool.New(target, dialer, serverpool.Options{Slots: 2, Connections: 24})
//	defer p.Close()
//	answer := p.Execute(ctx, call)
//	index, ok := p.ReadIndex(ctx, 300*time.Millisecond, organisation)
//
// Execute returns delivery NotSent only if the caller's statement did not reach the server. Reads with scope Leader run
// inside a read-write transaction, which a server that no longer leads refuses to open; it would still answer a read
// outside of a transaction.
//
// A server may send an answer again. Package correlation tells which answers are certain; a write is sent only after the
// certain success of the commands before it, and a read index counts only if its answer is certain.
package serverpool

import (
	"context"
	"sync"
	"time"

	"tanagercross/internal/database/connplan"
	"tanagercross/internal/database/readindex"
	"tanagercross/internal/database/slowstart"
	"tanagercross/internal/database/statement"
	"tanagercross/internal/instance/clock"
)

// Limits of a pool.
const (
	defaultSlots       = 2
	defaultConnections = 8
	// prefetchedStatements is how many statements are sent beyond the server's slots, so that a slot that becomes free
	// finds the next statement at the server.
	prefetchedStatements = 1
	// maxQueued bounds the queue of one organisation.
	maxQueued = 24
	// maxInOrder is the length up to which the queue of an organisation is served in order of arrival. That many
	// statements wait for less than most operations may take, even beside seven other organisations with full queues.
	maxInOrder     = 6
	dialTimeout    = 600 * time.Millisecond
	controlTimeout = 400 * time.Millisecond // for commands that occupy no slot of the server
	// slotHoldTimeout is the time after which a statement without an answer gives its slot to the next one.
	slotHoldTimeout        = 300 * time.Millisecond
	maxConnectionIdle      = 45 * time.Second // servers close idle connections after a minute
	maxPrepared            = 48               // prepared statements on one connection
	closeIdleAfterFailures = 2                // consecutive failures
	tooManyPause           = 2 * time.Second  // without additional connections after the server refused one
	distrustPeriod         = 30 * time.Second // after an answer that belonged to no command
)

// Options sets the limits of a pool. Zero fields take the defaults.
type Options struct {
	Slots           int // statements that the server runs at the same time
	Connections     int
	TransactionIdle time.Duration        // longest pause inside a transaction; 0 for no limit
	Boot            func() time.Duration // clock that counts suspended time; nil for the machine's own
	// PriorityScheduling serves statements by package serverqueue instead of fairness, and reports the load of the server in
	// the answers.
	PriorityScheduling bool
	Queue              QueueObserver // may be nil
	// SlowStart makes the pool begin a slow start when the server answers after failures, and record its latencies.
	SlowStart   bool
	Latencies   *slowstart.Latencies // of the servers of the group; may be nil
	OnSlowStart func(SlowStart)      // called with the pool locked; may be nil
}

// WithDefaults returns a copy in which zero fields have their defaults.
func (o Options) WithDefaults() Options {
	if o.Slots <= 0 {
		o.Slots = defaultSlots
	}
	if o.Connections <= 0 {
		o.Connections = defaultConnections
	}
	if o.Boot == nil {
		o.Boot = clock.Boot
	}
	return o
}

// pooledConn is a connection and the state that the server keeps for it.
type pooledConn struct {
	conn         statement.Conn
	organisation string
	lastSession  string            // id of the session that used the connection last
	values       map[string]string // session values that are set on the server
	prepared     map[string]bool   // names of the statements that are prepared on the server
	idleSince    time.Duration
	// unprovenSetup is set while it is not proven that the server has the session values and prepared statements above.
	unprovenSetup bool
	strays        int            // stray answers that are accounted for
	opened        bool           // a transaction of the instance's own may be open
	plan          *connplan.Plan // that counts the connection as in use; nil if none does
	use           connplan.Use
	turn          turn // of the statement that runs on the connection
}

// transaction is an open transaction of a caller and the connection that it occupies.
type transaction struct {
	mu         sync.Mutex // held while a statement runs
	pooledConn *pooledConn
	session    string
	lastUsed   time.Duration
	finished   bool
}

// Pool runs statements on one server. It is safe for concurrent use.
type Pool struct {
	target    statement.Target
	dialer    statement.Dialer
	options   Options
	admission admission
	pacer     pacer

	mu                sync.Mutex
	connections       int // open or being opened
	connectionLimit   int
	idleConnections   map[string][]*pooledConn // by organisation, in the order of their release
	waiters           []chan struct{}          // of callers that wait for a connection, oldest first
	planning          planning
	transactions      map[uint64]*transaction
	inFlight          map[*pooledConn]time.Duration // when the commands without an answer were sent
	lastTransactionID uint64
	closed            bool
	dialPausedUntil   time.Duration // the server refused a connection because it had too many
	openedConnections uint64
	replacements      Replacements
	health            Health
	readIndex         readindex.Index // newest one that the server confirmed
	lastOrganisation  string          // of the newest call
	lag               lag
	distrustedUntil   time.Duration // the server has sent answers that belonged to no command
	evacuatedUntil    time.Duration // end of the open transactions of an evacuated server; 0 if it is not evacuated
}

// Health describes the server as seen through the pool.
type Health struct {
	Failures   int           // consecutive ones
	Since      time.Duration // when the first of these failures happened
	Refused    bool          // nothing listened at the address at the last attempt
	LastAnswer time.Duration // when the server last answered
	NotLeading bool          // the server refused the last statement that only a leader runs
}

// New returns a pool without connections.
func New(t statement.Target, d statement.Dialer, o Options) *Pool {
	o = o.WithDefaults()
	return &Pool{
		target: t, dialer: d, options: o, connectionLimit: o.Connections,
		admission:       newAdmission(t, o),
		idleConnections: map[string][]*pooledConn{}, transactions: map[uint64]*transaction{},
		inFlight: map[*pooledConn]time.Duration{}, lastTransactionID: uint64(time.Now().UnixNano()),
	}
}

// Target returns the server of the pool.
func (p *Pool) Target() statement.Target { return p.target }

// SetConnections changes the connection limit, to at least 1. Connections above it are closed when they are released.
func (p *Pool) SetConnections(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.options.Connections = max(1, n)
	p.connectionLimit = p.options.Connections
}

// Health returns the present health of the server.
func (p *Pool) Health() Health {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.health
}

// Counts returns the number of open connections, of open transactions, of queued and running statements, and of all
// connections opened so far.
func (p *Pool) Counts() (connections, transactions, load int, openedConnections uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connections, len(p.transactions), p.admission.size(), p.openedConnections
}

// Replacements counts connections that were closed because answers of the server are not certain.
type Replacements struct {
	Unproven  uint64 // for a write, whose setup needed a proof that the connection could not give
	OutOfStep uint64 // an answer may still have been on its way, or the setup was not proven at the end of a statement
}

// Replacements returns the replacements so far.
func (p *Pool) Replacements() Replacements {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.replacements
}

// Load returns the number of queued and running statements.
func (p *Pool) Load() int { return p.admission.size() }

// Execute runs a statement. The context and the timeout of the call bound the time in the queue and on the server
// together.
func (p *Pool) Execute(ctx context.Context, c statement.Call) statement.Answer {
	answer := p.execute(ctx, c)
	answer.Load = p.admission.load()
	return answer
}

func (p *Pool) execute(ctx context.Context, c statement.Call) statement.Answer {
	if c.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Timeout)
		defer cancel()
		// The timer does not count the time of a suspended machine.
		c.Expires = p.options.Boot() + c.Timeout
	}
	switch c.Step {
	case statement.Next, statement.End:
		return p.continueTransaction(ctx, c)
	}
	if refusal, behind := p.refuseBehind(c); behind {
		return refusal
	}
	ticket, pc, refusal := p.acquireSlot(ctx, c)
	if pc == nil {
		return refusal
	}
	defer ticket.Release()
	t, answer := pc.turn, statement.NoAnswer("internal error")
	defer func() { p.endTurn(t, c, answer) }()
	if c.Step == statement.First {
		answer = p.startTransaction(ctx, pc, c)
		return answer
	}
	var clean bool
	answer, clean = p.runSingle(ctx, pc, c)
	if clean {
		p.release(pc)
	} else {
		p.discard(pc)
	}
	return answer
}

// acquireSlot waits for a slot of the server and a connection. If it gets none, the connection is nil and the answer is
// the refusal to return to the caller. The ticket holds the slot until it is released or slotHoldTimeout is over.
func (p *Pool) acquireSlot(ctx context.Context, c statement.Call) (ticket, *pooledConn, statement.Answer) {
	request := p.request(ctx, c)
	woken := false // for a connection that another waiter can use if this call is refused
	for {
		ticket, t, refusal := p.acquireTurn(ctx, c, request)
		if refusal != nil {
			p.passOn(woken)
			return nil, nil, *refusal
		}
		pc, wait, err := p.acquireConnection(ctx, c)
		if pc != nil && p.evacuated() {
			p.release(pc)
			p.abandonTurn(t, nil)
			ticket.Withdraw()
			return nil, nil, refuseEvacuated()
		}
		if pc != nil {
			t.sent = p.options.Boot()
			pc.turn = t
			time.AfterFunc(slotHoldTimeout, ticket.Release)
			return ticket, pc, statement.Answer{}
		}
		p.abandonTurn(t, err)
		if err != nil {
			ticket.Release()
			return nil, nil, refuseDial(err)
		}
		ticket.Withdraw()
		select {
		case <-wait:
			woken = true
		case <-ctx.Done():
			p.cancelWait(wait)
			return nil, nil, statement.Refused(statement.TooMany, "no connection became free")
		}
	}
}

// recordFailureLocked records that the server could not be connected to or did not answer. After repeated failures the
// idle connections are closed, because they are likely broken too. The caller holds p.mu.
func (p *Pool) recordFailureLocked(refused bool) {
	if p.health.Failures == 0 {
		p.health.Since = p.options.Boot()
	}
	p.health.Failures++
	p.health.Refused = refused
	if p.health.Failures >= closeIdleAfterFailures {
		p.closeIdle()
	}
}

// recordAnswerLocked records that the server answered. The caller holds p.mu.
func (p *Pool) recordAnswerLocked() {
	if p.options.SlowStart && p.health.Failures >= closeIdleAfterFailures {
		p.BeginSlowStart("return", false)
	}
	p.health.Failures, p.health.Refused, p.health.LastAnswer = 0, false, p.options.Boot()
}

// Sweep closes connections that have been idle for too long and rolls back transactions that have paused for longer than
// the limit. The owner of the pool calls it regularly.
func (p *Pool) Sweep() {
	now := p.options.Boot()
	p.mu.Lock()
	for organisation, conns := range p.idleConnections {
		kept := conns[:0]
		for _, pc := range conns {
			if now-pc.idleSince < maxConnectionIdle {
				kept = append(kept, pc)
				continue
			}
			pc.conn.Close()
			p.connections--
		}
		p.idleConnections[organisation] = kept
	}
	var expired []uint64
	for id, t := range p.transactions {
		if p.options.TransactionIdle > 0 && t.mu.TryLock() {
			if now-t.lastUsed > p.options.TransactionIdle {
				expired = append(expired, id)
			}
			t.mu.Unlock()
		}
	}
	p.mu.Unlock()
	for _, id := range expired {
		p.rollbackIdle(id)
	}
}

// Close closes the connections. Queued statements are refused, and those that a server has not answered are given up.
func (p *Pool) Close() {
	p.admission.stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeIdle()
	for pc := range p.inFlight {
		pc.conn.Close()
	}
	p.wakeAllWaiters()
}
