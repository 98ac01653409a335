package pool

import (
	"context"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/operation"
	"tanagercross/internal/session/outcome"
)

func (p *Pool) run(ctx context.Context, server string, op operation.Run) operation.Reply {
	t, reply := p.find(server, op.Transaction, op.Organisation, op.Session, "")
	if t == nil {
		return reply
	}
	ctx, ticket, release, reason := t.take(ctx)
	if reason != "" {
		return refused(reason)
	}
	defer release()
	if p.isWithdrawn(t.keyHash) {
		t.end(outcome.KeyWithdrawn)
	}
	if !t.isOpen() {
		return refused(t.reasonOr(outcome.TransactionUnknown))
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
	// The commit was not sent and the connection is closed, so the statement has no effect.
	if v.Outcome == outcome.Unknown {
		v = outcome.NotRun(outcome.ServerUnreachable)
	}
	t.broken = true
	t.end(v.Reason)
	return refused(t.reasonOr(v.Reason))
}

func abortedVerdict() outcome.Verdict {
	return outcome.NotRun(outcome.StatementFailed).WithMessage("an earlier statement of the transaction failed")
}

func (t *transaction) isOpen() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state == opened
}

func (p *Pool) commit(ctx context.Context, server string, op operation.Commit) operation.Reply {
	t, reply := p.find(server, op.Transaction, op.Organisation, op.Session, op.Record.RequestID)
	if t == nil {
		return reply
	}
	repeated := t.repeats(op.Record.RequestID)
	waiting, ticket, release, reason := t.take(ctx)
	switch {
	case reason != "" && repeated:
		// The first commit with this id may be running.
		return operation.Reply{Verdict: outcome.NotKnown(outcome.AnswerLost)}
	case reason != "":
		return refused(reason)
	}
	if p.isWithdrawn(t.keyHash) {
		t.end(outcome.KeyWithdrawn)
	}
	if t.aborted {
		release()
		t.end(outcome.TransactionUnknown)
		return operation.Reply{Verdict: abortedVerdict()}
	}
	if waiting.Err() != nil || !t.move(committing) {
		release()
		return p.finished(t.id, op.Record.RequestID)
	}
	// From here the withdrawal of the key no longer cancels: the commit's outcome would be lost.
	sending, cancel := t.lane.within(ctx)
	defer cancel()
	result, err := t.conn.Commit(sending, op.Record)
	ticket.Release()
	reply.Verdict = verdict(err)
	t.broken = err != nil && driver.KindOf(err) != driver.StatementRejected
	if err == nil {
		reply.Result = result
		reply.Verdict = t.acknowledge(sending, result)
	}
	t.close(outcome.TransactionUnknown, op.Record.RequestID)
	return reply
}

func (t *transaction) acknowledge(ctx context.Context, r driver.Result) outcome.Verdict {
	if r.Position.Term != t.term {
		return outcome.NotKnown(outcome.NotReplicated)
	}
	v, broken := t.lane.confirm(ctx, t.conn, r.Position)
	t.broken = broken
	return v
}

// repeats reports whether a commit with the same request id was asked for before.
func (t *transaction) repeats(requestID string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.commitID == "" {
		t.commitID = requestID
		return false
	}
	return t.commitID == requestID
}

// close ends a transaction whose turn the caller holds. The turn is not returned, because the connection is given back.
func (t *transaction) close(reason outcome.Reason, requestID string) {
	t.mu.Lock()
	t.state = ended
	t.mu.Unlock()
	t.lane.pool.conclude(t, reason, requestID)
	t.giveBack()
}

// rollback needs no turn in the queue; it cancels a statement that is running.
func (p *Pool) rollback(server string, op operation.Rollback) operation.Reply {
	t, reply := p.find(server, op.Transaction, op.Organisation, op.Session, "")
	if t == nil {
		return reply
	}
	if !t.end(outcome.TransactionUnknown) {
		return refused(t.reasonOr(outcome.TransactionUnknown))
	}
	return operation.Reply{Verdict: verdict(nil)}
}
