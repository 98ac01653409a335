package postgres

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"

	"tanagercross/internal/database/driver"
)

const (
	createRecordTable = "CREATE TABLE IF NOT EXISTS tanagercross_request (id TEXT PRIMARY KEY, fingerprint TEXT NOT NULL, " +
		"result TEXT, created_ms BIGINT NOT NULL)"
	insertRecord     = "INSERT INTO tanagercross_request (id, fingerprint, result, created_ms) VALUES ($1, $2, $3, $4)"
	updateRecord     = "UPDATE tanagercross_request SET result = $2 WHERE id = $1"
	selectRecord     = "SELECT fingerprint, result FROM tanagercross_request WHERE id = $1"
	selectOldRecord  = "SELECT 1 FROM tanagercross_request WHERE id < $1 LIMIT 1"
	deleteOldRecords = "DELETE FROM tanagercross_request WHERE id IN " +
		"(SELECT id FROM tanagercross_request WHERE id < $1 ORDER BY id LIMIT $2)"
)

// storedResult is the JSON form of a result in a request record.
type storedResult struct {
	Columns      []string    `json:"columns,omitempty"`
	Rows         [][]*string `json:"rows,omitempty"`
	RowsAffected int64       `json:"rows_affected"`
	Truncated    bool        `json:"truncated,omitempty"`
}

// encodeResult returns the JSON form of a result. If that exceeds maxStoredResult, it leaves out the columns and rows
// and marks the result as truncated.
func encodeResult(r driver.Result) (string, error) {
	data, err := json.Marshal(storedResult{Columns: r.Columns, Rows: r.Rows, RowsAffected: r.RowsAffected})
	if err == nil && len(data) > maxStoredResult {
		data, err = json.Marshal(storedResult{RowsAffected: r.RowsAffected, Truncated: true})
	}
	return string(data), eris.Wrap(err, "encode result")
}

// decodeResult converts the stored JSON form to a result that is marked as replayed.
func decodeResult(data string) (driver.Result, error) {
	var s storedResult
	if err := json.Unmarshal([]byte(data), &s); err != nil {
		return driver.Result{}, eris.Wrap(err, "decode result")
	}
	return driver.Result{
		Columns: s.Columns, Rows: s.Rows, RowsAffected: s.RowsAffected, Replayed: true, Truncated: s.Truncated,
	}, nil
}

// recordInsert returns the statement that inserts a request record. It fails on a duplicate request id.
func recordInsert(r driver.Record, result string) driver.Statement {
	return newStatement(insertRecord, r.RequestID, r.Fingerprint, result, strconv.FormatInt(time.Now().UnixMilli(), 10))
}

// recordState converts the result of selectRecord. Without a row the record was not found.
func (c *Conn) recordState(operation string, answer *pgconn.Result) (driver.RecordState, error) {
	s := driver.RecordState{Position: c.position()}
	if len(answer.Rows) == 0 {
		return s, nil
	}
	if len(answer.Rows[0]) != 2 {
		return s, newError(operation, driver.StatementRejected, "malformed record")
	}
	result, err := decodeResult(string(answer.Rows[0][1]))
	if err != nil {
		return s, &driver.Error{Operation: operation, Kind: driver.StatementRejected, Err: err}
	}
	result.Position = s.Position
	s.Found, s.Fingerprint, s.Result = true, string(answer.Rows[0][0]), result
	return s, nil
}

// RemoveRecords implements driver.Conn. Request ids sort by time, so the index of the primary key finds the old ones. It
// looks for an old record first, so that nothing is written to the log if there is none.
func (c *Conn) RemoveRecords(ctx context.Context, organisation, before string, limit int) (int64, error) {
	const operation = "remove_records"
	a, err := c.runPipeline(ctx, operation, setOrganisation(organisation), newStatement(selectOldRecord, before))
	switch {
	case err != nil:
		return 0, err
	case a.refused != nil && a.refused.Code == codeUndefinedTable:
		return 0, nil
	case a.refused != nil:
		return 0, serverError(operation, a.refused)
	case len(a.results[1].Rows) == 0:
		return 0, nil
	}
	results, err := c.execAll(ctx, operation, beginWrite, newStatement(deleteOldRecords, before, strconv.Itoa(limit)), newStatement("COMMIT"))
	if err != nil {
		return 0, err
	}
	return results[1].CommandTag.RowsAffected(), checkCommitted(operation, pipelineResults{results: results})
}

// resolveDuplicate returns the stored result of a request whose id is already recorded. It fails with kind
// RequestIDConflict if the record belongs to another request, and with Busy if the record has been deleted since.
func resolveDuplicate(operation string, r driver.Record, s driver.RecordState) (driver.Result, error) {
	switch {
	case !s.Found:
		return driver.Result{}, newError(operation, driver.Busy, "the record of the duplicate request id no longer exists")
	case s.Fingerprint != r.Fingerprint:
		return driver.Result{}, newError(operation, driver.RequestIDConflict, "request id %s was used by another request", r.RequestID)
	}
	return s.Result, nil
}
