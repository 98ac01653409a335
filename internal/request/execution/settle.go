package execution

import (
	"context"

	"github.com/google/uuid"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/operation"
	"tanagercross/internal/session/outcome"
)

// resolveUnknown looks up the record of a write whose outcome is unknown, at the current primary and with increasing
// intervals, until a lookup proves the outcome. If the deadline passes first, it returns the given verdict.
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

// lookUpRecord looks up the record of a write at the current primary once and reports whether the answer proves the
// outcome.
//
// A record that is found, in state that a majority holds in the newest known term, proves that the write was done. If
// its fingerprint differs, the id was used for another write, and this one can never be done, because ids are unique. A
// missing record proves that the write was not run only in a newer term and on another server, where the history that
// continues does not contain the write. On the same server, a transaction that hangs could still commit after the
// server was promoted again.
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

// outcome answers an Outcome request from the record of the write. The term of that write is not known here, so the
// outcome stays unknown if the record is not found.
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
