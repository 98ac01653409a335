package pool

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
)

// Kind classifies the errors of Pool.Acquire.
type Kind string

// Kinds of errors.
const (
	Taken       Kind = "taken"       // this or another instance holds the lane
	Unreachable Kind = "unreachable" // the control connection failed or could not be opened
	Invalid     Kind = "invalid"     // the share or the number of statements is too small
	Draining    Kind = "draining"    // Drain was called
)

// Error is the type of the errors that Pool.Acquire returns.
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
