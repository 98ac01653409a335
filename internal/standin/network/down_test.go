package network_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"tanagercross/internal/standin/network"
)

// Guards against a dead place whose bytes still arrive, that still takes connections, or whose traffic is not counted.
func TestDownLosesConnectionsAndBytes(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	n := network.New(func(string, string) time.Duration { return 50 * time.Millisecond })
	n.Register(l.Addr().String(), "b")
	conn, err := n.Dialer("a")(context.Background(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	server, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	if _, err := conn.Write([]byte("late")); err != nil {
		t.Fatal(err)
	}
	n.SetDown("a", true)
	got, _ := io.ReadAll(server)
	if _, err := conn.Read(make([]byte, 1)); len(got) != 0 || err == nil {
		t.Errorf("the server read %q, the client's read gave %v", got, err)
	}
	if _, err := n.Dialer("a")(context.Background(), "tcp", l.Addr().String()); err == nil {
		t.Error("a place that is down dialled")
	}
	n.SetDown("a", false)
	again, err := n.Dialer("a")(context.Background(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_ = again.Close()
	if sum := n.TrafficOf(func(from, to string) bool { return from == "a" && to == "b" }); sum != (network.Traffic{Bytes: 4, Chunks: 1}) {
		t.Errorf("traffic %+v", sum)
	}
}
