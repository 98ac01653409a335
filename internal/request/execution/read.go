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

// read tries servers until one answers or the retry policy refuses another attempt. A read has no effect, so an attempt
// whose answer was lost may be repeated.
func (x *execution) read(ctx context.Context, r Statement) Reply {
	readQuery := x.readQuery(r)
	attempts := retry.NewAttempts(x.options.Retry, x.deadline)
	for {
		choice, reason := x.awaitServer(ctx, func(now time.Time) route.Choice {
			g, ok := x.group(r.Group)
			if !ok {
				return route.Refuse{Reason: outcome.GroupUnknown}
			}
			return route.ChooseRead(g, readQuery, now)
		})
		verdict := outcome.NotRun(reason)
		if reason == "" {
			reply := x.readAt(ctx, r, choice)
			if verdict = reply.Verdict; verdict.Outcome == outcome.Done {
				return reply
			}
		}
		reason = verdict.Reason
		if verdict.Outcome == outcome.Unknown {
			reason = outcome.ServerUnreachable
		}
		if denied := x.awaitNextAttempt(ctx, attempts, reason); denied != "" {
			return deniedReply(verdict, denied)
		}
		if choice.Server == "" || !choice.Reason.ByReplica() {
			// No other server is left to try. The next attempt waits for a newer term and may choose any server again.
			x.awaitNewTerm(ctx, r.Group, choice.Term, x.maxTermWait(reason, attempts.Made()))
			readQuery = x.readQuery(r)
			continue
		}
		readQuery.Exclude = append(readQuery.Exclude, choice.Server)
	}
}

// readQuery returns the description of a read for route.ChooseRead. Its time limits start now.
func (x *execution) readQuery(r Statement) route.Read {
	now := x.ports.Clock.Now()
	return route.Read{
		Mode: r.mode(), MaxAge: r.MaxAge, AtLeast: x.session.Position(r.Group), Place: x.ports.Place,
		Started: now, PrimaryUntil: now.Add(x.options.PrimaryWait), ReplicaWait: x.limits().ReplicaWait,
	}
}

// readAt makes one attempt of a read at the chosen server.
func (x *execution) readAt(ctx context.Context, r Statement, c route.Serve) Reply {
	requestedAt := x.ports.Clock.Now()
	op := operation.Read{
		Organisation: x.organisation, AtLeast: c.AtLeast, Statement: r.Statement, Durable: c.Durable,
		KeyHash: x.caller.KeyHash,
	}
	reply, _ := x.ports.Performer.Perform(ctx, c.Server, op)
	if reply.Verdict.Outcome != outcome.Done {
		return Reply{Verdict: reply.Verdict}
	}
	if x.exceedsAnswerLimit(reply.Result) {
		return Reply{Verdict: outcome.NotRun(outcome.RequestTooLarge).WithMessage("answer over the limit")}
	}
	if reason := x.outdated(r, c); reason != "" {
		return Reply{Verdict: outcome.NotRun(reason)}
	}
	x.observePosition(r.Group, c.Server, reply.Result.Position, requestedAt)
	role := driver.Primary
	if c.Reason.ByReplica() {
		role = driver.Replica
	}
	x.ports.Counter.Read(role, c.Reason)
	return Reply{Verdict: reply.Verdict, Result: reply.Result, ServedBy: role}
}

// outdated returns why an answer that has arrived must not be given, or "". While the read was queued or running, its
// data may have become older than MaxAge, or the primary that served it may have been replaced.
func (x *execution) outdated(r Statement, c route.Serve) outcome.Reason {
	switch {
	case !c.DataTime.IsZero() && x.ports.Clock.Now().Sub(c.DataTime) > r.MaxAge:
		return outcome.ServerBehind
	case c.Durable && x.term(r.Group) > c.Term:
		return outcome.PrimaryReplaced
	}
	return ""
}

// awaitNextAttempt waits before the next attempt after one that failed for the reason r. If there must be no further
// attempt, it returns why.
func (x *execution) awaitNextAttempt(ctx context.Context, a *retry.Attempts, r outcome.Reason) retry.Denial {
	wait, denied := a.NextAttempt(x.ports.Clock.Now(), r, x.budget, x.options.Random)
	if denied != "" {
		return denied
	}
	x.ports.Counter.Retried(r)
	if !x.pause(ctx, wait) {
		return retry.DeadlineTooClose
	}
	return ""
}

// deniedReply returns the reply for a request that is not retried: the verdict of its last attempt, or
// retry_budget_exhausted if only the budget prevented a retry of a request that was not run.
func deniedReply(v outcome.Verdict, denied retry.Denial) Reply {
	if denied == retry.BudgetExhausted && v.Outcome == outcome.NotRunOutcome {
		v = outcome.NotRun(outcome.RetryBudgetExhausted).WithMessage(string(v.Reason))
	}
	return Reply{Verdict: v}
}
