package postgres

import (
	"context"
	"errors"
	"net"
	"syscall"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"

	"tanagercross/internal/database/driver"
)

// answers are the results of a pipeline's statements up to the first refused one.
type answers struct {
	results []*pgconn.Result
	refused *pgconn.PgError // of statement len(results); the server ran nothing after it
}

// exchange sends the statements in one round trip. An error means that the answers did not all arrive; the connection
// is then closed. Its kind is Unreachable if nothing was sent, and ResponseLost otherwise.
func (c *Conn) exchange(ctx context.Context, operation string, statements ...driver.Statement) (answers, error) {
	if err := c.usable(ctx); err != nil {
		c.Close()
		return answers{}, &driver.Error{Operation: operation, Kind: driver.Unreachable, Err: err}
	}
	p := c.pg.StartPipeline(ctx)
	for _, s := range statements {
		p.SendQueryParams(s.SQL, values(s.Arguments), nil, nil, nil)
	}
	a, err := collect(p)
	if closeErr := p.Close(); err == nil && a.refused == nil {
		err = closeErr
	}
	if err == nil && a.refused != nil && a.refused.Severity != "ERROR" {
		err = a.refused
	}
	if err == nil && a.refused == nil && len(a.results) != len(statements) {
		err = eris.Errorf("%d answers to %d statements", len(a.results), len(statements))
	}
	if err == nil {
		return a, nil
	}
	kind := driver.ResponseLost
	if pgconn.SafeToRetry(err) {
		kind = driver.Unreachable
	}
	c.Close()
	return answers{}, &driver.Error{Operation: operation, Kind: kind, Code: codeOf(err), Err: eris.Wrapf(err, "server %s", c.server)}
}

// collect reads the answers up to the end of the pipeline.
func collect(p *pgconn.Pipeline) (answers, error) {
	var a answers
	if err := p.Sync(); err != nil {
		return a, err
	}
	for {
		next, err := p.GetResults()
		if reader, ok := next.(*pgconn.ResultReader); ok && err == nil {
			result := reader.Read()
			if err = result.Err; err == nil {
				a.results = append(a.results, result)
			}
		}
		var refused *pgconn.PgError
		switch {
		case errors.As(err, &refused):
			a.refused = refused
			if refused.Severity != "ERROR" {
				return a, err
			}
		case err != nil:
			return a, err
		case next == nil:
			return a, eris.New("pipeline ended early")
		}
		if _, ok := next.(*pgconn.PipelineSync); ok {
			return a, nil
		}
	}
}

// usable fails if nothing should be sent: the context has ended, the connection is closed, or bytes are waiting on it
// that answer no statement of ours.
func (c *Conn) usable(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return eris.Wrap(err, "before sending")
	}
	if c.closed || c.pg.IsClosed() {
		return eris.New("connection closed")
	}
	socket, ok := c.pg.Conn().(syscall.Conn)
	if !ok {
		return nil
	}
	return peek(socket)
}

// peek reports an end of stream, or bytes that nobody asked for, without consuming them.
func peek(socket syscall.Conn) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return eris.Wrap(err, "socket")
	}
	var n int
	var received error
	err = raw.Control(func(fd uintptr) {
		var buffer [1]byte
		n, _, received = syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return eris.Wrap(err, "socket")
	case errors.Is(received, syscall.EAGAIN):
		return nil
	case received != nil:
		return eris.Wrap(received, "socket")
	case n == 0:
		return eris.Wrap(net.ErrClosed, "closed by the server")
	}
	return eris.New("unexpected bytes from the server")
}

func values(arguments []*string) [][]byte {
	out := make([][]byte, len(arguments))
	for i, a := range arguments {
		if a != nil {
			out[i] = []byte(*a)
		}
	}
	return out
}

// rows converts a server's answer.
func (c *Conn) rows(r *pgconn.Result) driver.Result {
	out := driver.Result{RowsAffected: r.CommandTag.RowsAffected(), Position: c.position()}
	for _, f := range r.FieldDescriptions {
		out.Columns = append(out.Columns, f.Name)
	}
	for _, row := range r.Rows {
		converted := make([]*string, len(row))
		for i, v := range row {
			if v != nil {
				s := string(v)
				converted[i] = &s
			}
		}
		out.Rows = append(out.Rows, converted)
	}
	return out
}
