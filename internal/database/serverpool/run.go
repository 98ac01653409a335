package serverpool

import (
	"context"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/readindex"
	"tanagercross/internal/database/statement"
)

// deadlineWithin returns the deadline of the context, at most the limit from now.
func deadlineWithin(ctx context.Context, limit time.Duration) time.Time {
	deadline := time.Now().Add(limit)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		return d
	}
	return deadline
}

// maxStatementTime bounds a statement without an earlier deadline.
const maxStatementTime = 10 * time.Second

// runSingle runs a statement outside of a caller's transaction. The connection can be used again if clean is set. A read
// that only a leader may run is enclosed in a transaction, because opening it proves that the server still leads.
func (p *Pool) runSingle(ctx context.Context, pc *pooledConn, c statement.Call) (answer statement.Answer, clean bool) {
	verifyLeader := c.Scope == statement.Leader && !c.Writes()
	var open *statement.OpenTransaction
	if verifyLeader {
		open = &statement.OpenTransaction{}
	}
	if refusal, clean := p.prepareConnection(ctx, pc, c, open); refusal != nil {
		p.reportSetup(pc.turn, *refusal)
		return *refusal, clean
	}
	forward := statement.Forward{ID: c.ID, Body: c.Body}
	if c.Scope == statement.Replica {
		forward.After = c.After
	}
	if c.Writes() && p.expired(c) {
		return refuseExpired(), true
	}
	commands := []statement.Command{forward}
	if verifyLeader {
		commands = append(commands, statement.CloseTransaction{})
	}
	requestedAt := p.options.Boot()
	answers, err := p.send(pc, deadlineWithin(ctx, maxStatementTime), commands...)
	if len(answers) == 0 {
		p.recordFailure()
		return statement.NoAnswer("no answer from the server"), false
	}
	answer = answers[0]
	p.recordAnswer()
	if c.Writes() && !p.knowsOutcome(answer) || verifyLeader && answer.OK() && answer.State != statement.InTransaction {
		return statement.NoAnswer("the server's answer is not certain"), false
	}
	if answer.Code == statement.ReadOnly && answer.Proven {
		p.recordNotLeading()
	}
	pc.noteProof(answer)
	if answer.OK() && c.Scope == statement.Leader {
		p.recordReadIndex(answer.Position, requestedAt)
	}
	if answer.Code == statement.NoStatement {
		pc.prepared = map[string]bool{}
	}
	last := answers[len(answers)-1]
	return answer, err == nil && last.State == statement.Idle && (last.Code == "" || len(answers) == 1)
}

// knowsOutcome reports whether the answer to a write outside of a transaction tells if the write took effect. An error that
// may be the repetition of an earlier one does not, nor does a success in a transaction that should have been rolled back.
func (p *Pool) knowsOutcome(a statement.Answer) bool {
	if a.Code != "" {
		return a.Proven
	}
	return a.State == statement.Idle
}

// startTransaction opens a transaction and runs its first statement. The connection belongs to the transaction until it
// ends.
func (p *Pool) startTransaction(ctx context.Context, pc *pooledConn, c statement.Call) statement.Answer {
	open := &statement.OpenTransaction{}
	if c.Scope == statement.Replica {
		open.ReadOnly, open.After = true, c.After
	}
	if refusal, clean := p.prepareConnection(ctx, pc, c, open); refusal != nil {
		p.reportSetup(pc.turn, *refusal)
		if clean {
			p.release(pc)
		} else {
			p.discard(pc)
		}
		return *refusal
	}
	p.mu.Lock()
	p.lastTransactionID++
	id := p.lastTransactionID
	t := &transaction{pooledConn: pc, session: c.Session, lastUsed: p.options.Boot()}
	t.mu.Lock()
	p.transactions[id] = t
	p.mu.Unlock()
	defer t.mu.Unlock()
	answer := p.runInTransaction(ctx, id, t, c)
	answer.Transaction = id
	return answer
}

// runInTransaction runs a statement inside a transaction. The transaction ends if the server does not answer, or if it
// answers that none is open any more. The caller holds t.mu.
func (p *Pool) runInTransaction(ctx context.Context, id uint64, t *transaction, c statement.Call) statement.Answer {
	requestedAt := p.options.Boot()
	answers, err := p.send(t.pooledConn, deadlineWithin(ctx, maxStatementTime), statement.Forward{ID: c.ID, Body: c.Body})
	t.lastUsed = p.options.Boot()
	if err != nil {
		p.recordFailure()
		p.finish(id, t, false)
		return statement.NoAnswer("no answer from the server")
	}
	a := answers[0]
	p.recordAnswer()
	_, commit := c.Body.(statement.Commit)
	if a.Code != "" && !a.Proven || a.OK() && !commit && a.State != statement.InTransaction {
		p.finish(id, t, false)
		return statement.NoAnswer("the server's answer is not certain")
	}
	t.pooledConn.noteProof(a)
	// A server that has lost the lead still answers the commit of a transaction without writes.
	if a.OK() && !commit && c.Scope == statement.Leader {
		p.recordReadIndex(a.Position, requestedAt)
	}
	if a.Code == statement.ReadOnly {
		p.recordNotLeading()
	}
	switch {
	case a.State == statement.Idle:
		p.finish(id, t, true)
	case a.Code != "" && !t.pooledConn.conn.Reusable():
		// The error may be that of a command before, and the answer to this one is still on its way.
		p.finish(id, t, false)
	}
	return a
}

