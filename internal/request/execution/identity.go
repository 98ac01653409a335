package execution

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
	"time"
	"unicode"

	"github.com/google/uuid"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/session/outcome"
)

// Bounds of the age of a request id. The record of a write is removed once its id is older than RecordRetention. Ids
// are refused an hour earlier, which covers the longest deadline and the differences between clocks, so that the record
// of an accepted id has not been removed.
const (
	MaxRequestIDAge  = 23 * time.Hour
	MaxRequestIDSkew = 5 * time.Minute
	RecordRetention  = 24 * time.Hour
)

// OldestRecordID returns the request id before which records are removed. Request ids are UUIDv7, which begin with
// their creation time in milliseconds.
func OldestRecordID(now time.Time) string {
	var id uuid.UUID
	var milliseconds [8]byte
	binary.BigEndian.PutUint64(milliseconds[:], uint64(now.Add(-RecordRetention).UnixMilli()))
	copy(id[:6], milliseconds[2:])
	return id.String()
}

// resolveRequestID checks a request id and returns its canonical text. It generates an id if the caller gave none.
func resolveRequestID(id string, now time.Time) (string, outcome.Reason) {
	if id == "" {
		generated, err := uuid.NewV7()
		if err != nil {
			return "", outcome.RequestInvalid
		}
		return generated.String(), ""
	}
	parsed, err := uuid.Parse(id)
	if err != nil || parsed.Version() != 7 || parsed.Variant() != uuid.RFC4122 {
		return id, outcome.RequestInvalid
	}
	// The record is found by the text of the id, so every spelling of an id must give the same text.
	id = parsed.String()
	if requestIDOutOfRange(parsed, now) {
		return id, outcome.RequestExpired
	}
	return id, ""
}

// requestIDOutOfRange reports whether an id is older than MaxRequestIDAge or more than MaxRequestIDSkew in the future.
func requestIDOutOfRange(id uuid.UUID, now time.Time) bool {
	var milliseconds [8]byte
	copy(milliseconds[2:], id[:6])
	createdAt := time.UnixMilli(int64(binary.BigEndian.Uint64(milliseconds[:])))
	return createdAt.Before(now.Add(-MaxRequestIDAge)) || createdAt.After(now.Add(MaxRequestIDSkew))
}

// fingerprint hashes the content of a write, so that a request id that is reused for another write is detected. Each
// part is prefixed by its length, and NULL differs from "", so that different writes give different hash inputs.
func fingerprint(organisation, group, text string, arguments []*string) string {
	h := sha256.New()
	writePart := func(present byte, s string) {
		var prefix [9]byte
		prefix[0] = present
		binary.BigEndian.PutUint64(prefix[1:], uint64(len(s)))
		h.Write(prefix[:])
		h.Write([]byte(s))
	}
	writePart(1, organisation)
	writePart(1, group)
	writePart(1, text)
	for _, a := range arguments {
		if a == nil {
			writePart(0, "")
			continue
		}
		writePart(1, *a)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// checkStatement refuses statements that change the state of the connection instead of the organisation's data. Only
// the proxy may set the organisation of a connection and control its transactions.
func checkStatement(s driver.Statement) outcome.Reason {
	switch strings.ToLower(firstWord(s.SQL)) {
	case "", "begin", "start", "commit", "end", "rollback", "abort", "prepare", "set", "reset", "discard", "listen",
		"unlisten", "deallocate", "do", "execute", "copy":
		return outcome.RequestInvalid
	}
	lower := strings.ToLower(s.SQL)
	for _, name := range reservedNames {
		if strings.Contains(lower, name) {
			return outcome.RequestInvalid
		}
	}
	return ""
}

// reservedNames are parts of the names of the functions and the table with which the proxy controls connections, lanes,
// groups and request records. They are refused anywhere in the text of a statement, also in literals; data that
// contains them is passed as arguments.
var reservedNames = []string{"set_config", "advisory_", "group_fence", "group_promote", "group_await", "tanagercross_request"}

// firstWord returns the first word of a statement, skipping white space, semicolons, opening parentheses and comments.
func firstWord(sql string) string {
	for {
		sql = strings.TrimLeftFunc(sql, func(r rune) bool { return unicode.IsSpace(r) || r == ';' || r == '(' })
		switch {
		case strings.HasPrefix(sql, "--"):
			sql = afterLine(sql)
		case strings.HasPrefix(sql, "/*"):
			sql = afterComment(sql)
		default:
			end := strings.IndexFunc(sql, func(r rune) bool { return !unicode.IsLetter(r) })
			if end < 0 {
				return sql
			}
			return sql[:end]
		}
	}
}

// afterLine returns the text from the end of the first line on. PostgreSQL ends a comment at a CR as well as at an LF.
func afterLine(sql string) string {
	end := strings.IndexAny(sql, "\r\n")
	if end < 0 {
		return ""
	}
	return sql[end:]
}

// afterComment returns the text after the block comment at its start, or "" if the comment has no end. Block comments
// nest in PostgreSQL.
func afterComment(sql string) string {
	depth := 0
	for i := 0; i+1 < len(sql); {
		switch sql[i : i+2] {
		case "/*":
			depth++
			i += 2
		case "*/":
			depth--
			i += 2
			if depth == 0 {
				return sql[i:]
			}
		default:
			i++
		}
	}
	return ""
}
