// Package dispatch chooses the server on which a statement runs and the instance that sends it there, and retries a
// statement that has provably not run.
//
// # Usage
//
//	d := dispatch.New(table, executor, dispatch.Options{Boot: clock.Boot})
//	answer := d.Single(ctx, database, call)
//	answer, pin := d.Open(ctx, database, call)
//	answer = d.Continue(ctx, database, *pin, call)
//
// Not every instance holds connections to every server: a statement goes to an instance that does, which sends it to the
// server. A read without an answer in time is sent to another server too, and the first answer counts. A write is sent
// again only after an answer that proves that it has not run.
package dispatch

import (
	"context"
	"time"

	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/fleet/roster"
	"tanagercross/internal/fleet/view"
	"tanagercross/internal/instance/clock"
	"tanagercross/internal/request/admission"
	"tanagercross/internal/service/recovery"
)

// Limits of attempts.
const (
	maxAttempts = 5
	// retryPause is the pause before another attempt at the leader. It lets the server's queue shorten, or a new leader
	// become known.
	retryPause = 40 * time.Millisecond
	// hedgeDelay is the time after which an unanswered read is sent to another server too. It is longer than a statement
	// and its wait in the queue take at a server that is not overloaded.
	hedgeDelay = 220 * time.Millisecond
	// openTimeout bounds the first statement of a transaction. It can be repeated on another connection, because nothing
	// is committed yet.
	openTimeout = 500 * time.Millisecond
	// returnDelay is how long an answer is on its way from an instance in another region.
	returnDelay = 50 * time.Millisecond
	minTimeout  = 20 * time.Millisecond
	// serverWaitShare is the part of the database's latency goal for which a statement waits for a usable server.
	serverWaitShare = 0.7
	// defaultTimeout is the statement timeout of databases that set none.
	defaultTimeout = 5 * time.Second
)

// Executor runs a statement on a server through the given instance, which holds connections to the server.
type Executor interface {
	Execute(ctx context.Context, instance roster.Member, server string, c statement.Call) statement.Answer
}

// Observer records attempts for logs and metrics, and passes failures on.
type Observer interface {
	// AttemptEnded is called after each attempt with its answer and duration.
	AttemptEnded(c statement.Call, server, instance string, a statement.Answer, took time.Duration)
	// LeaderUnreachable is called when no instance could reach the leader of a group.
	LeaderUnreachable(l view.Leader)
	// Retried is called before each further attempt with the reason for it.
	Retried(reason string)
	// Admission is called with each decision about the admission of a call.
	Admission(c statement.Call, database string, v admission.Verdict)
	// RetryDenied is called with the reason for each retry or hedge that is not made.
	RetryDenied(c statement.Call, reason string)
	// Panicked is called after a panic in an attempt, with the part in which it happened.
	Panicked(part string, p recovery.Panic)
}

// Options holds the clock and the observer of a dispatcher.
type Options struct {
	Boot     func() time.Duration // clock that counts suspended time
	Observer Observer
	// PriorityScheduling asks for placement by reported load, admission control and a retry budget.
	PriorityScheduling bool
}

// Dispatcher runs statements on the servers in an instance's view of the fleet. It is safe for concurrent use.
type Dispatcher struct {
	table       *view.Table
	executor    Executor
	options     Options
	loadReports loadReports
	scheduling  *scheduling // nil without Options.PriorityScheduling
}

// New returns a dispatcher that chooses among the servers and instances of the table.
func New(t *view.Table, e Executor, o Options) *Dispatcher {
	d := &Dispatcher{table: t, executor: e, options: o}
	if o.PriorityScheduling {
		d.scheduling = newScheduling(o.Boot())
	}
	return d
}

// PruneLoadReports drops the load reports of servers that are no longer in the table.
func (d *Dispatcher) PruneLoadReports() {
	d.loadReports.retain(d.table.Servers())
	d.scheduling.retain(d.table.Servers())
}

// Pin identifies an open transaction: its server, the instance that holds its connection, and its id at that instance.
type Pin struct {
	Server      string
	Instance    roster.Member
	Transaction uint64
	Scope       statement.Scope
}

// Timeout returns the timeout of one statement of a database.
func Timeout(d catalog.Database) time.Duration {
	if d.Timeout <= 0 {
		return defaultTimeout
	}
	return d.Timeout
}

// serverWaitTimeout returns for how long a statement may wait for a usable server and be retried.
func serverWaitTimeout(d catalog.Database) time.Duration {
	p := Timeout(d)
	if d.LatencyGoal > 0 {
		p = min(p, time.Duration(float64(d.LatencyGoal)*serverWaitShare))
	}
	return p
}

