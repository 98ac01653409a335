// Package serverpool runs statements on one database server through a bounded set of connections.
//
// A server connection belongs to one organisation. The gate reuses connections of the same organisation, gives them the
// session values and prepared statements of the call, shares the server's slots fairly between organisations, and keeps
// open transactions on their connection.
//
// # Usage
//
//	g := serverpool.New(target, dialer, serverpool.Options{Slots: 2, Connections: 24})
//	defer g.Close()
//	answer := g.Execute(ctx, call)
//	proof, ok := g.Head(ctx, 300*time.Millisecond)
//
// Execute returns fate NotSent only if the caller's statement did not reach the server. Statements with scope Leader run
// inside a plain transaction, because a server that has lost the lead still answers single reads.
package serverpool

import (
	"context"
	"sync"
	"time"

	"tanagercross/internal/database/readindex"
	"tanagercross/internal/database/statement"
	"tanagercross/internal/instance/clock"
	"tanagercross/internal/organisation/fairness"
	"tanagercross/internal/session/outcome"
)

// Limits of a gate.
const (
	defaultSlots       = 2
	defaultConnections = 8
	// aheadStatements are sent beyond the slots, so that a slot that becomes free finds the next one.
	prefetchedStatements = 1
	// queuedStatements bounds the queue of one organisation.
	maxQueued = 24
	// inOrderStatements of an organisation wait less than most operations may take, even beside seven others.
	maxInOrder     = 6
	dialTimeout    = 600 * time.Millisecond
	controlTimeout = 400 * time.Millisecond // for statements that occupy no slot
	// answerExpected is the time after which a statement without an answer no longer counts as work of the server.
	slotHoldTimeout        = 300 * time.Millisecond
	maxConnectionIdle      = 45 * time.Second // servers close connections after a minute
	maxPrepared            = 48               // prepared statements on one connection
	closeIdleAfterFailures = 2                // failures in a row after which idle connections are closed
	tooManyPause           = 2 * time.Second  // without new connections after the server refused one
)

// Options sets the bounds of a gate. Zero fields take the defaults.
type Options struct {
	Slots           int // statements that the server runs at the same time
	Connections     int
	TransactionIdle time.Duration        // longest pause inside a transaction; 0 for no limit
	Boot            func() time.Duration // clock that counts suspended time; nil for that of the machine
}

// WithDefaults returns a copy with zero fields set.
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

// link is a connection with what is known of its state on the server.
type connection struct {
	conn         statement.Conn
	organisation string
	lastSession  string // that used it last
	values       map[string]string
	prepared     map[string]bool
	idleSince    time.Duration
}

type transaction struct {
	mu         sync.Mutex // held while a statement runs
	connection *connection
	session    string
	lastUsed   time.Duration
	finished   bool
}

// Pool runs statements on one server. It is safe for concurrent use.
type Pool struct {
	target    statement.Target
	dialer    statement.Dialer
	options   Options
	scheduler *fairness.Scheduler[string]

	mu                sync.Mutex
	connections       int // open or being opened
	connectionLimit   int
	idleConnections   map[string][]*connection
	waiters           []chan struct{}
	transactions      map[uint64]*transaction
	inFlight          map[*connection]time.Duration // when the last commands were sent
	lastTransactionID uint64
	closed            bool
	dialPausedUntil   time.Duration
	openedConnections uint64
	health            Health
	readIndex         readindex.Index
	lastOrganisation  string // that used the gate last
}

// Health is what the gate has seen of its server.
type Health struct {
	Failures   int           // in a row
	Since      time.Duration // of the first of them
	Refused    bool          // nothing listened at the address at the last attempt
	LastAnswer time.Duration // last answer
	NotLeading bool          // the last statement that needs a leader was refused
}

// New returns a gate without connections.
func New(t statement.Target, d statement.Dialer, o Options) *Pool {
	o = o.WithDefaults()
	return &Pool{
		target: t, dialer: d, options: o, connectionLimit: o.Connections,
		scheduler:       fairness.NewScheduler[string](fairness.Options{MaxQueued: maxQueued, MaxInOrder: maxInOrder}, o.Slots+prefetchedStatements),
		idleConnections: map[string][]*connection{}, transactions: map[uint64]*transaction{},
		inFlight: map[*connection]time.Duration{}, lastTransactionID: uint64(time.Now().UnixNano()),
	}
}

