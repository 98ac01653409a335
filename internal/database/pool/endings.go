package pool

import (
	"time"

	"tanagercross/internal/database/operation"
	"tanagercross/internal/session/outcome"
)

// register makes a transaction known, unless its lane or key ended while it was being opened.
func (p *Pool) register(t *transaction) outcome.Reason {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.withdrawn[t.keyHash]; ok {
		return outcome.KeyWithdrawn
	}
	t.lane.mu.Lock()
	defer t.lane.mu.Unlock()
	if t.lane.closed {
		return outcome.LaneUnavailable
	}
	p.transactions[t.id] = t
	return ""
}

func (p *Pool) isWithdrawn(keyHash string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.withdrawn[keyHash]
	return ok
}

func (p *Pool) conclude(t *transaction, reason outcome.Reason, requestID string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.transactions, t.id)
	p.endings[t.id] = ending{
		server: t.lane.server.Name, organisation: t.organisation, session: t.session,
		reason: reason, requestID: requestID, at: time.Now(),
	}
}

// find returns the open transaction of an organisation's session, or the reply if there is none. The request id is that
// of a commit.
func (p *Pool) find(server, id, organisation, session, requestID string) (*transaction, operation.Reply) {
	p.mu.Lock()
	t, open := p.transactions[id]
	e, over := p.endings[id]
	p.mu.Unlock()
	switch {
	case open && (t.organisation != organisation || t.session != session),
		over && (e.organisation != organisation || e.session != session):
		return nil, refused(outcome.TransactionForeign)
	case over:
		return nil, p.finished(id, requestID)
	case !open || t.lane.server.Name != server:
		return nil, refused(outcome.TransactionUnknown)
	}
	if t.expired(time.Now()) {
		t.end(outcome.TransactionExpired)
		return nil, p.finished(id, requestID)
	}
	return t, operation.Reply{}
}

// finished answers for a transaction that has ended. A commit with the request id that was sent may have taken effect.
func (p *Pool) finished(id, requestID string) operation.Reply {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.endings[id]
	switch {
	case !ok:
		return refused(outcome.DeadlineExceeded)
	case requestID != "" && e.requestID == requestID:
		return operation.Reply{Verdict: outcome.NotKnown(outcome.AnswerLost)}
	}
	return refused(e.reason)
}

func (p *Pool) endLane(l *lane, reason outcome.Reason) {
	p.endWhere(reason, func(t *transaction) bool { return t.lane == l })
}

func (p *Pool) expireTransactions(now time.Time) {
	p.endWhere(outcome.TransactionExpired, func(t *transaction) bool { return t.expired(now) })
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, e := range p.endings {
		if now.Sub(e.at) >= p.options.EndedTransactionTTL {
			delete(p.endings, id)
		}
	}
	for k, at := range p.withdrawn {
		if now.Sub(at) >= p.options.EndedTransactionTTL {
			delete(p.withdrawn, k)
		}
	}
}

func (p *Pool) endWhere(reason outcome.Reason, match func(*transaction) bool) int {
	p.mu.Lock()
	var found []*transaction
	for _, t := range p.transactions {
		if match(t) {
			found = append(found, t)
		}
	}
	p.mu.Unlock()
	for _, t := range found {
		t.end(reason)
	}
	return len(found)
}
