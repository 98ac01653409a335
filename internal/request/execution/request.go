package execution

import (
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/session/outcome"
	"tanagercross/internal/session/route"
)

// Request is one of Statement, Begin, Run, Commit, Rollback and Outcome. Its method returns the embedded Caller.
type Request interface{ requestCaller() Caller }

// Caller holds the fields that all requests have in common.
type Caller struct {
	KeyHash   string    // hex SHA-256 of the key
	Token     string    // session token of the previous reply, if any
	RequestID string    // UUIDv7; generated if empty
	Deadline  time.Time // zero for Options.Deadline from now
	// Repeat says that an earlier attempt with this request id has an unknown outcome.
	Repeat bool
}

func (c Caller) requestCaller() Caller { return c }

// Statement runs one statement outside a transaction.
type Statement struct {
	Caller
	Group      string
	Write      bool
	Statement  driver.Statement
	MaxAge     time.Duration // for a read: accept data up to this age; 0 means route.Session
	Primary    bool          // for a read: run it on the primary
	Unresolved []string      // request ids whose replies the caller lost; a read then runs on the primary
}

// mode returns the mode in which a read is routed. All modes see the session's own writes.
func (s Statement) mode() route.Mode {
	switch {
	case s.Primary:
		return route.Primary
	case len(s.Unresolved) > 0:
		return route.Unresolved
	case s.MaxAge > 0:
		return route.MaxAge
	}
	return route.Session
}

// Begin opens an interactive transaction.
type Begin struct {
	Caller
	Group string
}

// Run runs a statement in a transaction.
type Run struct {
	Caller
	Transaction string
	Statement   driver.Statement
}

// Commit commits a transaction.
type Commit struct {
	Caller
	Transaction string
}

// Rollback rolls a transaction back.
type Rollback struct {
	Caller
	Transaction string
}

// Outcome looks up the outcome of an earlier write by its request id, which is in the field ID.
type Outcome struct {
	Caller
	Group string
	ID    string
}

// Reply is the answer to a request.
type Reply struct {
	Verdict     outcome.Verdict
	RequestID   string
	Token       string // "" if the request was refused before its session was known
	Result      driver.Result
	ServedBy    driver.Role
	Transaction string // set by Begin
	Group       string // set if the outcome is unknown: the group in which to look it up with an Outcome request
}

// recordGroup returns the group that stores the record of a request, or "" for requests that have none.
func (x *execution) recordGroup(r Request) string {
	switch r := r.(type) {
	case Statement:
		if r.Write {
			return r.Group
		}
	case Commit:
		return x.transaction.Group
	case Outcome:
		return r.Group
	}
	return ""
}

// transactionID returns the transaction id of a request inside a transaction, and false for other requests.
func transactionID(r Request) (string, bool) {
	switch r := r.(type) {
	case Run:
		return r.Transaction, true
	case Commit:
		return r.Transaction, true
	case Rollback:
		return r.Transaction, true
	}
	return "", false
}