// Target returns the server that the gate serves.
func (g *Pool) Target() statement.Target { return g.target }

// SetConnections changes the bound of connections.
func (g *Pool) SetConnections(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.options.Connections = max(1, n)
	g.connectionLimit = g.options.Connections
}

// Health returns what the gate has seen of its server.
func (g *Pool) Health() Health {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.health
}

// Counts returns the open connections, the open transactions, the queued and running statements and the connections
// opened so far.
func (g *Pool) Counts() (connections, transactions, load int, openedConnections uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.connections, len(g.transactions), g.scheduler.Load(), g.openedConnections
}

// Load returns the number of queued and running statements.
func (g *Pool) Load() int { return g.scheduler.Load() }

// Execute runs a statement. The context bounds waiting and running.
func (g *Pool) Execute(ctx context.Context, c statement.Call) statement.Answer {
	if c.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Timeout)
		defer cancel()
		// The timer does not count the time of a suspended machine.
		c.Expires = g.options.Boot() + c.Timeout
	}
	switch c.Step {
	case statement.Next, statement.End:
		return g.continueTransaction(ctx, c)
	}
	ticket, l, refusal := g.acquire(ctx, c)
	if l == nil {
		return refusal
	}
	defer ticket.Release()
	if c.Step == statement.First {
		return g.startTransaction(ctx, l, c)
	}
	answer, clean := g.runSingle(ctx, l, c)
	if clean {
		g.release(l)
	} else {
		g.discard(l)
	}
	return answer
}

// enter waits for a turn and a connection. Without a connection the answer says why.
func (g *Pool) acquire(ctx context.Context, c statement.Call) (*fairness.Ticket, *connection, statement.Answer) {
	for {
		ticket, err := g.scheduler.Acquire(ctx, c.Organisation, c.Session)
		if err != nil {
			code := statement.Busy
			if fairness.ReasonOf(err) == outcome.QueueFull {
				code = statement.TooMany
			}
			return nil, nil, statement.Refused(code, "queue: "+string(fairness.ReasonOf(err)))
		}
		l, wait, err := g.acquireConnection(ctx, c)
		if l != nil {
			time.AfterFunc(slotHoldTimeout, ticket.Release)
			return ticket, l, statement.Answer{}
		}
		ticket.Release()
		if err != nil {
			return nil, nil, refuseDial(err)
		}
		select {
		case <-wait:
		case <-ctx.Done():
			g.cancelWait(wait)
			return nil, nil, statement.Refused(statement.TooMany, "no connection became free")
		}
	}
}

// failed and answered keep the health of the server; the caller holds the lock.
func (g *Pool) recordFailureLocked(refused bool) {
	if g.health.Failures == 0 {
		g.health.Since = g.options.Boot()
	}
	g.health.Failures++
	g.health.Refused = refused
	if g.health.Failures >= closeIdleAfterFailures {
		g.closeIdle()
	}
}

func (g *Pool) recordAnswerLocked() {
	g.health.Failures, g.health.Refused, g.health.LastAnswer = 0, false, g.options.Boot()
}

// Sweep ends idle connections and transactions whose pause is too long. It is called at each tick.
func (g *Pool) Sweep() {
	now := g.options.Boot()
	g.mu.Lock()
	for organisation, links := range g.idleConnections {
		kept := links[:0]
		for _, l := range links {
			if now-l.idleSince < maxConnectionIdle {
				kept = append(kept, l)
				continue
			}
			l.conn.Close()
			g.connections--
		}
		g.idleConnections[organisation] = kept
	}
	var expired []uint64
	for id, t := range g.transactions {
		if g.options.TransactionIdle > 0 && t.mu.TryLock() {
			if now-t.lastUsed > g.options.TransactionIdle {
				expired = append(expired, id)
			}
			t.mu.Unlock()
		}
	}
	g.mu.Unlock()
	for _, id := range expired {
		g.rollbackIdle(id)
	}
}

// Close closes idle connections at once and the others as they come back.
func (g *Pool) Close() {
	g.scheduler.Stop(outcome.ServerLeaving)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.closeIdle()
	for _, w := range g.waiters {
		close(w)
	}
	g.waiters = nil
}
