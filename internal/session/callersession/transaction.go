package callersession

import (
	"context"
	"time"

	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/request/dispatch"
)

// handleInTransaction answers a query while a transaction is open or has failed. A failed transaction accepts only its
// end.
func (s *Session) handleInTransaction(ctx context.Context, q statement.Query) statement.Answer {
	switch q.Body.(type) {
	case statement.Rollback:
		s.rollbackOpen()
		return statement.Answer{Delivery: statement.Answered, State: statement.Idle}
	case statement.Set, statement.Prepare, statement.Deallocate:
		if s.state == statement.InTransaction {
			return s.handleLocally(q)
		}
	case statement.Begin:
		return s.refuse(q, statement.Malformed, "a transaction is open")
	}
	if s.state == statement.FailedTransaction {
		if _, ok := q.Body.(statement.Commit); ok {
			s.rollbackOpen()
			a := s.refuse(q, statement.Aborted, "the transaction has failed and was rolled back")
			a.State = statement.Idle
			return a
		}
		return s.refuse(q, statement.Malformed, "the transaction has failed; roll it back")
	}
	return s.forwardInTransaction(ctx, q)
}

// forwardInTransaction runs a statement of the transaction on its server. The first one chooses the server.
func (s *Session) forwardInTransaction(ctx context.Context, q statement.Query) statement.Answer {
	if refusal := s.checkTransaction(q); refusal.Code != "" {
		s.rollbackOpen()
		refusal.State = statement.FailedTransaction
		return refusal
	}
	s.lastUsed = time.Now()
	s.statementCount++
	call, refusal := s.call(q)
	if refusal.Code != "" {
		return refusal
	}
	s.mayHaveWritten = s.mayHaveWritten || call.Writes()
	call = s.withPriority(call, s.transactionDatabase)
	_, isCommit := q.Body.(statement.Commit)
	if s.pin == nil {
		return s.openTransaction(ctx, call, isCommit)
	}
	call.Step = statement.Next
	if isCommit {
		call.Step = statement.End
	}
	a := s.env.Dispatcher.Continue(ctx, s.transactionDatabase, *s.pin, call)
	return s.finishStatement(a, isCommit)
}

// checkTransaction refuses a statement whose transaction cannot go on: the instance stops, the pause was too long, there
// are too many statements, or the key was withdrawn or given to another organisation than the one for which the transaction
// was opened. The answer has no code if the statement may run.
func (s *Session) checkTransaction(q statement.Query) statement.Answer {
	if s.env.Stopping(dispatch.Timeout(s.transactionDatabase)) {
		return s.refuse(q, statement.Aborted, "the instance stops")
	}
	configuration := s.env.Configuration()
	if limit := configuration.TransactionIdle; limit > 0 && s.pin != nil && time.Since(s.lastUsed) > limit {
		return s.refuse(q, statement.Aborted, "the transaction was idle for too long")
	}
	if s.statementCount >= maxTransactionStatements {
		return s.refuse(q, statement.Aborted, "the transaction has too many statements")
	}
	holder, ok := s.keyHolder(configuration, s.transactionDatabase)
	if !ok {
		s.shouldClose = true
		return s.refuse(q, statement.Unauthorized, "unknown key")
	}
	if holder != s.organisation {
		return s.refuse(q, statement.Aborted, "the key was given to another organisation")
	}
	return statement.Answer{}
}

// openTransaction opens the transaction on a server with its first statement.
func (s *Session) openTransaction(ctx context.Context, call statement.Call, isCommit bool) statement.Answer {
	if s.transactionDatabase.Consistency == catalog.ReadYourWrites {
		call.After = s.lastCommit
	}
	a, pin := s.env.Dispatcher.Open(ctx, s.transactionDatabase, call)
	if pin != nil && a.State != statement.Idle {
		s.pin = pin
	}
	return s.finishStatement(a, isCommit)
}

// finishStatement updates the transaction with the dispatcher's answer to one of its statements and returns the answer
// for the caller. A transaction that cannot go on is rolled back.
func (s *Session) finishStatement(a statement.Answer, isCommit bool) statement.Answer {
	if a.OK() {
		if isCommit {
			s.pin = nil
			s.recordCommit(a.Position)
		}
		return s.callerAnswer(a, isCommit, true)
	}
	// A transaction without a write changes nothing, so its outcome is known even if the commit was not answered.
	a = s.callerAnswer(a, isCommit && s.mayHaveWritten, true)
	if a.Delivery != statement.Answered || isCommit {
		s.rollbackOpen()
	}
	if isCommit {
		// The transaction is over, whether the commit succeeded or not.
		a.State = statement.Idle
	}
	return a
}
