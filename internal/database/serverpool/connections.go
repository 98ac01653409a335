package serverpool

import (
	"context"
	"errors"
	"slices"

	"tanagercross/internal/database/statement"
)

// refuseDial returns the answer to a statement for which no connection could be opened. It keeps the code with which the
// server refused the connection; any other failure becomes WrongServer.
func refuseDial(err error) statement.Answer {
	var d *statement.DialError
	if errors.As(err, &d) && d.Code != "" {
		return statement.Refused(d.Code, err.Error())
	}
	return statement.Refused(statement.WrongServer, "unreachable: "+err.Error())
}

// acquireConnection returns an idle connection of the call's organisation or opens a new one. At the connection limit, or
// soon after the server refused a connection because it had too many, it first closes the connection that has been idle
// for the longest time, unless a plan decides (PlanConnections). If none is idle, it returns a channel that is closed when a connection may have become free.
func (p *Pool) acquireConnection(ctx context.Context, c statement.Call) (*pooledConn, chan struct{}, error) {
	p.mu.Lock()
	p.lastOrganisation = c.Organisation
	if p.closed {
		p.mu.Unlock()
		return nil, nil, &statement.DialError{Err: errClosed}
	}
	if p.planning.plan != nil {
		return p.acquirePlanned(ctx, c)
	}
	if pc := p.takeIdle(c); pc != nil {
		p.mu.Unlock()
		return pc, nil, nil
	}
	if p.connections >= p.connectionLimit || p.options.Boot() < p.dialPausedUntil {
		evicted := p.oldestIdle()
		if evicted == nil {
			wait := make(chan struct{})
			p.waiters = append(p.waiters, wait)
			p.mu.Unlock()
			return nil, wait, nil
		}
		evicted.conn.Close()
		p.connections--
	}
	p.connections++
	p.mu.Unlock()
	pc, err := p.dial(ctx, c.Organisation)
	return pc, nil, err
}

// errClosed is the error of a closed pool. Its text appears outside of the process, so it keeps the old name of the pool.
var errClosed = errors.New("gate closed")

// takeIdle removes an idle connection of the call's organisation from the idle list and returns it, or nil if there is
// none. It prefers connections that have carried no error, then those that prove what the call needs to be proven, then one
// that the session used last, whose session values are already set, and otherwise the one that was released last. The caller
// holds p.mu.
func (p *Pool) takeIdle(c statement.Call) *pooledConn {
	conns := p.idleConnections[c.Organisation]
	if len(conns) == 0 {
		return nil
	}
	best, bestRank := 0, -1
	for n, pc := range conns {
		rank := 0
		if pc.proofFor(c, p.distrustsLocked()) == proofUnneeded || pc.conn.ProvesOpening(p.readIndex.Position) {
			rank += 2
		}
		if !pc.conn.Refused() {
			rank += 4
		}
		if pc.lastSession == c.Session {
			rank++
		}
		if rank >= bestRank {
			best, bestRank = n, rank
		}
	}
	pc := conns[best]
	p.idleConnections[c.Organisation] = append(conns[:best:best], conns[best+1:]...)
	return pc
}

// oldestIdle removes the connection that has been idle for the longest time from the idle list and returns it, or nil if
// none is idle. The caller holds p.mu.
func (p *Pool) oldestIdle() *pooledConn {
	var oldestIdle *pooledConn
	for _, conns := range p.idleConnections {
		if len(conns) > 0 && (oldestIdle == nil || conns[0].idleSince < oldestIdle.idleSince) {
			oldestIdle = conns[0]
		}
	}
	if oldestIdle != nil {
		p.idleConnections[oldestIdle.organisation] = p.idleConnections[oldestIdle.organisation][1:]
	}
	return oldestIdle
}

// dial opens a connection. The caller has already counted it in p.connections; a failure takes it off the count and wakes
// the next waiter.
func (p *Pool) dial(ctx context.Context, organisation string) (*pooledConn, error) {
	pc, err := p.openConnection(ctx, organisation)
	if err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.connections--
		p.wakeNextWaiter()
	}
	return pc, err
}

// openConnection opens a connection and records the result in the health of the server.
func (p *Pool) openConnection(ctx context.Context, organisation string) (*pooledConn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	t := p.target
	t.Organisation = organisation
	conn, _, err := p.dialer.Dial(ctx, t)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && p.closed {
		conn.Close()
		err = &statement.DialError{Err: errClosed}
	}
	if err != nil {
		var d *statement.DialError
		if errors.As(err, &d) && d.Code == statement.TooMany {
			p.dialPausedUntil = p.options.Boot() + tooManyPause
		}
		p.recordFailureLocked(errors.As(err, &d) && d.Refused)
		return nil, err
	}
	p.openedConnections++
	p.recordAnswerLocked()
	return &pooledConn{conn: conn, organisation: organisation, values: map[string]string{}, prepared: map[string]bool{}}, nil
}

// closeIdle closes all idle connections. The caller holds p.mu.
func (p *Pool) closeIdle() {
	for organisation, conns := range p.idleConnections {
		for _, pc := range conns {
			pc.conn.Close()
			p.connections--
		}
		delete(p.idleConnections, organisation)
	}
}

// wakeNextWaiter lets the first caller that waits for a connection try again, or the first less urgent one if the plan owes
// it an opening. The caller holds p.mu.
func (p *Pool) wakeNextWaiter() {
	if len(p.waiters) > 0 {
		n := p.nextWaiter()
		close(p.waiters[n])
		p.waiters = slices.Delete(p.waiters, n, n+1)
		p.waiterRemoved(n)
	}
}

// passOn wakes the next waiter in place of a caller that was woken and is then refused before it asks for a connection. A
// failed opening has woken it already.
func (p *Pool) passOn(woken bool) {
	if !woken {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wakeNextWaiter()
}

// cancelWait removes a caller that stopped waiting for a connection. If it was woken already, the next waiter is woken
// instead, so that the free connection does not stay unused.
func (p *Pool) cancelWait(wait chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n, w := range p.waiters {
		if w == wait {
			p.waiters = append(p.waiters[:n:n], p.waiters[n+1:]...)
			p.waiterRemoved(n)
			return
		}
	}
	p.wakeNextWaiter()
}

// release makes a connection idle, or closes it if the pool is closed or above its connection limit, or if the state of the
// connection on the server is not certain. The connection must have no open transaction.
func (p *Pool) release(pc *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.returned(pc)
	certain := !pc.unprovenSetup && pc.conn.Reusable()
	if !certain {
		p.replacements.OutOfStep++
	}
	if p.closed || p.evacuatedUntil > 0 || p.connections > p.connectionLimit || !certain {
		pc.conn.Close()
		p.connections--
		p.wakeNextWaiter()
		return
	}
	pc.idleSince = p.options.Boot()
	p.idleConnections[pc.organisation] = append(p.idleConnections[pc.organisation], pc)
	p.wakeNextWaiter()
}

// discard closes a connection that cannot be used again, because its state on the server is not known.
func (p *Pool) discard(pc *pooledConn) {
	pc.conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.returned(pc)
	p.connections--
	p.wakeNextWaiter()
}
