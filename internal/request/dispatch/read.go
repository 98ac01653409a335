package dispatch

import (
	"context"
	"time"

	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/fleet/view"
	"tanagercross/internal/instance/clock"
	"tanagercross/internal/service/recovery"
)

// choice is a call's state in the choice of its servers.
type choice struct {
	replica  bool     // a replica may run the call
	tried    []string // ids of servers
	priority uint8
	trial    string // server that is to be tried first, "" for none
}

// chooseServer returns the next server for a read. If a replica may run it, that is the best server that was not tried yet;
// otherwise, or if all were tried, it is the leader, for which it waits until the context ends.
func (d *Dispatcher) chooseServer(ctx context.Context, e eligibility, db catalog.Database, c choice) (catalog.Server, bool) {
	if c.replica {
		if s, ok := d.bestServer(e, db, c); ok {
			return s, true
		}
	}
	s, _, ok := d.waitForLeader(ctx, e, db.Group)
	return s, ok
}

// bestServer returns the best server that was not tried yet for a call that any server may run.
func (d *Dispatcher) bestServer(e eligibility, db catalog.Database, c choice) (catalog.Server, bool) {
	l, _ := d.table.Leader(db.Group)
	now := d.options.Boot()
	if d.scheduling != nil {
		return d.scheduling.choose(now, d.candidates(e, db, true), l.Server, d.table.Self().Place, c)
	}
	loadReport := func(server string) LoadReport { return d.loadReports.report(now, server) }
	return Candidate(e.servers(db.Group), l.Server, d.table.Self().Place, c.tried, loadReport)
}

// hedgedRead is a read and its attempts, of which several may run at the same time on different servers.
type hedgedRead struct {
	d       *Dispatcher
	db      catalog.Database
	allowed eligibility
	call    statement.Call
	ctx     context.Context // of the attempts
	results chan attemptResult
	tried   []string      // ids of the servers that the read was sent to
	trial   string        // server that is to be tried first, "" for none
	running int           // attempts without a result
	started int           // attempts so far
	begin   time.Duration // of the read, by the clock of the instance
	refused []refusal     // by overload
}

// attemptResult is the answer of one attempt and the server that gave it, in the form in which a leader is reported.
type attemptResult struct {
	answer statement.Answer
	leader view.Leader
}

// startAttempt sends the read to the next server. It returns false if no server is known before the context ends.
func (r *hedgedRead) startAttempt(serverWait context.Context) bool {
	c := r.call
	s, ok := r.d.chooseServer(serverWait, r.allowed, r.db, choice{c.Scope == statement.Replica, r.tried, c.Priority, r.trial})
	if !ok || r.started > 0 && !(r.d.allowAfter(c, s.ID, r.refused) && r.d.allowRetry(c)) {
		return false
	}
	c = r.d.withGoalLeft(c, r.begin)
	l, _ := r.d.table.Leader(r.db.Group)
	if s.ID == l.Server {
		c.Scope, c.MaximumAge = statement.Leader, 0
	}
	if r.started > 0 {
		r.d.options.Observer.Retried("read")
	}
	r.tried = append(r.tried, s.ID)
	r.running++
	r.started++
	go func() {
		result := attemptResult{answer: statement.NoAnswer("internal error"), leader: view.Leader{Group: s.Group, Server: s.ID, Term: l.Term}}
		defer func() { r.results <- result }()
		defer recovery.Catch(func(p recovery.Panic) { r.d.options.Observer.Panicked("read", p) })
		result.answer, _ = r.d.attempt(r.ctx, r.allowed, s, c)
	}()
	return true
}

// read sends a read to one server after the other until one answers it. The next attempt starts when the one before
// fails, and once when no answer has arrived after hedgeDelay.
func (d *Dispatcher) read(ctx context.Context, e eligibility, db catalog.Database, c statement.Call, trial string) statement.Answer {
	limit := Timeout(db)
	// Attempts that are still running when another one has answered go on until the statement's timeout: to cancel one
	// would close its connection.
	running, cancelRunning := context.WithTimeout(context.Background(), limit)
	serverWait, cancelWait := context.WithTimeout(ctx, serverWaitTimeout(db))
	defer cancelWait()
	r := &hedgedRead{d: d, db: db, allowed: e, call: c, ctx: running, results: make(chan attemptResult, maxAttempts), trial: trial, begin: d.options.Boot()}
	defer func() { go r.drain(cancelRunning) }()
	if !r.startAttempt(serverWait) {
		return e.refusal(db.Group)
	}
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	last := statement.Refused(statement.Busy, "no server answered")
	for {
		select {
		case result := <-r.results:
			r.running--
			if result.answer.Delivery == statement.Answered && !result.answer.Code.NotRun() && result.answer.Code != statement.Timeout {
				return result.answer
			}
			last = result.answer
			r.refused = d.appendRefusal(r.refused, result.leader.Server, result.answer)
			if !r.retry(serverWait, result) && r.running == 0 {
				return last
			}
		case <-hedge.C:
			if r.started < maxAttempts {
				r.hedge(serverWait)
			}
		case <-running.Done():
			return statement.NoAnswer("no server answered in time")
		case <-ctx.Done():
			return statement.NoAnswer("given up")
		}
	}
}

// hedge sends the read to another server too. It does not wait for the leader while the known one may not run the read, so
// that the answer of the running attempt is taken at once.
func (r *hedgedRead) hedge(serverWait context.Context) {
	l, known := r.d.table.Leader(r.db.Group)
	s, listed := r.d.table.Servers().Server(l.Server)
	if known && listed && !r.allowed.permits(s) {
		ended, cancel := context.WithCancel(serverWait)
		cancel()
		serverWait = ended
	}
	r.startAttempt(serverWait)
}

// retry starts the next attempt after a failed one. It returns false if there is none, because the attempts or the time
// for them are used up.
func (r *hedgedRead) retry(serverWait context.Context, result attemptResult) bool {
	triedLeader := false
	if l, ok := r.d.table.Leader(r.db.Group); ok {
		triedLeader = l.Server == result.leader.Server
	}
	if triedLeader {
		r.d.retryable(result.leader, result.answer)
		if result.answer.Delivery != statement.Unanswered && !clock.Sleep(serverWait, retryPause) {
			return false
		}
	}
	if r.started >= maxAttempts || serverWait.Err() != nil {
		return false
	}
	return r.startAttempt(serverWait)
}

// drain receives the results of the attempts that are still running, then cancels their context.
func (r *hedgedRead) drain(cancelRunning context.CancelFunc) {
	for range r.running {
		<-r.results
	}
	cancelRunning()
}
