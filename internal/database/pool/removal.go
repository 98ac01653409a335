package pool

import (
	"context"

	"tanagercross/internal/database/operation"
	"tanagercross/internal/session/outcome"
)

// RemoveRecords removes up to limit records of an organisation whose ids sort before an id, at the primary of a term. It
// runs in the organisation's turn, and only on this instance's lane with the given number, so that one instance at a time
// removes records. The reply's Result.RowsAffected is their number.
//
// Nobody is told of a removal, so that it does not wait for a majority. One that is lost with an abandoned branch is done
// again by a later call.
func (p *Pool) RemoveRecords(ctx context.Context, h LaneID, term uint64, organisation, before string, limit int) operation.Reply {
	p.mu.Lock()
	l := p.lanes[h]
	refusing := p.draining || p.presences[h.Server] != Active
	p.mu.Unlock()
	if refusing || l == nil || !l.usable() || !l.enter() {
		return refused(outcome.LaneUnavailable)
	}
	defer l.leave()
	u, reply := l.use(ctx, organisation, tag{})
	if u == nil {
		return reply
	}
	defer u.done()
	if v, ok := u.primaryIn(term); !ok {
		return u.answer(v)
	}
	n, err := u.conn.RemoveRecords(u.ctx, organisation, before, limit)
	if err != nil {
		return u.answer(u.failed(err))
	}
	u.reply.Result.RowsAffected = n
	return u.answer(verdict(nil))
}
