package pool

import (
	"context"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/operation"
	"tanagercross/internal/session/outcome"
)

// run executes a statement in an open transaction. After a statement that the server refused the transaction accepts
// only a rollback. Any other failure ends the transaction.
func (p *Pool) run(ctx context.Context, server string, op operation.Run) operation.Reply {
	t, reply := p.findTransaction(server, op.Transaction, op.Organisation, op.Session, "")
	if t == nil {
		return reply
	}
	ctx, ticket, release, reason := t.startStatement(ctx)
	if reason != "" {
		return refused(reason)
	}
	defer release()
	if p.isKeyWithdrawn(t.keyHash) {
		t.end(outcome.KeyWithdrawn)
	}
	if !t.isOpen() {
		return refused(t.endReasonOr(outcome.TransactionUnknown))
	}
	if t.aborted {
		return operation.Reply{Verdict: abortedVerdict()}
	}
	result, err := t.conn.Run(ctx, op.Statement)
	ticket.Release()
	if err == nil {
		return operation.Reply{Verdict: verdict(nil), Result: result}
	}
	v := verdict(err)
	if driver.KindOf(err) == driver.StatementRejected {
		t.aborted = true
		return operation.Reply{Verdict: v}
	}
	// The commit was not sent and the connection will be closed, so the statement has no effect.
	if v.Outcome == outcome.Unknown {
		v = outcome.NotRun(outcome.ServerUnreachable)
	}
	t.broken = true
	t.end(v.Reason)
	return refused(t.endReasonOr(v.Reason))
}

// abortedVerdict is the verdict for operations after a failed statement of the same transaction.
func abortedVerdict() outcome.Verdict {
	return outcome.NotRun(outcome.StatementFailed).WithMessage("an earlier statement of the transaction failed")
}

func (t *transaction) isOpen() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state == stateOpen
}

// commit commits a transaction with its request record and waits until a majority holds the commit. Afterwards the
// transaction has ended, unless the context ended before the commit was sent.
func (p *Pool) commit(ctx context.Context, server string, op operation.Commit) operation.Reply {
	t, reply := p.findTransaction(server, op.Transaction, op.Organisation, op.Session, op.Record.RequestID)
	if t == nil {
		return reply
	}
	repeated := t.isRepeatedCommit(op.Record.RequestID)
	waitCtx, ticket, release, reason := t.startStatement(ctx)
	switch {
	case reason != "" && repeated:
		// The first commit with this request id may still be running.
		return operation.Reply{Verdict: outcome.NotKnown(outcome.AnswerLost)}
	case reason != "":
		return refused(reason)
	}
	if p.isKeyWithdrawn(t.keyHash) {
		t.end(outcome.KeyWithdrawn)
	}
	if t.aborted {
		release()
		t.end(outcome.TransactionUnknown)
		return operation.Reply{Verdict: abortedVerdict()}
	}
	if waitCtx.Err() != nil || !t.transition(stateCommitting) {
		release()
		return p.endedReply(t.id, op.Record.RequestID)
	}
	// From here on a withdrawal of the key does not cancel the commit, because its outcome would become unknown.
	commitCtx, cancel := t.lane.withLaneContext(ctx)
	defer cancel()
	result, err := t.conn.Commit(commitCtx, op.Record)
	ticket.Release()
	reply.Verdict = verdict(err)
	t.broken = err != nil && driver.KindOf(err) != driver.StatementRejected
	if err == nil {
		reply.Result = result
		reply.Verdict = t.acknowledge(commitCtx, result)
	}
	t.finish(outcome.TransactionUnknown, op.Record.RequestID)
	return reply
}

// acknowledge waits until a majority holds a commit. The outcome is unknown if the commit took place in another term
// than the one in which the transaction began.
func (t *transaction) acknowledge(ctx context.Context, r driver.Result) outcome.Verdict {
	if r.Position.Term != t.term {
		return outcome.NotKnown(outcome.NotReplicated)
	}
	v, broken := t.lane.confirmReplicated(ctx, t.conn, r.Position)
	t.broken = broken
	return v
}

// isRepeatedCommit reports whether a commit with the same request id was requested before. It stores the first request
// id.
func (t *transaction) isRepeatedCommit(requestID string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.commitRequestID == "" {
		t.commitRequestID = requestID
		return false
	}
	return t.commitRequestID == requestID
}

// finish ends a transaction after its commit was sent. The caller holds connLock and does not release it, because the
// connection goes back to the lane.
func (t *transaction) finish(reason outcome.Reason, requestID string) {
	t.mu.Lock()
	t.state = stateEnded
	t.mu.Unlock()
	t.lane.pool.recordEnd(t, reason, requestID)
	t.cleanUp()
}

// rollback ends a transaction without waiting in the lane's queue. It cancels a running statement.
func (p *Pool) rollback(server string, op operation.Rollback) operation.Reply {
	t, reply := p.findTransaction(server, op.Transaction, op.Organisation, op.Session, "")
	if t == nil {
		return reply
	}
	if !t.end(outcome.TransactionUnknown) {
		return refused(t.endReasonOr(outcome.TransactionUnknown))
	}
	return operation.Reply{Verdict: verdict(nil)}
}
