package pool

import (
	"context"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/operation"
	"tanagercross/internal/organisation/fairness"
	"tanagercross/internal/session/outcome"
)

// use is one operation's turn and connection.
type use struct {
	lane   *lane
	ctx    context.Context
	cancel context.CancelFunc
	ticket *fairness.Ticket
	conn   driver.Conn
	broken bool // an answer may be outstanding
	reply  operation.Reply
	start  time.Time
}

// use waits for a turn and a connection. If there is none in time, nothing has been sent and the reply says why.
func (l *lane) use(ctx context.Context, organisation string, k tag) (*use, operation.Reply) {
	queued := time.Now()
	ctx, cancel := l.within(ctx)
	ticket, err := l.scheduler.Acquire(ctx, organisation, k)
	if err != nil {
		cancel()
		if l.ctx.Err() != nil {
			return nil, refused(outcome.LaneUnavailable)
		}
		return nil, refused(fairness.ReasonOf(err))
	}
	conn, err := l.get(ctx)
	if err != nil {
		ticket.Release()
		cancel()
		return nil, operation.Reply{Verdict: unconnected(err)}
	}
	u := &use{lane: l, ctx: ctx, cancel: cancel, ticket: ticket, conn: conn, start: time.Now()}
	u.reply.QueueTime = u.start.Sub(queued)
	if ctx.Err() != nil {
		u.done()
		return nil, refused(outcome.QueueTimeout)
	}
	if k.keyHash != "" && l.pool.isWithdrawn(k.keyHash) { // withdrawn after the turn came, or before the work arrived
		u.done()
		return nil, refused(outcome.KeyWithdrawn)
	}
	return u, operation.Reply{}
}

// served ends the turn; the connection stays with the operation.
func (u *use) served() {
	u.reply.ServiceTime = time.Since(u.start)
	u.ticket.Release()
}

func (u *use) done() {
	u.ticket.Release()
	u.cancel()
	u.lane.put(u.conn, u.broken)
}

// failed maps the error of a statement, and marks the connection if its answer may still be on the way.
func (u *use) failed(err error) outcome.Verdict {
	u.broken = driver.KindOf(err) == driver.ResponseLost
	return verdict(err)
}

// confirm waits until a majority holds a position.
func (u *use) confirm(p driver.Position) outcome.Verdict {
	v, broken := u.lane.confirm(u.ctx, u.conn, p)
	u.broken = u.broken || broken
	return v
}

func (u *use) answer(v outcome.Verdict) operation.Reply {
	u.reply.Verdict = v
	return u.reply
}

// primaryIn checks that the server is the primary of a term and has begun it. No statement has been sent before it.
func (u *use) primaryIn(term uint64) (outcome.Verdict, bool) {
	status, err := u.conn.Status(u.ctx)
	if err != nil {
		u.broken = true
		return outcome.NotRun(outcome.ServerUnreachable), false
	}
	if status.Role != driver.Primary || status.Term != term || status.Last.Term != term {
		return outcome.NotRun(outcome.PrimaryReplaced), false
	}
	return outcome.Verdict{}, true
}

// confirm waits until a majority holds a position. The turn has ended by then: waiting takes no service of the server.
func (l *lane) confirm(ctx context.Context, c driver.Conn, p driver.Position) (v outcome.Verdict, broken bool) {
	timeout := l.pool.options.Await
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline)-l.pool.options.ReplyMargin)
	}
	if timeout <= 0 {
		return outcome.NotKnown(outcome.NotReplicated), false
	}
	if err := c.Await(ctx, p, timeout); err != nil {
		return unconfirmed(err), driver.KindOf(err) == driver.ResponseLost
	}
	return verdict(nil), false
}

func (l *lane) read(ctx context.Context, op operation.Read) operation.Reply {
	u, reply := l.use(ctx, op.Organisation, tag{keyHash: op.KeyHash})
	if u == nil {
		return reply
	}
	defer u.done()
	result, err := u.conn.Read(u.ctx, op.Organisation, op.AtLeast, op.Statement)
	u.served()
	if err != nil {
		return u.answer(u.failed(err))
	}
	if op.Durable {
		if v := u.confirm(result.Position); v.Outcome != outcome.Done {
			return u.answer(v)
		}
	}
	u.reply.Result = result
	return u.answer(verdict(nil))
}

func (l *lane) write(ctx context.Context, op operation.Write) operation.Reply {
	u, reply := l.use(ctx, op.Organisation, tag{keyHash: op.KeyHash})
	if u == nil {
		return reply
	}
	defer u.done()
	result, err := u.conn.Write(u.ctx, op.Organisation, op.Term, op.Record, op.Statement)
	u.served()
	if err != nil {
		return u.answer(u.failed(err))
	}
	return u.acknowledge(result, op.Term)
}

// acknowledge answers a committed write once a majority holds it in its term.
func (u *use) acknowledge(r driver.Result, term uint64) operation.Reply {
	if r.Position.Term != term {
		return u.answer(outcome.NotKnown(outcome.NotReplicated))
	}
	if v := u.confirm(r.Position); v.Outcome != outcome.Done {
		return u.answer(v)
	}
	u.reply.Result = r
	return u.answer(verdict(nil))
}

// lookup answers only from state that a majority holds in the term. It changes nothing, so that every failure to
// answer is reported by the verdict of the lookup itself and says nothing about the write.
func (l *lane) lookup(ctx context.Context, op operation.Lookup) operation.Reply {
	u, reply := l.use(ctx, op.Organisation, tag{})
	if u == nil {
		return reply
	}
	defer u.done()
	if v, ok := u.primaryIn(op.Term); !ok {
		return u.answer(v)
	}
	state, err := u.conn.LookupRecord(u.ctx, op.Organisation, op.RequestID)
	u.served()
	if err != nil {
		return u.answer(u.failed(err))
	}
	if state.Position.Term != op.Term {
		return u.answer(outcome.NotRun(outcome.PrimaryReplaced))
	}
	if v := u.confirm(state.Position); v.Outcome != outcome.Done {
		return u.answer(v)
	}
	u.reply.Record = state
	return u.answer(verdict(nil))
}
