package pool

import (
	"context"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/operation"
	"tanagercross/internal/organisation/fairness"
	"tanagercross/internal/session/outcome"
)

// checkout is the right of one operation to a connection, with its place among the lane's running statements.
type checkout struct {
	lane   *lane
	ctx    context.Context
	cancel context.CancelFunc
	ticket *fairness.Ticket
	conn   driver.Conn
	broken bool // an answer may be outstanding, so the connection must be closed
	reply  operation.Reply
	start  time.Time
}

// checkout waits in the lane's queue for a turn, and then for a connection. If it returns nil, nothing was sent and the
// reply says why.
func (l *lane) checkout(ctx context.Context, organisation string, tag queueTag) (*checkout, operation.Reply) {
	queuedAt := time.Now()
	ctx, cancel := l.withLaneContext(ctx)
	ticket, err := l.scheduler.Acquire(ctx, organisation, tag)
	if err != nil {
		cancel()
		if l.ctx.Err() != nil {
			return nil, refused(outcome.LaneUnavailable)
		}
		return nil, refused(fairness.ReasonOf(err))
	}
	conn, err := l.acquireConn(ctx)
	if err != nil {
		ticket.Release()
		cancel()
		return nil, operation.Reply{Verdict: connectVerdict(err)}
	}
	co := &checkout{lane: l, ctx: ctx, cancel: cancel, ticket: ticket, conn: conn, start: time.Now()}
	co.reply.QueueTime = co.start.Sub(queuedAt)
	if ctx.Err() != nil {
		co.release()
		return nil, refused(outcome.QueueTimeout)
	}
	if tag.keyHash != "" && l.pool.isKeyWithdrawn(tag.keyHash) { // withdrawn before the operation was queued or after it left the queue
		co.release()
		return nil, refused(outcome.KeyWithdrawn)
	}
	return co, operation.Reply{}
}

// endTurn sets the service time and lets the next queued operation run. The connection remains in use.
func (co *checkout) endTurn() {
	co.reply.ServiceTime = time.Since(co.start)
	co.ticket.Release()
}

// release ends the turn and gives the connection back to the lane.
func (co *checkout) release() {
	co.ticket.Release()
	co.cancel()
	co.lane.releaseConn(co.conn, co.broken)
}

// failureVerdict converts the error of a statement to a verdict. It marks the connection as broken if the answer may
// still arrive.
func (co *checkout) failureVerdict(err error) outcome.Verdict {
	co.broken = driver.KindOf(err) == driver.ResponseLost
	return verdict(err)
}

// confirmReplicated waits until a majority of the group holds a position.
func (co *checkout) confirmReplicated(p driver.Position) outcome.Verdict {
	v, broken := co.lane.confirmReplicated(co.ctx, co.conn, p)
	co.broken = co.broken || broken
	return v
}

// replyWith returns the reply with a verdict.
func (co *checkout) replyWith(v outcome.Verdict) operation.Reply {
	co.reply.Verdict = v
	return co.reply
}

// checkPrimary checks that the server is the primary of a term and has written to its log in that term. It is called
// before any statement is sent, so its verdict is not_run.
func (co *checkout) checkPrimary(term uint64) (outcome.Verdict, bool) {
	status, err := co.conn.Status(co.ctx)
	if err != nil {
		co.broken = true
		return outcome.NotRun(outcome.ServerUnreachable), false
	}
	if status.Role != driver.Primary || status.Term != term || status.Last.Term != term {
		return outcome.NotRun(outcome.PrimaryReplaced), false
	}
	return outcome.Verdict{}, true
}

// confirmReplicated waits until a majority of the group holds a position, at most for the Await option and up to
// ReplyMargin before the deadline. The caller has ended its turn, because the wait needs no capacity of the server.
// broken reports that the connection must be closed.
func (l *lane) confirmReplicated(ctx context.Context, c driver.Conn, p driver.Position) (v outcome.Verdict, broken bool) {
	timeout := l.pool.options.Await
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline)-l.pool.options.ReplyMargin)
	}
	if timeout <= 0 {
		return outcome.NotKnown(outcome.NotReplicated), false
	}
	if err := c.Await(ctx, p, timeout); err != nil {
		return unconfirmedVerdict(err), driver.KindOf(err) == driver.ResponseLost
	}
	return verdict(nil), false
}

// read runs a read. A durable read is answered only once a majority holds the position at which it ran.
func (l *lane) read(ctx context.Context, op operation.Read) operation.Reply {
	co, reply := l.checkout(ctx, op.Organisation, queueTag{keyHash: op.KeyHash})
	if co == nil {
		return reply
	}
	defer co.release()
	result, err := co.conn.Read(co.ctx, op.Organisation, op.AtLeast, op.Statement)
	co.endTurn()
	if err != nil {
		return co.replyWith(co.failureVerdict(err))
	}
	if op.Durable {
		if v := co.confirmReplicated(result.Position); v.Outcome != outcome.Done {
			return co.replyWith(v)
		}
	}
	co.reply.Result = result
	return co.replyWith(verdict(nil))
}

// write runs a statement and its request record in one transaction and waits until a majority holds it.
func (l *lane) write(ctx context.Context, op operation.Write) operation.Reply {
	co, reply := l.checkout(ctx, op.Organisation, queueTag{keyHash: op.KeyHash})
	if co == nil {
		return reply
	}
	defer co.release()
	result, err := co.conn.Write(co.ctx, op.Organisation, op.Term, op.Record, op.Statement)
	co.endTurn()
	if err != nil {
		return co.replyWith(co.failureVerdict(err))
	}
	return co.acknowledge(result, op.Term)
}

// acknowledge replies to a committed write once a majority holds it. The outcome is unknown if the write was committed
// in another term than the requested one.
func (co *checkout) acknowledge(r driver.Result, term uint64) operation.Reply {
	if r.Position.Term != term {
		return co.replyWith(outcome.NotKnown(outcome.NotReplicated))
	}
	if v := co.confirmReplicated(r.Position); v.Outcome != outcome.Done {
		return co.replyWith(v)
	}
	co.reply.Result = r
	return co.replyWith(verdict(nil))
}

// lookup reads the record of a request id and replies once a majority holds the position, in the requested term, at
// which it was read. Its verdict is that of the lookup: a failed lookup says nothing about the outcome of the write.
func (l *lane) lookup(ctx context.Context, op operation.Lookup) operation.Reply {
	co, reply := l.checkout(ctx, op.Organisation, queueTag{})
	if co == nil {
		return reply
	}
	defer co.release()
	if v, ok := co.checkPrimary(op.Term); !ok {
		return co.replyWith(v)
	}
	state, err := co.conn.LookupRecord(co.ctx, op.Organisation, op.RequestID)
	co.endTurn()
	if err != nil {
		return co.replyWith(co.failureVerdict(err))
	}
	if state.Position.Term != op.Term {
		return co.replyWith(outcome.NotRun(outcome.PrimaryReplaced))
	}
	if v := co.confirmReplicated(state.Position); v.Outcome != outcome.Done {
		return co.replyWith(v)
	}
	co.reply.Record = state
	return co.replyWith(verdict(nil))
}
