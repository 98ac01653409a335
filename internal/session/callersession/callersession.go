// Package callersession holds the state of a caller's session on its connection: the organisation, the session values,
// the prepared statements, the position of the session's last commit, and the open transaction.
//
// # Usage
//
//	session, refusal := callersession.Start(environment, id, "meals", key)
//	answer := session.Handle(ctx, query)
//	session.Close()
//
// The session answers statements that set values or prepare statements itself, and sends the values and the preparation
// along with each later statement. Any server connection of the organisation can therefore serve the session. A
// transaction is opened on a server only with its first statement.
package callersession

import (
	"context"
	"fmt"
	"math"
	"strings"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/organisation/key"
	"tanagercross/internal/request/dispatch"
	"tanagercross/internal/service/recovery"
	"tanagercross/internal/session/outcome"
)

// Limits of a session.
const (
	maxValues     = 64
	maxPrepared   = 64
	maxValueBytes = 16 << 10 // of a value, or of the shape of a prepared statement
	maxNameBytes  = 16 << 10 // of the name of a value or of a prepared statement
	// maxStateBytes bounds all values, shapes and names of a session. It holds maxValues and maxPrepared of the longest, with
	// names of 1 KiB each.
	maxStateBytes            = (maxValues + maxPrepared) * (maxValueBytes + 1<<10)
	maxTransactionStatements = 1000
	preparedHashBytes        = 16 // of SHA-256, in the name of a prepared statement
)

// defaultRetry is the time to retry that a refusal names if nothing is known about the organisation's rate.
const defaultRetry = 500 * time.Millisecond

// Dispatcher runs statements on servers. It is implemented by dispatch.Dispatcher.
type Dispatcher interface {
	Single(ctx context.Context, db catalog.Database, c statement.Call) statement.Answer
	Open(ctx context.Context, db catalog.Database, c statement.Call) (statement.Answer, *dispatch.Pin)
	Continue(ctx context.Context, db catalog.Database, p dispatch.Pin, c statement.Call) statement.Answer
	Rollback(p dispatch.Pin, c statement.Call)
}

// Limiter enforces the rates of organisations. Take returns the reason to refuse an operation, or "" to admit it. With a
// reason it returns the time after which the caller is to retry, 0 if that is not known. The priority is that of the
// database, 0 if calls carry none.
type Limiter interface {
	Take(ctx context.Context, organisation string, priority uint8) (outcome.Reason, time.Duration)
}

// Observer records refusals and answers for logs and metrics.
type Observer interface {
	Refused(database, organisation, id string, code statement.Code, reason string)
	Answered(database, organisation string, q statement.Query, a statement.Answer, took time.Duration)
	// Panicked is called after a panic in the handling of a query, with the part in which it happened.
	Panicked(part string, p recovery.Panic)
}

// Environment holds what all sessions of an instance share.
type Environment struct {
	Configuration func() catalog.Configuration
	// ConfigurationFresh reports whether the configuration is recent enough to admit callers.
	ConfigurationFresh func() bool
	Dispatcher         Dispatcher
	Limiter            Limiter
	Observer           Observer
	Draining           func() bool // the instance shuts down; sessions close when they have no open transaction
	// Priorities asks for the priorities of databases and organisations on calls.
	Priorities bool
	// Stopping reports whether the process may end before a statement with the given timeout is answered.
	Stopping func(timeout time.Duration) bool
}

// Session is the session of one caller. It is used by one goroutine at a time.
type Session struct {
	env          Environment
	id           string
	database     string
	key          key.Hash
	hasKey       bool
	organisation string
	values       []statement.Value
	prepared     map[string]statement.Preparation // by the name that the caller gave
	stateBytes   int                              // of values and prepared
	lastCommit   driver.Position                  // newest log position of a commit of this session
	shouldClose  bool
	received     time.Time // when the present query was received

	state               statement.State
	readOnly            bool
	transactionDatabase catalog.Database // the database as configured when the transaction began
	pin                 *dispatch.Pin    // nil until the first statement of the transaction has run
	lastUsed            time.Time        // last statement of the transaction
	statementCount      int              // in the transaction
	mayHaveWritten      bool             // a statement of the transaction may have changed data
}

// publicOrganisation is the organisation under which callers without a key use public databases.
const publicOrganisation = "-"

// Start begins a session of a database with the key that the caller sent, "" for none. It returns a nil session and the
// refusal if the caller is not admitted. The id must be unique in the fleet.
func Start(env Environment, id, database, keyText string) (*Session, statement.Answer) {
	// The name is a part of a line, which would be kept as a whole.
	s := &Session{env: env, id: id, database: strings.Clone(database), prepared: map[string]statement.Preparation{}}
	if keyText != "" {
		s.key, s.hasKey = key.HashOf(keyText), true
	}
	if _, refusal := s.authorize(); refusal.Code != "" {
		env.Observer.Refused(database, s.organisation, "", refusal.Code, refusal.Text)
		return nil, refusal
	}
	return s, statement.Answer{}
}

