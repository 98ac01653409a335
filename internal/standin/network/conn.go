package network

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	chunkBytes = 64 << 10
	chunks     = 256
)

// chunk is a piece of data with the time at which it arrives.
type chunk struct {
	data []byte
	due  time.Time
	err  error
}

// conn delays the bytes of a connection in both directions.
type conn struct {
	net.Conn
	network  *Network
	from, to string
	address  string
	tap      Tap

	out  chan chunk
	in   chan chunk // read from the socket
	here chan chunk // arrived
	rest []byte
	fail error

	once   sync.Once
	closed chan struct{}
	lost   atomic.Bool // the connection was dropped: what was written is not delivered

	mu       sync.Mutex
	deadline time.Time
	changed  chan struct{} // closed when the read deadline changes
}

func newConn(c net.Conn, n *Network, from, to string) *conn {
	delayed := &conn{
		Conn: c, network: n, from: from, to: to, out: make(chan chunk, chunks), in: make(chan chunk, chunks),
		here:   make(chan chunk),
		closed: make(chan struct{}), changed: make(chan struct{}),
	}
	go delayed.send()
	go delayed.receive()
	go delayed.deliver()
	return delayed
}

// Write implements net.Conn. It returns before the bytes arrive, as a socket does.
func (c *conn) Write(b []byte) (int, error) {
	data := append([]byte(nil), b...)
	if c.tap != nil {
		c.tap(c.address, data)
	}
	c.network.count(c.from, c.to, len(b))
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	case c.out <- chunk{data: data, due: time.Now().Add(c.network.latency(c.from, c.to))}:
		return len(b), nil
	}
}

func (c *conn) send() {
	for {
		select {
		case <-c.closed:
			c.flush()
			return
		case k := <-c.out:
			if !c.transit(k.due) {
				return
			}
			if _, err := c.Conn.Write(k.data); err != nil {
				return
			}
		}
	}
}

// flush delivers what was written before Close, as a socket does.
func (c *conn) flush() {
	defer func() { _ = c.Conn.Close() }()
	for !c.lost.Load() {
		select {
		case k := <-c.out:
			time.Sleep(time.Until(k.due))
			if c.network.cutBetween(c.from, c.to) != nil {
				return
			}
			if _, err := c.Conn.Write(k.data); err != nil {
				return
			}
		default:
			return
		}
	}
}

// transit waits until a chunk arrives, and reports false if the connection is closed first.
func (c *conn) transit(due time.Time) bool {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-c.closed:
		return false
	case <-timer.C:
	}
	for cut := c.network.cutBetween(c.from, c.to); cut != nil; cut = c.network.cutBetween(c.from, c.to) {
		select {
		case <-c.closed:
			return false
		case <-cut:
		}
	}
	return true
}

func (c *conn) receive() {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := c.Conn.Read(buffer)
		if n > 0 {
			c.network.count(c.from, c.to, n)
		}
		k := chunk{
			data: append([]byte(nil), buffer[:n]...), err: err, due: time.Now().Add(c.network.latency(c.to, c.from)),
		}
		select {
		case <-c.closed:
			return
		case c.in <- k:
		}
		if err != nil {
			return
		}
	}
}

func (c *conn) deliver() {
	for {
		select {
		case <-c.closed:
			return
		case k := <-c.in:
			if !c.transit(k.due) {
				return
			}
			select {
			case <-c.closed:
				return
			case c.here <- k:
			}
		}
	}
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	for len(c.rest) == 0 {
		if c.fail != nil {
			return 0, c.fail
		}
		if err := c.next(); err != nil {
			return 0, err
		}
	}
	n := copy(b, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// next waits for the next chunk until the read deadline.
func (c *conn) next() error {
	for {
		timeout, changed, stop := c.timeout()
		select {
		case <-c.closed:
			stop()
			return net.ErrClosed
		case <-timeout:
			return os.ErrDeadlineExceeded
		case <-changed:
			stop()
		case k := <-c.here:
			stop()
			c.rest, c.fail = k.data, k.err
			return nil
		}
	}
}

func (c *conn) timeout() (<-chan time.Time, <-chan struct{}, func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.deadline.IsZero() {
		return nil, c.changed, func() {}
	}
	timer := time.NewTimer(time.Until(c.deadline))
	return timer.C, c.changed, func() { timer.Stop() }
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	close(c.changed)
	c.changed = make(chan struct{})
	return nil
}

// SetDeadline implements net.Conn. Writes do not block, so that only reads have a deadline.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetWriteDeadline implements net.Conn.
func (*conn) SetWriteDeadline(time.Time) error { return nil }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.network.untrack(c)
	return nil
}

// drop closes the connection and discards what has not arrived.
func (c *conn) drop() {
	c.lost.Store(true)
	c.once.Do(func() { close(c.closed) })
	_ = c.Conn.Close()
}