// continueTransaction runs a further statement of an open transaction. A statement that cannot be sent ends the
// transaction.
func (p *Pool) continueTransaction(ctx context.Context, c statement.Call) statement.Answer {
	p.mu.Lock()
	t := p.transactions[c.Transaction]
	p.mu.Unlock()
	if t == nil || t.session != c.Session {
		return statement.Refused(statement.Aborted, "the transaction has ended")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.finished {
		return statement.Refused(statement.Aborted, "the transaction has ended")
	}
	if refusal, over := p.endEvacuated(c.Transaction, t); over {
		return refusal
	}
	if _, ok := c.Body.(statement.Rollback); ok {
		return p.rollback(ctx, c.Transaction, t)
	}
	ticket, err := p.admission.acquire(ctx, p.request(ctx, c), c.Session)
	if err != nil {
		if refusal, over := p.endEvacuated(c.Transaction, t); over {
			return refusal
		}
		_ = p.rollback(ctx, c.Transaction, t)
		return statement.Refused(statement.Aborted, "queue")
	}
	defer ticket.Release()
	time.AfterFunc(slotHoldTimeout, ticket.Release)
	if refusal, over := p.endEvacuated(c.Transaction, t); over {
		return refusal
	}
	if refusal, _ := p.prepareConnection(ctx, t.pooledConn, c, nil); refusal != nil {
		p.finish(c.Transaction, t, false)
		return statement.Refused(statement.Aborted, refusal.Text)
	}
	if refusal, over := p.endEvacuated(c.Transaction, t); over {
		return refusal // the setup of the connection may take until the end of the time
	}
	if _, ok := c.Body.(statement.Commit); ok && p.expired(c) {
		_ = p.rollback(ctx, c.Transaction, t)
		return refuseExpired()
	}
	return p.runInTransaction(ctx, c.Transaction, t, c)
}

// expired reports whether the timeout of a call is over by the clock that counts suspended time.
func (p *Pool) expired(c statement.Call) bool { return c.Expires > 0 && p.options.Boot() > c.Expires }

// refuseExpired returns the answer to a statement that was not sent because its timeout was over.
func refuseExpired() statement.Answer {
	return statement.Refused(statement.Aborted, "its time was over before it was sent")
}

// rollback rolls a transaction back. If the server does not confirm it, the connection is closed, with the same effect.
// The caller holds t.mu.
func (p *Pool) rollback(ctx context.Context, id uint64, t *transaction) statement.Answer {
	answers, err := p.send(t.pooledConn, deadlineWithin(ctx, controlTimeout), statement.CloseTransaction{})
	clean := err == nil && answers[0].Code == "" && answers[0].State == statement.Idle
	p.finish(id, t, clean)
	return statement.Answer{Delivery: statement.Answered, State: statement.Idle}
}

// finish removes a transaction that has ended on the server, and releases its connection if clean is set. The caller
// holds t.mu.
func (p *Pool) finish(id uint64, t *transaction, clean bool) {
	p.mu.Lock()
	delete(p.transactions, id)
	p.mu.Unlock()
	t.finished = true
	if clean {
		p.release(t.pooledConn)
	} else {
		p.discard(t.pooledConn)
	}
}

// rollbackIdle rolls back a transaction that paused for too long, unless it has ended meanwhile.
func (p *Pool) rollbackIdle(id uint64) {
	p.mu.Lock()
	t := p.transactions[id]
	p.mu.Unlock()
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.finished {
		p.rollback(context.Background(), id, t)
	}
}

// recordFailure records that the server did not answer.
func (p *Pool) recordFailure() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordFailureLocked(false)
}

// recordAnswer records that the server answered.
func (p *Pool) recordAnswer() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordAnswerLocked()
}

// recordNotLeading records that the server refused a statement that only a leader runs.
func (p *Pool) recordNotLeading() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.health.NotLeading = true
}

