package serverpool

import (
	"context"
	"slices"
	"time"

	"tanagercross/internal/database/connplan"
	"tanagercross/internal/database/statement"
)

// planning is the part of a pool whose connections are managed by a connplan.Plan. It is guarded by Pool.mu.
type planning struct {
	plan          *connplan.Plan // nil if the connection that has been idle for the longest time is closed
	evicted       func(e connplan.Eviction, organisation string)
	evictions     Evictions
	urgentWaiters int                        // the first ones of Pool.waiters
	ownWaiters    map[string][]chan struct{} // of callers that wait for a connection of their organisation
}

// Evictions counts idle connections that were closed so that another organisation could open one.
type Evictions struct {
	Surplus uint64 // their organisations had more connections than they are expected to need
	Demand  uint64 // their organisations are expected to need their only connection least
}

// Evictions returns the evictions that the plan has chosen so far.
func (p *Pool) Evictions() Evictions {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.planning.evictions
}

// PlanConnections sets whether a connplan.Plan decides who may open, keep and lose a connection. For each eviction, evicted
// is called with the organisation that gets a connection. The owner of the pool calls it regularly, because it wakes a caller
// that waits although no connection is in use and none is being opened.
func (p *Pool) PlanConnections(enabled bool, evicted func(e connplan.Eviction, organisation string)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.planning.evicted = evicted
	switch {
	case !enabled:
		p.planning.plan, p.planning.urgentWaiters = nil, 0
	case p.planning.plan == nil:
		p.planning.plan = connplan.New(connplan.Options{Slots: p.options.Slots})
		p.planning.ownWaiters = map[string][]chan struct{}{}
	case p.planning.plan.MayOpen():
		p.wakeNextWaiter()
	}
}

// acquirePlanned is acquireConnection as the plan decides. The caller holds p.mu, which is released.
func (p *Pool) acquirePlanned(ctx context.Context, c statement.Call) (*pooledConn, chan struct{}, error) {
	plan := p.planning.plan
	r := connplan.Request{Organisation: c.Organisation, Priority: c.Priority}
	for {
		if p.closed {
			p.mu.Unlock()
			return nil, nil, &statement.DialError{Err: errClosed}
		}
		now := p.options.Boot()
		switch a := plan.Decide(now, r, p.planState(now, c.Organisation)).(type) {
		case connplan.UseIdle:
			pc := p.takeIdle(c)
			pc.plan, pc.use = plan, plan.Take(now, r)
			if plan.MayOpen() {
				p.wakeNextWaiter() // this call may have been woken for an opening that it does not need
			}
			p.mu.Unlock()
			return pc, nil, nil
		case connplan.Open:
			pc, err := p.openPlanned(ctx, plan, r, a.Evicted)
			return pc, nil, err
		case connplan.AwaitOwn:
			p.awaitOwn(ctx, plan, r, a.Limit)
			r.Waited = true
			if ctx.Err() == nil {
				continue
			}
		}
		wait := p.addWaiter(r.Urgent())
		p.mu.Unlock()
		return nil, wait, nil
	}
}

// planState returns what the plan has to know about the connections. The caller holds p.mu.
func (p *Pool) planState(now time.Duration, organisation string) connplan.State {
	return connplan.State{
		Connections: p.connections, Limit: p.connectionLimit, Paused: now < p.dialPausedUntil,
		OwnIdle: len(p.idleConnections[organisation]), Idle: p.idleList,
	}
}

// idleList lists the idle connections by organisation. The caller holds p.mu.
func (p *Pool) idleList() []connplan.Idle {
	list := make([]connplan.Idle, 0, len(p.idleConnections))
	for organisation, conns := range p.idleConnections {
		if len(conns) > 0 {
			list = append(list, connplan.Idle{Organisation: organisation, Count: len(conns), Since: conns[0].idleSince})
		}
	}
	return list
}

