// Package callersession holds a caller's session on its connection: the organisation, session values, prepared names, the
// newest position that the session has written, and the open transaction.
//
// # Usage
//
//	c, refusal := callersession.Start(environment, "meals", key)
//	answer := c.Handle(ctx, query)
//	c.Close()
//
// Session values and prepared names are answered here and given to the server connection of each later statement, so
// that any server connection of the organisation can serve the session. A transaction begins on a server with its first
// statement.
package callersession

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/organisation/key"
	"tanagercross/internal/request/dispatch"
	"tanagercross/internal/session/outcome"
)

// Limits of a session.
const (
	maxValues     = 64
	maxPrepared   = 64
	maxValueBytes = 16 << 10 // bytes of a value or shape
	// statementsOfTransaction bounds a transaction.
	maxTransactionStatements = 1000
)

// Dispatcher runs statements on servers.
type Dispatcher interface {
	Single(ctx context.Context, db catalog.Database, c statement.Call) statement.Answer
	Open(ctx context.Context, db catalog.Database, c statement.Call) (statement.Answer, *dispatch.Pin)
	Continue(ctx context.Context, db catalog.Database, p dispatch.Pin, c statement.Call) statement.Answer
	Rollback(p dispatch.Pin, c statement.Call)
}

// Limiter admits operations inside an organisation's rate.
type Limiter interface {
	Take(ctx context.Context, organisation string) outcome.Reason
}

// Observer is told of what becomes of queries.
type Observer interface {
	Refused(database, organisation, id string, code statement.Code, reason string)
	Answered(database, organisation string, q statement.Query, a statement.Answer, took time.Duration)
}

// Environment is what all sessions of an instance share.
type Environment struct {
	Configuration func() catalog.Configuration
	// ConfigurationFresh reports whether the configuration is recent enough to admit callers.
	ConfigurationFresh func() bool
	Dispatcher         Dispatcher
	Limiter            Limiter
	Observer           Observer
	Draining           func() bool // the instance is shutting down and sessions are to move on
	Stopping           func() bool // the process ends before another statement would
}

// Session is one session. It is used by one goroutine at a time.
type Session struct {
	env          Environment
	id           string
	database     string
	key          key.Hash
	hasKey       bool
	organisation string
	values       []statement.Value
	prepared     map[string]statement.Preparation
	lastCommit   driver.Position // newest position of an own commit
	shouldClose  bool

	state          statement.State
	readOnly       bool
	route          catalog.Database // in force when the transaction began
	pin            *dispatch.Pin
	lastUsed       time.Time
	statementCount int
	mayHaveWritten bool // a statement of the transaction may have written
}

// publicOrganisation is named to servers for callers without a key.
const publicOrganisation = "-"

// Start begins a session, or returns the refusal. The id must be unique in the fleet.
func Start(env Environment, id, database, keyText string) (*Session, statement.Answer) {
	c := &Session{env: env, id: id, database: database, prepared: map[string]statement.Preparation{}}
	if keyText != "" {
		c.key, c.hasKey = key.HashOf(keyText), true
	}
	if _, refusal := c.authorize(); refusal.Code != "" {
		env.Observer.Refused(database, c.organisation, "", refusal.Code, refusal.Text)
		return nil, refusal
	}
	return c, statement.Answer{}
}

// admit checks database and key against the configuration in force.
func (c *Session) authorize() (catalog.Database, statement.Answer) {
	if c.env.Stopping() {
		return catalog.Database{}, statement.Refused(statement.Busy, "the instance stops; retry at once")
	}
	if !c.env.ConfigurationFresh() {
		return catalog.Database{}, statement.Refused(statement.Busy, "the configuration is too old; retry after 500 ms")
	}
	configuration := c.env.Configuration()
	db, ok := configuration.Database(c.database)
	if !ok {
		return db, statement.Refused(statement.NoDatabase, "no such database")
	}
	o, known := catalog.Organisation{}, false
	if c.hasKey {
		o, known = configuration.ByKey(c.key)
	}
	switch {
	case known:
		c.organisation = o.Name
	case db.Public:
		c.organisation = publicOrganisation
	default:
		return db, statement.Refused(statement.Unauthorized, "unknown key")
	}
	return db, statement.Answer{}
}

// ShouldClose reports whether the connection is to be closed.
func (c *Session) ShouldClose() bool {
	return c.shouldClose || c.state == statement.Idle && c.env.Draining()
}

// Handle answers one query.
func (c *Session) Handle(ctx context.Context, q statement.Query) statement.Answer {
	started := time.Now()
	a := c.handle(ctx, q)
	c.state = a.State
	c.env.Observer.Answered(c.database, c.organisation, q, a, time.Since(started))
	return a
}

func (c *Session) handle(ctx context.Context, q statement.Query) statement.Answer {
	if c.state != statement.Idle {
		return c.handleInTransaction(ctx, q)
	}
	switch b := q.Body.(type) {
	case statement.Begin:
		return c.begin(ctx, b, q)
	case statement.Rollback, statement.Commit:
		return c.refuse(q, statement.Malformed, "no transaction is open")
	case statement.Set, statement.Prepare, statement.Deallocate:
		return c.handleLocally(q)
	}
	db, refusal := c.admitOperation(ctx, q)
	if refusal.Code != "" {
		return refusal
	}
	call, refusal := c.call(q)
	if refusal.Code != "" {
		return refusal
	}
	call.Step = statement.Single
	if db.Consistency == catalog.ReadYourWrites {
		call.After = c.lastCommit
	}
	a := c.env.Dispatcher.Single(ctx, db, call)
	if a.OK() && call.Writes() {
		c.recordCommit(a.Position)
	}
	return c.callerAnswer(a, call.Writes(), false)
}

