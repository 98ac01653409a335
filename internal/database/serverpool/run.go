package serverpool

import (
	"context"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/readindex"
	"tanagercross/internal/database/statement"
)

// prelude returns the commands that give a connection the state that a call needs.
func (l *connection) setupCommands(c statement.Call) []statement.Command {
	var commands []statement.Command
	reset := len(l.prepared) >= maxPrepared
	for name := range l.values {
		if !containsValue(c.Values, name) {
			reset = true
		}
	}
	if reset && (c.Step == statement.Single || c.Step == statement.First) {
		commands = append(commands, statement.Reset{})
		l.values, l.prepared = map[string]string{}, map[string]bool{}
	}
	for _, v := range c.Values {
		if present, ok := l.values[v.Name]; !ok || present != v.Value {
			commands = append(commands, statement.Assign{Value: v})
			l.values[v.Name] = v.Value
		}
	}
	if p := c.Preparation; p != nil && !l.prepared[p.Name] {
		commands = append(commands, statement.Define{Preparation: *p})
		l.prepared[p.Name] = true
	}
	return commands
}

func containsValue(values []statement.Value, name string) bool {
	for _, v := range values {
		if v.Name == name {
			return true
		}
	}
	return false
}

func deadlineWithin(ctx context.Context, limit time.Duration) time.Time {
	deadline := time.Now().Add(limit)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		return d
	}
	return deadline
}

// longestStatement bounds a statement without a deadline of its own.
const maxStatementTime = 10 * time.Second

// prepare runs the prelude and, if asked for, opens a transaction. All answers are awaited before the caller's statement
// is sent: after a failed command it would run with other values or outside of its transaction. A refusal is returned
// with clean set if the connection can be used again.
func (g *Pool) prepareConnection(ctx context.Context, l *connection, c statement.Call, open *statement.Open) (refusal *statement.Answer, clean bool) {
	commands := l.setupCommands(c)
	l.lastSession = c.Session
	if open != nil {
		commands = append(commands, *open)
	}
	if len(commands) == 0 {
		return nil, true
	}
	asked := g.options.Boot()
	answers, err := g.send(l, deadlineWithin(ctx, controlTimeout), commands...)
	if err != nil {
		g.recordFailure()
		r := statement.Refused(statement.Aborted, "connection lost before the statement was sent")
		return &r, false
	}
	for n, a := range answers {
		if a.Code == "" {
			continue
		}
		r := statement.Refused(a.Code, a.Text)
		r.Position = a.Position
		opening := open != nil && n == len(answers)-1
		if opening && a.Code == statement.ReadOnly {
			g.recordNotLeading()
		}
		// A connection whose transaction did not open is clean, unless the server says otherwise.
		return &r, opening && a.State == statement.Idle
	}
	last := answers[len(answers)-1]
	g.recordAnswer()
	if open != nil && !open.ReadOnly {
		g.recordReadIndex(last.Position, asked)
	}
	return nil, true
}

// single runs a statement outside of a caller's transaction.
func (g *Pool) runSingle(ctx context.Context, l *connection, c statement.Call) (answer statement.Answer, clean bool) {
	proving := c.Scope == statement.Leader && !c.Writes()
	var open *statement.Open
	if proving {
		open = &statement.Open{}
	}
	if refusal, clean := g.prepareConnection(ctx, l, c, open); refusal != nil {
		return *refusal, clean
	}
	forward := statement.Forward{ID: c.ID, Body: c.Body}
	if c.Scope == statement.Replica {
		forward.After = c.After
	}
	if c.Writes() && g.expired(c) {
		return refuseExpired(), true
	}
	commands := []statement.Command{forward}
	if proving {
		commands = append(commands, statement.Close{})
	}
	asked := g.options.Boot()
	answers, err := g.send(l, deadlineWithin(ctx, maxStatementTime), commands...)
	if len(answers) == 0 {
		g.recordFailure()
		return statement.NoAnswer("no answer from the server"), false
	}
	answer = answers[0]
	g.recordAnswer()
	if answer.Code == statement.ReadOnly {
		g.recordNotLeading()
	}
	if answer.OK() && c.Scope == statement.Leader && c.Writes() {
		g.recordReadIndex(answer.Position, asked)
	}
	if answer.Code == statement.NoStatement {
		l.prepared = map[string]bool{}
	}
	last := answers[len(answers)-1]
	return answer, err == nil && last.State == statement.Idle && (last.Code == "" || len(answers) == 1)
}

