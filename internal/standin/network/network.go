// Package network gives connections on one machine the latencies of a network between places.
//
// # Usage
//
//	n := network.New(latency)                   // latency(from, to) is one way
//	n.Register("127.0.0.1:5432", "agreste")     // where an address is
//	conn, err := n.Dialer("sertao")(ctx, "tcp", "127.0.0.1:5432")
//
// Bytes keep their order. A cut holds bytes back in both directions until it ends, as lost packets do; new connections
// wait for its end or for the end of their context. A place that is down has lost its connections and refuses new ones.
package network

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Latency returns the one-way latency between two places.
type Latency func(from, to string) time.Duration

// Network knows where addresses are. It is safe for concurrent use.
type Network struct {
	latency Latency
	mu      sync.Mutex
	places  map[string]string
	cuts    map[[2]string]chan struct{} // closed when the cut ends
	within  map[string]string           // place of a location that is inside one
	tap     Tap
	down    map[string]bool
	conns   map[*conn]struct{}
	traffic map[[2]string]Traffic
}

// Tap sees the bytes that are sent to an address.
type Tap func(address string, data []byte)

// SetTap sets what sees the bytes of connections opened from now on.
func (n *Network) SetTap(t Tap) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tap = t
}

// New returns a network without addresses.
func New(latency Latency) *Network {
	return &Network{
		latency: latency, places: map[string]string{}, within: map[string]string{}, cuts: map[[2]string]chan struct{}{}, down: map[string]bool{},
		conns: map[*conn]struct{}{}, traffic: map[[2]string]Traffic{},
	}
}

// Register says in which place an address is.
func (n *Network) Register(address, place string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.places[address] = place
}

// Locate says that a location, for example an instance, is inside a place. A cut of the place also cuts the location.
func (n *Network) Locate(location, place string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.within[location] = place
}

// SetCut cuts two places or locations from each other, or ends the cut.
func (n *Network) SetCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := pair(a, b)
	if old, ok := n.cuts[key]; ok && !cut {
		close(old)
		delete(n.cuts, key)
	}
	if _, ok := n.cuts[key]; !ok && cut {
		n.cuts[key] = make(chan struct{})
	}
}

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// cutBetween returns a channel that is closed at the end of the cut, or nil without one.
func (n *Network) cutBetween(a, b string) chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, from := range []string{a, n.within[a]} {
		for _, to := range []string{b, n.within[b]} {
			if cut := n.cuts[pair(from, to)]; cut != nil {
				return cut
			}
		}
	}
	return nil
}

// Dialer returns the function that dials from a place.
func (n *Network) Dialer(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n.mu.Lock()
		to, known := n.places[address]
		tap := n.tap
		n.mu.Unlock()
		var dialer net.Dialer
		if !known {
			return dialer.DialContext(ctx, network, address)
		}
		if err := n.handshake(ctx, from, to); err != nil {
			return nil, err
		}
		if n.isDown(from) || n.isDown(to) {
			return nil, refusal(network)
		}
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, eris.Wrap(err, "dial")
		}
		delayed := newConn(conn, n, from, to)
		delayed.address, delayed.tap = address, tap
		if !n.track(delayed) {
			_ = delayed.Close()
			return nil, refusal(network)
		}
		return delayed, nil
	}
}

// handshake takes the round trip of a new connection.
func (n *Network) handshake(ctx context.Context, from, to string) error {
	if cut := n.cutBetween(from, to); cut != nil {
		select {
		case <-cut:
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "cut from "+to)
		}
	}
	select {
	case <-time.After(n.latency(from, to) + n.latency(to, from)):
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "dial "+to)
	}
}
