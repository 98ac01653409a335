package dispatch

import (
	"context"
	"time"

	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/fleet/view"
	"tanagercross/internal/instance/clock"
)

// choose returns the next server for a read, or waits for the leader if no other server is left.
func (d *Dispatcher) chooseServer(ctx context.Context, db catalog.Database, replica bool, tried []string) (catalog.Server, bool) {
	if replica {
		l, _ := d.table.Leader(db.Group)
		now := d.options.Boot()
		sight := func(server string) LoadReport { return d.loadReports.report(now, server) }
		if s, ok := Candidate(d.table.Servers().Of(db.Group), l.Server, d.table.Self().Place, tried, sight); ok {
			return s, true
		}
	}
	s, _, ok := d.waitForLeader(ctx, db.Group)
	return s, ok
}

// reading is a read with its attempts.
type hedgedRead struct {
	d       *Dispatcher
	db      catalog.Database
	call    statement.Call
	ctx     context.Context
	results chan attemptResult
	tried   []string
	running int
	started int
}

type attemptResult struct {
	answer statement.Answer
	leader view.Leader
}

// start sends the read to the next server. It fails if no server is known in time.
func (r *hedgedRead) startAttempt(waiting context.Context) bool {
	s, ok := r.d.chooseServer(waiting, r.db, r.call.Scope == statement.Replica, r.tried)
	if !ok {
		return false
	}
	c := r.call
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
		a, _ := r.d.attempt(r.ctx, s, c)
		r.results <- attemptResult{answer: a, leader: view.Leader{Group: s.Group, Server: s.ID, Term: l.Term}}
	}()
	return true
}

// read sends a read to one server after the other until one answers.
func (d *Dispatcher) read(ctx context.Context, db catalog.Database, c statement.Call) statement.Answer {
	limit := Timeout(db)
	// Attempts that lost the race run on until the statement's time is over: breaking them off would waste a connection.
	running, release := context.WithTimeout(context.Background(), limit)
	waiting, stop := context.WithTimeout(ctx, serverWaitTimeout(db))
	defer stop()
	r := &hedgedRead{d: d, db: db, call: c, ctx: running, results: make(chan attemptResult, maxAttempts)}
	defer func() { go r.drain(release) }()
	if !r.startAttempt(waiting) {
		return statement.Refused(statement.Busy, "no primary is known")
	}
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	last := statement.Refused(statement.Busy, "no server answered")
	for {
		select {
		case got := <-r.results:
			r.running--
			if got.answer.Delivery == statement.Answered && !got.answer.Code.NotRun() && got.answer.Code != statement.Timeout {
				return got.answer
			}
			last = got.answer
			if !r.retry(waiting, got) && r.running == 0 {
				return last
			}
		case <-hedge.C:
			if r.started < maxAttempts {
				r.startAttempt(waiting)
			}
		case <-running.Done():
			return statement.NoAnswer("no server answered in time")
		}
	}
}

// proceed starts the next attempt after a failed one.
func (r *hedgedRead) retry(waiting context.Context, got attemptResult) bool {
	leads := false
	if l, ok := r.d.table.Leader(r.db.Group); ok {
		leads = l.Server == got.leader.Server
	}
	if leads {
		r.d.retryable(got.leader, got.answer)
		if got.answer.Delivery != statement.Unanswered && !clock.Sleep(waiting, retryPause) {
			return false
		}
	}
	if r.started >= maxAttempts || waiting.Err() != nil {
		return false
	}
	return r.startAttempt(waiting)
}

// finish waits for the attempts that still run.
func (r *hedgedRead) drain(release context.CancelFunc) {
	for range r.running {
		<-r.results
	}
	release()
}
