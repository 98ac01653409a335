package database

import (
	"errors"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
)

// Error is the error type of the package.
type Error struct {
	Operation string
	Kind      Code
	Err       error
}

// Code is the SQLSTATE of an error.
type Code string

// Codes that the server sends.
const (
	codeInternal           Code = "XX000"
	codeSyntax             Code = "42601"
	codeNoTable            Code = "42P01"
	codeUnsupported        Code = "0A000"
	codeNoOrganisation     Code = "3F000"
	codeUnique             Code = "23505"
	codeConstraint         Code = "23000"
	codeReadOnly           Code = "25006"
	codeActiveTransaction  Code = "25001"
	codeFailedTransaction  Code = "25P02"
	codeTooManyConnections Code = "53300"
	codeLockTimeout        Code = "55P03"
	codeStaleTerm          Code = "55000"
	codeRetry              Code = "40001"
	codeShutdown           Code = "57P01"
	codeIdleTimeout        Code = "57P05"
	codeNoStatement        Code = "26000"
	codeProtocol           Code = "08P01"
)

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("database: %s: %s: %v", e.Operation, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func failure(operation string, code Code, format string, arguments ...any) *Error {
	return &Error{Operation: operation, Kind: code, Err: eris.Errorf(format, arguments...)}
}

// codeOf returns the code of an error, with SQLite errors told apart by their text.
func codeOf(err error) Code {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	text := err.Error()
	switch {
	case strings.Contains(text, "no such table"):
		return codeNoTable
	case strings.Contains(text, "UNIQUE constraint"):
		return codeUnique
	case strings.Contains(text, "constraint failed"):
		return codeConstraint
	case strings.Contains(text, "readonly"):
		return codeReadOnly
	case strings.Contains(text, "syntax error"), strings.Contains(text, "missing argument"):
		return codeSyntax
	}
	return codeInternal
}
