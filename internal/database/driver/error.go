package driver

import (
	"errors"
	"fmt"
)

// Kind classifies errors by what the caller may conclude.
type Kind string

// Kinds of errors. Only ResponseLost leaves open whether a write took effect.
const (
	Unreachable        Kind = "unreachable"    // nothing was sent
	TooManyConnections Kind = "full"           // the server is at its connection limit
	Behind             Kind = "behind"         // the server is below the required position
	NotPrimary         Kind = "not_primary"    // a write at a server that is not primary
	StaleTerm          Kind = "stale"          // the server promised a higher term or another holder
	StatementRejected  Kind = "failed"         // the server refused the statement; its transaction has no effect
	RequestIDConflict  Kind = "reused"         // the request id belongs to a different request
	NotReplicated      Kind = "not_replicated" // no majority confirmed the position in time
	Busy               Kind = "busy"           // the server refused before running, for example a lock timeout
	ResponseLost       Kind = "lost"           // the answer was lost; a write may have taken effect
)

// Error is the error type of the package and of every adapter behind it.
type Error struct {
	Operation string
	Kind      Kind
	Code      string // SQLSTATE, if the server gave one
	Err       error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("driver: %s: %s: %v", e.Operation, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of a driver error, and ResponseLost for any other error, the careful assumption.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ResponseLost
}
