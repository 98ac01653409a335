package database

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"path/filepath"
	"regexp"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	_ "modernc.org/sqlite" // registers the "sqlite" driver
)

const maximumReaders = 4 // SQLite connections per organisation

var organisationPattern = regexp.MustCompile(`^[a-zA-Z0-9_-]{1,64}$`)

// result is the outcome of a statement in text format; a nil value is NULL.
type result struct {
	columns []string
	rows    [][]*string
	changed int64
}

// organisation is the SQLite file of one organisation. The writer connection is used by the transaction that holds the
// writer place, or under the server's mutex by replication, never by both: a server that stops being primary first ends
// its transactions.
type organisation struct {
	writers *sql.DB
	readers *sql.DB
	writer  *sql.Conn
	place   chan struct{} // holds one token while no transaction writes
}

func openOrganisation(directory, name string) (*organisation, error) {
	path := filepath.Join(directory, name+".db")
	writers, err := sql.Open("sqlite", "file:"+path+"?_pragma=journal_mode(WAL)&_pragma=synchronous(OFF)")
	if err != nil {
		return nil, eris.Wrap(err, "open writer")
	}
	writer, err := writers.Conn(context.Background())
	if err != nil {
		writers.Close()
		return nil, eris.Wrap(err, "connect writer")
	}
	readers, err := sql.Open("sqlite", "file:"+path+"?_pragma=query_only(1)&_pragma=busy_timeout(1000)")
	if err != nil {
		writer.Close()
		writers.Close()
		return nil, eris.Wrap(err, "open readers")
	}
	readers.SetMaxOpenConns(maximumReaders)
	readers.SetMaxIdleConns(maximumReaders)
	o := &organisation{writers: writers, readers: readers, writer: writer, place: make(chan struct{}, 1)}
	o.place <- struct{}{}
	return o, nil
}

func (o *organisation) close() {
	o.writer.Close()
	o.writers.Close()
	o.readers.Close()
}

func (o *organisation) control(verb string) error {
	_, err := o.writer.ExecContext(context.Background(), verb)
	return eris.Wrap(err, verb)
}

// apply runs the statements of log entries of the organisation in one SQLite transaction.
func (o *organisation) apply(entries ...entry) error {
	if err := o.control("BEGIN IMMEDIATE"); err != nil {
		return err
	}
	for _, e := range entries {
		for _, s := range e.Statements {
			if _, err := o.writer.ExecContext(context.Background(), s.SQL, bind(s.Arguments)...); err != nil {
				return errors.Join(eris.Wrapf(err, "apply entry %d", e.Index), o.control("ROLLBACK"))
			}
		}
	}
	return o.control("COMMIT")
}

type querier interface {
	QueryContext(ctx context.Context, query string, arguments ...any) (*sql.Rows, error)
}

func bind(arguments []*string) []any {
	values := make([]any, len(arguments))
	for i, a := range arguments {
		if a != nil {
			values[i] = *a
		}
	}
	return values
}

// query runs a statement and reads all its rows.
func query(q querier, c command, arguments []*string) (result, error) {
	rows, err := q.QueryContext(context.Background(), c.text, bind(arguments)...)
	if err != nil {
		return result{}, err
	}
	defer rows.Close()
	var r result
	if r.columns, err = rows.Columns(); err != nil {
		return result{}, err
	}
	for rows.Next() {
		values := make([]any, len(r.columns))
		targets := make([]any, len(r.columns))
		for i := range values {
			targets[i] = &values[i]
		}
		if err := rows.Scan(targets...); err != nil {
			return result{}, err
		}
		row := make([]*string, len(values))
		for i, v := range values {
			row[i] = text(v)
		}
		r.rows = append(r.rows, row)
	}
	if err := rows.Err(); err != nil {
		return result{}, err
	}
	r.changed = int64(len(r.rows))
	return r, nil
}

// change runs a write on the writer connection.
func (o *organisation) change(c command, arguments []*string) (result, error) {
	r, err := query(o.writer, c, arguments)
	if err != nil {
		return result{}, err
	}
	r.changed = 0
	if c.counted() {
		err = o.writer.QueryRowContext(context.Background(), "SELECT changes()").Scan(&r.changed)
	}
	return r, err
}

func text(value any) *string {
	var s string
	switch v := value.(type) {
	case nil:
		return nil
	case string:
		s = v
	case []byte:
		s = string(v)
	case int64:
		s = strconv.FormatInt(v, 10)
	case float64:
		s = strconv.FormatFloat(v, 'g', -1, 64)
	case time.Time:
		s = v.Format(time.RFC3339Nano)
	default:
		s = fmt.Sprint(v)
	}
	return &s
}
