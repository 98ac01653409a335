package token

import "fmt"

// Kind classifies the errors of the package.
type Kind string

// Kinds of errors.
const (
	Malformed     Kind = "malformed"       // not base64url or not the expected message
	TooLarge      Kind = "too_large"       // longer than MaxEncodedBytes
	TooManyGroups Kind = "too_many_groups" // more than MaxGroups positions
	BadSignature  Kind = "bad_signature"   // signed with no accepted secret, or for another purpose
	NoSecret      Kind = "no_secret"       // the signer has no secret, or one that is too short
	NoEntropy     Kind = "no_entropy"      // the random source failed
)

// Error is the error type of the package.
type Error struct {
	Operation string
	Kind      Kind
	Err       error
}

// Error implements error. The text never contains token content.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("token: %s: %s", e.Operation, e.Kind)
	}
	return fmt.Sprintf("token: %s: %s: %v", e.Operation, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
