package pool

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/organisation/fairness"
	"tanagercross/internal/session/outcome"
)

// errNoConnection is returned when the context ends before a connection becomes free.
var errNoConnection = errors.New("no connection was free in time")

// queueTag describes queued work, so that Scheduler.Remove can select it.
type queueTag struct {
	keyHash     string // hash of the caller's key; empty if there is none
	transaction bool   // the work belongs to an open transaction
}

// idleConn is a clean connection that no operation uses.
type idleConn struct {
	conn      driver.Conn
	idleSince time.Time
}

// lane is a lane that this pool holds. Every connection that is in use, being opened or being reset holds one permit.
// Open connections, idle ones included, never exceed the number of permits.
type lane struct {
	pool      *Pool
	server    driver.Server
	number    int
	maxConns  int // limit of connections, not counting the control connection
	control   driver.Conn
	scheduler *fairness.Scheduler[queueTag]
	permits   *semaphore.Weighted
	ctx       context.Context // ends when the lane is closed
	cancel    context.CancelFunc
	loops     sync.WaitGroup
	tasks     sync.WaitGroup // background resets and rollbacks

	mu                       sync.Mutex
	idle                     []idleConn
	openConns                int
	active                   int            // operations in progress and open transactions
	openTransactions         int            // includes those that are being opened
	organisationTransactions map[string]int // openTransactions by organisation
	lastPing                 time.Time
	refusing                 bool
	closed                   bool
}

// newLane returns a lane whose lock is held on the control connection. share includes that connection. More statements
// in flight than connections for them would only wait, so inflight is limited to these.
func newLane(p *Pool, s driver.Server, number, share, inflight int, control driver.Conn) *lane {
	maxConns := share - 1
	ctx, cancel := context.WithCancel(context.Background())
	return &lane{
		pool: p, server: s, number: number, maxConns: maxConns, control: control,
		scheduler: fairness.NewScheduler[queueTag](p.options.Fairness, min(inflight, maxConns)),
		permits:   semaphore.NewWeighted(int64(maxConns)), ctx: ctx, cancel: cancel,
		organisationTransactions: make(map[string]int), lastPing: time.Now(),
	}
}

// usable reports whether the lane accepts new work. If the process was paused, the last successful ping is too old and
// the server may have released the lock.
func (l *lane) usable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.closed && !l.refusing && time.Since(l.lastPing) < l.pool.options.LaneValidity
}

// startOperation counts an operation so that waitIdle waits for it. It returns false if the lane accepts no new work.
func (l *lane) startOperation() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.refusing {
		return false
	}
	l.active++
	return true
}

// finishOperation ends what startOperation counted.
func (l *lane) finishOperation() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active--
}

// stopAccepting refuses new operations and rejects queued ones with a reason, except for those of open transactions.
func (l *lane) stopAccepting(r outcome.Reason) {
	l.mu.Lock()
	l.refusing = true
	l.mu.Unlock()
	l.scheduler.Remove(r, func(t queueTag) bool { return !t.transaction })
}

// waitIdle waits until no operation is in progress and no transaction is open, or until the context ends.
func (l *lane) waitIdle(ctx context.Context) {
	const poll = 2 * time.Millisecond
	for {
		l.mu.Lock()
		n := l.active
		l.mu.Unlock()
		if n == 0 || !sleep(ctx, poll) {
			return
		}
	}
}

// acquireConn returns an idle or a new connection for the exclusive use of the caller, who gives it back with
// releaseConn. It waits for a permit. It fails with errNoConnection if the context ends first, with errLaneClosed if
// the lane is closed or its last ping is too old, and with a driver error if no connection can be opened.
func (l *lane) acquireConn(ctx context.Context) (driver.Conn, error) {
	if err := l.permits.Acquire(ctx, 1); err != nil {
		if l.ctx.Err() != nil {
			return nil, errLaneClosed
		}
		return nil, errNoConnection
	}
	l.mu.Lock()
	if l.closed || time.Since(l.lastPing) >= l.pool.options.LaneValidity {
		l.mu.Unlock()
		l.permits.Release(1)
		return nil, errLaneClosed
	}
	if n := len(l.idle); n > 0 {
		c := l.idle[n-1].conn
		l.idle = l.idle[:n-1]
		l.mu.Unlock()
		return c, nil
	}
	l.openConns++
	l.mu.Unlock()
	return l.openConn(ctx)
}

// openConn opens a connection that the caller has already counted in l.openConns and for which it holds a permit. On
// failure it takes back both.
func (l *lane) openConn(ctx context.Context) (driver.Conn, error) {
	c, err := l.pool.connector.Connect(ctx, l.server)
	if err != nil {
		l.mu.Lock()
		l.openConns--
		l.mu.Unlock()
		l.permits.Release(1)
		return nil, err
	}
	return c, nil
}

// releaseConn takes back a connection from acquireConn. In the background it resets the connection and makes it idle, or
// closes it if it is broken or not clean, and then releases its permit.
func (l *lane) releaseConn(c driver.Conn, broken bool) {
	l.tasks.Add(1)
	go func() {
		defer l.tasks.Done()
		defer l.permits.Release(1)
		ctx, cancel := context.WithTimeout(l.ctx, l.pool.options.ResetTimeout)
		defer cancel()
		if broken || !c.Clean() || c.Reset(ctx) != nil || !c.Clean() {
			l.closeConn(c)
			return
		}
		l.addIdle(c)
	}()
}

// addIdle makes a clean connection available to other operations. It closes the connection if the lane is closed.
func (l *lane) addIdle(c driver.Conn) {
	l.mu.Lock()
	if !l.closed {
		l.idle = append(l.idle, idleConn{conn: c, idleSince: time.Now()})
		l.mu.Unlock()
		return
	}
	l.mu.Unlock()
	l.closeConn(c)
}

// closeConn closes a connection and stops counting it as open.
func (l *lane) closeConn(c driver.Conn) {
	c.Close()
	l.mu.Lock()
	l.openConns--
	l.mu.Unlock()
}

// close closes the lane: it rejects queued and new work with a reason, cancels running calls and ends open transactions.
// The lock is released last, when no other connection of the lane is open. Only the first call has an effect.
func (l *lane) close(r outcome.Reason) {
	l.mu.Lock()
	first := !l.closed
	l.closed = true
	idle := l.idle
	l.idle = nil
	l.mu.Unlock()
	if !first {
		return
	}
	l.scheduler.Stop(r)
	l.cancel()
	l.pool.endLaneTransactions(l, r)
	for _, i := range idle {
		l.closeConn(i.conn)
	}
	// All permits are free once every connection in use has been released and closed.
	_ = l.permits.Acquire(context.Background(), int64(l.maxConns))
	l.permits.Release(int64(l.maxConns))
	l.tasks.Wait()
	l.loops.Wait()
	l.control.Close()
	l.pool.removeLane(l)
}

// withLaneContext returns a context that ends with the given context or when the lane is closed.
func (l *lane) withLaneContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(l.ctx, cancel)
	return ctx, func() { stop(); cancel() }
}
