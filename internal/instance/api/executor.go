// Package api serves the caller API: the goa services over an Executor, with bounds on everything that a caller sends.
//
// # Usage
//
//	server := api.New(executor, api.Options{Log: logger, Metric: registry})
//	go server.Serve(listener)
//	...
//	err := server.Shutdown(ctx) // lets running requests finish
//
// The key in header x-api-key is hashed before anything else looks at the request, and the header is removed. Every
// refusal has the form Failure with a typed reason and the request id; the status follows from the reason (StatusOf).
// The server writes one access log line per request. It holds no key, statement or argument.
//
// The server counts refusals and unknown outcomes by reason and measures durations, since every request passes here;
// an Executor does not count them again.
package api

import (
	"context"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/organisation/key"
	"tanagercross/internal/session/outcome"
)

// Call holds what every request carries.
type Call struct {
	Key          key.Hash
	RequestID    string        // UUID
	SessionToken string        // empty in the first request of a session
	Deadline     time.Duration // 0 if the caller named none
	Repeat       bool          // an earlier attempt with this request id has an unknown outcome
}

// Mode says whether a statement reads or writes.
type Mode string

// Modes of a statement.
const (
	Read  Mode = "read"
	Write Mode = "write"
)

// StatementRequest asks for one statement outside a transaction.
type StatementRequest struct {
	Call
	Group      string
	Mode       Mode
	Statement  driver.Statement
	MaxAge     *time.Duration // for a read: accept data up to this age; nil for session consistency
	Primary    bool           // for a read: read at the primary
	Unresolved []string       // request ids whose replies the caller lost
}

// OutcomeRequest asks for the outcome of an earlier write. Call.RequestID is that of the question.
type OutcomeRequest struct {
	Call
	Group string
	ID    string // request id of the earlier write
}

// BeginRequest asks for an interactive transaction.
type BeginRequest struct {
	Call
	Group string
}

// StepRequest asks for one statement inside a transaction.
type StepRequest struct {
	Call
	Transaction string
	Statement   driver.Statement
}

// EndRequest commits or rolls back a transaction.
type EndRequest struct {
	Call
	Transaction string
	Commit      bool
}

// Reply is what became of a request.
type Reply struct {
	Verdict      outcome.Verdict
	Organisation string        // for the access log; empty if the key is unknown
	Group        string        // for the path of the question after an unknown outcome
	SessionToken string        // also present in refusals, if the executor has one
	Result       driver.Result // for Done
	ServedBy     driver.Role   // for Done
	Transaction  string        // id of the open transaction
	RetryAfter   time.Duration // suggested wait before another attempt
}

// About describes the instance to anyone.
type About struct {
	Groups []string
}

// Executor runs requests. Every method returns a verdict and is safe for concurrent use.
type Executor interface {
	Statement(ctx context.Context, r StatementRequest) Reply
	Outcome(ctx context.Context, r OutcomeRequest) Reply
	Begin(ctx context.Context, r BeginRequest) Reply
	Step(ctx context.Context, r StepRequest) Reply
	End(ctx context.Context, r EndRequest) Reply
	About(ctx context.Context) About
	// Ready returns the reason for which the instance takes no requests, or "".
	Ready(ctx context.Context) outcome.Reason
}