// authorize checks the database and the key against the configuration in force and sets the session's organisation. It
// refuses if the instance stops or its configuration is too old.
func (s *Session) authorize() (catalog.Database, statement.Answer) {
	if !s.env.ConfigurationFresh() {
		return catalog.Database{}, statement.Refused(statement.Busy, "the configuration is too old; retry after 500 ms")
	}
	configuration := s.env.Configuration()
	db, ok := configuration.Database(s.database)
	if !ok {
		return db, statement.Refused(statement.NoDatabase, "no such database")
	}
	if s.env.Stopping(dispatch.Timeout(db)) {
		s.shouldClose = true
		return db, statement.Refused(statement.Busy, "the instance stops; retry at once")
	}
	holder, ok := s.keyHolder(configuration, db)
	if !ok {
		return db, statement.Refused(statement.Unauthorized, "unknown key")
	}
	s.organisation = holder
	return db, statement.Answer{}
}

// keyHolder returns the organisation that holds the caller's key in a configuration, or publicOrganisation if none does and
// the database is public.
func (s *Session) keyHolder(configuration catalog.Configuration, db catalog.Database) (string, bool) {
	if s.hasKey {
		if o, known := configuration.OrganisationByKey(s.key); known {
			return o.Name, true
		}
	}
	return publicOrganisation, db.Public
}

// ShouldClose reports whether the connection is to be closed.
func (s *Session) ShouldClose() bool {
	return s.shouldClose || s.state == statement.Idle && s.env.Draining()
}

// Handle answers one query of the caller.
func (s *Session) Handle(ctx context.Context, q statement.Query) statement.Answer {
	started := time.Now()
	s.received = started
	a := s.handleSafely(ctx, q)
	s.state = a.State
	s.env.Observer.Answered(s.database, s.organisation, q, a, time.Since(started))
	return a
}

// handleSafely is handle for a query whose handling may panic. The statement may have run, so that its outcome is unknown,
// and so is the state of the session, which is closed.
func (s *Session) handleSafely(ctx context.Context, q statement.Query) (a statement.Answer) {
	defer recovery.Catch(func(p recovery.Panic) {
		s.env.Observer.Panicked("statement "+q.ID, p)
		s.shouldClose = true
		a = statement.NoAnswer("internal error")
		a.State = s.state
	})
	return s.handle(ctx, q)
}

// handle answers a query. Outside of a transaction, statements other than those that change the session are dispatched.
func (s *Session) handle(ctx context.Context, q statement.Query) statement.Answer {
	if s.state != statement.Idle {
		return s.handleInTransaction(ctx, q)
	}
	switch b := q.Body.(type) {
	case statement.Begin:
		return s.begin(ctx, b, q)
	case statement.Rollback, statement.Commit:
		return s.refuse(q, statement.Malformed, "no transaction is open")
	case statement.Set, statement.Prepare, statement.Deallocate:
		return s.handleLocally(q)
	}
	db, refusal := s.admitOperation(ctx, q)
	if refusal.Code != "" {
		return refusal
	}
	call, refusal := s.call(q)
	if refusal.Code != "" {
		return refusal
	}
	call = s.withPriority(call, db)
	call.Step = statement.Single
	if db.Consistency == catalog.ReadYourWrites {
		call.After = s.lastCommit
	}
	a := s.env.Dispatcher.Single(ctx, db, call)
	if a.OK() && call.Writes() {
		s.recordCommit(a.Position)
	}
	return s.callerAnswer(a, call.Writes(), false)
}

// admitOperation checks the database, the key and the organisation's rate for one operation, which is a single statement
// or a whole transaction. Operations of callers without a key are not limited.
func (s *Session) admitOperation(ctx context.Context, q statement.Query) (catalog.Database, statement.Answer) {
	db, refusal := s.authorize()
	if refusal.Code != "" {
		s.shouldClose = s.shouldClose || refusal.Code == statement.Unauthorized || refusal.Code == statement.NoDatabase
		return db, s.refuse(q, refusal.Code, refusal.Text)
	}
	if s.organisation == publicOrganisation {
		return db, statement.Answer{}
	}
	if reason, retry := s.env.Limiter.Take(ctx, s.organisation, s.databasePriority(db)); reason != "" {
		return db, s.refuse(q, statement.TooMany, fmt.Sprintf("%s; retry after %d ms", reason, retryTime(retry).Milliseconds()))
	}
	return db, statement.Answer{}
}

