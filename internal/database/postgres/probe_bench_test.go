package postgres_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/postgres"
	"tanagercross/internal/standin/database"
)

// countedConn counts the bytes that it reads and writes.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkProbe measures the status request with which a watcher probes a server, and its bytes on the wire. The time
// includes the stand-in server. For a group of three servers a watcher sends 15 probes a second.
//
//	go test -run '^$' -bench Probe ./internal/database/postgres
func BenchmarkProbe(b *testing.B) {
	s, err := database.Start(b.Context(), database.Config{
		Name: "a", Address: "127.0.0.1:0", ReplicationAddress: "127.0.0.1:0", Directory: b.TempDir(), InitialPrimary: true,
	})
	if err != nil {
		b.Fatal(err)
	}
	defer s.Kill()
	var bytes atomic.Int64
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, address)
		return countedConn{c, &bytes}, err
	}
	c, err := postgres.Connector{Dial: dial}.Connect(b.Context(), driver.Server{Name: "a", Address: s.Addr()})
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	bytes.Store(0)
	for b.Loop() {
		if _, err := c.Status(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/op")
}
