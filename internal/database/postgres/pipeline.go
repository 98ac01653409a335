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

// pipelineResults holds the results of a pipeline's statements up to the first one that the server refused.
type pipelineResults struct {
	results []*pgconn.Result
	refused *pgconn.PgError // error of statement len(results); the server skipped the statements after it
}

// runPipeline runs the statements in one round trip. A statement that the server refuses is no error here, but is
// reported in the results. An error means that not all answers arrived, and the connection is closed. Its kind is
// Unreachable if nothing was sent, and ResponseLost otherwise.
func (c *Conn) runPipeline(ctx context.Context, operation string, statements ...driver.Statement) (pipelineResults, error) {
	if err := c.checkUsable(ctx); err != nil {
		c.Close()
		return pipelineResults{}, &driver.Error{Operation: operation, Kind: driver.Unreachable, Err: err}
	}
	p := c.pg.StartPipeline(ctx)
	for _, s := range statements {
		p.SendQueryParams(s.SQL, encodeArguments(s.Arguments), nil, nil, nil)
	}
	a, err := readResults(p)
	if closeErr := p.Close(); err == nil && a.refused == nil {
		err = closeErr
	}
	if err == nil && a.refused != nil && a.refused.Severity != "ERROR" {
		err = a.refused
	}
	if err == nil && a.refused == nil && len(a.results) != len(statements) {
		err = eris.Errorf("server sent %d results for %d statements", len(a.results), len(statements))
	}
	if err == nil {
		return a, nil
	}
	kind := driver.ResponseLost
	if pgconn.SafeToRetry(err) {
		kind = driver.Unreachable
	}
	c.Close()
	return pipelineResults{}, &driver.Error{Operation: operation, Kind: kind, Code: codeOf(err), Err: eris.Wrapf(err, "server %s", c.server)}
}

// readResults reads the results up to the end of the pipeline. An error other than severity ERROR, such as FATAL, ends
// the session, so it is returned as an error.
func readResults(p *pgconn.Pipeline) (pipelineResults, error) {
	var a pipelineResults
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
			return a, eris.New("results ended before the end of the pipeline")
		}
		if _, ok := next.(*pgconn.PipelineSync); ok {
			return a, nil
		}
	}
}

// checkUsable fails if nothing may be sent, because the context has ended, the connection is closed, or the socket holds
// bytes that belong to no statement.
func (c *Conn) checkUsable(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return eris.Wrap(err, "context ended before sending")
	}
	if c.closed || c.pg.IsClosed() {
		return eris.New("connection closed")
	}
	socket, ok := c.pg.Conn().(syscall.Conn)
	if !ok {
		return nil
	}
	return checkSocketEmpty(socket)
}

// checkSocketEmpty returns an error if the server has closed the connection or sent bytes that answer no statement. It
// peeks, so it consumes nothing.
func checkSocketEmpty(socket syscall.Conn) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return eris.Wrap(err, "socket")
	}
	var n int
	var recvErr error
	err = raw.Control(func(fd uintptr) {
		var buffer [1]byte
		n, _, recvErr = syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return eris.Wrap(err, "socket")
	case errors.Is(recvErr, syscall.EAGAIN):
		return nil
	case recvErr != nil:
		return eris.Wrap(recvErr, "socket")
	case n == 0:
		return eris.Wrap(net.ErrClosed, "closed by the server")
	}
	return eris.New("server sent bytes without a statement")
}

// encodeArguments converts text arguments to the protocol's parameters; nil is NULL.
func encodeArguments(arguments []*string) [][]byte {
	out := make([][]byte, len(arguments))
	for i, a := range arguments {
		if a != nil {
			out[i] = []byte(*a)
		}
	}
	return out
}

// toResult converts the result of a statement and adds the position that the server reported with it.
func (c *Conn) toResult(r *pgconn.Result) driver.Result {
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
