package execution

import (
	"context"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/operation"
	"tanagercross/internal/request/retry"
	"tanagercross/internal/session/outcome"
)

// read tries servers until one answers. A read has no effect, so an attempt whose answer was lost may be repeated.
func (x *execution) read(ctx context.Context, r Statement) Reply {
	query := Query{Group: r.Group, Mode: r.mode(), MaxAge: r.MaxAge, AtLeast: x.session.Positions[r.Group]}
	attempts := retry.NewAttempts(x.options.Retry, x.deadline)
	for {
		choice, reason := x.chooseRead(ctx, &query)
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
		if denied := x.again(ctx, attempts, reason); denied != "" {
			return refusedBy(verdict, denied)
		}
		if choice.Server == "" || choice.Role == driver.Primary {
			// No other server is left to try, so that the next attempt waits for a newer view and starts over.
			x.awaitChange(ctx, r.Group, choice.Term, x.changeWait(reason, attempts.Made()))
			query.Excluded = nil
			continue
		}
		query.Excluded = append(query.Excluded, choice.Server)
	}
}

// chooseRead waits for a replica that is about to catch up, or for a primary if the read needs one.
func (x *execution) chooseRead(ctx context.Context, q *Query) (Choice, outcome.Reason) {
	end := x.ports.Clock.Now().Add(x.options.PrimaryWait)
	for {
		choice, reason := x.ports.Router.Read(*q)
		wait := x.options.Poll
		switch {
		case reason == "" && choice.Wait > 0 && !q.Waited:
			q.Waited, wait = true, choice.Wait
		case reason != outcome.NoPrimary || !x.ports.Clock.Now().Before(end):
			return choice, reason
		}
		if !x.pause(ctx, wait) {
			return choice, reason
		}
	}
}

func (x *execution) readAt(ctx context.Context, r Statement, c Choice) Reply {
	op := operation.Read{
		Organisation: x.organisation, AtLeast: c.AtLeast, Statement: r.Statement, Durable: c.Role == driver.Primary,
	}
	reply, _ := x.ports.Performer.Perform(ctx, c.Server, op)
	if reply.Verdict.Outcome != outcome.Done {
		return Reply{Verdict: reply.Verdict}
	}
	x.seen(r.Group, c.Server, reply.Result.Position)
	x.ports.Counter.Read(c.Role, c.Cause)
	return Reply{Verdict: reply.Verdict, Result: reply.Result, ServedBy: c.Role}
}

// again waits before the next attempt, or says why there is none.
func (x *execution) again(ctx context.Context, a *retry.Attempts, r outcome.Reason) retry.Denial {
	wait, denied := a.Again(x.ports.Clock.Now(), r, x.budget, x.options.Random)
	if denied != "" {
		return denied
	}
	x.ports.Counter.Retried(r)
	if !x.pause(ctx, wait) {
		return retry.NoTime
	}
	return ""
}

// refusedBy returns the verdict of the last attempt, or names the budget if only that stood in the way.
func refusedBy(v outcome.Verdict, denied retry.Denial) Reply {
	if denied == retry.NoBudget && v.Outcome == outcome.NotRunOutcome {
		v = outcome.NotRun(outcome.RetryBudgetExhausted).WithMessage(string(v.Reason))
	}
	return Reply{Verdict: v}
}
