// Package dispatch chooses the server and the instance through which a statement runs, and tries again where the statement
// has provably not run.
//
// # Usage
//
//	d := dispatch.New(table, executor, dispatch.Options{Boot: clock.Boot})
//	answer := d.Single(ctx, database, call)
//	answer, pin := d.Open(ctx, database, call)
//	answer = d.Continue(ctx, pin, call)
//
// Reads whose answer is late are sent to another server as well; the first answer counts. Writes are sent again only
// after an answer that proves that they have not run.
package dispatch

import (
	"context"
	"time"

	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/fleet/roster"
	"tanagercross/internal/fleet/view"
	"tanagercross/internal/instance/clock"
)

// Limits of attempts.
const (
	maxAttempts = 5
	// retryPause lets a queue shorten or a new leader become known between two attempts at the same server.
	retryPause = 40 * time.Millisecond
	// hedgeDelay is the time after which an unanswered read is sent to another server too. Statements and queues of a
	// server that is not overloaded are shorter.
	hedgeDelay = 220 * time.Millisecond
	// openTimeout bounds the first statement of a transaction, which can be repeated on another connection.
	openTimeout = 500 * time.Millisecond
	// wayBack is the time that an answer takes from an instance in another region.
	returnDelay = 50 * time.Millisecond
	minTimeout  = 20 * time.Millisecond
	// patienceShare is the part of an operation's goal for which a statement waits for a usable server.
	serverWaitShare = 0.7
	// defaultTimeout is that of a statement whose database has none.
	defaultTimeout = 5 * time.Second
)

// Executor runs a statement on a server through an instance.
type Executor interface {
	Execute(ctx context.Context, through roster.Member, server string, c statement.Call) statement.Answer
}

// Observer is told of decisions and troubles.
type Observer interface {
	// AttemptEnded tells the end of an attempt.
	AttemptEnded(c statement.Call, server, through string, a statement.Answer, took time.Duration)
	// LeaderUnreachable tells that no instance could use the leader of a group.
	LeaderUnreachable(l view.Leader)
	// Retried counts a further attempt.
	Retried(reason string)
}

// Options sets what a dispatcher needs besides beliefs.
type Options struct {
	Boot     func() time.Duration
	Observer Observer
}

// Dispatcher is safe for concurrent use.
type Dispatcher struct {
	table       *view.Table
	executor    Executor
	options     Options
	loadReports loadReports
}

// New returns a dispatcher.
func New(t *view.Table, e Executor, o Options) *Dispatcher {
	return &Dispatcher{table: t, executor: e, options: o}
}

// PruneLoadReports drops what was seen of servers that are gone.
func (d *Dispatcher) PruneLoadReports() { d.loadReports.retain(d.table.Servers()) }

// Pin is the server connection of an open transaction.
type Pin struct {
	Server      string
	Instance    roster.Member
	Transaction uint64
	Scope       statement.Scope
}

// Timeout returns the limit of one statement.
func Timeout(d catalog.Database) time.Duration {
	if d.Timeout <= 0 {
		return defaultTimeout
	}
	return d.Timeout
}

// patience returns how long a statement waits for a usable server.
func serverWaitTimeout(d catalog.Database) time.Duration {
	p := Timeout(d)
	if d.Goal > 0 {
		p = min(p, time.Duration(float64(d.Goal)*serverWaitShare))
	}
	return p
}

// Single runs a statement outside of a transaction.
func (d *Dispatcher) Single(ctx context.Context, db catalog.Database, c statement.Call) statement.Answer {
	if c.Writes() || db.Consistency == catalog.PrimaryOnly {
		c.Scope = statement.Leader
	} else {
		c.Scope, c.MaximumAge = statement.Replica, db.MaximumAge
	}
	if c.Writes() {
		return d.write(ctx, db, c)
	}
	return d.read(ctx, db, c)
}

// attempt runs a call on a server through the best instance that has a connection to it.
func (d *Dispatcher) attempt(ctx context.Context, s catalog.Server, c statement.Call) (statement.Answer, roster.Member) {
	unreachable := statement.Refused(statement.WrongServer, "no instance reaches the server")
	holders := d.table.Holders(d.options.Boot(), s.ID, s.Place)
	for n, m := range holders {
		if n >= maxHolders {
			break
		}
		started := time.Now()
		if deadline, ok := ctx.Deadline(); ok {
			// A refusal of the instance that holds the connection arrives before this one gives up.
			c.Timeout = max(minTimeout, time.Until(deadline)-returnDelay)
		}
		a := d.executor.Execute(ctx, m, s.ID, c)
		took := time.Since(started)
		d.options.Observer.AttemptEnded(c, s.ID, m.Name, a, took)
		if !c.Writes() {
			d.loadReports.record(d.options.Boot(), s.ID, a, took)
		}
		if a.Delivery != statement.NotSent || a.Code != statement.WrongServer || ctx.Err() != nil {
			return a, m
		}
		unreachable = a
		d.options.Observer.Retried("holder_unreachable")
	}
	return unreachable, roster.Member{}
}

