package postgres

import (
	"errors"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"

	"tanagercross/internal/database/driver"
)

// SQLSTATE codes with a meaning of their own.
const (
	codeReadOnly           = "25006"
	codeUnique             = "23505"
	codeNoTable            = "42P01"
	codeTooManyConnections = "53300"
	codeLockTimeout        = "55P03"
	codeStaleTerm          = "55000"
	codeRetry              = "40001"
	codePrivilege          = "42501"
)

func codeOf(err error) string {
	var p *pgconn.PgError
	if errors.As(err, &p) {
		return p.Code
	}
	return ""
}

// refusal converts an error that the server sent as the answer to a statement.
func refusal(operation string, err *pgconn.PgError) *driver.Error {
	kind := driver.StatementRejected
	switch err.Code {
	case codeReadOnly:
		kind = driver.NotPrimary
	case codeTooManyConnections:
		kind = driver.TooManyConnections
	case codeLockTimeout, codeRetry:
		kind = driver.Busy
	case codeStaleTerm:
		kind = driver.StaleTerm
	}
	return &driver.Error{Operation: operation, Kind: kind, Code: err.Code, Err: eris.Wrap(err, "server")}
}

func fault(operation string, kind driver.Kind, format string, arguments ...any) *driver.Error {
	return &driver.Error{Operation: operation, Kind: kind, Err: eris.Errorf(format, arguments...)}
}
