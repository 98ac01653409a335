package driver

import (
	"errors"
	"fmt"
)

// Kind classifies errors by what the caller may conclude from them.
type Kind string

// Kinds of errors. Only after ResponseLost is it unknown whether a write took effect.
const (
	Unreachable        Kind = "unreachable"    // no connection; nothing was sent
	TooManyConnections Kind = "full"           // the server is at its connection limit
	Behind             Kind = "behind"         // the server's last position is below the required one
	NotPrimary         Kind = "not_primary"    // the server is not primary of the required term
	StaleTerm          Kind = "stale"          // the server promised a higher term or another holder
	StatementRejected  Kind = "failed"         // the server rejected the statement; its transaction has no effect
	RequestIDConflict  Kind = "reused"         // the request id was used for a different request
	NotReplicated      Kind = "not_replicated" // no majority held the position within the timeout
	Busy               Kind = "busy"           // refused before it took effect, for example after a lock timeout
	ResponseLost       Kind = "lost"           // no response arrived after sending; a write may have taken effect
)

// Error is the type of all errors that implementations of Connector and Conn return.
type Error struct {
	Operation string
	Kind      Kind
	Code      string // SQLSTATE, if the server gave one
	Err       error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("driver: %s: %s: %v", e.Operation, e.Kind, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of a driver error. For any other error it returns ResponseLost, because the statement may have
// been sent.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ResponseLost
}
