package pool

import (
	"context"

	"tanagercross/internal/database/operation"
	"tanagercross/internal/session/outcome"
)

// RemoveRecords deletes up to limit request records of an organisation whose ids sort before an id, on the primary of a
// term. Result.RowsAffected of the reply is the number of deleted records. The deletion is scheduled like an operation
// of the organisation. It runs only on the given lane, so that one instance at a time deletes records of a server; it
// is refused with lane_unavailable if this pool does not hold the lane or the server is not active.
//
// It does not wait for a majority, because no caller relies on the deletion. If a change of primary undoes it, a later
// call repeats it.
func (p *Pool) RemoveRecords(ctx context.Context, id LaneID, term uint64, organisation, before string, limit int) operation.Reply {
	p.mu.Lock()
	l := p.lanes[id]
	refusing := p.draining || p.serverStates[id.Server] != Active
	p.mu.Unlock()
	if refusing || l == nil || !l.usable() || !l.startOperation() {
		return refused(outcome.LaneUnavailable)
	}
	defer l.finishOperation()
	co, reply := l.checkout(ctx, organisation, queueTag{})
	if co == nil {
		return reply
	}
	defer co.release()
	if v, ok := co.checkPrimary(term); !ok {
		return co.replyWith(v)
	}
	n, err := co.conn.RemoveRecords(co.ctx, organisation, before, limit)
	if err != nil {
		return co.replyWith(co.failureVerdict(err))
	}
	co.reply.Result.RowsAffected = n
	return co.replyWith(verdict(nil))
}
