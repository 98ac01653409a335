package scenario

import (
	"net"
	"os"
	"testing"
)

// Guards against links that take a connection for that of another process, so that a cut would not strike it.
func TestOwnerOfConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	own := map[int]string{os.Getpid(): "own", os.Getppid(): "parent"}
	if got := ownerOf(client.LocalAddr(), client.RemoteAddr(), own); got != "own" {
		t.Errorf("owner %q, want own", got)
	}
	if got := ownerOf(client.LocalAddr(), client.RemoteAddr(), map[int]string{os.Getppid(): "parent"}); got != "" {
		t.Errorf("owner %q, want none", got)
	}
}
