package wire

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/statement"
	"tanagercross/internal/standin/cluster"
)

// darkFor is how long a server that answers nothing keeps a connection.
const darkFor = 3 * time.Second

// codes are the error words of a server.
var codes = map[statement.Code]string{
	statement.Busy: "BUSY", statement.Behind: "LAGGING", statement.ReadOnly: "READONLY", statement.NoStatement: "NOSTMT",
	statement.Malformed: "MALFORMED", statement.Failed: "FAILED",
}

// server speaks the line protocol on behalf of one server of the cluster.
type server struct {
	platform *Platform
	id       string
	listener net.Listener
	proxy    *Proxy

	mu   sync.Mutex
	open map[net.Conn]bool
}

func (p *Platform) listen(id string) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen for "+id)
	}
	s := &server{platform: p, id: id, listener: l, open: map[net.Conn]bool{}}
	if s.proxy, err = NewProxy(l.Addr().String()); err != nil {
		return nil, err
	}
	p.running.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	})
	return s, nil
}

func (s *server) stop() {
	_ = s.listener.Close()
	s.proxy.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.open {
		_ = conn.Close()
	}
}

func (s *server) keep(conn net.Conn, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open {
		s.open[conn] = true
		return
	}
	delete(s.open, conn)
}

func (s *server) serve(raw net.Conn) {
	s.keep(raw, true)
	defer s.keep(raw, false)
	defer func() { _ = raw.Close() }()
	in := NewReader(raw)
	out, number := s.platform.newAnswerer(raw)
	start, err := in.Line()
	if err != nil {
		return
	}
	fields := Fields(start, 4)
	if len(fields) < 3 || fields[0] != "START" || !strings.HasPrefix(s.id, fields[1]+"-") || len(fields) > 3 && fields[3] != s.id {
		out.send("ERROR MISROUTED another server" + lineEnd)
		return
	}
	ctx, cancel := context.WithTimeout(s.platform.ctx, darkFor)
	defer cancel()
	conn, position, err := s.platform.cluster.Dialer("wire").Dial(ctx, statement.Target{Server: s.id, Organisation: fields[2]})
	if err != nil {
		return
	}
	defer conn.Close()
	if !out.send("READY I " + positionText(position) + lineEnd) {
		return
	}
	state := newConnState()
	for {
		line, err := in.Line()
		if err != nil || line == "BYE" {
			return
		}
		record := Record{Server: s.id, Connection: number, Organisation: fields[2]}
		reply, err := s.answer(conn, out, state, line, &record)
		record.Lost = err != nil
		kept := s.platform.record(record) // before the caller can have the answer
		if err != nil {
			return
		}
		if !out.send(reply) {
			s.platform.lose(kept)
			return
		}
	}
}

// answer runs one query line. It fills in the record of a statement, and leaves it without an id for a report.
func (s *server) answer(conn statement.Conn, out *answerer, state *connState, line string, record *Record) (string, error) {
	query := Fields(line, 3)
	if len(query) != 3 || query[0] != "QUERY" {
		return "", eris.Errorf("not a query: %q", line)
	}
	id, text := query[1], query[2]
	deadline := time.Now().Add(darkFor)
	if c, ok := reportCommand(text); ok {
		r, err := conn.Report(deadline, c)
		if err != nil {
			return "", err
		}
		return reportText(r), nil
	}
	record.ID, record.Text = id, text
	state.describe(record)
	c, err := command(id, text)
	if err != nil {
		record.Code = "MALFORMED"
		s.platform.cluster.Fault("%s got %q: %v", s.id, line, err)
		return "ERROR MALFORMED unknown statement" + lineEnd + "READY I -" + lineEnd, nil
	}
	var a statement.Answer
	if refuser, ok := conn.(cluster.Refuser); ok && out.busy(Fields(record.Statement(), 2)[0]) {
		a = refuser.Refuse(statement.Busy)
	} else {
		answers, err := conn.Run(deadline, c)
		if err != nil {
			return "", err
		}
		a = answers[0]
	}
	if a.Signature != "" {
		a.Signature = s.platform.sign(a.Signature)
	}
	state.apply(record.Statement(), a)
	record.Rows, record.Signature, record.Code = a.Rows, a.Signature, codeWord(a.Code)
	return answerText(a), nil
}

