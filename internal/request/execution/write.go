package execution

import (
	"context"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/operation"
	"tanagercross/internal/request/retry"
	"tanagercross/internal/session/outcome"
	"tanagercross/internal/session/route"
)

// write makes attempts at the primary until the write is done, its outcome is unknown, or it was not run and is not
// retried.
func (x *execution) write(ctx context.Context, r Statement) Reply {
	record := driver.Record{
		RequestID:   x.requestID,
		Fingerprint: fingerprint(x.organisation, r.Group, r.Statement.SQL, r.Statement.Arguments),
	}
	return x.atPrimary(ctx, r.Group, func(c route.Serve) Reply {
		requestedAt := x.ports.Clock.Now()
		op := operation.Write{
			Organisation: x.organisation, Term: c.Term, Record: record, Statement: r.Statement,
			KeyHash: x.caller.KeyHash,
		}
		reply, _ := x.ports.Performer.Perform(ctx, c.Server, op)
		return x.concludeWrite(ctx, writeAttempt{
			group: r.Group, server: c.Server, term: c.Term, record: record, requestedAt: requestedAt,
		}, reply)
	})
}

// atPrimary calls attempt with the current primary until the outcome is not not_run or the retry policy refuses another
// attempt. Between attempts it waits for a new primary if the failure calls for it.
func (x *execution) atPrimary(ctx context.Context, group string, attempt func(route.Serve) Reply) Reply {
	attempts := retry.NewAttempts(x.options.Retry, x.deadline)
	for {
		choice, reason := x.awaitPrimary(ctx, group)
		if reason != "" {
			return Reply{Verdict: outcome.NotRun(reason)}
		}
		reply := attempt(choice)
		if reply.Verdict.Outcome != outcome.NotRunOutcome {
			return reply
		}
		if denied := x.awaitNextAttempt(ctx, attempts, reply.Verdict.Reason); denied != "" {
			return deniedReply(reply.Verdict, denied)
		}
		x.awaitNewTerm(ctx, group, choice.Term, x.maxTermWait(reply.Verdict.Reason, attempts.Made()))
	}
}

// awaitPrimary waits until a primary is known and reachable, at most PrimaryWait. Nothing is sent, so this doesn't
// count as an attempt.
func (x *execution) awaitPrimary(ctx context.Context, group string) (route.Serve, outcome.Reason) {
	until := x.ports.Clock.Now().Add(x.options.PrimaryWait)
	return x.awaitServer(ctx, func(now time.Time) route.Choice {
		g, ok := x.group(group)
		if !ok {
			return route.Refuse{Reason: outcome.GroupUnknown}
		}
		return route.ChooseWrite(g, route.Write{PrimaryUntil: until}, now)
	})
}

// choosePrimary returns the primary if it is known and reachable now, without a wait.
func (x *execution) choosePrimary(group string) (route.Serve, outcome.Reason) {
	g, ok := x.group(group)
	if !ok {
		return route.Serve{}, outcome.GroupUnknown
	}
	switch c := route.ChooseWrite(g, route.Write{}, x.ports.Clock.Now()).(type) {
	case route.Serve:
		return c, ""
	case route.Refuse:
		return route.Serve{}, c.Reason
	}
	return route.Serve{}, outcome.NoPrimary
}

// awaitServer calls choose until it returns a server or refuses the request, and sleeps as the choice says in between.
// The choices end the waits, by the time limits that package route applies.
func (x *execution) awaitServer(ctx context.Context, choose func(now time.Time) route.Choice) (route.Serve, outcome.Reason) {
	for {
		now := x.ports.Clock.Now()
		switch c := choose(now).(type) {
		case route.Serve:
			return c, ""
		case route.Wait:
			if !x.pause(ctx, c.Until.Sub(now)) {
				return route.Serve{}, c.Reason
			}
		case route.Refuse:
			return route.Serve{}, c.Reason
		}
	}
}

// maxTermWait returns how long to wait for a newer term after an attempt that failed for the reason r. An unreachable
// primary may be back soon, so the first waits are short; to replace it takes seconds, so later ones are long.
func (x *execution) maxTermWait(r outcome.Reason, attempts int) time.Duration {
	switch r {
	case outcome.PrimaryReplaced, outcome.ServerLeaving: // a primary that leaves is being replaced
		return x.options.PrimaryWait
	case outcome.ServerUnreachable, outcome.LaneUnavailable:
		if attempts > 2 {
			return x.options.PrimaryWait
		}
		return x.options.ShortPrimaryWait
	}
	return 0
}

// awaitNewTerm waits until the group has a newer term than the given one, at most maxWait.
func (x *execution) awaitNewTerm(ctx context.Context, group string, term uint64, maxWait time.Duration) {
	end := x.ports.Clock.Now().Add(maxWait)
	// The time of one poll interval is left before the deadline for the attempt itself.
	if last := x.deadline.Add(-x.options.TermPollInterval); last.Before(end) {
		end = last
	}
	for x.ports.Clock.Now().Before(end) && x.term(group) <= term {
		if !x.pause(ctx, x.options.TermPollInterval) {
			return
		}
	}
}

// writeAttempt is an attempt of a write at a server. In a lookup for an earlier write only group and record.RequestID
// are set.
type writeAttempt struct {
	group       string
	server      string
	term        uint64
	record      driver.Record
	requestedAt time.Time // before the attempt was sent
}

// concludeWrite turns the reply of an attempt into the reply for the caller. An acknowledgement is not passed on if a
// newer term is known by then, because the write may be missing in it; the record at the current primary decides.
func (x *execution) concludeWrite(ctx context.Context, a writeAttempt, reply operation.Reply) Reply {
	switch {
	case reply.Verdict.Outcome == outcome.NotRunOutcome:
		return Reply{Verdict: reply.Verdict}
	case reply.Verdict.Outcome == outcome.Done && x.term(a.group) <= a.term:
		x.observePosition(a.group, a.server, reply.Result.Position, a.requestedAt)
		return Reply{Verdict: reply.Verdict, Result: x.dropOversizedRows(reply.Result), ServedBy: driver.Primary}
	case reply.Verdict.Outcome == outcome.Done:
		return x.resolveUnknown(ctx, a, outcome.NotKnown(outcome.NotReplicated))
	}
	return x.resolveUnknown(ctx, a, reply.Verdict)
}
