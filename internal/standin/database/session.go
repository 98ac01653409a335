package database

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"tanagercross/internal/database/driver"
)

var (
	errAnswerDropped = errors.New("database: commit answer dropped on request")
	errTerminated    = errors.New("database: session terminated")
)

const positionParameter = "group_position"

// session serves one client connection.
type session struct {
	server  *Server
	conn    net.Conn
	backend *pgproto3.Backend

	organisation string
	idle         time.Duration // idle_session_timeout; 0 is none
	open         bool          // inside BEGIN
	readOnly     bool          // of the open transaction
	readDefault  bool          // default_transaction_read_only
	failed       bool          // a statement of the open transaction failed
	write        *transaction  // the open transaction's writes, if any
	position     driver.Position
	arrived      bool   // a message of a cycle has arrived since the last ReadyForQuery
	demotions    uint64 // of the server when the open transaction, or else the cycle, began
	observed     bool   // position belongs to a read or write since the last ReadyForQuery
	sent         driver.Position

	statements map[string][]command
	portals    map[string]*portal
	skip       bool // an extended-protocol error discards messages until Sync
}

// portal is a bound statement. It runs at its first Describe or Execute, because SQLite gives the columns only then.
type portal struct {
	commands  []command
	arguments []*string
	done      bool
	described bool
	result    result
	tag       string
}

func (s *Server) acceptClients() {
	for {
		conn, err := s.clients.Accept()
		if err != nil {
			return
		}
		if s.track(conn, true) {
			s.start(func() {
				s.serveClient(conn)
				s.untrack(conn)
			})
		}
	}
}

func (s *Server) serveClient(conn net.Conn) {
	c := &session{
		server: s, conn: conn, backend: pgproto3.NewBackend(conn, conn),
		statements: map[string][]command{}, portals: map[string]*portal{},
	}
	c.backend.SetMaxBodyLen(maximumMessage)
	if !c.startup() {
		return
	}
	admitted := s.admit()
	if !admitted {
		c.fatal(failure("connect", codeTooManyConnections, "sorry, too many clients already"))
		return
	}
	defer c.end()
	s.sleep(s.config.ConnectionDelay)
	c.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{{"server_version", "16.0"}, {"client_encoding", "UTF8"}, {"standard_conforming_strings", "on"}} {
		c.backend.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	c.backend.Send(&pgproto3.BackendKeyData{SecretKey: make([]byte, 4)})
	c.ready()
	for c.flush() == nil {
		message, err := c.receive()
		if err != nil {
			c.explain(err)
			return
		}
		if c.handle(message) != nil {
			return
		}
	}
}

// startup answers requests for encryption with a refusal and reports whether a session follows.
func (c *session) startup() bool {
	for {
		c.gates()
		message, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return false
		}
		switch message.(type) {
		case *pgproto3.StartupMessage:
			return true
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := c.conn.Write([]byte{'N'}); err != nil {
				return false
			}
		default:
			return false
		}
	}
}

func (s *Server) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connections >= s.config.ConnectionLimit {
		return false
	}
	s.connections++
	return true
}

// end releases what the session holds.
func (c *session) end() {
	c.rollback()
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.unlock()
	c.server.connections--
}

// unlock releases the session's advisory locks. It needs the server's mutex.
func (c *session) unlock() {
	for key, owner := range c.server.locks {
		if owner == c {
			delete(c.server.locks, key)
		}
	}
}

// gates holds the session back while the server is frozen or cut from its clients.
func (c *session) gates() {
	c.server.faults.frozen.wait(c.server.ctx.Done())
	c.server.faults.clientIn.wait(c.server.ctx.Done())
}

func (c *session) receive() (pgproto3.FrontendMessage, error) {
	deadline := time.Time{}
	if c.idle > 0 && !c.open {
		deadline = time.Now().Add(c.idle)
	}
	c.conn.SetReadDeadline(deadline)
	if c.server.stopping.Load() {
		c.conn.SetReadDeadline(time.Now())
	}
	message, err := c.backend.Receive()
	if !c.arrived && !c.open {
		c.demotions = c.server.demotionCount()
	}
	c.arrived = true
	c.gates()
	return message, err
}

// explain tells the client why the server ends an idle session.
func (c *session) explain(err error) {
	switch {
	case !errors.Is(err, os.ErrDeadlineExceeded):
	case c.server.stopping.Load():
		c.fatal(failure("session", codeShutdown, "terminating connection due to administrator command"))
	default:
		c.fatal(failure("session", codeIdleTimeout, "terminating connection due to idle-session timeout"))
	}
}

func (c *session) flush() error {
	c.server.faults.frozen.wait(c.server.ctx.Done())
	c.server.faults.clientOut.wait(c.server.ctx.Done())
	if c.server.ctx.Err() != nil {
		return errTerminated
	}
	return c.backend.Flush()
}

func (c *session) sendError(severity string, err error) {
	c.backend.Send(&pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: string(codeOf(err)), Message: err.Error(),
	})
}

func (c *session) fatal(err error) {
	c.sendError("FATAL", err)
	c.flush()
}

// fail reports a statement's error and marks the open transaction as failed.
func (c *session) fail(err error) {
	c.failed = c.open
	c.sendError("ERROR", err)
}

// ready ends a cycle: the position first, if it changed, then ReadyForQuery.
func (c *session) ready() {
	if !c.observed {
		c.position = c.server.Status().Last
	}
	c.observed, c.arrived = false, false
	if c.position != c.sent {
		c.sent = c.position
		c.backend.Send(&pgproto3.ParameterStatus{Name: positionParameter, Value: c.position.String()})
	}
	status := byte('I')
	switch {
	case c.failed:
		status = 'E'
	case c.open:
		status = 'T'
	}
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
}

// handle processes a message. An error ends the session.
func (c *session) handle(message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Query:
		return c.simple(m.String)
	case *pgproto3.Sync:
		c.skip = false
		c.ready()
		return nil
	case *pgproto3.Terminate:
		return errTerminated
	}
	if c.skip {
		return nil
	}
	err := c.extended(message)
	if err == nil {
		return nil
	}
	if errors.Is(err, errAnswerDropped) {
		return err
	}
	c.skip = true
	c.fail(err)
	return nil
}

func (c *session) simple(sql string) error {
	commands := split(sql)
	if len(commands) == 0 {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for _, command := range commands {
		r, tag, err := c.execute(command, nil)
		if errors.Is(err, errAnswerDropped) {
			return err
		}
		if err != nil {
			c.fail(err)
			break
		}
		if len(r.columns) > 0 {
			c.backend.Send(rowDescription(r.columns))
		}
		c.sendRows(r, tag)
	}
	c.ready()
	return nil
}

func (c *session) sendRows(r result, tag string) {
	for _, row := range r.rows {
		values := make([][]byte, len(row))
		for i, v := range row {
			if v != nil {
				values[i] = []byte(*v)
			}
		}
		c.backend.Send(&pgproto3.DataRow{Values: values})
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

func rowDescription(columns []string) *pgproto3.RowDescription {
	const textOID = 25
	fields := make([]pgproto3.FieldDescription, len(columns))
	for i, name := range columns {
		fields[i] = pgproto3.FieldDescription{Name: []byte(name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1}
	}
	return &pgproto3.RowDescription{Fields: fields}
}
