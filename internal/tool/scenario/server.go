package scenario

import (
	"context"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"

	"tanagercross/internal/database/driver"
)

const statusTimeout = time.Second

// connect opens a connection to a database server past all links, as an auditor of its contents would.
func (f *fleet) connect(ctx context.Context, name string) (*pgconn.PgConn, error) {
	s, ok := f.databases[name]
	if !ok {
		return nil, eris.Errorf("no database %q", name)
	}
	conn, err := pgconn.Connect(ctx, "postgres://scenario@"+s.clients+"/scenario?sslmode=disable")
	return conn, eris.Wrap(err, name)
}

// rows runs a statement at a server for an organisation, or for none if it is "".
func (f *fleet) rows(ctx context.Context, name, organisation, sql string) ([][]string, error) {
	conn, err := f.connect(ctx, name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close(ctx) }()
	if organisation != "" {
		if _, err := conn.Exec(ctx, "SET organisation = '"+organisation+"'").ReadAll(); err != nil {
			return nil, eris.Wrap(err, name)
		}
	}
	results, err := conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		return nil, eris.Wrap(err, name)
	}
	var rows [][]string
	for _, r := range results {
		for _, row := range r.Rows {
			texts := make([]string, 0, len(row))
			for _, cell := range row {
				texts = append(texts, string(cell))
			}
			rows = append(rows, texts)
		}
	}
	return rows, nil
}

// status is what a server says about itself.
type status struct {
	role                 driver.Role
	term, logTerm, index uint64
}

func (f *fleet) status(name string) (status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	rows, err := f.rows(ctx, name, "", "SHOW group_status")
	if err != nil || len(rows) != 1 || len(rows[0]) < 6 {
		return status{}, eris.Errorf("status of %s: %v %v", name, rows, err)
	}
	s := status{role: driver.Role(rows[0][1])}
	for i, into := range map[int]*uint64{2: &s.term, 4: &s.logTerm, 5: &s.index} {
		if *into, err = strconv.ParseUint(rows[0][i], 10, 64); err != nil {
			return s, eris.Wrap(err, "status of "+name)
		}
	}
	return s, nil
}

// primary returns the server that says it is primary of the highest term.
func (f *fleet) primary() (string, status) {
	best, found := "", status{}
	for _, name := range servers {
		if s, err := f.status(name); err == nil && s.role == driver.Primary && s.term >= found.term {
			best, found = name, s
		}
	}
	return best, found
}

// commandPrimary: primary is NAME | primary changes NAME | primary joined NAME
//
// Waits until a server is primary, until another one than NAME is, or until NAME is a replica that holds all that the
// primary holds.
func (f *fleet) commandPrimary(arguments []string) error {
	arguments, o := splitOptions(arguments)
	limit := o.duration("within", 4*time.Second)
	if err := expect(arguments, 2, 2, "primary is|changes|joined NAME [within=4s]"); err != nil {
		return err
	}
	if err := o.finish(); err != nil {
		return err
	}
	verb, name := arguments[0], arguments[1]
	started := time.Now()
	last := ""
	for time.Since(started) < limit {
		primary, held := f.primary()
		last = primary
		switch {
		case primary == "":
		case verb == "is" && primary == name, verb == "changes" && primary != name:
			f.logf("%s is primary of term %d after %s", primary, held.term, time.Since(started).Round(time.Millisecond))
			return nil
		case verb == "joined":
			own, err := f.status(name)
			if err == nil && own.role == driver.Replica && own.logTerm == held.logTerm && own.index >= held.index {
				f.logf("%s joined after %s", name, time.Since(started).Round(time.Millisecond))
				return nil
			}
		}
		time.Sleep(pollPeriod)
	}
	return eris.Errorf("primary %s %s: not within %s; the primary is %q", verb, name, limit, last)
}
