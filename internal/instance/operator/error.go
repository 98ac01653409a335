package operator

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"tanagercross/internal/fleet/configuration"
)

// Kind classifies errors.
type Kind string

// Kinds of errors. Only Unknown leaves open whether a change was made.
const (
	Invalid      Kind = "invalid"      // the request or the document has faults
	Unauthorized Kind = "unauthorized" // the operator secret is absent or wrong
	Missing      Kind = "missing"      // no such key, version or route
	Conflict     Kind = "conflict"     // another change was first
	Refused      Kind = "refused"      // members refused the proposal; nothing was changed
	Unavailable  Kind = "unavailable"  // the store or the instance does not answer; nothing was changed
	Unknown      Kind = "unknown"      // the answer was lost; ask again with the change id
)

// Winner names the change that was first.
type Winner struct {
	Version uint64 `json:"version"`
	Author  string `json:"author"`
}

// Error is the error type of the package and of every Control.
type Error struct {
	Operation string
	Kind      Kind
	Err       error
	Winner    *Winner                 // with kind Conflict
	Problems  []configuration.Problem // with kind Invalid
}

// Error implements error.
func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "operator: %s: %s", e.Operation, e.Kind)
	if e.Err != nil {
		fmt.Fprintf(&b, ": %v", e.Err)
	}
	if e.Winner != nil {
		fmt.Fprintf(&b, ": version %d by %s was first", e.Winner.Version, e.Winner.Author)
	}
	for _, p := range e.Problems {
		fmt.Fprintf(&b, "\n%s", p)
	}
	return b.String()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of an error, "" for nil, and Unknown for an error of another type.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Unknown
}

// errorBody is an Error as JSON.
type errorBody struct {
	Kind     Kind                    `json:"kind"`
	Message  string                  `json:"message"`
	Winner   *Winner                 `json:"winner,omitempty"`
	Problems []configuration.Problem `json:"problems,omitempty"`
}

func statusOf(k Kind) int {
	switch k {
	case Invalid:
		return http.StatusBadRequest
	case Unauthorized:
		return http.StatusUnauthorized
	case Missing:
		return http.StatusNotFound
	case Conflict:
		return http.StatusConflict
	case Refused:
		return http.StatusUnprocessableEntity
	case Unavailable:
		return http.StatusServiceUnavailable
	}
	return http.StatusGatewayTimeout
}
