package wire

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"
)

// slowConn keeps what is written until it is closed. Closing takes a moment.
type slowConn struct {
	net.Conn
	closing chan struct{}

	mu      sync.Mutex
	written string
	closed  bool
}

func (c *slowConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, io.ErrClosedPipe
	}
	c.written += string(b)
	return len(b), nil
}

func (c *slowConn) Close() error {
	close(c.closing)
	time.Sleep(20 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	return nil
}

// Guards against a copy of another answer behind the half of one that is cut off, which is no answer that a server gives: a caller
// would read both as one line.
func TestNoCopyBehindACutAnswer(t *testing.T) {
	c := &slowConn{closing: make(chan struct{})}
	a := &answerer{fault: AnswerFault{Cut: 1}, random: rand.New(rand.NewPCG(1, 1)), conn: c}
	copied := make(chan bool)
	go func() {
		<-c.closing
		copied <- a.write("DONE 2\r\n")
	}()
	if a.send("DONE 1\r\n") {
		t.Error("the whole answer was written")
	}
	if <-copied || c.written != "DONE" {
		t.Errorf("%q was written, want the half of one answer", c.written)
	}
}