// enter admits an operation: database, key and rate.
func (c *Session) admitOperation(ctx context.Context, q statement.Query) (catalog.Database, statement.Answer) {
	db, refusal := c.authorize()
	if refusal.Code != "" {
		c.shouldClose = refusal.Code == statement.Unauthorized || refusal.Code == statement.NoDatabase || c.env.Stopping()
		return db, c.refuse(q, refusal.Code, refusal.Text)
	}
	if c.organisation == publicOrganisation {
		return db, statement.Answer{}
	}
	if reason := c.env.Limiter.Take(ctx, c.organisation); reason != "" {
		return db, c.refuse(q, statement.TooMany, string(reason)+"; retry after 500 ms")
	}
	return db, statement.Answer{}
}

func (c *Session) refuse(q statement.Query, code statement.Code, text string) statement.Answer {
	c.env.Observer.Refused(c.database, c.organisation, q.ID, code, text)
	return statement.Answer{Delivery: statement.NotSent, Code: code, Text: text, State: c.state}
}

func (c *Session) begin(ctx context.Context, b statement.Begin, q statement.Query) statement.Answer {
	db, refusal := c.admitOperation(ctx, q)
	if refusal.Code != "" {
		return refusal
	}
	c.readOnly, c.route, c.pin, c.lastUsed, c.statementCount, c.mayHaveWritten = b.ReadOnly, db, nil, time.Now(), 0, false
	return statement.Answer{Delivery: statement.Answered, State: statement.InTransaction}
}

// local answers statements that change only the session.
func (c *Session) handleLocally(q statement.Query) statement.Answer {
	switch b := q.Body.(type) {
	case statement.Set:
		if !c.setValue(b) {
			return c.refuse(q, statement.TooLarge, "too many or too long session values")
		}
	case statement.Prepare:
		if _, known := c.prepared[b.Name]; !known && len(c.prepared) >= maxPrepared || len(b.Shape) > maxValueBytes {
			return c.refuse(q, statement.TooLarge, "too many or too long prepared statements")
		}
		c.prepared[b.Name] = statement.Preparation{Name: preparedName(b), Writes: b.Writes, Shape: b.Shape}
	case statement.Deallocate:
		delete(c.prepared, b.Name)
	}
	return statement.Answer{Delivery: statement.Answered, State: c.state}
}

// set replaces the values, because calls under way share the old ones.
func (c *Session) setValue(b statement.Set) bool {
	values := make([]statement.Value, 0, len(c.values)+1)
	for _, v := range c.values {
		if v.Name != b.Name {
			values = append(values, v)
		}
	}
	if len(values) >= maxValues || len(b.Value) > maxValueBytes {
		return false
	}
	c.values = append(values, statement.Value{Name: b.Name, Value: b.Value})
	return true
}

// sharedName is the same for all sessions that prepare the same shape, so that a server connection knows it already.
func preparedName(p statement.Prepare) string {
	kind := "r"
	if p.Writes {
		kind = "w"
	}
	return kind + strconv.FormatUint(xxhash.Sum64String(p.Shape), 36)
}

// call returns the call of a query that is forwarded.
func (c *Session) call(q statement.Query) (statement.Call, statement.Answer) {
	call := statement.Call{
		Organisation: c.organisation, Session: c.id, ID: q.ID, Body: q.Body, Values: c.values, ReadOnly: c.readOnly,
	}
	if e, ok := q.Body.(statement.Execute); ok {
		p, known := c.prepared[e.Name]
		if !known {
			return call, c.refuse(q, statement.NoStatement, "no prepared statement of this name")
		}
		call.Preparation, call.Body = &p, statement.Execute{Name: p.Name, Arguments: e.Arguments}
	}
	return call, statement.Answer{}
}

func (c *Session) recordCommit(p driver.Position) {
	// A position of a newer term replaces one that a change of primary may have removed.
	if p.Compare(c.lastCommit) > 0 {
		c.lastCommit = p
	}
}

// conclude turns the fate of a statement into the answer for the caller.
func (c *Session) callerAnswer(a statement.Answer, writes, inside bool) statement.Answer {
	failed := statement.Idle
	if inside {
		failed = statement.FailedTransaction
	}
	switch a.Delivery {
	case statement.Answered:
		if a.Code != "" {
			a.State = failed
		}
	case statement.NotSent:
		a.State = failed
		switch a.Code {
		case statement.WrongServer, statement.UnknownReason, "":
			a.Code = statement.Busy
		}
	case statement.Unanswered:
		a.State = failed
		switch {
		case writes:
			a.Code = statement.Unknown
		case inside:
			a.Code = statement.Aborted
		default:
			a.Code = statement.Timeout
		}
	}
	if !inside {
		// A read at the leader ran in a transaction of the system, which is not the caller's.
		a.State = statement.Idle
	}
	a.Transaction = 0
	return a
}

// Close ends the session and rolls back an open transaction.
func (c *Session) Close() { c.rollbackOpen() }

func (c *Session) rollbackOpen() {
	if c.pin == nil {
		return
	}
	c.env.Dispatcher.Rollback(*c.pin, statement.Call{Organisation: c.organisation, Session: c.id})
	c.pin = nil
}