// retryTime returns the time to retry that a refusal names, defaultRetry if it is not known.
func retryTime(known time.Duration) time.Duration {
	if known <= 0 {
		return defaultRetry
	}
	return known
}

// databasePriority returns the priority of a database, 0 if calls carry none.
func (s *Session) databasePriority(db catalog.Database) uint8 {
	if !s.env.Priorities {
		return 0
	}
	return priority(db.Priority)
}

// refuse records a refusal and returns it as the answer, without a change of the session's state.
func (s *Session) refuse(q statement.Query, code statement.Code, text string) statement.Answer {
	s.env.Observer.Refused(s.database, s.organisation, q.ID, code, text)
	return statement.Answer{Delivery: statement.NotSent, Code: code, Text: text, State: s.state}
}

// begin starts a transaction in the session only. The server transaction is opened with the first statement.
func (s *Session) begin(ctx context.Context, b statement.Begin, q statement.Query) statement.Answer {
	db, refusal := s.admitOperation(ctx, q)
	if refusal.Code != "" {
		return refusal
	}
	s.readOnly, s.transactionDatabase, s.pin, s.lastUsed, s.statementCount, s.mayHaveWritten = b.ReadOnly, db, nil, time.Now(), 0, false
	return statement.Answer{Delivery: statement.Answered, State: statement.InTransaction}
}

// call returns the call that runs a query on a server. The answer has a code if the query names no prepared statement.
func (s *Session) call(q statement.Query) (statement.Call, statement.Answer) {
	call := statement.Call{
		Organisation: s.organisation, Session: s.id, ID: q.ID, Body: q.Body, Values: s.values, ReadOnly: s.readOnly,
	}
	if e, ok := q.Body.(statement.Execute); ok {
		p, known := s.prepared[e.Name]
		if !known {
			return call, s.refuse(q, statement.NoStatement, "no prepared statement of this name")
		}
		call.Preparation, call.Body = &p, statement.Execute{Name: p.Name, Arguments: e.Arguments}
	}
	return call, statement.Answer{}
}

// withPriority returns a copy of a call with the priorities of its database and what is left of its latency goal, if calls
// carry them.
func (s *Session) withPriority(c statement.Call, db catalog.Database) statement.Call {
	if !s.env.Priorities {
		return c
	}
	o, _ := s.env.Configuration().Organisation(s.organisation)
	c.Priority, c.OrganisationPriority = priority(db.Priority), priority(o.Priority)
	if db.LatencyGoal > 0 {
		// The call may have waited for a rate token. A goal of 0 would mean that there is none.
		c.Goal = max(time.Millisecond, db.LatencyGoal-time.Since(s.received))
	}
	return c
}

// priority returns a configured priority in the range of calls.
func priority(n int) uint8 { return uint8(min(max(0, n), math.MaxUint8)) }

// recordCommit keeps the log position of a commit, from which a later read must see it.
func (s *Session) recordCommit(p driver.Position) {
	// A position of a newer term replaces an older one, whose log entry a change of primary may have removed.
	if p.Compare(s.lastCommit) > 0 {
		s.lastCommit = p
	}
}

// callerAnswer turns the answer of the dispatcher into the one for the caller. A statement that was not sent is reported
// as not run. One without an answer gets the code Unknown if it may have changed data, Aborted if its transaction cannot
// have been committed, and Timeout otherwise.
func (s *Session) callerAnswer(a statement.Answer, writes, inTransaction bool) statement.Answer {
	failedState := statement.Idle
	if inTransaction {
		failedState = statement.FailedTransaction
	}
	switch a.Delivery {
	case statement.Answered:
		if a.Code != "" {
			a.State = failedState
		}
	case statement.NotSent:
		a.State = failedState
		switch a.Code {
		case statement.WrongServer, statement.UnknownReason, "":
			a.Code = statement.Busy
		}
	case statement.Unanswered:
		a.State = failedState
		switch {
		case writes:
			a.Code = statement.Unknown
		case inTransaction:
			a.Code = statement.Aborted
		default:
			a.Code = statement.Timeout
		}
	}
	if !inTransaction {
		// A read at the leader ran in a transaction that the instance opened, which is not the caller's.
		a.State = statement.Idle
	}
	a.Transaction = 0
	return a
}

// Close ends the session and rolls back an open transaction.
func (s *Session) Close() { s.rollbackOpen() }

// rollbackOpen rolls back the transaction that is open on a server, if any.
func (s *Session) rollbackOpen() {
	if s.pin == nil {
		return
	}
	s.env.Dispatcher.Rollback(*s.pin, statement.Call{Organisation: s.organisation, Session: s.id})
	s.pin = nil
}
