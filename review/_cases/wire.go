package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	lineEnd  = "\r\n"
	workTime = 3 * time.Millisecond // of a read, write or commit
)

// readLine reads a line without its end.
func readLine(r *bufio.Reader) (string, error) {
	line := ""
	for {
		part, err := r.ReadString('\n')
		if err != nil {
			return "", err
		}
		if line += part; strings.HasSuffix(line, lineEnd) {
			return strings.TrimSuffix(line, lineEnd), nil
		}
	}
}

func (s *server) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

// dbSession is a connection to a server.
type dbSession struct {
	s        *server
	who      string
	prepared map[string]string // READ or WRITE, by name
	state    string            // I, T or E
	readOnly bool
	term     uint64 // of the transaction
	pending  []commit
	busy     atomic.Bool // the next BEGIN is answered with BUSY
}

func (s *server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	s.g.mu.Lock()
	up := s.up
	if up {
		s.conns[conn] = struct{}{}
	}
	s.g.mu.Unlock()
	if !up {
		return
	}
	defer func() {
		s.g.mu.Lock()
		delete(s.conns, conn)
		s.g.mu.Unlock()
	}()
	r, out := bufio.NewReader(conn), &answerWriter{conn: conn}
	start, err := readLine(r)
	if err != nil {
		return
	}
	f := strings.Split(start, " ")
	if len(f) < 3 || f[0] != "START" || f[1] != s.g.name || len(f) > 3 && f[3] != s.id {
		_, _ = io.WriteString(conn, "ERROR MISROUTED "+s.id+lineEnd)
		return
	}
	d := &dbSession{s: s, who: f[2], prepared: map[string]string{}, state: "I"}
	if _, err := io.WriteString(conn, d.ready()); err != nil {
		return
	}
	for {
		line, err := readLine(r)
		if err != nil || line == "BYE" {
			return
		}
		word, rest, _ := strings.Cut(line, " ")
		id, text, _ := strings.Cut(rest, " ")
		if word != "QUERY" {
			return
		}
		answer, ok := d.query(id, text)
		if !ok {
			return
		}
		answer += d.ready()
		if !out.write(answer) {
			return
		}
		if text == "BEGIN" && d.state == "T" && s.g.takeRepetition(d.who) {
			time.AfterFunc(repetitionDelay, func() {
				s.g.record.printf("server %s sends an answer to %s again: %q", s.id, d.who, answer)
				out.write(answer)
				d.busy.Store(true)
			})
		}
	}
}

// repetitionDelay is how late an answer comes that is sent a second time.
const repetitionDelay = 150 * time.Millisecond

// answerWriter writes each answer as a whole.
type answerWriter struct {
	mu   sync.Mutex
	conn net.Conn
}

func (w *answerWriter) write(answer string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, err := io.WriteString(w.conn, answer)
	return err == nil
}

func (d *dbSession) ready() string {
	d.s.g.mu.Lock()
	defer d.s.g.mu.Unlock()
	return "READY " + d.state + " " + d.s.position() + lineEnd
}

func done(signature string) string { return "DONE " + signature + lineEnd }

// refuse answers with an error and fails the transaction, if one is open.
func (d *dbSession) refuse(code string) string {
	if d.state == "T" {
		d.state, d.pending = "E", nil
	}
	return "ERROR " + code + " " + d.s.id + lineEnd
}

func (d *dbSession) sign() string {
	d.s.g.mu.Lock()
	defer d.s.g.mu.Unlock()
	d.s.g.signatures++
	return fmt.Sprintf("%s.%x", d.s.id, d.s.g.signatures)
}

// query runs one query. It returns false if the server has crashed or lost the lead before an acknowledgement.
func (d *dbSession) query(id, text string) (string, bool) {
	verb, rest, _ := strings.Cut(text, " ")
	if answer, ok := d.command(verb, rest); ok {
		return answer, true
	}
	if verb == "AFTER" {
		position, after, _ := strings.Cut(rest, " ")
		if !d.holds(position) {
			return d.refuse("LAGGING"), true
		}
		text = after
		verb, rest, _ = strings.Cut(text, " ")
	}
	switch verb {
	case "RESET":
		clear(d.prepared)
		return done("-"), true
	case "SET", "DEALLOCATE":
		return done("-"), true
	case "PREPARE":
		f := strings.SplitN(rest, " ", 3)
		d.prepared[f[0]] = f[1]
		return done("-"), true
	case "BEGIN":
		return d.begin(rest == "READ"), true
	case "ROLLBACK":
		d.state, d.pending = "I", nil
		return done("-"), true
	}
	time.Sleep(workTime)
	if d.state == "E" {
		return d.refuse("MALFORMED"), true
	}
	return d.work(id, verb, rest)
}

