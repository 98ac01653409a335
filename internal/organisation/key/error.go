package key

import (
	"errors"
	"fmt"
)

// Kind says what went wrong. Callers choose their answer by it.
type Kind string

// Kinds of errors.
const (
	Malformed   Kind = "malformed"
	Unknown     Kind = "unknown"     // no entry of the table has the hash
	Withdrawn   Kind = "withdrawn"   // the key was withdrawn
	Duplicate   Kind = "duplicate"   // the table already has an entry with the hash
	Incomplete  Kind = "incomplete"  // a required field is empty
	Unavailable Kind = "unavailable" // the random source failed
)

// Error is the type of all errors of this package. Its text never contains a key.
type Error struct {
	Operation string
	Kind      Kind
	Err       error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("key: %s: %s: %v", e.Operation, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of an error of this package, and "" for any other error.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}
