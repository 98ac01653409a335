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

// write tries the primary until the write is done, refused for good, or unknown.
func (x *execution) write(ctx context.Context, r Statement) Reply {
	record := driver.Record{
		RequestID:   x.requestID,
		Fingerprint: fingerprint(x.organisation, r.Group, r.Statement.SQL, r.Statement.Arguments),
	}
	return x.atPrimary(ctx, r.Group, func(c route.Serve) Reply {
		asked := x.ports.Clock.Now()
		op := operation.Write{
			Organisation: x.organisation, Term: c.Term, Record: record, Statement: r.Statement,
			KeyHash: x.caller.KeyHash,
		}
		reply, _ := x.ports.Performer.Perform(ctx, c.Server, op)
		return x.concluded(ctx, attempted{
			group: r.Group, server: c.Server, term: c.Term, record: record, asked: asked,
		}, reply)
	})
}

// atPrimary makes attempts at the current primary and waits for a change of primary in between.
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
		if denied := x.again(ctx, attempts, reply.Verdict.Reason); denied != "" {
			return refusedBy(reply.Verdict, denied)
		}
		x.awaitChange(ctx, group, choice.Term, x.changeWait(reply.Verdict.Reason, attempts.Made()))
	}
}

// awaitPrimary waits until the view names a primary that answers. Nothing has been sent, so this is no attempt.
func (x *execution) awaitPrimary(ctx context.Context, group string) (route.Serve, outcome.Reason) {
	until := x.ports.Clock.Now().Add(x.options.PrimaryWait)
	return x.choose(ctx, func(now time.Time) route.Choice {
		g, ok := x.group(group)
		if !ok {
			return route.Refuse{Reason: outcome.GroupUnknown}
		}
		return route.ChooseWrite(g, route.Write{PrimaryUntil: until}, now)
	})
}

// choosePrimary returns the primary if it is known and answers now.
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

// choose asks for a server until there is one or the request is refused. The choice bounds the waits.
func (x *execution) choose(ctx context.Context, ask func(now time.Time) route.Choice) (route.Serve, outcome.Reason) {
	for {
		now := x.ports.Clock.Now()
		switch c := ask(now).(type) {
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

// changeWait is how long a newer term is worth waiting for. A primary that cannot be reached may be back soon, or may be
// replaced, which takes seconds.
func (x *execution) changeWait(r outcome.Reason, made int) time.Duration {
	switch r {
	case outcome.PrimaryReplaced, outcome.ServerLeaving: // a leaving primary is being replaced
		return x.options.PrimaryWait
	case outcome.ServerUnreachable, outcome.LaneUnavailable:
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
	for x.ports.Clock.Now().Before(end) && x.term(group) <= term {
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
	asked  time.Time // before it was given
}

// concluded turns the reply of an attempt into the caller's. An acknowledgement of a term that is known to be over is not
// passed on; the current primary decides.
func (x *execution) concluded(ctx context.Context, a attempted, reply operation.Reply) Reply {
	switch {
	case reply.Verdict.Outcome == outcome.NotRunOutcome:
		return Reply{Verdict: reply.Verdict}
	case reply.Verdict.Outcome == outcome.Done && x.term(a.group) <= a.term:
		x.seen(a.group, a.server, reply.Result.Position, a.asked)
		return Reply{Verdict: reply.Verdict, Result: x.cut(reply.Result), ServedBy: driver.Primary}
	case reply.Verdict.Outcome == outcome.Done:
		return x.settle(ctx, a, outcome.NotKnown(outcome.NotReplicated))
	}
	return x.settle(ctx, a, reply.Verdict)
}