// maximumHolders is how many instances are tried for one attempt.
const maxHolders = 3

// leader returns the leader of a group, waiting for one until the context ends.
func (d *Dispatcher) waitForLeader(ctx context.Context, group string) (catalog.Server, view.Leader, bool) {
	for {
		changed := d.table.Changed()
		l, ok := d.table.Leader(group)
		if ok {
			if s, listed := d.table.Servers().Server(l.Server); listed {
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

// again reports whether a statement with this answer may be tried again, after it told others what the answer proves.
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

// write runs a statement once at the leader; it is sent again only if it has not run.
func (d *Dispatcher) write(ctx context.Context, db catalog.Database, c statement.Call) statement.Answer {
	ctx, cancel := context.WithTimeout(ctx, Timeout(db))
	defer cancel()
	waiting, stop := context.WithTimeout(ctx, serverWaitTimeout(db))
	defer stop()
	answer := statement.Refused(statement.Busy, "no primary is known")
	for n := range maxAttempts {
		s, l, ok := d.waitForLeader(waiting, db.Group)
		if !ok {
			return answer
		}
		if n > 0 {
			d.options.Observer.Retried(string(answer.Code))
		}
		answer, _ = d.attempt(ctx, s, c)
		if !d.retryable(l, answer) || !clock.Sleep(waiting, retryPause<<n) {
			return answer
		}
	}
	return answer
}

// Open starts a transaction with its first statement.
func (d *Dispatcher) Open(ctx context.Context, db catalog.Database, c statement.Call) (statement.Answer, *Pin) {
	ctx, cancel := context.WithTimeout(ctx, Timeout(db))
	defer cancel()
	waiting, stop := context.WithTimeout(ctx, serverWaitTimeout(db))
	defer stop()
	c.Step = statement.First
	replica := c.ReadOnly && db.Consistency != catalog.PrimaryOnly
	answer := statement.Refused(statement.Busy, "no primary is known")
	var tried []string
	for n := range maxAttempts {
		s, ok := d.chooseServer(waiting, db, replica, tried)
		if !ok {
			return answer, nil
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
		var through roster.Member
		answer, through = d.executeFirst(ctx, s, c)
		if answer.OK() {
			return answer, &Pin{Server: s.ID, Instance: through, Transaction: answer.Transaction, Scope: c.Scope}
		}
		if answer.Transaction != 0 && answer.Delivery == statement.Answered {
			d.rollback(through, s.ID, c, answer.Transaction)
		}
		if c.Scope == statement.Replica {
			continue
		}
		// Without a commit nothing of the transaction is kept, so that an unanswered statement may be repeated.
		if !d.retryable(l, answer) && answer.Delivery != statement.Unanswered || !clock.Sleep(waiting, retryPause) {
			return answer, nil
		}
	}
	return answer, nil
}

func (d *Dispatcher) executeFirst(ctx context.Context, s catalog.Server, c statement.Call) (statement.Answer, roster.Member) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	return d.attempt(ctx, s, c)
}

// rollback ends a transaction whose first statement failed, without waiting for the answer.
func (d *Dispatcher) rollback(through roster.Member, server string, c statement.Call, id uint64) {
	c.Step, c.Body, c.Transaction, c.Preparation, c.Timeout = statement.End, statement.Rollback{}, id, nil, openTimeout
	go d.executor.Execute(context.Background(), through, server, c)
}

// Continue runs a further statement of a transaction.
func (d *Dispatcher) Continue(ctx context.Context, db catalog.Database, p Pin, c statement.Call) statement.Answer {
	ctx, cancel := context.WithTimeout(ctx, Timeout(db))
	defer cancel()
	c.Transaction, c.Scope, c.Timeout = p.Transaction, p.Scope, Timeout(db)
	started := time.Now()
	a := d.executor.Execute(ctx, p.Instance, p.Server, c)
	d.options.Observer.AttemptEnded(c, p.Server, p.Instance.Name, a, time.Since(started))
	if a.Code == statement.ReadOnly {
		if s, ok := d.table.Servers().Server(p.Server); ok {
			d.table.RejectLeader(d.options.Boot(), s.Group, p.Server)
		}
	}
	return a
}

// Rollback ends a transaction whose caller has gone.
func (d *Dispatcher) Rollback(p Pin, c statement.Call) {
	d.rollback(p.Instance, p.Server, c, p.Transaction)
}
