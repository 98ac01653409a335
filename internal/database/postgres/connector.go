// Package postgres connects to database servers over the PostgreSQL protocol.
//
// Statements are pipelined: a read is one round trip; a write is two, the second of which stores the result in the
// request record and commits. No caller's key reaches the package.
//
// # Usage
//
//	var connector postgres.Connector
//	conn, err := connector.Connect(ctx, driver.Server{Name: "meals-1-a", Address: "127.0.0.1:5432"})
//	if err != nil {
//		return err
//	}
//	defer conn.Close()
//
// # Failures
//
// Every error is a *driver.Error. Once bytes were sent and the answer did not arrive whole, the kind is ResponseLost and the
// connection is closed, so that a late answer cannot reach a later call.
package postgres

import (
	"cmp"
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"

	"tanagercross/internal/database/driver"
)

const (
	name             = "tanagercross" // application, and by default user and database
	connectionString = "sslmode=disable"

	defaultConnectTimeout = 5 * time.Second
	laneIdleTimeout       = 6 * time.Second // a server closes a silent lane connection after this
	maximumResult         = 16 << 10        // bytes of a stored result
)

// Connector opens connections over TCP. The zero value is ready for use.
type Connector struct {
	ConnectTimeout time.Duration // 0 is 5 s; the context can end it earlier
	User           string        // "" is tanagercross
	Database       string        // "" is tanagercross
	Password       string
	// Dial opens the TCP connection; nil is a plain dial.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

var (
	_ driver.Connector = Connector{}
	_ driver.Conn      = (*Conn)(nil)
)

// Connect opens a connection. It fails with kind TooManyConnections at the server's connection limit and otherwise with Unreachable.
func (c Connector) Connect(ctx context.Context, s driver.Server) (driver.Conn, error) {
	config, err := pgconn.ParseConfig(connectionString)
	if err != nil {
		return nil, &driver.Error{Operation: "connect", Kind: driver.Unreachable, Err: eris.Wrap(err, "parse settings")}
	}
	host, port, err := net.SplitHostPort(s.Address)
	if err != nil {
		return nil, &driver.Error{Operation: "connect", Kind: driver.Unreachable, Err: eris.Wrap(err, "address")}
	}
	number, err := net.LookupPort("tcp", port)
	if err != nil {
		return nil, &driver.Error{Operation: "connect", Kind: driver.Unreachable, Err: eris.Wrap(err, "port")}
	}
	config.Host, config.Port, config.Fallbacks = host, uint16(number), nil
	// ParseConfig also reads PG* variables and files of the process's user; none of them may reach a server.
	config.User, config.Database, config.Password = cmp.Or(c.User, name), cmp.Or(c.Database, name), c.Password
	config.RuntimeParams = map[string]string{"application_name": name}
	config.ValidateConnect, config.AfterConnect = nil, nil
	config.ConnectTimeout = c.ConnectTimeout
	if config.ConnectTimeout == 0 {
		config.ConnectTimeout = defaultConnectTimeout
	}
	config.DialFunc = dialOnce(c.Dial)
	pg, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return nil, connectError(s, err)
	}
	return &Conn{pg: pg, server: s.Name}, nil
}

// dialOnce refuses all dials but the first. pgconn would otherwise dial again to cancel a statement, which takes a place
// at a server whose connections are scarce.
func dialOnce(dial pgconn.DialFunc) pgconn.DialFunc {
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	var dialled atomic.Bool
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if dialled.Swap(true) {
			return nil, eris.New("no second dial")
		}
		return dial(ctx, network, address)
	}
}

func connectError(s driver.Server, err error) error {
	e := &driver.Error{Operation: "connect", Kind: driver.Unreachable, Err: eris.Wrapf(err, "server %s", s.Name)}
	var p *pgconn.PgError
	if errors.As(err, &p) {
		e.Code = p.Code
		if p.Code == codeTooManyConnections {
			e.Kind = driver.TooManyConnections
		}
	}
	return e
}
