package pool

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
)

// Kind classifies errors of holding a lane.
type Kind string

// Kinds of errors.
const (
	Taken       Kind = "taken"       // the lane is held already
	Unreachable Kind = "unreachable" // the server gave no control connection
	Invalid     Kind = "invalid"     // the share leaves no connection for operations
	Draining    Kind = "draining"
)

// Error is the error type of the package.
type Error struct {
	Operation string
	Kind      Kind
	Err       error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("pool: %s: %s: %v", e.Operation, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func failure(operation string, kind Kind, err error) error {
	return &Error{Operation: operation, Kind: kind, Err: eris.Wrap(err, string(kind))}
}

// KindOf returns the kind of an error of this package, and "" for any other.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}
