package postgres

import (
	"errors"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"

	"tanagercross/internal/database/driver"
)

// SQLSTATE codes that select the kind of an error or are handled by this package.
const (
	codeReadOnlyTransaction   = "25006"
	codeUniqueViolation       = "23505"
	codeUndefinedTable        = "42P01"
	codeTooManyConnections    = "53300"
	codeLockNotAvailable      = "55P03"
	codeStaleTerm             = "55000"
	codeSerializationFailure  = "40001"
	codeInsufficientPrivilege = "42501"
)

// codeOf returns the SQLSTATE code of an error that the server sent, and "" for any other error.
func codeOf(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Code
	}
	return ""
}

// serverError converts an error with which the server answered a statement.
func serverError(operation string, err *pgconn.PgError) *driver.Error {
	kind := driver.StatementRejected
	switch err.Code {
	case codeReadOnlyTransaction:
		kind = driver.NotPrimary
	case codeTooManyConnections:
		kind = driver.TooManyConnections
	case codeLockNotAvailable, codeSerializationFailure:
		kind = driver.Busy
	case codeStaleTerm:
		kind = driver.StaleTerm
	}
	return &driver.Error{Operation: operation, Kind: kind, Code: err.Code, Err: eris.Wrap(err, "server")}
}

// newError returns an error that this package detects itself.
func newError(operation string, kind driver.Kind, format string, arguments ...any) *driver.Error {
	return &driver.Error{Operation: operation, Kind: kind, Err: eris.Errorf(format, arguments...)}
}
