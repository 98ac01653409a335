package callersession

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"tanagercross/internal/database/statement"
)

// handleLocally answers statements that change only the session: Set, Prepare and Deallocate.
func (s *Session) handleLocally(q statement.Query) statement.Answer {
	switch b := q.Body.(type) {
	case statement.Set:
		if !s.setValue(b) {
			return s.refuse(q, statement.TooLarge, "too many or too long session values")
		}
	case statement.Prepare:
		if !s.prepare(b) {
			return s.refuse(q, statement.TooLarge, "too many or too long prepared statements")
		}
	case statement.Deallocate:
		s.stateBytes -= s.preparedBytes(b.Name)
		delete(s.prepared, b.Name)
	}
	return statement.Answer{Delivery: statement.Answered, State: s.state}
}

// StateBytes returns the bytes of the session's values, shapes and names.
func (s *Session) StateBytes() int { return s.stateBytes }

// preparedBytes returns the bytes of a prepared statement and its name, and 0 if there is none.
func (s *Session) preparedBytes(name string) int {
	p, known := s.prepared[name]
	if !known {
		return 0
	}
	return len(name) + len(p.Shape)
}

// prepare adds a prepared statement. It returns false if a limit is exceeded.
func (s *Session) prepare(b statement.Prepare) bool {
	_, known := s.prepared[b.Name]
	bytes := s.stateBytes - s.preparedBytes(b.Name) + len(b.Name) + len(b.Shape)
	if !known && len(s.prepared) >= maxPrepared || len(b.Shape) > maxValueBytes || len(b.Name) > maxNameBytes || bytes > maxStateBytes {
		return false
	}
	s.prepared[strings.Clone(b.Name)] = statement.Preparation{
		Name: preparedName(b), Writes: b.Writes, Shape: strings.Clone(b.Shape),
	}
	s.stateBytes = bytes
	return true
}

// setValue sets a session value. It returns false if a limit is exceeded. It builds a new list, because calls that are
// still running share the old one.
func (s *Session) setValue(b statement.Set) bool {
	values := make([]statement.Value, 0, len(s.values)+1)
	bytes := s.stateBytes + len(b.Name) + len(b.Value)
	for _, v := range s.values {
		if v.Name == b.Name {
			bytes -= len(v.Name) + len(v.Value)
			continue
		}
		values = append(values, v)
	}
	if len(values) >= maxValues || len(b.Value) > maxValueBytes || len(b.Name) > maxNameBytes || bytes > maxStateBytes {
		return false
	}
	// Name and value are parts of a line, which would be kept as a whole.
	s.values = append(values, statement.Value{Name: strings.Clone(b.Name), Value: strings.Clone(b.Value)})
	s.stateBytes = bytes
	return true
}

// preparedName returns the name under which a statement is prepared on servers. It is the same for all sessions that
// prepare the same shape, so that they share the prepared statements of a server connection. The hash is cryptographic,
// because a caller could construct two shapes with the same short hash, and one would run in place of the other.
func preparedName(p statement.Prepare) string {
	kind := "r"
	if p.Writes {
		kind = "w"
	}
	hash := sha256.Sum256([]byte(p.Shape))
	return kind + hex.EncodeToString(hash[:preparedHashBytes])
}
