package network

import (
	"net"
	"syscall"
)

// Traffic counts what passed between two places.
type Traffic struct {
	Bytes  uint64
	Chunks uint64 // reads and writes of sockets, close to the number of messages
}

// Add returns the sum.
func (t Traffic) Add(o Traffic) Traffic {
	return Traffic{Bytes: t.Bytes + o.Bytes, Chunks: t.Chunks + o.Chunks}
}

// Sub returns the traffic since an earlier count.
func (t Traffic) Sub(o Traffic) Traffic {
	return Traffic{Bytes: t.Bytes - o.Bytes, Chunks: t.Chunks - o.Chunks}
}

// SetDown closes all connections from and to a place and refuses new ones, as the death of its processes does, or ends
// that state.
func (n *Network) SetDown(place string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[place] = down
	if !down {
		return
	}
	for c := range n.conns {
		if c.from == place || c.to == place {
			c.drop()
			delete(n.conns, c)
		}
	}
}

func (n *Network) isDown(place string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.down[place]
}

// track keeps a connection until it is closed, and reports false if one of its ends is down.
func (n *Network) track(c *conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.down[c.from] || n.down[c.to] {
		return false
	}
	n.conns[c] = struct{}{}
	return true
}

func (n *Network) untrack(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// count adds bytes that passed in either direction over connections from one place to another.
func (n *Network) count(from, to string, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := [2]string{from, to}
	n.traffic[key] = n.traffic[key].Add(Traffic{Bytes: uint64(bytes), Chunks: 1})
}

// TrafficOf returns the traffic, in both directions, of the connections for which accept returns true. Its arguments are
// the place that dialled and the place that was dialled.
func (n *Network) TrafficOf(accept func(from, to string) bool) Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	var sum Traffic
	for key, t := range n.traffic {
		if accept(key[0], key[1]) {
			sum = sum.Add(t)
		}
	}
	return sum
}

func refusal(network string) error {
	return &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
}
