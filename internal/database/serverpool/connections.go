package serverpool

import (
	"context"
	"errors"

	"tanagercross/internal/database/statement"
)

// dialRefusal turns a failed dial into an answer. Code WrongServer and others of the server pass through.
func dialRefusal(err error) statement.Answer {
	var d *statement.DialError
	if errors.As(err, &d) && d.Code != "" {
		return statement.Refused(d.Code, err.Error())
	}
	return statement.Refused(statement.WrongServer, "unreachable: "+err.Error())
}

// borrow returns a connection, or a channel that is closed when one may have become free.
func (g *Pool) borrow(ctx context.Context, c statement.Call) (*link, chan struct{}, error) {
	g.mu.Lock()
	g.organisation = c.Organisation
	if g.closed {
		g.mu.Unlock()
		return nil, nil, &statement.DialError{Err: errClosed}
	}
	if l := g.take(c); l != nil {
		g.mu.Unlock()
		return l, nil, nil
	}
	if g.connections >= g.limit || g.options.Boot() < g.refusedUntil {
		evicted := g.oldest()
		if evicted == nil {
			wait := make(chan struct{})
			g.waiting = append(g.waiting, wait)
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
func (g *Pool) take(c statement.Call) *link {
	links := g.idle[c.Organisation]
	if len(links) == 0 {
		return nil
	}
	best := len(links) - 1
	for n, l := range links {
		if l.session == c.Session {
			best = n
		}
	}
	l := links[best]
	g.idle[c.Organisation] = append(links[:best:best], links[best+1:]...)
	return l
}

// oldest removes the connection that has been idle for the longest time.
func (g *Pool) oldest() *link {
	var oldest *link
	for _, links := range g.idle {
		if len(links) > 0 && (oldest == nil || links[0].released < oldest.released) {
			oldest = links[0]
		}
	}
	if oldest != nil {
		g.idle[oldest.organisation] = g.idle[oldest.organisation][1:]
	}
	return oldest
}

func (g *Pool) dial(ctx context.Context, organisation string) (*link, error) {
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
		g.wake()
		var d *statement.DialError
		if errors.As(err, &d) && d.Code == statement.TooMany {
			g.refusedUntil = g.options.Boot() + tooManyPause
		}
		g.failed(errors.As(err, &d) && d.Refused)
		return nil, err
	}
	g.opened++
	g.answered()
	return &link{conn: conn, organisation: organisation, values: map[string]string{}, prepared: map[string]bool{}}, nil
}

// flush closes all idle connections.
func (g *Pool) flush() {
	for organisation, links := range g.idle {
		for _, l := range links {
			l.conn.Close()
			g.connections--
		}
		delete(g.idle, organisation)
	}
}

func (g *Pool) wake() {
	if len(g.waiting) > 0 {
		close(g.waiting[0])
		g.waiting = g.waiting[1:]
	}
}

// forget passes a wake-up on that a caller no longer needs.
func (g *Pool) forget(wait chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for n, w := range g.waiting {
		if w == wait {
			g.waiting = append(g.waiting[:n:n], g.waiting[n+1:]...)
			return
		}
	}
	g.wake()
}

// release returns a clean connection to the pool.
func (g *Pool) release(l *link) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed || g.connections > g.limit {
		l.conn.Close()
		g.connections--
		g.wake()
		return
	}
	l.released = g.options.Boot()
	g.idle[l.organisation] = append(g.idle[l.organisation], l)
	g.wake()
}

// drop closes a connection whose state is not known.
func (g *Pool) drop(l *link) {
	l.conn.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.connections--
	g.wake()
}