func (g *Pool) startTransaction(ctx context.Context, l *connection, c statement.Call) statement.Answer {
	open := &statement.Open{}
	if c.Scope == statement.Replica {
		open.ReadOnly, open.After = true, c.After
	}
	if refusal, clean := g.prepareConnection(ctx, l, c, open); refusal != nil {
		if clean {
			g.release(l)
		} else {
			g.discard(l)
		}
		return *refusal
	}
	g.mu.Lock()
	g.lastTransactionID++
	id := g.lastTransactionID
	t := &transaction{connection: l, session: c.Session, lastUsed: g.options.Boot()}
	t.mu.Lock()
	g.transactions[id] = t
	g.mu.Unlock()
	defer t.mu.Unlock()
	answer := g.runInTransaction(ctx, id, t, c)
	answer.Transaction = id
	return answer
}

// run forwards a statement inside a transaction; the caller holds the transaction's lock.
func (g *Pool) runInTransaction(ctx context.Context, id uint64, t *transaction, c statement.Call) statement.Answer {
	answers, err := g.send(t.connection, deadlineWithin(ctx, maxStatementTime), statement.Forward{ID: c.ID, Body: c.Body})
	t.lastUsed = g.options.Boot()
	if err != nil {
		g.recordFailure()
		g.finish(id, t, false)
		return statement.NoAnswer("no answer from the server")
	}
	a := answers[0]
	g.recordAnswer()
	if a.Code == statement.ReadOnly {
		g.recordNotLeading()
	}
	if a.State == statement.Idle {
		g.finish(id, t, true)
	}
	return a
}

func (g *Pool) continueTransaction(ctx context.Context, c statement.Call) statement.Answer {
	g.mu.Lock()
	t := g.transactions[c.Transaction]
	g.mu.Unlock()
	if t == nil || t.session != c.Session {
		return statement.Refused(statement.Aborted, "the transaction has ended")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.finished {
		return statement.Refused(statement.Aborted, "the transaction has ended")
	}
	if _, ok := c.Body.(statement.Rollback); ok {
		return g.rollback(ctx, c.Transaction, t)
	}
	ticket, err := g.scheduler.Acquire(ctx, c.Organisation, c.Session)
	if err != nil {
		_ = g.rollback(ctx, c.Transaction, t)
		return statement.Refused(statement.Aborted, "queue")
	}
	defer ticket.Release()
	time.AfterFunc(slotHoldTimeout, ticket.Release)
	if refusal, _ := g.prepareConnection(ctx, t.connection, c, nil); refusal != nil {
		g.finish(c.Transaction, t, false)
		return statement.Refused(statement.Aborted, refusal.Text)
	}
	if _, ok := c.Body.(statement.Commit); ok && g.expired(c) {
		_ = g.rollback(ctx, c.Transaction, t)
		return refuseExpired()
	}
	return g.runInTransaction(ctx, c.Transaction, t, c)
}

// expired reports whether a statement's time is over.
func (g *Pool) expired(c statement.Call) bool { return c.Expires > 0 && g.options.Boot() > c.Expires }

func refuseExpired() statement.Answer {
	return statement.Refused(statement.Aborted, "its time was over before it was sent")
}

// rollback ends a transaction; its connection is closed if the server does not confirm.
func (g *Pool) rollback(ctx context.Context, id uint64, t *transaction) statement.Answer {
	answers, err := g.send(t.connection, deadlineWithin(ctx, controlTimeout), statement.Close{})
	clean := err == nil && answers[0].Code == "" && answers[0].State == statement.Idle
	g.finish(id, t, clean)
	return statement.Answer{Delivery: statement.Answered, State: statement.Idle}
}

// finish ends a transaction; the caller holds its lock.
func (g *Pool) finish(id uint64, t *transaction, clean bool) {
	g.mu.Lock()
	delete(g.transactions, id)
	g.mu.Unlock()
	t.finished = true
	if clean {
		g.release(t.connection)
	} else {
		g.discard(t.connection)
	}
}

// abandon rolls back a transaction whose caller is gone.
func (g *Pool) rollbackIdle(id uint64) {
	g.mu.Lock()
	t := g.transactions[id]
	g.mu.Unlock()
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.finished {
		g.rollback(context.Background(), id, t)
	}
}

func (g *Pool) recordFailure() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordFailureLocked(false)
}