// begin opens a transaction.
func (d *dbSession) begin(readOnly bool) string {
	if d.busy.CompareAndSwap(true, false) {
		d.s.g.record.printf("server %s answers a BEGIN for %s with BUSY", d.s.id, d.who)
		return d.refuse("BUSY")
	}
	d.s.g.mu.Lock()
	leads, term := d.s.role == primaryRole, d.s.term
	d.s.g.mu.Unlock()
	if !readOnly && !leads {
		return d.refuse("READONLY")
	}
	d.state, d.readOnly, d.term, d.pending = "T", readOnly, term, nil
	return done("-")
}

// work runs a read, write or commit.
func (d *dbSession) work(id, verb, rest string) (string, bool) {
	kind := verb
	if verb == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		if kind = d.prepared[name]; kind == "" {
			return d.refuse("NOSTMT"), true
		}
		rest = arguments
	}
	item, data, _ := strings.Cut(rest, " ")
	d.s.g.mu.Lock()
	up, leads, term := d.s.up, d.s.role == primaryRole, d.s.term
	d.s.g.mu.Unlock()
	inside := d.state == "T"
	if up {
		d.s.g.noteRun(d.s.id, id, verb, inside)
	}
	lost := inside && !d.readOnly && (!leads || term != d.term)
	switch {
	case !up:
		return "", false
	case lost && (kind != "COMMIT" || len(d.pending) > 0):
		return d.refuse("READONLY"), true
	case kind == "READ":
		return d.read(item) + done(d.sign()), true
	case kind == "WRITE" && !leads:
		return d.refuse("READONLY"), true
	case kind == "WRITE" && inside:
		d.pending = append(d.pending, commit{id: id, item: item, data: data})
		return done(d.sign()), true
	case kind == "WRITE":
		return d.finish(term, []commit{{id: id, item: item, data: data}})
	case kind == "COMMIT" && inside:
		pending := d.pending
		d.state, d.pending = "I", nil
		if len(pending) == 0 {
			return done(d.sign()), true
		}
		return d.finish(d.term, pending)
	}
	return d.refuse("MALFORMED"), true
}

func (d *dbSession) finish(term uint64, entries []commit) (string, bool) {
	if !d.s.commit(term, entries) {
		return "", false
	}
	return done(d.sign()), true
}

// read returns the row of an item.
func (d *dbSession) read(item string) string {
	d.s.g.mu.Lock()
	defer d.s.g.mu.Unlock()
	for n := len(d.s.log) - 1; n >= 0; n-- {
		if d.s.log[n].item == item {
			return "ROW " + d.s.log[n].data + lineEnd
		}
	}
	return "ROW none" + lineEnd
}

// holds reports whether the server's log has a position.
func (d *dbSession) holds(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	t, _ := strconv.ParseUint(term, 10, 64)
	n, _ := strconv.ParseUint(number, 10, 64)
	d.s.g.mu.Lock()
	defer d.s.g.mu.Unlock()
	if len(d.s.log) == 0 {
		return n == 0
	}
	last := d.s.log[len(d.s.log)-1]
	return last.term > t || last.term == t && last.number >= n
}

// command runs a command of the system's own that is answered with a report.
func (d *dbSession) command(verb, rest string) (string, bool) {
	s := d.s
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	term, _ := strconv.ParseUint(rest, 10, 64)
	switch verb {
	case "STATUS":
	case "PAUSE":
		if s.role == replicaRole && term > s.term {
			s.held = term
		}
	case "RESUME":
		if s.role == replicaRole {
			s.held = 0
		}
	case "DEMOTE":
		if s.role == primaryRole && s.term < term {
			s.role = replicaRole
		}
	default:
		return "", false
	}
	if verb != "STATUS" {
		s.g.record.printf("server %s gets %s %s: %s, log up to %s, held %d", s.id, verb, rest, s.role, s.position(), s.held)
	}
	return fmt.Sprintf("ROW %s %d %s %d 0 0 %d\r\nDONE -\r\n", s.role, s.term, s.position(), s.held, len(s.conns)), true
}