// sign returns a signature that no other statement gets.
func (p *Platform) sign(server string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.signatures++
	return fmt.Sprintf("%s.%x", server, p.signatures)
}

func reportText(r statement.Report) string {
	role := "replica"
	if r.Role == driver.Primary {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %s %d 0 0 1\r\nDONE -\r\nREADY I %s\r\n", role, r.Term, positionText(r.Received), r.HeldTerm,
		positionText(r.Received))
}

func reportCommand(text string) (statement.Command, bool) {
	verb, field, _ := strings.Cut(text, " ")
	term, _ := strconv.ParseUint(field, 10, 64)
	switch verb {
	case "STATUS":
		return statement.Status{}, true
	case "PAUSE":
		return statement.PauseReplication{Term: term}, true
	case "RESUME":
		return statement.ResumeReplication{}, true
	case "DEMOTE":
		return statement.Demote{Term: term}, true
	}
	return nil, false
}

func command(id, text string) (statement.Command, error) {
	after := driver.Position{}
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		var position string
		position, text, _ = strings.Cut(rest, " ")
		term, index, _ := strings.Cut(position, ".")
		var err, indexErr error
		after.Term, err = strconv.ParseUint(term, 10, 64)
		after.Index, indexErr = strconv.ParseUint(index, 10, 64)
		if err != nil || indexErr != nil {
			return nil, eris.Errorf("position %q", position)
		}
	}
	verb, rest, _ := strings.Cut(text, " ")
	name, arguments, _ := strings.Cut(rest, " ")
	switch verb {
	case "RESET":
		return statement.Reset{}, nil
	case "SET":
		return statement.SetValue{Value: statement.Value{Name: name, Value: arguments}}, nil
	case "PREPARE":
		kind, shape, _ := strings.Cut(arguments, " ")
		return statement.PrepareStatement{Preparation: statement.Preparation{Name: name, Writes: kind == "WRITE", Shape: shape}}, nil
	case "BEGIN":
		return statement.OpenTransaction{ReadOnly: rest == "READ", After: after}, nil
	case "ROLLBACK":
		return statement.CloseTransaction{}, nil
	}
	if id == "-" {
		return nil, eris.Errorf("a statement of callers without an id: %q", text)
	}
	switch verb {
	case "READ":
		return statement.Forward{ID: id, Body: statement.Read{Arguments: rest}, After: after}, nil
	case "WRITE":
		return statement.Forward{ID: id, Body: statement.Write{Arguments: rest}}, nil
	case "EXECUTE":
		return statement.Forward{ID: id, Body: statement.Execute{Name: name, Arguments: arguments}, After: after}, nil
	case "COMMIT":
		return statement.Forward{ID: id, Body: statement.Commit{}}, nil
	}
	return nil, eris.Errorf("unknown statement %q", text)
}

// codeWord returns the word of a code, and nothing for success.
func codeWord(c statement.Code) string {
	if word, ok := codes[c]; ok || c == "" {
		return word
	}
	return "FAILED"
}

func answerText(a statement.Answer) string {
	var b strings.Builder
	for _, r := range a.Rows {
		b.WriteString("ROW " + r + "\r\n")
	}
	switch {
	case a.Code != "":
		b.WriteString("ERROR " + codeWord(a.Code) + " " + string(a.Code) + "\r\n")
	case a.Signature == "":
		b.WriteString("DONE -\r\n")
	default:
		b.WriteString("DONE " + a.Signature + "\r\n")
	}
	state := map[statement.State]string{statement.Idle: "I", statement.InTransaction: "T", statement.FailedTransaction: "E"}[a.State]
	b.WriteString("READY " + state + " " + positionText(a.Position) + "\r\n")
	return b.String()
}

func positionText(p driver.Position) string { return fmt.Sprintf("%d.%d", p.Term, p.Index) }
