package api

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"testing"
)

// BenchmarkConnections measures the memory of open, idle connections of callers, each of which has had one request, over
// loopback. The client side of a connection is a bare socket; its share is included.
//
//	go test -run '^$' -bench Connections -benchtime 1x ./internal/instance/api
func BenchmarkConnections(b *testing.B) {
	for _, size := range []int{500, 1000, 1500, 2000} {
		b.Run(fmt.Sprintf("connections=%d", size), func(b *testing.B) {
			s := New(readyExecutor{}, Options{})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			go func() { _ = s.Serve(l) }()
			defer func() { _ = s.Shutdown(b.Context()) }()
			for b.Loop() {
				before := memory()
				conns := make([]net.Conn, 0, size)
				for range size {
					conns = append(conns, ask(b, l.Addr().String()))
				}
				used := memory() - before
				b.ReportMetric(float64(used)/float64(size), "B/connection")
				b.ReportMetric(float64(s.OpenConnections()), "open")
				for _, c := range conns {
					_ = c.Close()
				}
			}
		})
	}
}

type readyExecutor struct{ Executor }

// memory returns the bytes of heap and stacks in use.
func memory() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// ask opens a connection and reads the answer to one request, without keeping buffers.
func ask(b *testing.B, address string) net.Conn {
	c, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := fmt.Fprintf(c, "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		b.Fatal(err)
	}
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || answer.StatusCode != http.StatusNoContent {
		b.Fatal(answer, err)
	}
	return c
}
