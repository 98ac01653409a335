package serverpool

import (
	"context"
	"errors"

	"tanagercross/internal/database/statement"
)

// dialRefusal turns a failed dial into an answer. Code WrongServer and others of the server pass through.
func refuseDial(err error) statement.Answer {
	var d *statement.DialError
	if errors.As(err, &d) && d.Code != "" {
		return statement.Refused(d.Code, err.Error())
	}
	return statement.Refused(statement.WrongServer, "unreachable: "+err.Error())
}

// borrow returns a connection, or a channel that is closed when one may have become free.
func (g *Pool) acquireConnection(ctx context.Context, c statement.Call) (*connection, chan struct{}, error) {
	g.mu.Lock()
	g.lastOrganisation = c.Organisation
	if g.closed {
		g.mu.Unlock()
		return nil, nil, &statement.DialError{Err: errClosed}
	}
	if l := g.takeIdle(c); l != nil {
		g.mu.Unlock()
		return l, nil, nil
	}
	if g.connections >= g.connectionLimit || g.options.Boot() < g.dialPausedUntil {
		evicted := g.oldestIdle()
		if evicted == nil {
			wait := make(chan struct{})
			g.waiters = append(g.waiters, wait)
			g.mu.Unlock()
			return nil, wait, nil
		}
		evicted.conn.Close()
		g.connections--
	}
	g.connections++
	g.mu.Unlock()
	l, err := g.dial(ctx, c.Organisation)
	return l, nil, err
}

var errClosed = errors.New("gate closed")

// take removes an idle connection of the organisation from the pool, if possible the one that the session used last.
func (g *Pool) takeIdle(c statement.Call) *connection {
	links := g.idleConnections[c.Organisation]
	if len(links) == 0 {
		return nil
	}
	best := len(links) - 1
	for n, l := range links {
		if l.lastSession == c.Session {
			best = n
		}
	}
	l := links[best]
	g.idleConnections[c.Organisation] = append(links[:best:best], links[best+1:]...)
	return l
}

// oldest removes the connection that has been idle for the longest time.
func (g *Pool) oldestIdle() *connection {
	var oldestIdle *connection
	for _, links := range g.idleConnections {
		if len(links) > 0 && (oldestIdle == nil || links[0].idleSince < oldestIdle.idleSince) {
			oldestIdle = links[0]
		}
	}
	if oldestIdle != nil {
		g.idleConnections[oldestIdle.organisation] = g.idleConnections[oldestIdle.organisation][1:]
	}
	return oldestIdle
}

func (g *Pool) dial(ctx context.Context, organisation string) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	t := g.target
	t.Organisation = organisation
	conn, _, err := g.dialer.Dial(ctx, t)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil && g.closed {
		conn.Close()
		err = &statement.DialError{Err: errClosed}
	}
	if err != nil {
		g.connections--
		g.wakeNextWaiter()
		var d *statement.DialError
		if errors.As(err, &d) && d.Code == statement.TooMany {
			g.dialPausedUntil = g.options.Boot() + tooManyPause
		}
		g.recordFailureLocked(errors.As(err, &d) && d.Refused)
		return nil, err
	}
	g.openedConnections++
	g.recordAnswerLocked()
	return &connection{conn: conn, organisation: organisation, values: map[string]string{}, prepared: map[string]bool{}}, nil
}

// flush closes all idle connections.
func (g *Pool) closeIdle() {
	for organisation, links := range g.idleConnections {
		for _, l := range links {
			l.conn.Close()
			g.connections--
		}
		delete(g.idleConnections, organisation)
	}
}

func (g *Pool) wakeNextWaiter() {
	if len(g.waiters) > 0 {
		close(g.waiters[0])
		g.waiters = g.waiters[1:]
	}
}

// forget passes a wake-up on that a caller no longer needs.
func (g *Pool) cancelWait(wait chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for n, w := range g.waiters {
		if w == wait {
			g.waiters = append(g.waiters[:n:n], g.waiters[n+1:]...)
			return
		}
	}
	g.wakeNextWaiter()
}

// release returns a clean connection to the pool.
func (g *Pool) release(l *connection) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed || g.connections > g.connectionLimit {
		l.conn.Close()
		g.connections--
		g.wakeNextWaiter()
		return
	}
	l.idleSince = g.options.Boot()
	g.idleConnections[l.organisation] = append(g.idleConnections[l.organisation], l)
	g.wakeNextWaiter()
}

// drop closes a connection whose state is not known.
func (g *Pool) discard(l *connection) {
	l.conn.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.connections--
	g.wakeNextWaiter()
}
