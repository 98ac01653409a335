package configuration

import (
	"errors"
	"fmt"
	"strings"
)

// Kind classifies errors.
type Kind string

// Kinds of errors.
const (
	TooLarge Kind = "too_large" // the document or its list of exceptions is over the bound
	Syntax   Kind = "syntax"    // not YAML, or YAML features that the format excludes
	Schema   Kind = "schema"    // a value has the wrong type or is out of range
	Meaning  Kind = "meaning"   // values contradict each other
)

// Problem is one fault of a document. Line is 0 if the place is not known.
type Problem struct {
	Line    int    `json:"line"`
	Path    string `json:"path"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// String returns the problem as one line.
func (p Problem) String() string {
	place := p.Path
	if p.Line > 0 {
		place = fmt.Sprintf("line %d: %s", p.Line, p.Path)
	}
	if p.Value == "" {
		return fmt.Sprintf("%s: allowed: %s", place, p.Allowed)
	}
	return fmt.Sprintf("%s: value %s; allowed: %s", place, p.Value, p.Allowed)
}

// Error is the error type of the package.
type Error struct {
	Operation string
	Kind      Kind
	Err       error
	Problems  []Problem
}

// Error implements error.
func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "configuration: %s: %s", e.Operation, e.Kind)
	if e.Err != nil {
		fmt.Fprintf(&b, ": %v", e.Err)
	}
	for _, p := range e.Problems {
		fmt.Fprintf(&b, "\n%s", p)
	}
	return b.String()
}

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
