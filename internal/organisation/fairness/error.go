package fairness

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"

	"tanagercross/internal/session/outcome"
)

// Error reports why an item left the queue without being started. Its Kind is queue_full, queue_timeout,
// deadline_exceeded or the reason given to Stop or Remove.
type Error struct {
	Operation string
	Kind      outcome.Reason
	Err       error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("fairness: %s: %s: %v", e.Operation, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// newError returns an Error without a further cause.
func newError(operation string, kind outcome.Reason) error {
	return &Error{Operation: operation, Kind: kind, Err: eris.New("no turn in the queue")}
}

// ReasonOf returns the kind of an error of this package, and queue_timeout for any other error.
func ReasonOf(err error) outcome.Reason {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return outcome.QueueTimeout
}