func (g *Pool) recordAnswer() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordAnswerLocked()
}

func (g *Pool) recordNotLeading() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.health.NotLeading = true
}

// noteHead keeps a position that the server gave while it led.
func (g *Pool) recordReadIndex(p driver.Position, asked time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.Compare(g.readIndex.Position) >= 0 && asked >= g.readIndex.RequestedAt {
		g.readIndex = readindex.Index{Position: p, RequestedAt: asked}
		g.health.NotLeading = false
	}
}

// LastReadIndex returns the newest position that the server gave while it led.
func (g *Pool) LastReadIndex() (readindex.Index, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.readIndex, g.readIndex.RequestedAt > 0
}

// ReadIndex returns a position that the server gave while it led, at most maximum ago. It asks the server if none is known.
func (g *Pool) ReadIndex(ctx context.Context, maximum time.Duration, organisation string) (readindex.Index, bool) {
	if p, ok := g.LastReadIndex(); ok && g.options.Boot()-p.RequestedAt <= maximum {
		return p, true
	}
	c := statement.Call{Organisation: g.organisationFor(organisation), Step: statement.Single}
	ticket, l, _ := g.acquire(ctx, c)
	if l == nil {
		return readindex.Index{}, false
	}
	defer ticket.Release()
	asked := g.options.Boot()
	if refusal, clean := g.prepareConnection(ctx, l, statement.Call{Values: l.sessionValues()}, &statement.Open{}); refusal != nil {
		g.releaseOrDiscard(l, clean)
		return readindex.Index{}, false
	}
	answers, err := g.send(l, deadlineWithin(ctx, controlTimeout), statement.Close{})
	g.releaseOrDiscard(l, err == nil && answers[0].State == statement.Idle)
	p, ok := g.LastReadIndex()
	return p, ok && p.RequestedAt >= asked
}

func (g *Pool) organisationFor(other string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lastOrganisation != "" {
		return g.lastOrganisation
	}
	return other
}

// present returns the session values that the connection has.
func (l *connection) sessionValues() []statement.Value {
	values := make([]statement.Value, 0, len(l.values))
	for name, value := range l.values {
		values = append(values, statement.Value{Name: name, Value: value})
	}
	return values
}

func (g *Pool) releaseOrDiscard(l *connection, clean bool) {
	if clean {
		g.release(l)
		return
	}
	g.discard(l)
}

// FetchReport asks the server for its report on a connection of its own.
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

// send runs commands on a connection and keeps the time of those that are not answered yet.
func (g *Pool) send(l *connection, deadline time.Time, commands ...statement.Command) ([]statement.Answer, error) {
	g.mu.Lock()
	g.inFlight[l] = g.options.Boot()
	g.mu.Unlock()
	answers, err := l.conn.Run(deadline, commands...)
	g.mu.Lock()
	delete(g.inFlight, l)
	g.mu.Unlock()
	return answers, err
}

// SilentFor returns for how long the server has answered nothing although a statement waits for its answer.
func (g *Pool) SilentFor() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Boot()
	var longest time.Duration
	for _, sent := range g.inFlight {
		longest = max(longest, now-max(sent, g.health.LastAnswer))
	}
	return longest
}
