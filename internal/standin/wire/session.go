package wire

import (
	"errors"
	"io"
	"net"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const dialTimeout = time.Second

// Reply is the answer to one query of a caller.
type Reply struct {
	Rows      []string
	Signature string // of DONE
	Code      string // of ERROR
	State     string
	Ends      int // number of DONE and ERROR messages; one in a correct answer
}

// Session is one connection of a caller.
type Session struct {
	conn    net.Conn
	in      Reader
	timeout time.Duration
}

// OpenSession connects a caller. If the instance refuses the session, it returns the code and an error.
func OpenSession(address, database, key string, timeout time.Duration) (*Session, string, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, "", err
	}
	s := &Session{conn: conn, in: NewReader(conn), timeout: timeout}
	_ = conn.SetDeadline(time.Now().Add(timeout))
	line, err := "", error(nil)
	if _, err = io.WriteString(conn, "START "+database+" "+key+lineEnd); err == nil {
		line, err = s.in.Line()
	}
	if err != nil {
		s.Close()
		return nil, "", err
	}
	if word, rest, _ := strings.Cut(line, " "); word != "READY" {
		s.Close()
		code, _, _ := strings.Cut(rest, " ")
		return nil, code, eris.Errorf("session refused: %q", line)
	}
	return s, "", nil
}

// Close closes the connection.
func (s *Session) Close() { _ = s.conn.Close() }

// Query sends a query and reads its answer.
func (s *Session) Query(id, text string) (Reply, error) {
	_ = s.conn.SetDeadline(time.Now().Add(s.timeout))
	if _, err := io.WriteString(s.conn, "QUERY "+id+" "+text+lineEnd); err != nil {
		return Reply{}, err
	}
	var r Reply
	for {
		line, err := s.in.Line()
		if err != nil {
			return Reply{}, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			r.Rows = append(r.Rows, rest)
		case "DONE":
			r.Signature = rest
			r.Ends++
		case "ERROR":
			r.Code, _, _ = strings.Cut(rest, " ")
			r.Ends++
		case "READY":
			r.State, _, _ = strings.Cut(rest, " ")
			return r, nil
		default:
			return r, eris.Errorf("unknown message %q", line)
		}
	}
}

// ErrQuiet says that no message arrived while no request was outstanding.
var ErrQuiet = errors.New("no message")

// Stray waits for a message while no request is outstanding and returns it. Without one, the error is ErrQuiet, or the
// reason why the connection has ended.
func (s *Session) Stray(wait time.Duration) (string, error) {
	_ = s.conn.SetReadDeadline(time.Now().Add(wait))
	if _, err := s.in.in.Peek(1); err != nil {
		if isTimeout(err) {
			return "", ErrQuiet
		}
		return "", err
	}
	_ = s.conn.SetReadDeadline(time.Now().Add(s.timeout))
	return s.in.Line()
}
