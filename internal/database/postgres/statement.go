package postgres

import (
	"regexp"
	"strconv"
	"strings"

	"tanagercross/internal/database/driver"
)

// Callers may not control the session or the group: a statement that changed the organisation of a connection could
// reach another organisation's data. Statements must start with an allowed keyword and must not call a forbidden
// function.
var (
	allowedPattern   = regexp.MustCompile(`(?i)^\s*(select|with|values|insert|update|delete|replace|create|alter|drop)\b`)
	forbiddenPattern = regexp.MustCompile(`(?i)\b(group_[a-z]+|pg_[a-z_]*advisory[a-z_]*|set_config)\s*\(`)
)

// checkAllowed returns an error of kind StatementRejected for a caller's statement that could control the session or
// the group.
func checkAllowed(operation string, s driver.Statement) error {
	if allowedPattern.MatchString(s.SQL) && !forbiddenPattern.MatchString(s.SQL) {
		return nil
	}
	e := newError(operation, driver.StatementRejected, "statement not allowed")
	e.Code = codeInsufficientPrivilege
	return e
}

// newStatement returns a statement with arguments that are not NULL.
func newStatement(sql string, arguments ...string) driver.Statement {
	s := driver.Statement{SQL: sql}
	for _, a := range arguments {
		s.Arguments = append(s.Arguments, &a)
	}
	return s
}

// Read makes transactions of the session read-only by default, so a transaction that writes states READ WRITE.
var (
	setReadOnly = newStatement("SET default_transaction_read_only = on")
	beginWrite  = newStatement("BEGIN READ WRITE")
	showStatus  = newStatement("SHOW group_status")
)

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

// setOrganisation returns the statement that selects the data of an organisation. The name is quoted in the text,
// because SET takes no parameters.
func setOrganisation(name string) driver.Statement {
	return newStatement("SET organisation = '" + strings.ReplaceAll(name, "'", "''") + "'")
}

// position returns the log position that the server reported last, as a session parameter.
func (c *Conn) position() driver.Position {
	term, index, _ := strings.Cut(c.pg.ParameterStatus("group_position"), "/")
	return driver.Position{Term: parseUint(term), Index: parseUint(index)}
}

// parseUint parses a decimal number and returns 0 for any other text.
func parseUint(s string) uint64 {
	n, _ := strconv.ParseUint(s, 10, 64) // 0 is before every log entry, so a malformed position satisfies no required one
	return n
}
