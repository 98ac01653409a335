package postgres

import (
	"regexp"
	"strconv"
	"strings"

	"tanagercross/internal/database/driver"
)

// Session and group control belongs to the proxy. A caller's statement that changed the organisation of a connection
// could reach another organisation's data.
var (
	allowedPattern   = regexp.MustCompile(`(?i)^\s*(select|with|values|insert|update|delete|replace|create|alter|drop)\b`)
	forbiddenPattern = regexp.MustCompile(`(?i)\b(group_[a-z]+|pg_[a-z_]*advisory[a-z_]*|set_config)\s*\(`)
)

// check refuses caller statements that control the session or the group.
func check(operation string, s driver.Statement) error {
	if allowedPattern.MatchString(s.SQL) && !forbiddenPattern.MatchString(s.SQL) {
		return nil
	}
	e := fault(operation, driver.StatementRejected, "statement not allowed")
	e.Code = codePrivilege
	return e
}

func statement(sql string, arguments ...string) driver.Statement {
	s := driver.Statement{SQL: sql}
	for _, a := range arguments {
		s.Arguments = append(s.Arguments, &a)
	}
	return s
}

// Transactions are read-only by default once a connection served a read, so a write names its access.
var (
	readOnly   = statement("SET default_transaction_read_only = on")
	beginWrite = statement("BEGIN READ WRITE")
	showStatus = statement("SHOW group_status")
)

func number(n uint64) string { return strconv.FormatUint(n, 10) }

// setOrganisation quotes the name, because SET takes no parameters.
func setOrganisation(name string) driver.Statement {
	return statement("SET organisation = '" + strings.ReplaceAll(name, "'", "''") + "'")
}

func (c *Conn) position() driver.Position {
	term, index, _ := strings.Cut(c.pg.ParameterStatus("group_position"), "/")
	return driver.Position{Term: parse(term), Index: parse(index)}
}

func parse(s string) uint64 {
	n, _ := strconv.ParseUint(s, 10, 64) // 0 is before every entry, so a malformed position is never eligible
	return n
}