// openPlanned opens a connection, in place of an idle one if evicted is set. The caller holds p.mu, which is released.
func (p *Pool) openPlanned(ctx context.Context, plan *connplan.Plan, r connplan.Request, evicted *connplan.Eviction) (*pooledConn, error) {
	if evicted != nil {
		p.evict(*evicted)
	}
	p.connections++
	use := plan.Begin(p.options.Boot(), r)
	report := p.planning.evicted
	p.mu.Unlock()
	if evicted != nil && report != nil {
		report(*evicted, r.Organisation)
	}
	pc, err := p.dial(ctx, r.Organisation)
	p.mu.Lock()
	defer p.mu.Unlock()
	use = plan.End(p.options.Boot(), use, err == nil)
	if err == nil {
		pc.plan, pc.use = plan, use
	}
	p.wakeNextWaiter()
	return pc, err
}

// evict closes the connection of an organisation that has been idle for the longest time. The caller holds p.mu.
func (p *Pool) evict(e connplan.Eviction) {
	conns := p.idleConnections[e.Organisation]
	conns[0].conn.Close()
	p.idleConnections[e.Organisation] = conns[1:]
	p.connections--
	if e.Reason == connplan.Surplus {
		p.planning.evictions.Surplus++
	} else {
		p.planning.evictions.Demand++
	}
}

// awaitOwn waits until a connection of the organisation is returned, at most for the limit. The caller holds p.mu, which is
// released meanwhile.
func (p *Pool) awaitOwn(ctx context.Context, plan *connplan.Plan, r connplan.Request, limit time.Duration) {
	wait := make(chan struct{})
	waiters := p.planning.ownWaiters
	waiters[r.Organisation] = append(waiters[r.Organisation], wait)
	plan.Waiting(r, 1)
	p.mu.Unlock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-wait:
	case <-timer.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	plan.Waiting(r, -1)
	waiters[r.Organisation] = slices.DeleteFunc(waiters[r.Organisation], func(w chan struct{}) bool { return w == wait })
	if len(waiters[r.Organisation]) == 0 {
		delete(waiters, r.Organisation)
	}
}

// addWaiter adds a caller that waits for its turn: an urgent one behind the urgent ones, another one at the end. The caller
// holds p.mu.
func (p *Pool) addWaiter(urgent bool) chan struct{} {
	wait := make(chan struct{})
	if !urgent {
		p.waiters = append(p.waiters, wait)
		return wait
	}
	p.waiters = slices.Insert(p.waiters, p.planning.urgentWaiters, wait)
	p.planning.urgentWaiters++
	return wait
}

// wakeAllWaiters wakes all callers that wait for their turn, so that each finds out why there is none. The caller holds p.mu.
func (p *Pool) wakeAllWaiters() {
	for _, w := range p.waiters {
		close(w)
	}
	p.waiters, p.planning.urgentWaiters = nil, 0
}

// nextWaiter returns the place of the waiter to wake. An opening that is promised to a less urgent one and not used wakes
// another one after its time. The caller holds p.mu.
func (p *Pool) nextWaiter() int {
	plan, now := p.planning.plan, p.options.Boot()
	if plan == nil || len(p.waiters) == p.planning.urgentWaiters || !plan.OwesLessUrgent(now, p.connectionLimit) {
		return 0
	}
	plan.Promise(now)
	time.AfterFunc(connplan.PromiseLimit, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.wakeNextWaiter()
	})
	return p.planning.urgentWaiters
}

// waiterRemoved records that the n-th waiter was taken off the list. The caller holds p.mu.
func (p *Pool) waiterRemoved(n int) {
	if n < p.planning.urgentWaiters {
		p.planning.urgentWaiters--
	}
}

// returned records that a connection is no longer in use, and lets the next caller that waits for one of the organisation
// try again. The caller holds p.mu.
func (p *Pool) returned(pc *pooledConn) {
	if pc.plan == nil {
		return
	}
	pc.plan.Return(p.options.Boot(), pc.use)
	pc.plan = nil
	if own := p.planning.ownWaiters[pc.organisation]; len(own) > 0 {
		close(own[0])
		p.planning.ownWaiters[pc.organisation] = own[1:]
	}
}
