package execution

import (
	"context"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/operation"
	"tanagercross/internal/request/retry"
	"tanagercross/internal/session/outcome"
)

// write tries the primary until the write is done, refused for good, or unknown.
func (x *execution) write(ctx context.Context, r Statement) Reply {
	record := driver.Record{
		RequestID:   x.requestID,
		Fingerprint: fingerprint(x.organisation, r.Group, r.Statement.SQL, r.Statement.Arguments),
	}
	return x.atPrimary(ctx, r.Group, func(c Choice) Reply {
		op := operation.Write{Organisation: x.organisation, Term: c.Term, Record: record, Statement: r.Statement}
		reply, _ := x.ports.Performer.Perform(ctx, c.Server, op)
		return x.concluded(ctx, attempted{group: r.Group, server: c.Server, term: c.Term, record: record}, reply)
	})
}

// atPrimary makes attempts at the current primary and waits for a change of primary in between.
func (x *execution) atPrimary(ctx context.Context, group string, attempt func(Choice) Reply) Reply {
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
		if denied := x.again(ctx, attempts, reply.Verdict.Reason); denied != "" {
			return refusedBy(reply.Verdict, denied)
		}
		x.awaitChange(ctx, group, choice.Term, x.changeWait(reply.Verdict.Reason, attempts.Made()))
	}
}

// awaitPrimary waits until the view names a primary. Nothing has been sent, so this is no attempt.
func (x *execution) awaitPrimary(ctx context.Context, group string) (Choice, outcome.Reason) {
	end := x.ports.Clock.Now().Add(x.options.PrimaryWait)
	for {
		choice, reason := x.ports.Router.Write(group)
		if reason != outcome.NoPrimary || !x.ports.Clock.Now().Before(end) {
			return choice, reason
		}
		if !x.pause(ctx, x.options.Poll) {
			return choice, reason
		}
	}
}

// changeWait is how long a newer term is worth waiting for. A primary that cannot be reached may be back soon, or may be
// replaced, which takes seconds.
func (x *execution) changeWait(r outcome.Reason, made int) time.Duration {
	switch r {
	case outcome.PrimaryReplaced:
		return x.options.PrimaryWait
	case outcome.ServerUnreachable, outcome.LaneUnavailable, outcome.ServerLeaving:
		if made > 2 {
			return x.options.PrimaryWait
		}
		return x.options.ShortWait
	}
	return 0
}

func (x *execution) awaitChange(ctx context.Context, group string, term uint64, most time.Duration) {
	end := x.ports.Clock.Now().Add(most)
	// A part of the deadline is kept for the attempt itself.
	if last := x.deadline.Add(-x.options.Poll); last.Before(end) {
		end = last
	}
	for x.ports.Clock.Now().Before(end) && x.ports.Router.Term(group) <= term {
		if !x.pause(ctx, x.options.Poll) {
			return
		}
	}
}

// attempted is a write that was given to a server.
type attempted struct {
	group  string
	server string
	term   uint64
	record driver.Record
}

// concluded turns the reply of an attempt into the caller's. An acknowledgement of a term that is known to be over is not
// passed on; the current primary decides.
func (x *execution) concluded(ctx context.Context, a attempted, reply operation.Reply) Reply {
	switch {
	case reply.Verdict.Outcome == outcome.NotRunOutcome:
		return Reply{Verdict: reply.Verdict}
	case reply.Verdict.Outcome == outcome.Done && x.ports.Router.Term(a.group) <= a.term:
		x.seen(a.group, a.server, reply.Result.Position)
		return Reply{Verdict: reply.Verdict, Result: reply.Result, ServedBy: driver.Primary}
	case reply.Verdict.Outcome == outcome.Done:
		return x.settle(ctx, a, outcome.NotKnown(outcome.NotReplicated))
	}
	return x.settle(ctx, a, reply.Verdict)
}
