// Package postgres connects to database servers over the PostgreSQL protocol.
//
// Statements are pipelined. A read takes one round trip. A write takes two: the first runs the statement, the second
// stores its result in the request record and commits. API keys of callers are not passed to this package.
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
// Every error is a *driver.Error. If something was sent and the answer did not arrive completely, its kind is
// ResponseLost and the connection is closed, so that a late answer cannot be taken for that of a later call.
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
	defaultName      = "tanagercross" // application name; default user and database
	connectionString = "sslmode=disable"

	defaultConnectTimeout = 5 * time.Second
	laneIdleTimeout       = 6 * time.Second // the server closes an idle control connection after this
	maxStoredResult       = 16 << 10        // bytes of a result in a request record
)

// Connector opens connections over TCP. The zero value is ready for use.
type Connector struct {
	ConnectTimeout time.Duration // 0 means 5 s; the context can end the attempt earlier
	User           string        // "" means tanagercross
	Database       string        // "" means tanagercross
	Password       string
	// Dial opens the TCP connection; nil means net.Dialer.DialContext.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

var (
	_ driver.Connector = Connector{}
	_ driver.Conn      = (*Conn)(nil)
)

// Connect opens a connection. It fails with kind TooManyConnections if the server is at its connection limit, and with
// Unreachable in all other cases.
func (c Connector) Connect(ctx context.Context, s driver.Server) (driver.Conn, error) {
	config, err := pgconn.ParseConfig(connectionString)
	if err != nil {
		return nil, &driver.Error{Operation: "connect", Kind: driver.Unreachable, Err: eris.Wrap(err, "parse settings")}
	}
	host, port, err := net.SplitHostPort(s.Address)
	if err != nil {
		return nil, &driver.Error{Operation: "connect", Kind: driver.Unreachable, Err: eris.Wrap(err, "address")}
	}
	portNumber, err := net.LookupPort("tcp", port)
	if err != nil {
		return nil, &driver.Error{Operation: "connect", Kind: driver.Unreachable, Err: eris.Wrap(err, "port")}
	}
	config.Host, config.Port, config.Fallbacks = host, uint16(portNumber), nil
	// ParseConfig also reads PG* environment variables and files of the process's user. The assignments here overwrite
	// what it read, so that none of it reaches a server.
	config.User, config.Database, config.Password = cmp.Or(c.User, defaultName), cmp.Or(c.Database, defaultName), c.Password
	config.RuntimeParams = map[string]string{"application_name": defaultName}
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

// dialOnce returns a dial function that fails from its second call on. pgconn would otherwise open a second connection
// to cancel a statement, which counts towards the server's connection limit.
func dialOnce(dial pgconn.DialFunc) pgconn.DialFunc {
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	var dialled atomic.Bool
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if dialled.Swap(true) {
			return nil, eris.New("a second connection, to cancel a statement, is not allowed")
		}
		return dial(ctx, network, address)
	}
}

// connectError converts the error of a failed connection attempt.
func connectError(s driver.Server, err error) error {
	e := &driver.Error{Operation: "connect", Kind: driver.Unreachable, Err: eris.Wrapf(err, "server %s", s.Name)}
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		e.Code = pgErr.Code
		if pgErr.Code == codeTooManyConnections {
			e.Kind = driver.TooManyConnections
		}
	}
	return e
}
