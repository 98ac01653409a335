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

// Bounds of a request id's age. A record is removed once its id is older than RecordAge. Ids are refused an hour before,
// which covers the longest deadline and the differences between clocks, so that no accepted id can have lost its record.
const (
	MaxRequestIDAge  = 23 * time.Hour
	MaxRequestIDSkew = 5 * time.Minute
	RecordRetention  = 24 * time.Hour
)

// OldestRecord returns the id before which records are removed. Ids begin with their time, in milliseconds.
func OldestRecordID(now time.Time) string {
	var id uuid.UUID
	var milliseconds [8]byte
	binary.BigEndian.PutUint64(milliseconds[:], uint64(now.Add(-RecordRetention).UnixMilli()))
	copy(id[:6], milliseconds[2:])
	return id.String()
}

// identify checks a request id, or makes one.
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
	// One form per id, because the record is found by the text.
	id = parsed.String()
	if requestIDOutOfRange(parsed, now) {
		return id, outcome.RequestExpired
	}
	return id, ""
}

func requestIDOutOfRange(id uuid.UUID, now time.Time) bool {
	var milliseconds [8]byte
	copy(milliseconds[2:], id[:6])
	createdAt := time.UnixMilli(int64(binary.BigEndian.Uint64(milliseconds[:])))
	return createdAt.Before(now.Add(-MaxRequestIDAge)) || createdAt.After(now.Add(MaxRequestIDSkew))
}

// fingerprint hashes what makes two requests the same. Every part is prefixed by its length, and NULL differs from "".
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

// checkStatement refuses statements that act on the connection instead of the organisation's data. The proxy itself
// sets the organisation and controls transactions.
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

// reservedNames are parts of the names of functions with which the proxy controls connections, lanes and groups. They
// are refused anywhere in the text; data that contains them goes into arguments.
var reservedNames = []string{"set_config", "advisory_", "group_fence", "group_promote", "group_await", "tanagercross_request"}

// firstWord returns the first word of a statement after white space, semicolons, parentheses and comments.
func firstWord(sql string) string {
	for {
		sql = strings.TrimLeftFunc(sql, func(r rune) bool { return unicode.IsSpace(r) || r == ';' || r == '(' })
		switch {
		case strings.HasPrefix(sql, "--"):
			_, sql, _ = strings.Cut(sql, "\n")
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

// afterComment skips a block comment; PostgreSQL's comments nest.
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
