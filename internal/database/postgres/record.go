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
	createRecords = "CREATE TABLE IF NOT EXISTS tanagercross_request (id TEXT PRIMARY KEY, fingerprint TEXT NOT NULL, " +
		"result TEXT, created_ms BIGINT NOT NULL)"
	insertRecord = "INSERT INTO tanagercross_request (id, fingerprint, result, created_ms) VALUES ($1, $2, $3, $4)"
	updateRecord = "UPDATE tanagercross_request SET result = $2 WHERE id = $1"
	selectRecord = "SELECT fingerprint, result FROM tanagercross_request WHERE id = $1"
	selectOld    = "SELECT 1 FROM tanagercross_request WHERE id < $1 LIMIT 1"
	deleteOld    = "DELETE FROM tanagercross_request WHERE id IN " +
		"(SELECT id FROM tanagercross_request WHERE id < $1 ORDER BY id LIMIT $2)"
)

// stored is a result as it is kept in a record.
type stored struct {
	Columns      []string    `json:"columns,omitempty"`
	Rows         [][]*string `json:"rows,omitempty"`
	RowsAffected int64       `json:"rows_affected"`
	Truncated    bool        `json:"truncated,omitempty"`
}

// encode drops the rows of a result that is larger than the limit.
func encode(r driver.Result) (string, error) {
	data, err := json.Marshal(stored{Columns: r.Columns, Rows: r.Rows, RowsAffected: r.RowsAffected})
	if err == nil && len(data) > maximumResult {
		data, err = json.Marshal(stored{RowsAffected: r.RowsAffected, Truncated: true})
	}
	return string(data), eris.Wrap(err, "encode result")
}

func decode(data string) (driver.Result, error) {
	var s stored
	if err := json.Unmarshal([]byte(data), &s); err != nil {
		return driver.Result{}, eris.Wrap(err, "decode result")
	}
	return driver.Result{
		Columns: s.Columns, Rows: s.Rows, RowsAffected: s.RowsAffected, Replayed: true, Truncated: s.Truncated,
	}, nil
}

func insert(r driver.Record, result string) driver.Statement {
	return statement(insertRecord, r.RequestID, r.Fingerprint, result, strconv.FormatInt(time.Now().UnixMilli(), 10))
}

// state converts the answer to selectRecord.
func (c *Conn) state(operation string, answer *pgconn.Result) (driver.RecordState, error) {
	s := driver.RecordState{Position: c.position()}
	if len(answer.Rows) == 0 {
		return s, nil
	}
	if len(answer.Rows[0]) != 2 {
		return s, fault(operation, driver.StatementRejected, "malformed record")
	}
	result, err := decode(string(answer.Rows[0][1]))
	if err != nil {
		return s, &driver.Error{Operation: operation, Kind: driver.StatementRejected, Err: err}
	}
	result.Position = s.Position
	s.Found, s.Fingerprint, s.Result = true, string(answer.Rows[0][0]), result
	return s, nil
}

// RemoveRecords implements driver.Conn. Ids are ordered by time, so that the primary key finds the old ones.
func (c *Conn) RemoveRecords(ctx context.Context, organisation, before string, limit int) (int64, error) {
	const operation = "remove_records"
	a, err := c.exchange(ctx, operation, setOrganisation(organisation), statement(selectOld, before))
	switch {
	case err != nil:
		return 0, err
	case a.refused != nil && a.refused.Code == codeNoTable:
		return 0, nil
	case a.refused != nil:
		return 0, refusal(operation, a.refused)
	case len(a.results[1].Rows) == 0:
		return 0, nil
	}
	results, err := c.run(ctx, operation, beginWrite, statement(deleteOld, before, strconv.Itoa(limit)), statement("COMMIT"))
	if err != nil {
		return 0, err
	}
	return results[1].CommandTag.RowsAffected(), committed(operation, answers{results: results})
}

// replay decides a duplicate request id from its record.
func replay(operation string, r driver.Record, s driver.RecordState) (driver.Result, error) {
	switch {
	case !s.Found:
		return driver.Result{}, fault(operation, driver.Busy, "the record of the request id was removed meanwhile")
	case s.Fingerprint != r.Fingerprint:
		return driver.Result{}, fault(operation, driver.RequestIDConflict, "request id %s belongs to another request", r.RequestID)
	}
	return s.Result, nil
}
