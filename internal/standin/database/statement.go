package database

import (
	"regexp"
	"strings"
)

// class tells how a statement is run.
type class int

const (
	classEmpty class = iota
	classRead
	classWrite
	classControl
	classRefused
)

var (
	wordPattern     = regexp.MustCompile(`^[a-zA-Z]+`)
	changePattern   = regexp.MustCompile(`(?i)\b(insert|update|delete|replace)\b`)
	functionPattern = regexp.MustCompile(`(?i)^select\s+(group_fence|group_promote|group_await|pg_try_advisory_lock)\s*\(([^()]*)\)$`)
)

// command is one statement of a client after parsing.
type command struct {
	text  string // without surrounding space and with SQLite parameters
	class class
	verb  string // upper-case first word
}

// split separates statements at semicolons and turns $n parameters into SQLite's ?n, both outside quotes and comments.
func split(sql string) []command {
	var commands []command
	var b strings.Builder
	flush := func() {
		if text := strings.TrimSpace(b.String()); text != "" {
			commands = append(commands, classify(text))
		}
		b.Reset()
	}
	for i := 0; i < len(sql); {
		n := quoted(sql[i:])
		switch {
		case n > 0:
			b.WriteString(sql[i : i+n])
		case strings.HasPrefix(sql[i:], "--"), strings.HasPrefix(sql[i:], "/*"):
			n = comment(sql[i:])
			b.WriteByte(' ')
		case sql[i] == ';':
			n = 1
			flush()
		case sql[i] == '$' && i+1 < len(sql) && sql[i+1] >= '1' && sql[i+1] <= '9':
			n = 1
			b.WriteByte('?')
		default:
			n = 1
			b.WriteByte(sql[i])
		}
		i += n
	}
	flush()
	return commands
}

// quoted returns the length of the quoted text at the start of s, or 0.
func quoted(s string) int {
	if s[0] != '\'' && s[0] != '"' {
		return 0
	}
	if end := strings.IndexByte(s[1:], s[0]); end >= 0 {
		return end + 2
	}
	return len(s)
}

// comment returns the length of the comment at the start of s.
func comment(s string) int {
	terminator := "\n"
	if s[1] == '*' {
		terminator = "*/"
	}
	if end := strings.Index(s[2:], terminator); end >= 0 {
		return 2 + end + len(terminator)
	}
	return len(s)
}

func classify(text string) command {
	c := command{text: text, verb: strings.ToUpper(wordPattern.FindString(text)), class: classRefused}
	switch c.verb {
	case "SELECT", "VALUES", "EXPLAIN":
		c.class = classRead
		if functionPattern.MatchString(text) {
			c.class = classControl
		}
	case "WITH":
		c.class = classRead
		if changePattern.MatchString(text) {
			c.class = classWrite
		}
	case "INSERT", "UPDATE", "DELETE", "REPLACE", "CREATE", "ALTER", "DROP":
		c.class = classWrite
	case "SET", "RESET", "SHOW", "BEGIN", "START", "COMMIT", "END", "ROLLBACK", "ABORT", "DISCARD":
		c.class = classControl
	}
	return c
}

// tag returns the text of CommandComplete.
func (c command) tag() string {
	switch c.verb {
	case "WITH", "VALUES", "EXPLAIN":
		return "SELECT"
	case "CREATE", "ALTER", "DROP":
		if fields := strings.Fields(c.text); len(fields) > 1 {
			return c.verb + " " + strings.ToUpper(fields[1])
		}
	case "START":
		return "BEGIN"
	case "END":
		return "COMMIT"
	case "ABORT":
		return "ROLLBACK"
	case "DISCARD":
		return "DISCARD ALL"
	}
	return c.verb
}

// counted reports whether the tag ends in a number of rows.
func (c command) counted() bool {
	switch c.verb {
	case "INSERT", "UPDATE", "DELETE", "REPLACE", "WITH", "SELECT", "VALUES", "EXPLAIN":
		return true
	}
	return false
}
