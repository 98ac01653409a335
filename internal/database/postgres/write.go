package postgres

import (
	"context"
	"errors"

	"tanagercross/internal/database/driver"
)

// Write implements driver.Conn. The first round trip begins the transaction, inserts the request record and runs the
// caller's statement; the second stores the result in the record and commits. The term is read inside the transaction,
// which the server ends when it stops being primary, so a commit never happens in another term. The table of records
// is created only if it is missing, so that not every write adds DDL to the log.
func (c *Conn) Write(
	ctx context.Context, organisation string, term uint64, r driver.Record, s driver.Statement,
) (driver.Result, error) {
	const operation = "write"
	if err := checkAllowed(operation, s); err != nil {
		return driver.Result{}, err
	}
	prologue := []driver.Statement{setOrganisation(organisation), beginWrite, showStatus}
	body := []driver.Statement{recordInsert(r, "{}"), s}
	a, err := c.runPipeline(ctx, operation, append(prologue, body...)...)
	if err != nil {
		return driver.Result{}, err
	}
	recordIndex := len(prologue)
	if a.refused != nil && a.refused.Code == codeUndefinedTable && len(a.results) == recordIndex {
		prologue = []driver.Statement{newStatement("ROLLBACK"), beginWrite, showStatus, newStatement(createRecordTable)}
		recordIndex = len(prologue)
		if a, err = c.runPipeline(ctx, operation, append(prologue, body...)...); err != nil {
			return driver.Result{}, markLost(err)
		}
	}
	if err := checkPrimary(operation, a, term); err != nil {
		c.rollbackOrClose(ctx)
		return driver.Result{}, err
	}
	if a.refused != nil {
		return c.rollbackRefused(ctx, operation, r, a, len(a.results) == recordIndex)
	}
	result := c.toResult(a.results[recordIndex+1])
	data, err := encodeResult(result)
	if err != nil {
		c.Close()
		return driver.Result{}, &driver.Error{Operation: operation, Kind: driver.StatementRejected, Err: err}
	}
	a, err = c.runPipeline(ctx, operation, newStatement(updateRecord, r.RequestID, data), newStatement("COMMIT"))
	if err != nil {
		return driver.Result{}, markLost(err)
	}
	if a.refused != nil {
		return c.rollbackRefused(ctx, operation, r, a, false)
	}
	result.Position = c.position()
	return result, checkCommitted(operation, a)
}

// markLost converts an error of kind Unreachable of the second or a later round trip to ResponseLost, because an
// earlier part of the write was sent.
func markLost(err error) error {
	var e *driver.Error
	if !errors.As(err, &e) || e.Kind != driver.Unreachable {
		return err
	}
	return &driver.Error{Operation: e.Operation, Kind: driver.ResponseLost, Code: e.Code, Err: e.Err}
}

// checkCommitted checks the command tag of the COMMIT at the end of a pipeline. The server answers COMMIT in a failed
// transaction with the tag ROLLBACK and no error.
func checkCommitted(operation string, a pipelineResults) error {
	if tag := a.results[len(a.results)-1].CommandTag.String(); tag != "COMMIT" {
		return newError(operation, driver.StatementRejected, "transaction ended with %s", tag)
	}
	return nil
}

// rollbackRefused rolls back a transaction in which the server refused a statement, so that the write has no effect, and
// returns the error. If the refused statement is the insert of the record (recordRefused) and the request id is a
// duplicate, it reads the existing record in the round trip of the rollback and returns its result.
func (c *Conn) rollbackRefused(ctx context.Context, operation string, r driver.Record, a pipelineResults, recordRefused bool) (driver.Result, error) {
	refused := serverError(operation, a.refused)
	if !recordRefused || a.refused.Code != codeUniqueViolation {
		c.rollbackOrClose(ctx)
		return driver.Result{}, refused
	}
	a, err := c.runPipeline(ctx, operation, newStatement("ROLLBACK"), newStatement(selectRecord, r.RequestID))
	if err != nil {
		return driver.Result{}, markLost(err)
	}
	if a.refused != nil {
		return driver.Result{}, serverError(operation, a.refused)
	}
	recordState, err := c.recordState(operation, a.results[1])
	if err != nil {
		return driver.Result{}, err
	}
	return resolveDuplicate(operation, r, recordState)
}

// rollbackOrClose rolls the open transaction back, or closes the connection if that fails, which has the same effect.
func (c *Conn) rollbackOrClose(ctx context.Context) {
	if c.Rollback(ctx) != nil {
		c.Close()
	}
}

// beginStatusIndex is the index of SHOW group_status in the pipelines that begin a transaction.
const beginStatusIndex = 2

// checkPrimary fails with kind NotPrimary unless the server is the primary of a term and has written to its log in that
// term. It returns nil if a statement before SHOW group_status was refused.
func checkPrimary(operation string, a pipelineResults, term uint64) error {
	if len(a.results) <= beginStatusIndex {
		return nil
	}
	status, err := parseStatus(operation, a.results[beginStatusIndex])
	if err == nil && (status.Role != driver.Primary || status.Term != term || status.Last.Term != term) {
		err = newError(operation, driver.NotPrimary, "server is %s in term %d, term %d expected", status.Role, status.Term, term)
	}
	return err
}

// Begin implements driver.Conn. The server ends the transaction when it stops being primary.
func (c *Conn) Begin(ctx context.Context, organisation string, term uint64) error {
	const operation = "begin"
	results, err := c.execAll(ctx, operation, setOrganisation(organisation), beginWrite, showStatus)
	if err != nil {
		return err
	}
	if err := checkPrimary(operation, pipelineResults{results: results}, term); err != nil {
		c.rollbackOrClose(ctx)
		return err
	}
	return nil
}

// Run implements driver.Conn. After a refused statement the transaction accepts only Rollback.
func (c *Conn) Run(ctx context.Context, s driver.Statement) (driver.Result, error) {
	const operation = "run"
	if err := checkAllowed(operation, s); err != nil {
		return driver.Result{}, err
	}
	if c.pg.TxStatus() == 'I' {
		return driver.Result{}, newError(operation, driver.StatementRejected, "no transaction is open")
	}
	results, err := c.execAll(ctx, operation, s)
	if err != nil {
		return driver.Result{}, err
	}
	return c.toResult(results[0]), nil
}

// Commit implements driver.Conn. It stores the request record, without a result, and commits in one round trip.
func (c *Conn) Commit(ctx context.Context, r driver.Record) (driver.Result, error) {
	const operation = "commit"
	if c.pg.TxStatus() == 'I' {
		return driver.Result{}, newError(operation, driver.StatementRejected, "no transaction is open")
	}
	data, err := encodeResult(driver.Result{})
	if err != nil {
		return driver.Result{}, &driver.Error{Operation: operation, Kind: driver.StatementRejected, Err: err}
	}
	a, err := c.runPipeline(ctx, operation, newStatement(createRecordTable), recordInsert(r, data), newStatement("COMMIT"))
	if err != nil {
		return driver.Result{}, err
	}
	if a.refused != nil {
		return c.rollbackRefused(ctx, operation, r, a, len(a.results) == 1)
	}
	return driver.Result{Position: c.position()}, checkCommitted(operation, a)
}

// Rollback implements driver.Conn.
func (c *Conn) Rollback(ctx context.Context) error {
	_, err := c.execAll(ctx, "rollback", newStatement("ROLLBACK"))
	return err
}
