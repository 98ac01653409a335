package key

import (
	"errors"
	"fmt"
)

// Kind classifies errors.
type Kind string

// Kinds of errors.
const (
	Malformed   Kind = "malformed"
	Unknown     Kind = "unknown"     // no entry has the hash
	Withdrawn   Kind = "withdrawn"   // the entry was withdrawn
	Duplicate   Kind = "duplicate"   // an entry with the hash exists
	Incomplete  Kind = "incomplete"  // a required field is empty
	Unavailable Kind = "unavailable" // the random source failed
)

// Error is the error type of the package. It contains no key.
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
