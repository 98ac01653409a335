package wire

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"tanagercross/internal/standin/network"
)

// Fault is what a proxy does to connections.
type Fault uint8

// Faults of a proxy.
const (
	Pass      Fault = iota
	Delay           // passes bytes late
	Silence         // accepts and passes nothing in either direction
	DropAsked       // passes nothing towards the target
	DropReply       // passes nothing back from the target
	Refuse          // resets what is open and refuses new connections
)

const (
	proxyDelay  = 60 * time.Millisecond
	proxyPoll   = 20 * time.Millisecond
	proxyBuffer = 16 << 10
)

// Proxy passes connections on to one address and harms them on demand.
type Proxy struct {
	address string
	target  string

	mu       sync.Mutex
	fault    Fault
	listener net.Listener
	open     map[net.Conn]bool
	stopped  bool
}

// NewProxy listens on a loopback address of its own.
func NewProxy(target string) (*Proxy, error) {
	addresses, err := network.FreeAddresses(1)
	if err != nil {
		return nil, err
	}
	p := &Proxy{address: addresses[0], target: target, open: map[net.Conn]bool{}}
	return p, p.listen()
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.address }

func (p *Proxy) listen() error {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return eris.Wrap(err, "proxy")
	}
	p.listener = l
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return nil
}

// Set changes the fault. Refuse resets the open connections; the other faults also affect connections that are open.
func (p *Proxy) Set(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.fault
	p.fault = f
	if f == Refuse && before != Refuse {
		_ = p.listener.Close()
		p.resetOpen()
	}
	if f != Refuse && before == Refuse && !p.stopped {
		// The address is the proxy's own, so that listening again fails only if the process is out of descriptors.
		if err := p.listen(); err != nil {
			panic(err)
		}
	}
}

// Reset breaks the open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetOpen()
}

func (p *Proxy) resetOpen() {
	for conn := range p.open {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// Stop ends the proxy.
func (p *Proxy) Stop() {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	p.Set(Refuse)
}

func (p *Proxy) current() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *Proxy) keep(conn net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !open {
		delete(p.open, conn)
		return
	}
	p.open[conn] = true
	if p.stopped {
		_ = conn.Close()
	}
}

func (p *Proxy) serve(near net.Conn) {
	p.keep(near, true)
	defer p.keep(near, false)
	defer func() { _ = near.Close() }()
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		if tcp, ok := near.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return
	}
	p.keep(far, true)
	defer p.keep(far, false)
	defer func() { _ = far.Close() }()
	ended := make(chan struct{}, 2)
	go func() { p.copy(far, near, DropAsked); ended <- struct{}{} }()
	go func() { p.copy(near, far, DropReply); ended <- struct{}{} }()
	<-ended
}

// copy passes bytes on in one direction. Bytes that a fault drops are never passed: the connection is useless after it.
func (p *Proxy) copy(to, from net.Conn, dropping Fault) {
	buffer := make([]byte, proxyBuffer)
	lost := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch f := p.current(); {
		case f == Silence || f == dropping:
			lost = true
		case f == Delay:
			time.Sleep(proxyDelay)
		}
		for lost && p.current() != Refuse {
			// A peer that hears nothing decides by itself when it gives up.
			_ = from.SetReadDeadline(time.Now().Add(proxyPoll))
			if _, err := from.Read(buffer); err != nil && !isTimeout(err) {
				return
			}
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}
