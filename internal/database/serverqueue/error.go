package serverqueue

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
)

// Error reports why a request was not started. Its Kind is an outcome other than Served.
type Error struct {
	Operation string
	Kind      Outcome
	Refusal   Refusal
	Err       error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("serverqueue: %s: %s: %v", e.Operation, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

var errNoTurn = eris.New("no turn at the server")

// newError returns an Error for a refusal.
func newError(operation string, r Refusal) error {
	return &Error{Operation: operation, Kind: r.Outcome, Refusal: r, Err: errNoTurn}
}

// RefusalOf returns the refusal in an error of this package; of any other error one that timed out.
func RefusalOf(err error) Refusal {
	var e *Error
	if errors.As(err, &e) {
		return e.Refusal
	}
	return Refusal{Outcome: TimedOut}
}
