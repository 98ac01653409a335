package postgres

import (
	"context"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"tanagercross/internal/database/driver"
)

// Conn is a connection to one server.
type Conn struct {
	pg     *pgconn.PgConn
	server string
	closed bool
}

// run sends the statements in one round trip and converts the first refusal to an error.
func (c *Conn) run(ctx context.Context, operation string, statements ...driver.Statement) ([]*pgconn.Result, error) {
	a, err := c.exchange(ctx, operation, statements...)
	if err != nil {
		return nil, err
	}
	if a.refused != nil {
		return a.results, refusal(operation, a.refused)
	}
	return a.results, nil
}

// Status implements driver.Conn.
func (c *Conn) Status(ctx context.Context) (driver.Status, error) {
	return c.status(ctx, "status", statement("SHOW group_status"))
}

func (c *Conn) status(ctx context.Context, operation string, s driver.Statement) (driver.Status, error) {
	results, err := c.run(ctx, operation, s)
	if err != nil {
		return driver.Status{}, err
	}
	return statusOf(operation, results[0])
}

// statusOf reads a status row by column name.
func statusOf(operation string, r *pgconn.Result) (driver.Status, error) {
	if len(r.Rows) != 1 {
		return driver.Status{}, fault(operation, driver.StatementRejected, "%d status rows", len(r.Rows))
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
			s.Term = parse(value)
		case "holder":
			s.Holder = value
		case "log_term":
			s.Last.Term = parse(value)
		case "log_index":
			s.Last.Index = parse(value)
		case "primary":
			s.Primary = value
		case "primary_contact_ms":
			s.PrimaryContact = time.Duration(parse(value)) * time.Millisecond
		case "replicated_index":
			s.ReplicatedIndex = parse(value)
		}
	}
	return s, nil
}

const stepStatus = 2 // index of the status in a read's pipeline

// Read implements driver.Conn. The server refuses a write that is sent as a read, because it would run without record.
func (c *Conn) Read(ctx context.Context, organisation string, atLeast driver.Position, s driver.Statement) (driver.Result, error) {
	const operation = "read"
	if err := check(operation, s); err != nil {
		return driver.Result{}, err
	}
	a, err := c.exchange(ctx, operation, setOrganisation(organisation), readOnly, showStatus, s)
	if err != nil {
		return driver.Result{}, err
	}
	if len(a.results) > stepStatus {
		status, err := statusOf(operation, a.results[stepStatus])
		if err != nil {
			return driver.Result{}, err
		}
		if status.Last.Compare(atLeast) < 0 {
			return driver.Result{}, fault(operation, driver.Behind, "server at %s, %s required", status.Last, atLeast)
		}
	}
	if a.refused != nil {
		e := refusal(operation, a.refused)
		if e.Kind == driver.NotPrimary {
			e.Kind = driver.StatementRejected // a write sent as a read fails at every server
		}
		return driver.Result{}, e
	}
	return c.rows(a.results[stepStatus+1]), nil
}

// LookupRecord implements driver.Conn.
func (c *Conn) LookupRecord(ctx context.Context, organisation, requestID string) (driver.RecordState, error) {
	const operation = "recorded"
	a, err := c.exchange(ctx, operation, setOrganisation(organisation), statement(selectRecord, requestID))
	switch {
	case err != nil:
		return driver.RecordState{}, err
	case a.refused != nil && a.refused.Code == codeNoTable:
		return driver.RecordState{Position: c.position()}, nil
	case a.refused != nil:
		return driver.RecordState{}, refusal(operation, a.refused)
	}
	return c.state(operation, a.results[1])
}

// Await implements driver.Conn.
func (c *Conn) Await(ctx context.Context, p driver.Position, timeout time.Duration) error {
	const operation = "await"
	ms := strconv.FormatInt(timeout.Milliseconds(), 10)
	results, err := c.run(ctx, operation, statement("SELECT group_await($1,$2,$3)", number(p.Term), number(p.Index), ms))
	if err != nil {
		return err
	}
	if !isTrue(results[0]) {
		return fault(operation, driver.NotReplicated, "no majority holds %s after %s", p, timeout)
	}
	return nil
}

// Fence implements driver.Conn.
func (c *Conn) Fence(ctx context.Context, term uint64, holder string) (driver.Status, error) {
	return c.status(ctx, "fence", statement("SELECT group_fence($1,$2)", number(term), holder))
}

// Promote implements driver.Conn.
func (c *Conn) Promote(ctx context.Context, term uint64, holder string) (driver.Status, error) {
	return c.status(ctx, "promote", statement("SELECT group_promote($1,$2)", number(term), holder))
}

// TryLane implements driver.Conn. The server closes the connection, and so frees the lane, after 6 s of silence.
func (c *Conn) TryLane(ctx context.Context, lane int) (bool, error) {
	idle := strconv.FormatInt(laneIdleTimeout.Milliseconds(), 10)
	results, err := c.run(ctx, "try_lane", statement("SET idle_session_timeout = "+idle),
		statement("SELECT pg_try_advisory_lock($1)", strconv.Itoa(lane)))
	if err != nil {
		return false, err
	}
	return isTrue(results[1]), nil
}

func isTrue(r *pgconn.Result) bool {
	return len(r.Rows) == 1 && len(r.Rows[0]) == 1 && string(r.Rows[0][0]) == "t"
}

// Ping implements driver.Conn.
func (c *Conn) Ping(ctx context.Context) error {
	_, err := c.exchange(ctx, "ping")
	return err
}

// Reset implements driver.Conn.
func (c *Conn) Reset(ctx context.Context) error {
	if c.pg.TxStatus() != 'I' {
		if err := c.Rollback(ctx); err != nil {
			return err
		}
	}
	_, err := c.run(ctx, "reset", statement("DISCARD ALL"))
	return err
}

// Clean implements driver.Conn.
func (c *Conn) Clean() bool {
	return !c.closed && !c.pg.IsClosed() && !c.pg.IsBusy() && c.pg.TxStatus() == 'I'
}

// Close implements driver.Conn. The server rolls an open transaction back.
func (c *Conn) Close() {
	if c.closed {
		return
	}
	c.closed = true
	c.pg.Conn().Close()
}
