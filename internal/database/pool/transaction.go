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

type state int

const (
	opened state = iota
	committing
	ended
)

// ending remembers how a transaction ended. Without one, this process may have been restarted since.
type ending struct {
	server, organisation, session string
	reason                        outcome.Reason
	requestID                     string // of the commit that was sent
	at                            time.Time
}

// transaction is pinned to one connection. Its turn is held by the one statement that uses the connection.
type transaction struct {
	id, organisation, session, keyHash string
	term                               uint64
	lane                               *lane
	conn                               driver.Conn
	ctx                                context.Context // ends with the transaction
	cancel                             context.CancelFunc
	turn                               chan struct{}

	mu            sync.Mutex
	state         state
	aborted       bool // a statement failed; only a rollback is possible
	busy          bool
	broken        bool   // an answer may be outstanding on the connection; the holder of the turn sets it
	commitID      string // request id of the first commit
	started, used time.Time
}

func (l *lane) begin(ctx context.Context, op operation.Begin) operation.Reply {
	if l.pool.isWithdrawn(op.KeyHash) {
		return refused(outcome.KeyWithdrawn)
	}
	if !l.pin(op.Organisation) {
		return refused(outcome.TransactionLimit)
	}
	u, reply := l.use(ctx, op.Organisation, tag{keyHash: op.KeyHash})
	if u == nil {
		l.unpin(op.Organisation)
		return reply
	}
	err := u.conn.Begin(u.ctx, op.Organisation, op.Term)
	u.served()
	if err != nil {
		// No statement was sent, and without a commit the transaction has no effect.
		v := u.failed(err)
		if v.Outcome == outcome.Unknown {
			v = outcome.NotRun(outcome.ServerUnreachable)
		}
		u.done()
		l.unpin(op.Organisation)
		return u.answer(v)
	}
	u.cancel()
	t := newTransaction(l, op, u.conn)
	if reason := l.pool.register(t); reason != "" {
		t.giveBack()
		return u.answer(outcome.NotRun(reason))
	}
	u.reply.Transaction = t.id
	return u.answer(verdict(nil))
}

func newTransaction(l *lane, op operation.Begin, c driver.Conn) *transaction {
	now := time.Now()
	ctx, cancel := context.WithCancel(l.ctx)
	return &transaction{
		id: uuid.NewString(), organisation: op.Organisation, session: op.Session, keyHash: op.KeyHash,
		term: op.Term, lane: l, conn: c, ctx: ctx, cancel: cancel, turn: make(chan struct{}, 1),
		started: now, used: now,
	}
}

// pin counts a transaction against the bounds of the lane and of the organisation. Idle transactions can then not take
// all connections of a lane.
func (l *lane) pin(organisation string) bool {
	perLane := max(1, l.data/transactionShareOfLane)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.data < 2 || l.pinned >= perLane || l.perOwner[organisation] >= max(1, perLane/transactionShareOfTenant) {
		return false
	}
	l.pinned++
	l.perOwner[organisation]++
	l.active++
	return true
}

func (l *lane) unpin(organisation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pinned--
	l.active--
	if l.perOwner[organisation]--; l.perOwner[organisation] == 0 {
		delete(l.perOwner, organisation)
	}
}

// take waits for the transaction's turn and for a turn in the lane's queue. The returned function ends both.
func (t *transaction) take(ctx context.Context) (context.Context, *fairness.Ticket, func(), outcome.Reason) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(t.ctx, cancel)
	release := func() { stop(); cancel() }
	select {
	case t.turn <- struct{}{}:
	case <-ctx.Done():
		release()
		return nil, nil, nil, t.reasonOr(outcome.QueueTimeout)
	}
	ticket, err := t.lane.scheduler.Acquire(ctx, t.organisation, tag{keyHash: t.keyHash, transaction: true})
	if err != nil {
		<-t.turn
		release()
		return nil, nil, nil, t.reasonOr(fairness.ReasonOf(err))
	}
	t.setBusy(true)
	return ctx, ticket, func() {
		t.setBusy(false)
		ticket.Release()
		<-t.turn
		release()
	}, ""
}

func (t *transaction) setBusy(busy bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy, t.used = busy, time.Now()
}

// reasonOr returns why the transaction ended, or another reason if it has not ended.
func (t *transaction) reasonOr(other outcome.Reason) outcome.Reason {
	p := t.lane.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.endings[t.id]; ok {
		return e.reason
	}
	return other
}

// move changes the state of an open transaction and reports whether it was open.
func (t *transaction) move(to state) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state != opened {
		return false
	}
	t.state = to
	return true
}

// end ends an open transaction and reports whether it was open. A running statement is cancelled; a commit that was
// sent is not.
func (t *transaction) end(reason outcome.Reason) bool {
	if !t.move(ended) {
		return false
	}
	t.lane.pool.conclude(t, reason, "")
	t.cancel()
	t.lane.tasks.Add(1)
	go func() {
		defer t.lane.tasks.Done()
		t.turn <- struct{}{}
		t.giveBack()
	}()
	return true
}

// giveBack rolls back what is open and returns the connection. The caller holds the turn and does not return it.
func (t *transaction) giveBack() {
	t.cancel()
	if !t.broken && !t.conn.Clean() {
		ctx, cancel := context.WithTimeout(context.Background(), t.lane.pool.options.ResetTimeout)
		t.broken = t.conn.Rollback(ctx) != nil
		cancel()
	}
	t.lane.put(t.conn, t.broken)
	t.lane.unpin(t.organisation)
}

func (t *transaction) expired(now time.Time) bool {
	idle, total := t.lane.pool.options.TransactionLimits(t.organisation)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state != opened {
		return false
	}
	return now.Sub(t.started) >= total || (!t.busy && now.Sub(t.used) >= idle)
}