// recordReadIndex keeps a position that the server confirmed as the leader after it was requested at the given time,
// unless a newer one is known.
func (p *Pool) recordReadIndex(position driver.Position, requestedAt time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if position.Compare(p.readIndex.Position) >= 0 && requestedAt >= p.readIndex.RequestedAt {
		p.readIndex = readindex.Index{Position: position, RequestedAt: requestedAt}
		p.health.NotLeading = false
	}
}

// LastReadIndex returns the newest read index that the server confirmed, without a request to the server.
func (p *Pool) LastReadIndex() (readindex.Index, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.readIndex, p.readIndex.RequestedAt > 0
}

// ReadIndex returns a read index that is at most maxAge old. If none is known, it requests one from the server: opening a
// read-write transaction succeeds only at the leader, and the answer holds the log position. The connection is that of
// the organisation that used the server last, or of the given one. It fails if the server does not lead or answer.
func (p *Pool) ReadIndex(ctx context.Context, maxAge time.Duration, organisation string) (readindex.Index, bool) {
	if index, ok := p.LastReadIndex(); ok && p.options.Boot()-index.RequestedAt <= maxAge {
		return index, true
	}
	c := statement.Call{Organisation: p.organisationFor(organisation), Step: statement.Single}
	ticket, pc, _ := p.acquireSlot(ctx, c)
	if pc == nil {
		return readindex.Index{}, false
	}
	defer ticket.Release()
	defer p.abandonTurn(pc.turn, nil)
	index, ok := p.confirmIndex(ctx, pc)
	if !ok && p.distrusts() && p.replace(ctx, pc) == nil {
		index, ok = p.confirmIndex(ctx, pc)
	}
	p.releaseOrDiscard(pc, pc.conn.Reusable() && !pc.opened)
	return index, ok
}

// confirmIndex opens and ends a transaction on a connection and returns the position of the opening. Without a proof of the
// opening, its answer and that of the end show a repetition unless two of them came in their places; at a server that is
// known to repeat answers the proof is required.
func (p *Pool) confirmIndex(ctx context.Context, pc *pooledConn) (readindex.Index, bool) {
	requestedAt := p.options.Boot()
	pc.opened = true
	answers, err := p.send(pc, deadlineWithin(ctx, controlTimeout), statement.OpenTransaction{}, statement.CloseTransaction{})
	if err != nil {
		p.recordFailure()
		return readindex.Index{}, false
	}
	p.recordAnswer()
	opening := answers[0]
	pc.opened = answers[1].Code != "" || answers[1].State != statement.Idle
	switch {
	case opening.Code == statement.ReadOnly && opening.Proven:
		p.recordNotLeading()
		return readindex.Index{}, false
	case opening.Code != "" || pc.opened || !opening.Proven && p.distrusts():
		return readindex.Index{}, false
	}
	p.recordReadIndex(opening.Position, requestedAt)
	index, ok := p.LastReadIndex()
	return index, ok && index.RequestedAt >= requestedAt
}

// organisationFor returns the organisation that used the pool last, whose connections are likely idle, or the other one
// if the pool was never used.
func (p *Pool) organisationFor(other string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastOrganisation != "" {
		return p.lastOrganisation
	}
	return other
}

// releaseOrDiscard makes a clean connection idle and closes any other one.
func (p *Pool) releaseOrDiscard(pc *pooledConn, clean bool) {
	if clean {
		p.release(pc)
		return
	}
	p.discard(pc)
}

// FetchReport runs a command that is answered with the server's report, on a new connection outside of any pool.
func FetchReport(ctx context.Context, d statement.Dialer, t statement.Target, limit time.Duration, c statement.Command) (statement.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	conn, _, err := d.Dial(ctx, t)
	if err != nil {
		return statement.Report{}, err
	}
	defer conn.Close()
	return conn.Report(deadlineWithin(ctx, limit), c)
}

// send runs commands on a connection. Until they are answered, SilentFor counts the time since they were sent.
func (p *Pool) send(pc *pooledConn, deadline time.Time, commands ...statement.Command) ([]statement.Answer, error) {
	p.mu.Lock()
	p.inFlight[pc] = p.options.Boot()
	p.mu.Unlock()
	answers, err := pc.conn.Run(deadline, commands...)
	p.mu.Lock()
	delete(p.inFlight, pc)
	if strays := pc.conn.Strays(); strays > pc.strays {
		pc.strays, p.distrustedUntil = strays, p.options.Boot()+distrustPeriod
	}
	for _, a := range answers {
		p.lag = p.lag.withAnswer(p.options.Boot(), a)
	}
	p.mu.Unlock()
	return answers, err
}

// SilentFor returns for how long the server has sent no answer while at least one is due; 0 if none is due.
func (p *Pool) SilentFor() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Boot()
	var longest time.Duration
	for _, sent := range p.inFlight {
		longest = max(longest, now-max(sent, p.health.LastAnswer))
	}
	return longest
}
