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

// errNoConnection is the cause of a deadline that passed before a connection was free.
var errNoConnection = errors.New("no connection was free in time")

// tag is what queued work is removed by.
type tag struct {
	keyHash     string // empty if not known
	transaction bool   // belongs to an open transaction
}

type idleConn struct {
	conn  driver.Conn
	since time.Time
}

// lane is one held lane. Every connection in use, being opened or being reset holds one permit; connections in use and
// idle together never exceed the number of permits.
type lane struct {
	pool      *Pool
	server    driver.Server
	number    int
	data      int // connections for operations
	control   driver.Conn
	scheduler *fairness.Scheduler[tag]
	permits   *semaphore.Weighted
	ctx       context.Context // ends when the lane is closed
	cancel    context.CancelFunc
	loops     sync.WaitGroup
	tasks     sync.WaitGroup // resets and rollbacks in the background

	mu       sync.Mutex
	idle     []idleConn
	open     int
	active   int            // operations and open transactions
	pinned   int            // open transactions
	perOwner map[string]int // open transactions of an organisation
	pinged   time.Time
	refusing bool
	closed   bool
}

func newLane(p *Pool, s driver.Server, number, share, inflight int, control driver.Conn) *lane {
	data := share - 1
	ctx, cancel := context.WithCancel(context.Background())
	return &lane{
		pool: p, server: s, number: number, data: data, control: control,
		scheduler: fairness.NewScheduler[tag](p.options.Fairness, min(inflight, data)),
		permits:   semaphore.NewWeighted(int64(data)), ctx: ctx, cancel: cancel,
		perOwner: make(map[string]int), pinged: time.Now(),
	}
}

// usable reports whether the lane may take new work. A process that was paused finds its last ping too old.
func (l *lane) usable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.closed && !l.refusing && time.Since(l.pinged) < l.pool.options.LaneValidity
}

func (l *lane) enter() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.refusing {
		return false
	}
	l.active++
	return true
}

func (l *lane) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active--
}

func (l *lane) refuse(r outcome.Reason) {
	l.mu.Lock()
	l.refusing = true
	l.mu.Unlock()
	l.scheduler.Remove(r, func(t tag) bool { return !t.transaction })
}

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

// get returns a connection that only the caller uses until put.
func (l *lane) get(ctx context.Context) (driver.Conn, error) {
	if err := l.permits.Acquire(ctx, 1); err != nil {
		if l.ctx.Err() != nil {
			return nil, errClosed
		}
		return nil, errNoConnection
	}
	l.mu.Lock()
	if l.closed || time.Since(l.pinged) >= l.pool.options.LaneValidity {
		l.mu.Unlock()
		l.permits.Release(1)
		return nil, errClosed
	}
	if n := len(l.idle); n > 0 {
		c := l.idle[n-1].conn
		l.idle = l.idle[:n-1]
		l.mu.Unlock()
		return c, nil
	}
	l.open++
	l.mu.Unlock()
	return l.connect(ctx)
}

func (l *lane) connect(ctx context.Context) (driver.Conn, error) {
	c, err := l.pool.connector.Connect(ctx, l.server)
	if err != nil {
		l.mu.Lock()
		l.open--
		l.mu.Unlock()
		l.permits.Release(1)
		return nil, err
	}
	return c, nil
}

// put takes a connection back. It is reset in the background, or closed if it is broken or not clean.
func (l *lane) put(c driver.Conn, broken bool) {
	l.tasks.Add(1)
	go func() {
		defer l.tasks.Done()
		defer l.permits.Release(1)
		ctx, cancel := context.WithTimeout(l.ctx, l.pool.options.ResetTimeout)
		defer cancel()
		if broken || !c.Clean() || c.Reset(ctx) != nil || !c.Clean() {
			l.discard(c)
			return
		}
		l.keep(c)
	}()
}

func (l *lane) keep(c driver.Conn) {
	l.mu.Lock()
	if !l.closed {
		l.idle = append(l.idle, idleConn{conn: c, since: time.Now()})
		l.mu.Unlock()
		return
	}
	l.mu.Unlock()
	l.discard(c)
}

func (l *lane) discard(c driver.Conn) {
	c.Close()
	l.mu.Lock()
	l.open--
	l.mu.Unlock()
}

// close ends the lane: work is rejected, running calls are cancelled, and the lock is released last.
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
	l.pool.endLane(l, r)
	for _, i := range idle {
		l.discard(i.conn)
	}
	// All permits are free once every connection in use has been given back and closed.
	_ = l.permits.Acquire(context.Background(), int64(l.data))
	l.permits.Release(int64(l.data))
	l.tasks.Wait()
	l.loops.Wait()
	l.control.Close()
	l.pool.forget(l)
}

// within returns a context that ends with the operation's context or with the lane.
func (l *lane) within(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(l.ctx, cancel)
	return ctx, func() { stop(); cancel() }
}
