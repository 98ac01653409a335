package execution

import (
	"context"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/operation"
	"tanagercross/internal/session/outcome"
)

func (x *execution) begin(ctx context.Context, r Begin) Reply {
	return x.atPrimary(ctx, r.Group, func(c Choice) Reply {
		op := operation.Begin{
			Organisation: x.organisation, Session: x.session.ID, Term: c.Term, KeyHash: x.caller.KeyHash,
		}
		reply, holder := x.ports.Performer.Perform(ctx, c.Server, op)
		switch reply.Verdict.Outcome {
		case outcome.Done:
			h := handle{Group: r.Group, Server: c.Server, Holder: holder, Term: c.Term, Local: reply.Transaction}
			return Reply{Verdict: reply.Verdict, Transaction: h.encode(), ServedBy: driver.Primary}
		case outcome.Unknown:
			// A transaction that nobody knows the id of is rolled back at its idle limit.
			return Reply{Verdict: outcome.NotRun(outcome.ServerUnreachable)}
		}
		return Reply{Verdict: reply.Verdict}
	})
}

// abandon rolls back a transaction whose id is withheld from the caller.
func (x *execution) abandon(ctx context.Context, id string) {
	h, err := parseHandle(id)
	if err != nil {
		return
	}
	op := operation.Rollback{Organisation: x.organisation, Session: x.session.ID, Transaction: h.Local}
	x.ports.Performer.PerformAt(ctx, h.Holder, h.Server, op)
}

func (x *execution) run(ctx context.Context, r Run) Reply {
	h, err := parseHandle(r.Transaction)
	if err != nil {
		return Reply{Verdict: outcome.NotRun(outcome.TransactionUnknown)}
	}
	op := operation.Run{
		Organisation: x.organisation, Session: x.session.ID, Transaction: h.Local, Statement: r.Statement,
	}
	reply := x.ports.Performer.PerformAt(ctx, h.Holder, h.Server, op)
	if reply.Verdict.Outcome != outcome.Done {
		return Reply{Verdict: reply.Verdict}
	}
	// The position seen inside a transaction is not durable yet, so that the session does not move to it.
	return Reply{Verdict: reply.Verdict, Result: reply.Result, ServedBy: driver.Primary}
}

func (x *execution) commit(ctx context.Context, r Commit) Reply {
	h, err := parseHandle(r.Transaction)
	if err != nil {
		return Reply{Verdict: outcome.NotRun(outcome.TransactionUnknown)}
	}
	record := driver.Record{
		RequestID:   x.requestID,
		Fingerprint: fingerprint(x.organisation, h.Group, "commit "+r.Transaction, nil),
	}
	op := operation.Commit{
		Organisation: x.organisation, Session: x.session.ID, Transaction: h.Local, Record: record,
	}
	a := attempted{group: h.Group, server: h.Server, term: h.Term, record: record}
	reply := x.ports.Performer.PerformAt(ctx, h.Holder, h.Server, op)
	if reply.Verdict.Outcome != outcome.NotRunOutcome {
		return x.concluded(ctx, a, reply)
	}
	return x.repeatedCommit(ctx, a, reply.Verdict)
}

// repeatedCommit answers a commit whose transaction is not there. An earlier commit with the same id may have ended it,
// so its record is looked up before the caller is told not_run.
func (x *execution) repeatedCommit(ctx context.Context, a attempted, v outcome.Verdict) Reply {
	switch v.Reason {
	case outcome.TransactionUnknown, outcome.ServerUnreachable, outcome.LaneUnavailable:
	default:
		return Reply{Verdict: v}
	}
	if reply, proved := x.lookUp(ctx, a); proved {
		if reply.Verdict.Outcome == outcome.NotRunOutcome && reply.Verdict.Reason == outcome.PrimaryReplaced {
			reply.Verdict = v
		}
		return reply
	}
	if v.Reason == outcome.TransactionUnknown {
		// The holder may have been restarted after a commit was sent.
		return Reply{Verdict: outcome.NotKnown(outcome.AnswerLost)}
	}
	return Reply{Verdict: v}
}

func (x *execution) rollback(ctx context.Context, r Rollback) Reply {
	h, err := parseHandle(r.Transaction)
	if err != nil {
		return Reply{Verdict: outcome.NotRun(outcome.TransactionUnknown)}
	}
	op := operation.Rollback{Organisation: x.organisation, Session: x.session.ID, Transaction: h.Local}
	reply := x.ports.Performer.PerformAt(ctx, h.Holder, h.Server, op)
	return Reply{Verdict: reply.Verdict}
}
