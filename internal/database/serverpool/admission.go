package serverpool

import (
	"context"
	"time"

	"tanagercross/internal/database/serverqueue"
	"tanagercross/internal/database/statement"
	"tanagercross/internal/organisation/fairness"
	"tanagercross/internal/session/outcome"
)

// QueueObserver is told how statements leave the queue of a server. It is called only with Options.PriorityScheduling.
type QueueObserver interface {
	// QueueServed reports that a statement got its turn, once for each wait.
	QueueServed(server string, r serverqueue.Request, waited time.Duration)
	// QueueRefused reports a statement that was refused and has not run.
	QueueRefused(server string, r serverqueue.Refusal)
}

// ticket is the right to run one statement.
type ticket interface {
	// Release ends the statement and charges its time.
	Release()
	// Withdraw gives the right back without a charge, because nothing was run.
	Withdraw()
}

// admission decides when a statement may run.
type admission interface {
	acquire(ctx context.Context, r serverqueue.Request, session string) (ticket, error)
	// refusal returns the answer to a statement whose acquire failed.
	refusal(err error) statement.Answer
	// size returns the number of queued and running statements.
	size() int
	// load returns the load of the server, or nil if it is not reported.
	load() *statement.Load
	stop()
}

// newAdmission returns the admission that the options ask for.
func newAdmission(t statement.Target, o Options) admission {
	running := o.Slots + prefetchedStatements
	if !o.PriorityScheduling {
		limits := fairness.Options{MaxQueued: maxQueued, MaxInOrder: maxInOrder}
		return fairAdmission{fairness.NewScheduler[string](limits, running)}
	}
	limits := serverqueue.Options{
		Slots: running, PrefetchSlots: prefetchedStatements, MaxInOrder: maxInOrder, MaxCost: slotHoldTimeout,
	}
	return priorityAdmission{serverqueue.NewScheduler(limits, o.Boot), t.Server, o.Queue}
}

// fairAdmission shares the server between organisations.
type fairAdmission struct{ scheduler *fairness.Scheduler[string] }

type fairTicket struct{ *fairness.Ticket }

func (t fairTicket) Withdraw() { t.Release() }

func (a fairAdmission) acquire(ctx context.Context, r serverqueue.Request, session string) (ticket, error) {
	t, err := a.scheduler.Acquire(ctx, r.Organisation, session)
	if err != nil {
		return nil, err
	}
	return fairTicket{t}, nil
}

func (a fairAdmission) refusal(err error) statement.Answer {
	code := statement.Busy
	if fairness.ReasonOf(err) == outcome.QueueFull {
		code = statement.TooMany
	}
	return statement.Refused(code, "queue: "+string(fairness.ReasonOf(err)))
}

func (a fairAdmission) size() int { return a.scheduler.Load() }

func (a fairAdmission) load() *statement.Load { return nil }

func (a fairAdmission) stop() { a.scheduler.Stop(outcome.ServerLeaving) }

// priorityAdmission serves open transactions and high priorities first.
type priorityAdmission struct {
	scheduler *serverqueue.Scheduler
	server    string
	observer  QueueObserver
}

func (a priorityAdmission) acquire(ctx context.Context, r serverqueue.Request, _ string) (ticket, error) {
	t, err := a.scheduler.Acquire(ctx, r)
	if err != nil {
		if a.observer != nil {
			a.observer.QueueRefused(a.server, serverqueue.RefusalOf(err))
		}
		return nil, err
	}
	if a.observer != nil {
		a.observer.QueueServed(a.server, r, t.Waited)
	}
	return t, nil
}

func (a priorityAdmission) refusal(err error) statement.Answer {
	r := serverqueue.RefusalOf(err)
	code := statement.Busy
	if r.Outcome == serverqueue.Full || r.Outcome == serverqueue.Displaced {
		code = statement.TooMany
	}
	return statement.Refused(code, "queue: "+string(r.Outcome))
}

func (a priorityAdmission) size() int { return a.scheduler.Backlog() }

func (a priorityAdmission) load() *statement.Load {
	l := a.scheduler.Load()
	return &l
}

func (a priorityAdmission) stop() { a.scheduler.Stop() }

// request returns what the queue has to know of a call. It must be made when the call arrives, because the time left of the
// latency goal counts from then.
func (p *Pool) request(ctx context.Context, c statement.Call) serverqueue.Request {
	r := serverqueue.Request{
		ID: c.ID, Organisation: c.Organisation, Priority: c.Priority, OrganisationPriority: c.OrganisationPriority,
		Kind: kindOf(c), InTransaction: c.Step == statement.Next || c.Step == statement.End, Deadline: c.Expires,
	}
	now := p.options.Boot()
	if d, ok := ctx.Deadline(); ok && (r.Deadline == 0 || now+time.Until(d) < r.Deadline) {
		r.Deadline = now + time.Until(d)
	}
	if c.Goal > 0 {
		r.Goal = now + c.Goal
	}
	return r
}

// kindOf returns the kind of a call's statement.
func kindOf(c statement.Call) serverqueue.Kind {
	if _, ok := c.Body.(statement.Commit); ok {
		return serverqueue.Commit
	}
	switch {
	case c.Step == statement.First:
		return serverqueue.Opening
	case c.Writes():
		return serverqueue.Write
	}
	return serverqueue.Read
}

// QueueLoad returns the load of the server, or nil without Options.PriorityScheduling.
func (p *Pool) QueueLoad() *statement.Load { return p.admission.load() }