// Single runs a statement outside of a transaction. Writes, and reads of databases with consistency PrimaryOnly, run at
// the leader; other reads run on any server that holds the position and meets the age that they require.
func (d *Dispatcher) Single(ctx context.Context, db catalog.Database, c statement.Call) statement.Answer {
	if c.Writes() || db.Consistency == catalog.PrimaryOnly {
		c.Scope = statement.Leader
	} else {
		c.Scope, c.MaximumAge = statement.Replica, db.MaximumAge
	}
	e := d.eligibility(db, c)
	if refusal, excluded := e.excludes(db.Group); excluded {
		return refusal
	}
	refusal, trial := d.admit(db, c, d.candidates(e, db, c.Scope == statement.Replica))
	if refusal.Code != "" {
		return refusal
	}
	var a statement.Answer
	if c.Writes() {
		a = d.write(ctx, e, db, c)
	} else {
		a = d.read(ctx, e, db, c, trial)
	}
	return d.scheduling.conclude(a)
}

// attempt runs a call once on a server. It tries the instances that hold connections to the server, best first, and goes
// on to the next one only if the answer proves that the statement did not reach the server. It returns the answer and the
// instance that gave it.
func (d *Dispatcher) attempt(ctx context.Context, e eligibility, s catalog.Server, c statement.Call) (statement.Answer, roster.Member) {
	unreachable := statement.Refused(statement.WrongServer, "no instance reaches the server")
	attempts := 0
	for m := range e.relays(d.table.Holders(d.options.Boot(), s.ID, s.Place)) {
		if attempts++; attempts > maxHolders {
			break
		}
		started := time.Now()
		d.scheduling.sent(d.options.Boot(), s.ID, c)
		if deadline, ok := ctx.Deadline(); ok {
			// The holder's own timeout ends earlier, so that its refusal arrives before this instance's deadline.
			c.Timeout = max(minTimeout, time.Until(deadline)-returnDelay)
		}
		a := d.executor.Execute(ctx, m, s.ID, c)
		took := time.Since(started)
		d.options.Observer.AttemptEnded(c, s.ID, m.Name, a, took)
		if a.Delivery != statement.NotSent || a.Code != statement.WrongServer || ctx.Err() != nil {
			d.recordLoad(s.ID, c, a, took)
			return a, m
		}
		unreachable = a
		d.options.Observer.Retried("holder_unreachable")
	}
	d.recordLoad(s.ID, c, unreachable, 0)
	return unreachable, roster.Member{}
}

// maxHolders is the number of instances that one attempt tries.
const maxHolders = 3

