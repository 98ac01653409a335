package postgres_test

import (
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgproto3"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/postgres"
)

// Guards against a configured user, database or password that is not sent to the server, and against PG* environment
// variables of the process that are sent instead.
func TestCredentials(t *testing.T) {
	t.Setenv("PGUSER", "process")
	t.Setenv("PGPASSWORD", "process")
	for _, c := range []struct {
		connector postgres.Connector
		want      []string
	}{
		{postgres.Connector{}, []string{"tanagercross", "tanagercross", ""}},
		{postgres.Connector{User: "u", Database: "d", Password: "p"}, []string{"u", "d", "p"}},
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		got := make(chan []string, 1)
		go func() { got <- credentials(l) }()
		c.connector.ConnectTimeout = time.Second
		_, err = c.connector.Connect(t.Context(), driver.Server{Name: "a", Address: l.Addr().String()})
		wantKind(t, err, driver.Unreachable)
		if diff := cmp.Diff(c.want, <-got); diff != "" {
			t.Error(diff)
		}
		_ = l.Close()
	}
}

// credentials accepts one connection, requests a password and returns the user, database and password that the client
// sent. It returns nil if the client does not send them.
func credentials(l net.Listener) []string {
	conn, err := l.Accept()
	if err != nil {
		return nil
	}
	defer func() { _ = conn.Close() }()
	b := pgproto3.NewBackend(conn, conn)
	m, err := b.ReceiveStartupMessage()
	startup, ok := m.(*pgproto3.StartupMessage)
	if err != nil || !ok {
		return nil
	}
	b.Send(&pgproto3.AuthenticationCleartextPassword{})
	_ = b.SetAuthType(pgproto3.AuthTypeCleartextPassword)
	_ = b.Flush()
	answer, _ := b.Receive()
	p, ok := answer.(*pgproto3.PasswordMessage)
	if !ok {
		return nil
	}
	return []string{startup.Parameters["user"], startup.Parameters["database"], p.Password}
}
