package conversation

import (
	"context"
	"time"

	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/catalog"
)

// inside answers a query while a transaction is open or has failed.
func (c *Conversation) inside(ctx context.Context, q statement.Query) statement.Answer {
	switch q.Body.(type) {
	case statement.Rollback:
		c.unpin()
		return statement.Answer{Fate: statement.Answered, State: statement.Idle}
	case statement.Set, statement.Prepare, statement.Deallocate:
		if c.state == statement.InTransaction {
			return c.local(q)
		}
	case statement.Begin:
		return c.refuse(q, statement.Malformed, "a transaction is open")
	}
	if c.state == statement.FailedTransaction {
		if _, ok := q.Body.(statement.Commit); ok {
			c.unpin()
			a := c.refuse(q, statement.Aborted, "the transaction has failed and was rolled back")
			a.State = statement.Idle
			return a
		}
		return c.refuse(q, statement.Malformed, "the transaction has failed; roll it back")
	}
	return c.forward(ctx, q)
}

// forward runs a statement of a transaction on its server.
func (c *Conversation) forward(ctx context.Context, q statement.Query) statement.Answer {
	if refusal := c.check(q); refusal.Code != "" {
		c.unpin()
		refusal.State = statement.FailedTransaction
		return refusal
	}
	c.used = time.Now()
	c.count++
	call, refusal := c.call(q)
	if refusal.Code != "" {
		return refusal
	}
	c.wrote = c.wrote || call.Writes()
	_, commits := q.Body.(statement.Commit)
	if c.pin == nil {
		return c.open(ctx, call, commits)
	}
	call.Step = statement.Next
	if commits {
		call.Step = statement.End
	}
	a := c.env.Dispatcher.Continue(ctx, c.route, *c.pin, call)
	return c.after(a, commits)
}

// check refuses a statement of a transaction that has ended meanwhile: the pause was too long, or the key was withdrawn.
func (c *Conversation) check(q statement.Query) statement.Answer {
	if c.env.Stopping() {
		return c.refuse(q, statement.Aborted, "the instance stops")
	}
	configuration := c.env.Configuration()
	if limit := configuration.TransactionIdle; limit > 0 && c.pin != nil && time.Since(c.used) > limit {
		return c.refuse(q, statement.Aborted, "the transaction was idle for too long")
	}
	if c.count >= statementsOfTransaction {
		return c.refuse(q, statement.Aborted, "the transaction has too many statements")
	}
	if c.organisation == publicOrganisation {
		return statement.Answer{}
	}
	if _, ok := configuration.OrganisationByKey(c.key); !ok && !c.route.Public {
		c.over = true
		return c.refuse(q, statement.Unauthorized, "unknown key")
	}
	return statement.Answer{}
}

func (c *Conversation) open(ctx context.Context, call statement.Call, commits bool) statement.Answer {
	if c.route.Consistency == catalog.ReadYourWrites {
		call.After = c.written
	}
	a, pin := c.env.Dispatcher.Open(ctx, c.route, call)
	if pin != nil && a.State != statement.Idle {
		c.pin = pin
	}
	return c.after(a, commits)
}

// after takes the answer to a statement of the transaction.
func (c *Conversation) after(a statement.Answer, commits bool) statement.Answer {
	if a.OK() {
		if commits {
			c.pin = nil
			c.committed(a.Position)
		}
		return c.conclude(a, commits, true)
	}
	// Without a write nothing can have been kept, even if the commit was not answered.
	a = c.conclude(a, commits && c.wrote, true)
	if a.Fate != statement.Answered || commits {
		c.unpin()
	}
	if commits {
		// The transaction is over, whatever became of it.
		a.State = statement.Idle
	}
	return a
}