// waitForLeader returns the server that leads a group. If none is known, or its place is evacuated, it waits for another one
// until the context ends. It does not wait while the leader is outside of the home regions.
func (d *Dispatcher) waitForLeader(ctx context.Context, e eligibility, group string) (catalog.Server, view.Leader, bool) {
	for {
		changed := d.table.Changed()
		l, ok := d.table.Leader(group)
		if ok {
			s, listed := d.table.Servers().Server(l.Server)
			switch {
			case listed && !e.atHome(s):
				return s, l, false
			case listed && e.permits(s):
				return s, l, true
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return catalog.Server{}, l, false
		}
	}
}

// retryable reports whether the answer proves that the statement has not run, so that it may be sent again. It also
// records what the answer says about the leader: ReadOnly that the server does not lead, WrongServer without delivery
// that no instance reaches it.
func (d *Dispatcher) retryable(l view.Leader, a statement.Answer) bool {
	switch {
	case a.OK(), a.Delivery == statement.Unanswered:
		return false
	case a.Code == statement.ReadOnly:
		d.table.RejectLeader(d.options.Boot(), l.Group, l.Server)
		return true
	case a.Delivery == statement.NotSent && a.Code == statement.WrongServer:
		d.options.Observer.LeaderUnreachable(l)
		return true
	case a.Delivery == statement.NotSent, a.Code.NotRun():
		return true
	}
	return false
}

// write runs a write at the leader. It is sent again only if it has not run.
func (d *Dispatcher) write(ctx context.Context, e eligibility, db catalog.Database, c statement.Call) statement.Answer {
	ctx, cancel := context.WithTimeout(ctx, Timeout(db))
	defer cancel()
	serverWait, cancelWait := context.WithTimeout(ctx, serverWaitTimeout(db))
	defer cancelWait()
	started := d.options.Boot()
	var answer statement.Answer
	for n := range maxAttempts {
		s, l, ok := d.waitForLeader(serverWait, e, db.Group)
		if !ok && n == 0 {
			return e.refusal(db.Group)
		}
		if !ok {
			return answer
		}
		if n > 0 {
			d.options.Observer.Retried(string(answer.Code))
		}
		answer, _ = d.attempt(ctx, e, s, d.withGoalLeft(c, started))
		if !d.retryable(l, answer) || !d.allowRepeat(c, answer, retryPause<<n) || !clock.Sleep(serverWait, retryPause<<n) {
			return answer
		}
	}
	return answer
}

// Open starts a transaction with its first statement, on a replica if the transaction only reads and the database allows
// it. The pin is nil if the statement failed; then no transaction is open.
func (d *Dispatcher) Open(ctx context.Context, db catalog.Database, c statement.Call) (statement.Answer, *Pin) {
	ctx, cancel := context.WithTimeout(ctx, Timeout(db))
	defer cancel()
	serverWait, cancelWait := context.WithTimeout(ctx, serverWaitTimeout(db))
	defer cancelWait()
	c.Step = statement.First
	replica := c.ReadOnly && db.Consistency != catalog.PrimaryOnly
	e := d.eligibility(db, c)
	if refusal, excluded := e.excludes(db.Group); excluded {
		return refusal, nil
	}
	answer, trial := d.admit(db, c, d.candidates(e, db, replica))
	if answer.Code != "" {
		return answer, nil
	}
	started := d.options.Boot()
	var tried []string
	var refused []refusal
	for n := range maxAttempts {
		s, ok := d.chooseServer(serverWait, e, db, choice{replica: replica, tried: tried, priority: c.Priority, trial: trial})
		if !ok && n == 0 {
			return e.refusal(db.Group), nil
		}
		if !ok || !d.allowAfter(c, s.ID, refused) {
			return d.scheduling.conclude(answer), nil
		}
		c.Scope, c.MaximumAge = statement.Leader, 0
		l, _ := d.table.Leader(db.Group)
		if replica && l.Server != s.ID {
			c.Scope, c.MaximumAge = statement.Replica, db.MaximumAge
			tried = append(tried, s.ID)
		}
		if n > 0 {
			d.options.Observer.Retried(string(answer.Code))
		}
		var instance roster.Member
		answer, instance = d.executeFirst(ctx, e, s, d.withGoalLeft(c, started))
		if answer.OK() {
			d.scheduling.conclude(answer)
			return answer, &Pin{Server: s.ID, Instance: instance, Transaction: answer.Transaction, Scope: c.Scope}
		}
		if answer.Transaction != 0 && answer.Delivery == statement.Answered {
			d.rollback(instance, s.ID, c, answer.Transaction)
		}
		refused = d.appendRefusal(refused, s.ID, answer)
		elsewhere := c.Scope == statement.Replica
		if replica && !elsewhere && len(refused) > 0 {
			tried, elsewhere = append(tried, s.ID), true // a replica may still have room
		}
		if elsewhere {
			if !d.allowRetry(c) {
				return d.scheduling.conclude(answer), nil
			}
			continue
		}
		// Without a commit the transaction has no effect, so even a statement without an answer may be sent again.
		if !d.retryable(l, answer) && answer.Delivery != statement.Unanswered || !d.allowRepeat(c, answer, retryPause) ||
			!clock.Sleep(serverWait, retryPause) {
			return d.scheduling.conclude(answer), nil
		}
	}
	return d.scheduling.conclude(answer), nil
}

// executeFirst runs the first statement of a transaction within openTimeout.
func (d *Dispatcher) executeFirst(ctx context.Context, e eligibility, s catalog.Server, c statement.Call) (statement.Answer, roster.Member) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	return d.attempt(ctx, e, s, c)
}

// rollback rolls a transaction back without waiting for the answer.
func (d *Dispatcher) rollback(instance roster.Member, server string, c statement.Call, id uint64) {
	c.Step, c.Body, c.Transaction, c.Preparation, c.Timeout = statement.End, statement.Rollback{}, id, nil, openTimeout
	go func() {
		defer recovery.Catch(func(p recovery.Panic) { d.options.Observer.Panicked("rollback", p) })
		d.executor.Execute(context.Background(), instance, server, c)
	}()
}

// Continue runs a further statement of a transaction, including the commit. It is never retried.
func (d *Dispatcher) Continue(ctx context.Context, db catalog.Database, p Pin, c statement.Call) statement.Answer {
	ctx, cancel := context.WithTimeout(ctx, Timeout(db))
	defer cancel()
	c.Transaction, c.Scope, c.Timeout = p.Transaction, p.Scope, Timeout(db)
	started := time.Now()
	a := d.executor.Execute(ctx, p.Instance, p.Server, c)
	d.options.Observer.AttemptEnded(c, p.Server, p.Instance.Name, a, time.Since(started))
	d.scheduling.answered(d.options.Boot(), p.Server, c, a, time.Since(started))
	d.scheduling.conclude(a)
	if a.Code == statement.ReadOnly {
		if s, ok := d.table.Servers().Server(p.Server); ok {
			d.table.RejectLeader(d.options.Boot(), s.Group, p.Server)
		}
	}
	return a
}

// Rollback rolls back the transaction of a session that has ended or given it up. It does not wait for the server.
func (d *Dispatcher) Rollback(p Pin, c statement.Call) {
	d.rollback(p.Instance, p.Server, c, p.Transaction)
}
