package execution

import (
	"context"

	"github.com/google/uuid"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/operation"
	"tanagercross/internal/session/outcome"
)

// settle looks the record of an unknown write up at the current primary until its outcome is proved or the deadline
// passes.
func (x *execution) resolveUnknown(ctx context.Context, a writeAttempt, unresolved outcome.Verdict) Reply {
	interval := x.options.LookupInterval
	for ctx.Err() == nil {
		if reply, proved := x.lookUpRecord(ctx, a); proved {
			return reply
		}
		if !x.pause(ctx, interval) {
			break
		}
		interval = min(2*interval, x.options.MaxLookupInterval)
	}
	return Reply{Verdict: unresolved}
}

// lookUp asks the current primary once and reports whether the answer proves the outcome.
//
// A record that is found, in state that a majority holds in the newest term known, proves that the write was done; with
// another fingerprint it proves that the write can never be done, because ids are unique. A record that is not found
// proves that the write was not run only in a newer term and on another server: the branch of the old term has then been
// left without it. A transaction that hangs on the same server could commit after that server was promoted again.
func (x *execution) lookUpRecord(ctx context.Context, a writeAttempt) (Reply, bool) {
	choice, reason := x.choosePrimary(a.group)
	if reason != "" {
		return Reply{}, false
	}
	requestedAt := x.ports.Clock.Now()
	op := operation.Lookup{Organisation: x.organisation, Term: choice.Term, RequestID: a.record.RequestID}
	reply, _ := x.ports.Performer.Perform(ctx, choice.Server, op)
	if reply.Verdict.Outcome != outcome.Done || x.term(a.group) > choice.Term {
		return Reply{}, false
	}
	if !reply.Record.Found {
		proved := a.server != "" && choice.Term > a.term && choice.Server != a.server
		return Reply{Verdict: outcome.NotRun(outcome.PrimaryReplaced)}, proved
	}
	if a.record.Fingerprint != "" && reply.Record.Fingerprint != a.record.Fingerprint {
		return Reply{Verdict: outcome.NotRun(outcome.RequestIDReused)}, true
	}
	result := reply.Record.Result
	result.Position = reply.Record.Position
	result.Replayed = true
	x.observePosition(a.group, choice.Server, result.Position, requestedAt)
	return Reply{Verdict: reply.Verdict, Result: result, ServedBy: driver.Primary}, true
}

// outcome answers for an earlier write from its record. Nothing is known of the term of that write, so that a record
// that is not found leaves the outcome open.
func (x *execution) outcome(ctx context.Context, r Outcome) Reply {
	id, err := uuid.Parse(r.ID)
	if err != nil {
		return Reply{Verdict: outcome.NotRun(outcome.RequestInvalid)}
	}
	if requestIDOutOfRange(id, x.ports.Clock.Now()) {
		message := "the record may have been removed"
		return Reply{Verdict: outcome.NotKnown(outcome.OutcomeUnreadable).WithMessage(message)}
	}
	if _, reason := x.awaitPrimary(ctx, r.Group); reason != "" {
		return Reply{Verdict: outcome.NotRun(reason)}
	}
	a := writeAttempt{group: r.Group, record: driver.Record{RequestID: id.String()}}
	if reply, proved := x.lookUpRecord(ctx, a); proved {
		return reply
	}
	return Reply{Verdict: outcome.NotKnown(outcome.OutcomeUnreadable)}
}
