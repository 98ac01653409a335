package postgres

import (
	"context"
	"errors"

	"tanagercross/internal/database/driver"
)

// Write implements driver.Conn. The first round trip ends with the caller's statement, the second stores its result and
// commits. The term is read inside the transaction, which the server ends when it stops being primary, so that a commit
// never happens in another term. The table of records is created only when it is missing, to keep DDL out of the log of every write.
func (c *Conn) Write(
	ctx context.Context, organisation string, term uint64, r driver.Record, s driver.Statement,
) (driver.Result, error) {
	const operation = "write"
	if err := check(operation, s); err != nil {
		return driver.Result{}, err
	}
	begin := []driver.Statement{setOrganisation(organisation), beginWrite, showStatus}
	body := []driver.Statement{insert(r, "{}"), s}
	a, err := c.exchange(ctx, operation, append(begin, body...)...)
	if err != nil {
		return driver.Result{}, err
	}
	record := len(begin)
	if a.refused != nil && a.refused.Code == codeNoTable && len(a.results) == record {
		begin = []driver.Statement{statement("ROLLBACK"), beginWrite, showStatus, statement(createRecords)}
		record = len(begin)
		if a, err = c.exchange(ctx, operation, append(begin, body...)...); err != nil {
			return driver.Result{}, begun(err)
		}
	}
	if err := leads(operation, a, term); err != nil {
		c.abandon(ctx)
		return driver.Result{}, err
	}
	if a.refused != nil {
		return c.undo(ctx, operation, r, a, len(a.results) == record)
	}
	result := c.rows(a.results[record+1])
	data, err := encode(result)
	if err != nil {
		c.Close()
		return driver.Result{}, &driver.Error{Operation: operation, Kind: driver.StatementRejected, Err: err}
	}
	a, err = c.exchange(ctx, operation, statement(updateRecord, r.RequestID, data), statement("COMMIT"))
	if err != nil {
		return driver.Result{}, begun(err)
	}
	if a.refused != nil {
		return c.undo(ctx, operation, r, a, false)
	}
	result.Position = c.position()
	return result, committed(operation, a)
}

// begun converts an error of a later round trip: a write of which something was sent is ResponseLost.
func begun(err error) error {
	var e *driver.Error
	if !errors.As(err, &e) || e.Kind != driver.Unreachable {
		return err
	}
	return &driver.Error{Operation: e.Operation, Kind: driver.ResponseLost, Code: e.Code, Err: e.Err}
}

// committed checks the tag of COMMIT, because a failed transaction answers it with ROLLBACK and no error.
func committed(operation string, a answers) error {
	if tag := a.results[len(a.results)-1].CommandTag.String(); tag != "COMMIT" {
		return fault(operation, driver.StatementRejected, "transaction ended with %s", tag)
	}
	return nil
}

// undo ends the transaction of a refused write, which then has no effect. A duplicate request id is answered from its
// record in the same round trip.
func (c *Conn) undo(ctx context.Context, operation string, r driver.Record, a answers, atRecord bool) (driver.Result, error) {
	refused := refusal(operation, a.refused)
	if !atRecord || a.refused.Code != codeUnique {
		c.abandon(ctx)
		return driver.Result{}, refused
	}
	a, err := c.exchange(ctx, operation, statement("ROLLBACK"), statement(selectRecord, r.RequestID))
	if err != nil {
		return driver.Result{}, begun(err)
	}
	if a.refused != nil {
		return driver.Result{}, refusal(operation, a.refused)
	}
	state, err := c.state(operation, a.results[1])
	if err != nil {
		return driver.Result{}, err
	}
	return replay(operation, r, state)
}

// abandon ends the open transaction, at the latest with the connection.
func (c *Conn) abandon(ctx context.Context) {
	if c.Rollback(ctx) != nil {
		c.Close()
	}
}

// stepLeads is the index of the status in the pipelines that begin a transaction.
const stepLeads = 2

// leads checks that the server is the primary of a term and has begun it, if it answered that far.
func leads(operation string, a answers, term uint64) error {
	if len(a.results) <= stepLeads {
		return nil
	}
	status, err := statusOf(operation, a.results[stepLeads])
	if err == nil && (status.Role != driver.Primary || status.Term != term || status.Last.Term != term) {
		err = fault(operation, driver.NotPrimary, "server is %s in term %d, term %d expected", status.Role, status.Term, term)
	}
	return err
}

// Begin implements driver.Conn.
func (c *Conn) Begin(ctx context.Context, organisation string, term uint64) error {
	const operation = "begin"
	results, err := c.run(ctx, operation, setOrganisation(organisation), beginWrite, showStatus)
	if err != nil {
		return err
	}
	if err := leads(operation, answers{results: results}, term); err != nil {
		c.abandon(ctx)
		return err
	}
	return nil
}

// Run implements driver.Conn. After a refused statement only Rollback is useful.
func (c *Conn) Run(ctx context.Context, s driver.Statement) (driver.Result, error) {
	const operation = "run"
	if err := check(operation, s); err != nil {
		return driver.Result{}, err
	}
	if c.pg.TxStatus() == 'I' {
		return driver.Result{}, fault(operation, driver.StatementRejected, "no transaction is open")
	}
	results, err := c.run(ctx, operation, s)
	if err != nil {
		return driver.Result{}, err
	}
	return c.rows(results[0]), nil
}

// Commit implements driver.Conn. The record and the commit are one round trip.
func (c *Conn) Commit(ctx context.Context, r driver.Record) (driver.Result, error) {
	const operation = "commit"
	if c.pg.TxStatus() == 'I' {
		return driver.Result{}, fault(operation, driver.StatementRejected, "no transaction is open")
	}
	data, err := encode(driver.Result{})
	if err != nil {
		return driver.Result{}, &driver.Error{Operation: operation, Kind: driver.StatementRejected, Err: err}
	}
	a, err := c.exchange(ctx, operation, statement(createRecords), insert(r, data), statement("COMMIT"))
	if err != nil {
		return driver.Result{}, err
	}
	if a.refused != nil {
		return c.undo(ctx, operation, r, a, len(a.results) == 1)
	}
	return driver.Result{Position: c.position()}, committed(operation, a)
}

// Rollback implements driver.Conn.
func (c *Conn) Rollback(ctx context.Context) error {
	_, err := c.run(ctx, "rollback", statement("ROLLBACK"))
	return err
}
