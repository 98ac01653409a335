package callersession

import (
	"context"
	"time"

	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/catalog"
)

// inside answers a query while a transaction is open or has failed.
func (c *Session) handleInTransaction(ctx context.Context, q statement.Query) statement.Answer {
	switch q.Body.(type) {
	case statement.Rollback:
		c.rollbackOpen()
		return statement.Answer{Delivery: statement.Answered, State: statement.Idle}
	case statement.Set, statement.Prepare, statement.Deallocate:
		if c.state == statement.InTransaction {
			return c.handleLocally(q)
		}
	case statement.Begin:
		return c.refuse(q, statement.Malformed, "a transaction is open")
	}
	if c.state == statement.FailedTransaction {
		if _, ok := q.Body.(statement.Commit); ok {
			c.rollbackOpen()
			a := c.refuse(q, statement.Aborted, "the transaction has failed and was rolled back")
			a.State = statement.Idle
			return a
		}
		return c.refuse(q, statement.Malformed, "the transaction has failed; roll it back")
	}
	return c.forwardInTransaction(ctx, q)
}

// forward runs a statement of a transaction on its server.
func (c *Session) forwardInTransaction(ctx context.Context, q statement.Query) statement.Answer {
	if refusal := c.checkTransaction(q); refusal.Code != "" {
		c.rollbackOpen()
		refusal.State = statement.FailedTransaction
		return refusal
	}
	c.lastUsed = time.Now()
	c.statementCount++
	call, refusal := c.call(q)
	if refusal.Code != "" {
		return refusal
	}
	c.mayHaveWritten = c.mayHaveWritten || call.Writes()
	_, commits := q.Body.(statement.Commit)
	if c.pin == nil {
		return c.openTransaction(ctx, call, commits)
	}
	call.Step = statement.Next
	if commits {
		call.Step = statement.End
	}
	a := c.env.Dispatcher.Continue(ctx, c.route, *c.pin, call)
	return c.finishStatement(a, commits)
}

// check refuses a statement of a transaction that has ended meanwhile: the pause was too long, or the key was withdrawn.
func (c *Session) checkTransaction(q statement.Query) statement.Answer {
	if c.env.Stopping() {
		return c.refuse(q, statement.Aborted, "the instance stops")
	}
	configuration := c.env.Configuration()
	if limit := configuration.TransactionIdle; limit > 0 && c.pin != nil && time.Since(c.lastUsed) > limit {
		return c.refuse(q, statement.Aborted, "the transaction was idle for too long")
	}
	if c.statementCount >= maxTransactionStatements {
		return c.refuse(q, statement.Aborted, "the transaction has too many statements")
	}
	if c.organisation == publicOrganisation {
		return statement.Answer{}
	}
	if _, ok := configuration.ByKey(c.key); !ok && !c.route.Public {
		c.shouldClose = true
		return c.refuse(q, statement.Unauthorized, "unknown key")
	}
	return statement.Answer{}
}

func (c *Session) openTransaction(ctx context.Context, call statement.Call, commits bool) statement.Answer {
	if c.route.Consistency == catalog.ReadYourWrites {
		call.After = c.lastCommit
	}
	a, pin := c.env.Dispatcher.Open(ctx, c.route, call)
	if pin != nil && a.State != statement.Idle {
		c.pin = pin
	}
	return c.finishStatement(a, commits)
}

// after takes the answer to a statement of the transaction.
func (c *Session) finishStatement(a statement.Answer, commits bool) statement.Answer {
	if a.OK() {
		if commits {
			c.pin = nil
			c.recordCommit(a.Position)
		}
		return c.callerAnswer(a, commits, true)
	}
	// Without a write nothing can have been kept, even if the commit was not answered.
	a = c.callerAnswer(a, commits && c.mayHaveWritten, true)
	if a.Delivery != statement.Answered || commits {
		c.rollbackOpen()
	}
	if commits {
		// The transaction is over, whatever became of it.
		a.State = statement.Idle
	}
	return a
}
