package token

import "fmt"

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	Malformed     Kind = "malformed"       // not base64url, or not the expected protobuf message
	TooLarge      Kind = "too_large"       // longer than MaxEncodedBytes
	TooManyGroups Kind = "too_many_groups" // more than MaxGroups positions
	BadSignature  Kind = "bad_signature"   // not signed with an accepted secret, or signed for another purpose
	NoSecret      Kind = "no_secret"       // the signer has no secret, or one shorter than MinSecretBytes
	NoEntropy     Kind = "no_entropy"      // the source of random bytes failed
)

// Error is the type of all errors of this package.
type Error struct {
	Operation string // what failed, such as "decode"
	Kind      Kind
	Err       error // cause, may be nil
}

// Error implements error. The text never contains the content of a token.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("token: %s: %s", e.Operation, e.Kind)
	}
	return fmt.Sprintf("token: %s: %s: %v", e.Operation, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
