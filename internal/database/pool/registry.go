package pool

import (
	"time"

	"tanagercross/internal/database/operation"
	"tanagercross/internal/session/outcome"
)

// register adds an open transaction to the pool. It returns a reason, and adds nothing, if the key was withdrawn or the
// lane was closed while the transaction was being opened.
func (p *Pool) register(t *transaction) outcome.Reason {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.withdrawnKeys[t.keyHash]; ok {
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

// isKeyWithdrawn reports whether a key was withdrawn within EndedTransactionTTL.
func (p *Pool) isKeyWithdrawn(keyHash string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.withdrawnKeys[keyHash]
	return ok
}

// recordEnd removes a transaction from the open ones and remembers why it ended. requestID is that of the commit that
// was sent, or empty.
func (p *Pool) recordEnd(t *transaction, reason outcome.Reason, requestID string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.transactions, t.id)
	p.endedTransactions[t.id] = endedTransaction{
		server: t.lane.server.Name, organisation: t.organisation, session: t.session,
		reason: reason, requestID: requestID, at: time.Now(),
	}
}

// findTransaction returns the open transaction with an id, or nil and the reply that refuses the operation: the
// transaction belongs to another organisation or session, has ended or expired, or is unknown. requestID is that of a
// commit, and empty for other operations.
func (p *Pool) findTransaction(server, id, organisation, session, requestID string) (*transaction, operation.Reply) {
	p.mu.Lock()
	t, isOpen := p.transactions[id]
	e, hasEnded := p.endedTransactions[id]
	p.mu.Unlock()
	switch {
	case isOpen && (t.organisation != organisation || t.session != session),
		hasEnded && (e.organisation != organisation || e.session != session):
		return nil, refused(outcome.TransactionForeign)
	case hasEnded:
		return nil, p.endedReply(id, requestID)
	case !isOpen || t.lane.server.Name != server:
		return nil, refused(outcome.TransactionUnknown)
	}
	if t.isExpired(time.Now()) {
		t.end(outcome.TransactionExpired)
		return nil, p.endedReply(id, requestID)
	}
	return t, operation.Reply{}
}

// endedReply returns the reply to an operation on a transaction that has ended. A commit that repeats the request id of
// the commit that was sent gets the outcome unknown, because the first one may have taken effect.
func (p *Pool) endedReply(id, requestID string) operation.Reply {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.endedTransactions[id]
	switch {
	case !ok:
		return refused(outcome.DeadlineExceeded)
	case requestID != "" && e.requestID == requestID:
		return operation.Reply{Verdict: outcome.NotKnown(outcome.AnswerLost)}
	}
	return refused(e.reason)
}

// endLaneTransactions ends the open transactions of a lane.
func (p *Pool) endLaneTransactions(l *lane, reason outcome.Reason) {
	p.endMatching(reason, func(t *transaction) bool { return t.lane == l })
}

// expireTransactions ends the transactions that exceed a time limit, and forgets ended transactions and withdrawn keys
// after EndedTransactionTTL.
func (p *Pool) expireTransactions(now time.Time) {
	p.endMatching(outcome.TransactionExpired, func(t *transaction) bool { return t.isExpired(now) })
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, e := range p.endedTransactions {
		if now.Sub(e.at) >= p.options.EndedTransactionTTL {
			delete(p.endedTransactions, id)
		}
	}
	for keyHash, at := range p.withdrawnKeys {
		if now.Sub(at) >= p.options.EndedTransactionTTL {
			delete(p.withdrawnKeys, keyHash)
		}
	}
}

// endMatching ends the open transactions that match and returns their number.
func (p *Pool) endMatching(reason outcome.Reason, match func(*transaction) bool) int {
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
