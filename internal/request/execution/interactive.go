package execution

import (
	"context"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/operation"
	"tanagercross/internal/session/outcome"
	"tanagercross/internal/session/route"
	"tanagercross/internal/session/token"
)

// begin opens a transaction at the primary and returns its signed id.
func (x *execution) begin(ctx context.Context, r Begin) Reply {
	return x.atPrimary(ctx, r.Group, func(c route.Serve) Reply {
		op := operation.Begin{
			Organisation: x.organisation, Session: x.session.Session(), Term: c.Term, KeyHash: x.caller.KeyHash,
		}
		reply, holder := x.ports.Performer.Perform(ctx, c.Server, op)
		switch reply.Verdict.Outcome {
		case outcome.Done:
			return x.signTransaction(ctx, reply.Verdict, token.Transaction{
				Organisation: x.organisation, Session: x.session.Session(), Group: r.Group, Server: c.Server,
				Holder: holder, LocalID: reply.Transaction, Term: c.Term,
			})
		case outcome.Unknown:
			// The transaction may be open, but nobody knows its id: it has no effect and is rolled back at its idle
			// timeout.
			return Reply{Verdict: outcome.NotRun(outcome.ServerUnreachable)}
		}
		return Reply{Verdict: reply.Verdict}
	})
}

// signTransaction returns the signed id of a new transaction. If the id can't be encoded, it rolls the transaction
// back.
func (x *execution) signTransaction(ctx context.Context, v outcome.Verdict, t token.Transaction) Reply {
	id, err := x.ports.Signer.EncodeTransaction(t)
	if err != nil {
		x.rollBackWithheld(ctx, t)
		return Reply{Verdict: outcome.NotRun(outcome.RequestTooLarge).WithMessage("the transaction id would be too long")}
	}
	return Reply{Verdict: v, Transaction: id, ServedBy: driver.Primary}
}

// rollBackWithheld rolls back a transaction whose id is not given to the caller.
func (x *execution) rollBackWithheld(ctx context.Context, t token.Transaction) {
	op := operation.Rollback{Organisation: t.Organisation, Session: t.Session, Transaction: t.LocalID}
	x.ports.Performer.PerformAt(ctx, t.Holder, t.Server, op)
}

// run runs a statement in an open transaction, at the instance that holds the connection.
func (x *execution) run(ctx context.Context, r Run) Reply {
	t := x.transaction
	op := operation.Run{
		Organisation: x.organisation, Session: t.Session, Transaction: t.LocalID, Statement: r.Statement,
	}
	reply := x.ports.Performer.PerformAt(ctx, t.Holder, t.Server, op)
	if reply.Verdict.Outcome != outcome.Done {
		return Reply{Verdict: reply.Verdict}
	}
	// The session doesn't move to the position of an open transaction, because it is not durable yet.
	return Reply{Verdict: reply.Verdict, Result: x.dropOversizedRows(reply.Result), ServedBy: driver.Primary}
}

// commit commits an open transaction together with the record of the request.
func (x *execution) commit(ctx context.Context, r Commit) Reply {
	t := x.transaction
	record := driver.Record{
		RequestID:   x.requestID,
		Fingerprint: fingerprint(x.organisation, t.Group, "commit "+r.Transaction, nil),
	}
	op := operation.Commit{
		Organisation: x.organisation, Session: t.Session, Transaction: t.LocalID, Record: record,
	}
	a := writeAttempt{group: t.Group, server: t.Server, term: t.Term, record: record, requestedAt: x.ports.Clock.Now()}
	reply := x.ports.Performer.PerformAt(ctx, t.Holder, t.Server, op)
	if reply.Verdict.Outcome != outcome.NotRunOutcome {
		return x.concludeWrite(ctx, a, reply)
	}
	return x.resolveRefusedCommit(ctx, a, reply.Verdict)
}

// resolveRefusedCommit returns the reply for a commit that was not run, with the verdict v. If the transaction was not
// found or not reached, an earlier commit with the same request id may have ended it, so the record is looked up before
// the reply says not_run.
func (x *execution) resolveRefusedCommit(ctx context.Context, a writeAttempt, v outcome.Verdict) Reply {
	switch v.Reason {
	case outcome.TransactionUnknown, outcome.ServerUnreachable, outcome.LaneUnavailable:
	default:
		return Reply{Verdict: v}
	}
	if reply, proved := x.lookUpRecord(ctx, a); proved {
		if reply.Verdict.Outcome == outcome.NotRunOutcome && reply.Verdict.Reason == outcome.PrimaryReplaced {
			reply.Verdict = v
		}
		return reply
	}
	if v.Reason == outcome.TransactionUnknown {
		// The instance that held the transaction may have been restarted after an earlier commit was sent.
		return Reply{Verdict: outcome.NotKnown(outcome.AnswerLost)}
	}
	return Reply{Verdict: v}
}

// rollback rolls back an open transaction.
func (x *execution) rollback(ctx context.Context) Reply {
	t := x.transaction
	op := operation.Rollback{Organisation: x.organisation, Session: t.Session, Transaction: t.LocalID}
	reply := x.ports.Performer.PerformAt(ctx, t.Holder, t.Server, op)
	return Reply{Verdict: reply.Verdict}
}
