package pool

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/operation"
	"tanagercross/internal/organisation/fairness"
	"tanagercross/internal/session/outcome"
)

// state is the state of a transaction.
type state int

const (
	stateOpen       state = iota
	stateCommitting       // the commit is being sent; the transaction can no longer be cancelled
	stateEnded
)

// endedTransaction records how a transaction ended. A transaction id that is neither open nor recorded is unknown, for
// example after a restart of the process.
type endedTransaction struct {
	server, organisation, session string
	reason                        outcome.Reason
	requestID                     string // of the commit that was sent; empty if none was
	at                            time.Time
}

// transaction is an open interactive transaction. It keeps one connection until it ends.
type transaction struct {
	id, organisation, session, keyHash string
	term                               uint64
	lane                               *lane
	conn                               driver.Conn
	ctx                                context.Context // ends with the transaction
	cancel                             context.CancelFunc
	connLock                           chan struct{} // capacity 1; the statement that uses the connection fills it

	mu                  sync.Mutex
	state               state
	aborted             bool   // a statement failed; only a rollback is possible
	busy                bool   // a statement holds connLock and its turn in the queue
	broken              bool   // an answer may be outstanding; guarded by connLock instead of mu
	commitRequestID     string // request id of the first requested commit
	startedAt, lastUsed time.Time
}

// begin opens a transaction on the primary of a term, within the limits of open transactions.
func (l *lane) begin(ctx context.Context, op operation.Begin) operation.Reply {
	if l.pool.isKeyWithdrawn(op.KeyHash) {
		return refused(outcome.KeyWithdrawn)
	}
	if !l.reserveTransaction(op.Organisation) {
		return refused(outcome.TransactionLimit)
	}
	co, reply := l.checkout(ctx, op.Organisation, queueTag{keyHash: op.KeyHash})
	if co == nil {
		l.releaseTransaction(op.Organisation)
		return reply
	}
	err := co.conn.Begin(co.ctx, op.Organisation, op.Term)
	co.endTurn()
	if err != nil {
		// No commit was sent, so the transaction has no effect.
		v := co.failureVerdict(err)
		if v.Outcome == outcome.Unknown {
			v = outcome.NotRun(outcome.ServerUnreachable)
		}
		co.release()
		l.releaseTransaction(op.Organisation)
		return co.replyWith(v)
	}
	co.cancel()
	t := newTransaction(l, op, co.conn)
	if reason := l.pool.register(t); reason != "" {
		t.cleanUp()
		return co.replyWith(outcome.NotRun(reason))
	}
	co.reply.Transaction = t.id
	return co.replyWith(verdict(nil))
}

func newTransaction(l *lane, op operation.Begin, c driver.Conn) *transaction {
	now := time.Now()
	ctx, cancel := context.WithCancel(l.ctx)
	return &transaction{
		id: uuid.NewString(), organisation: op.Organisation, session: op.Session, keyHash: op.KeyHash,
		term: op.Term, lane: l, conn: c, ctx: ctx, cancel: cancel, connLock: make(chan struct{}, 1),
		startedAt: now, lastUsed: now,
	}
}

// reserveTransaction counts a new transaction against the limits of the lane and of the organisation, and returns false
// if one is reached. The limits keep idle transactions from using all connections of a lane.
func (l *lane) reserveTransaction(organisation string) bool {
	perLane := max(1, l.maxConns/laneTransactionDivisor)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.maxConns < 2 || l.openTransactions >= perLane || l.organisationTransactions[organisation] >= max(1, perLane/organisationTransactionDivisor) {
		return false
	}
	l.openTransactions++
	l.organisationTransactions[organisation]++
	l.active++
	return true
}

// releaseTransaction ends what reserveTransaction counted.
func (l *lane) releaseTransaction(organisation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openTransactions--
	l.active--
	if l.organisationTransactions[organisation]--; l.organisationTransactions[organisation] == 0 {
		delete(l.organisationTransactions, organisation)
	}
}

// startStatement waits for connLock and for a turn in the lane's queue. The returned context also ends with the
// transaction, and the returned function releases the turn and connLock. If it returns a reason, nothing is held.
func (t *transaction) startStatement(ctx context.Context) (context.Context, *fairness.Ticket, func(), outcome.Reason) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(t.ctx, cancel)
	release := func() { stop(); cancel() }
	select {
	case t.connLock <- struct{}{}:
	case <-ctx.Done():
		release()
		return nil, nil, nil, t.endReasonOr(outcome.QueueTimeout)
	}
	ticket, err := t.lane.scheduler.Acquire(ctx, t.organisation, queueTag{keyHash: t.keyHash, transaction: true})
	if err != nil {
		<-t.connLock
		release()
		return nil, nil, nil, t.endReasonOr(fairness.ReasonOf(err))
	}
	t.setBusy(true)
	return ctx, ticket, func() {
		t.setBusy(false)
		ticket.Release()
		<-t.connLock
		release()
	}, ""
}

// setBusy records that a statement starts or ends. The idle limit does not apply to a busy transaction.
func (t *transaction) setBusy(busy bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy, t.lastUsed = busy, time.Now()
}

// endReasonOr returns the reason for which the transaction ended, or the other reason if it has not ended.
func (t *transaction) endReasonOr(other outcome.Reason) outcome.Reason {
	p := t.lane.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if ended, ok := p.endedTransactions[t.id]; ok {
		return ended.reason
	}
	return other
}

// transition changes the state of an open transaction. It returns false, and changes nothing, if the transaction is not
// open.
func (t *transaction) transition(to state) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state != stateOpen {
		return false
	}
	t.state = to
	return true
}

// end ends an open transaction with a reason and reports whether it was open. It cancels a running statement, but not a
// commit. The rollback runs in the background.
func (t *transaction) end(reason outcome.Reason) bool {
	if !t.transition(stateEnded) {
		return false
	}
	t.lane.pool.recordEnd(t, reason, "")
	t.cancel()
	t.lane.tasks.Add(1)
	go func() {
		defer t.lane.tasks.Done()
		t.connLock <- struct{}{}
		t.cleanUp()
	}()
	return true
}

// cleanUp rolls an open database transaction back and gives the connection back to the lane. The caller has taken
// connLock, or no other goroutine knows the transaction; connLock is not released, so no statement follows.
func (t *transaction) cleanUp() {
	t.cancel()
	if !t.broken && !t.conn.Clean() {
		ctx, cancel := context.WithTimeout(context.Background(), t.lane.pool.options.ResetTimeout)
		t.broken = t.conn.Rollback(ctx) != nil
		cancel()
	}
	t.lane.releaseConn(t.conn, t.broken)
	t.lane.releaseTransaction(t.organisation)
}

// isExpired reports whether an open transaction exceeds its time limit or its idle limit.
func (t *transaction) isExpired(now time.Time) bool {
	idle, total := t.lane.pool.options.TransactionLimits(t.organisation)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state != stateOpen {
		return false
	}
	return now.Sub(t.startedAt) >= total || (!t.busy && now.Sub(t.lastUsed) >= idle)
}
