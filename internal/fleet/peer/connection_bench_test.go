package peer

import (
	"net"
	"runtime"
	"testing"
	"time"

	"tanagercross/internal/fleet/exchange"
)

// BenchmarkConnections measures the memory of the connections to other members: heap and stacks of both ends of a
// connection that has had one exchange.
//
//	go test -run '^$' -bench Connections -benchtime 1x ./internal/fleet/peer
func BenchmarkConnections(b *testing.B) {
	const size = 500
	l := must(net.Listen("tcp", "127.0.0.1:0"))
	server := NewServer(NewHandler([]byte("secret"), emptyServices{}))
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	memory := func() int64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapInuse + m.StackInuse)
	}
	for b.Loop() {
		before := memory()
		var clients []*Client
		for range size {
			c := NewClient([]byte("secret"), nil)
			must(c.Exchange(b.Context(), l.Addr().String(), exchange.Message{}))
			clients = append(clients, c)
		}
		b.ReportMetric(float64(memory()-before)/size, "B/connection")
		for _, c := range clients {
			c.Close()
		}
	}
}

// BenchmarkIdle measures the bytes of an idle connection to another member, both directions without TCP. A connection
// is kept for 90 s after its last exchange.
//
//	go test -run '^$' -bench Idle -benchtime 1x ./internal/fleet/peer
func BenchmarkIdle(b *testing.B) {
	const seconds = 10
	l := &countingListener{Listener: must(net.Listen("tcp", "127.0.0.1:0"))}
	server := NewServer(NewHandler([]byte("secret"), emptyServices{}))
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	c := NewClient([]byte("secret"), nil)
	defer c.Close()
	must(c.Exchange(b.Context(), l.Addr().String(), exchange.Message{}))
	l.bytes.Store(0)
	for b.Loop() {
		time.Sleep(seconds * time.Second)
	}
	b.ReportMetric(float64(l.bytes.Load())/float64(b.N)/seconds, "wire-B/s")
}
