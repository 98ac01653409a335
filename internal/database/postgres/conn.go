package postgres

import (
	"context"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"tanagercross/internal/database/driver"
)

// Conn is a connection to one server. It implements driver.Conn.
type Conn struct {
	pg     *pgconn.PgConn
	server string
	closed bool
}

// execAll runs the statements in one round trip. If the server refuses one, it returns the results of those before it
// and an error.
func (c *Conn) execAll(ctx context.Context, operation string, statements ...driver.Statement) ([]*pgconn.Result, error) {
	a, err := c.runPipeline(ctx, operation, statements...)
	if err != nil {
		return nil, err
	}
	if a.refused != nil {
		return a.results, serverError(operation, a.refused)
	}
	return a.results, nil
}

// Status implements driver.Conn.
func (c *Conn) Status(ctx context.Context) (driver.Status, error) {
	return c.status(ctx, "status", newStatement("SHOW group_status"))
}

// status runs a statement that returns a status row.
func (c *Conn) status(ctx context.Context, operation string, s driver.Statement) (driver.Status, error) {
	results, err := c.execAll(ctx, operation, s)
	if err != nil {
		return driver.Status{}, err
	}
	return parseStatus(operation, results[0])
}

// parseStatus converts a status row by its column names. Unknown columns are ignored.
func parseStatus(operation string, r *pgconn.Result) (driver.Status, error) {
	if len(r.Rows) != 1 {
		return driver.Status{}, newError(operation, driver.StatementRejected, "%d status rows", len(r.Rows))
	}
	var s driver.Status
	for i, f := range r.FieldDescriptions {
		value := string(r.Rows[0][i])
		switch f.Name {
		case "server":
			s.Server = value
		case "role":
			s.Role = driver.Role(value)
		case "term":
			s.Term = parseUint(value)
		case "holder":
			s.Holder = value
		case "log_term":
			s.Last.Term = parseUint(value)
		case "log_index":
			s.Last.Index = parseUint(value)
		case "primary":
			s.Primary = value
		case "primary_contact_ms":
			s.PrimaryContact = time.Duration(parseUint(value)) * time.Millisecond
		case "replicated_index":
			s.ReplicatedIndex = parseUint(value)
		}
	}
	return s, nil
}

const readStatusIndex = 2 // index of SHOW group_status in the pipeline of a read

// Read implements driver.Conn. It makes the session read-only, so that the server refuses a write that is sent as a
// read; such a write would run without a request record.
func (c *Conn) Read(ctx context.Context, organisation string, atLeast driver.Position, s driver.Statement) (driver.Result, error) {
	const operation = "read"
	if err := checkAllowed(operation, s); err != nil {
		return driver.Result{}, err
	}
	a, err := c.runPipeline(ctx, operation, setOrganisation(organisation), setReadOnly, showStatus, s)
	if err != nil {
		return driver.Result{}, err
	}
	if len(a.results) > readStatusIndex {
		status, err := parseStatus(operation, a.results[readStatusIndex])
		if err != nil {
			return driver.Result{}, err
		}
		if status.Last.Compare(atLeast) < 0 {
			return driver.Result{}, newError(operation, driver.Behind, "server is at position %s, %s required", status.Last, atLeast)
		}
	}
	if a.refused != nil {
		e := serverError(operation, a.refused)
		if e.Kind == driver.NotPrimary {
			e.Kind = driver.StatementRejected // the statement is a write; it would fail as a read on every server
		}
		return driver.Result{}, e
	}
	return c.toResult(a.results[readStatusIndex+1]), nil
}

// LookupRecord implements driver.Conn. A missing table of records means that no record exists.
func (c *Conn) LookupRecord(ctx context.Context, organisation, requestID string) (driver.RecordState, error) {
	const operation = "recorded"
	a, err := c.runPipeline(ctx, operation, setOrganisation(organisation), newStatement(selectRecord, requestID))
	switch {
	case err != nil:
		return driver.RecordState{}, err
	case a.refused != nil && a.refused.Code == codeUndefinedTable:
		return driver.RecordState{Position: c.position()}, nil
	case a.refused != nil:
		return driver.RecordState{}, serverError(operation, a.refused)
	}
	return c.recordState(operation, a.results[1])
}

// Await implements driver.Conn. The server waits, so that the answer takes one round trip.
func (c *Conn) Await(ctx context.Context, p driver.Position, timeout time.Duration) error {
	const operation = "await"
	ms := strconv.FormatInt(timeout.Milliseconds(), 10)
	results, err := c.execAll(ctx, operation, newStatement("SELECT group_await($1,$2,$3)", formatUint(p.Term), formatUint(p.Index), ms))
	if err != nil {
		return err
	}
	if !isTrue(results[0]) {
		return newError(operation, driver.NotReplicated, "no majority holds position %s after %s", p, timeout)
	}
	return nil
}

// Fence implements driver.Conn.
func (c *Conn) Fence(ctx context.Context, term uint64, holder string) (driver.Status, error) {
	return c.status(ctx, "fence", newStatement("SELECT group_fence($1,$2)", formatUint(term), holder))
}

// Promote implements driver.Conn.
func (c *Conn) Promote(ctx context.Context, term uint64, holder string) (driver.Status, error) {
	return c.status(ctx, "promote", newStatement("SELECT group_promote($1,$2)", formatUint(term), holder))
}

// TryLane implements driver.Conn. It also makes the server close the connection, and so release the lock, after 6 s
// of silence.
func (c *Conn) TryLane(ctx context.Context, lane int) (bool, error) {
	idle := strconv.FormatInt(laneIdleTimeout.Milliseconds(), 10)
	results, err := c.execAll(ctx, "try_lane", newStatement("SET idle_session_timeout = "+idle),
		newStatement("SELECT pg_try_advisory_lock($1)", strconv.Itoa(lane)))
	if err != nil {
		return false, err
	}
	return isTrue(results[1]), nil
}

// isTrue reports whether a result is a single boolean value that is true.
func isTrue(r *pgconn.Result) bool {
	return len(r.Rows) == 1 && len(r.Rows[0]) == 1 && string(r.Rows[0][0]) == "t"
}

// Ping implements driver.Conn. It sends an empty pipeline.
func (c *Conn) Ping(ctx context.Context) error {
	_, err := c.runPipeline(ctx, "ping")
	return err
}

// Reset implements driver.Conn. It rolls an open transaction back and discards the session state, advisory locks
// included.
func (c *Conn) Reset(ctx context.Context) error {
	if c.pg.TxStatus() != 'I' {
		if err := c.Rollback(ctx); err != nil {
			return err
		}
	}
	_, err := c.execAll(ctx, "reset", newStatement("DISCARD ALL"))
	return err
}

// Clean implements driver.Conn. Status I is a session without an open transaction.
func (c *Conn) Clean() bool {
	return !c.closed && !c.pg.IsClosed() && !c.pg.IsBusy() && c.pg.TxStatus() == 'I'
}

// Close implements driver.Conn. It closes the socket without a message; the server then rolls an open transaction back.
func (c *Conn) Close() {
	if c.closed {
		return
	}
	c.closed = true
	c.pg.Conn().Close()
}
