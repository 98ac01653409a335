package scenario

import (
	"fmt"
	"io"
	"net"
	"path"
	"strings"
	"sync"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

// toxic is a fault on a link, in the form of toxiproxy.
type toxic struct {
	kind       string // timeout: a cut; latency; reset_peer
	stream     string // upstream: from the source to the destination
	attributes string // JSON
}

// links holds one toxiproxy proxy for each pair of source and destination. All sources of a destination use one
// address, since the group list and the roster name one; the source is found by the owner of the connection's socket.
type links struct {
	server *toxiproxy.ApiServer
	source func(client, server net.Addr) string

	mu      sync.Mutex
	targets map[string]*target
	proxies map[string]*toxiproxy.Proxy // by link, "source>destination"
	faults  map[string][]toxic          // by pattern of links
}

// target is a destination with the listener that its sources use. The listener is closed while the destination is down,
// so that connections to it are refused as they would be without links.
type target struct {
	name, address, upstream string
	listener                net.Listener
}

func newLinks(source func(client, server net.Addr) string) *links {
	return &links{
		server: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()), source: source,
		targets: map[string]*target{}, proxies: map[string]*toxiproxy.Proxy{}, faults: map[string][]toxic{},
	}
}

// add reserves an address for the sources of a destination. The key tells its listeners apart.
func (l *links) add(key, name, upstream string) (string, error) {
	address, err := freeAddress()
	if err != nil {
		return "", err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.targets[key] = &target{name: name, address: address, upstream: upstream}
	return address, nil
}

// open starts the listener of a destination.
func (l *links) open(key string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, ok := l.targets[key]
	if !ok || t.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", t.address)
	if err != nil {
		return eris.Wrap(err, "link to "+t.name)
	}
	t.listener = listener
	go l.accept(t, listener)
	return nil
}

// shut ends the listener of a destination.
func (l *links) shut(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t, ok := l.targets[key]; ok && t.listener != nil {
		_ = t.listener.Close()
		t.listener = nil
	}
}

func (l *links) accept(t *target, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go l.forward(t, conn)
	}
}

func (l *links) forward(t *target, conn net.Conn) {
	proxy, err := l.proxy(l.source(conn.RemoteAddr(), conn.LocalAddr())+">"+t.name, t.upstream)
	if err != nil {
		_ = conn.Close()
		return
	}
	out, err := net.Dial("tcp", proxy.Listen)
	if err != nil {
		_ = conn.Close()
		return
	}
	copyUntilEnd := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		_ = to.Close()
		_ = from.Close()
	}
	go copyUntilEnd(out, conn)
	copyUntilEnd(conn, out)
}

// proxy returns the proxy of a link, with the faults that are in force.
func (l *links) proxy(link, upstream string) (*toxiproxy.Proxy, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p, ok := l.proxies[link]; ok {
		return p, nil
	}
	p := toxiproxy.NewProxy(l.server, link, "127.0.0.1:0", upstream)
	for pattern, toxics := range l.faults {
		if matches(pattern, link) {
			if err := apply(p, toxics); err != nil {
				return nil, err
			}
		}
	}
	if err := p.Start(); err != nil {
		return nil, eris.Wrap(err, "link "+link)
	}
	l.proxies[link] = p
	return p, nil
}

// matches reports whether a link is one of "source>destination", where each side may be a pattern of path.Match.
func matches(pattern, link string) bool {
	ok, err := path.Match(pattern, link)
	return ok && err == nil
}

func apply(p *toxiproxy.Proxy, toxics []toxic) error {
	for _, t := range toxics {
		name := t.kind + "_" + t.stream
		if p.Toxics.GetToxic(name) != nil {
			continue
		}
		text := fmt.Sprintf(`{"name": %q, "type": %q, "stream": %q, "attributes": %s}`, name, t.kind, t.stream, t.attributes)
		if _, err := p.Toxics.AddToxicJson(strings.NewReader(text)); err != nil {
			return eris.Wrap(err, "toxic "+name)
		}
	}
	return nil
}

// fault puts toxics on all links of a pattern, present and future.
func (l *links) fault(pattern string, toxics ...toxic) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults[pattern] = append(l.faults[pattern], toxics...)
	for link, p := range l.proxies {
		if matches(pattern, link) {
			if err := apply(p, toxics); err != nil {
				return err
			}
		}
	}
	return nil
}

// heal ends the faults of a pattern. Connections that were faulty are closed, as after a long cut.
func (l *links) heal(pattern string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.faults {
		if p != pattern && pattern != "*" {
			continue
		}
		delete(l.faults, p)
		l.drop(p)
	}
}

// reset closes the connections of all links of a pattern.
func (l *links) reset(pattern string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop(pattern)
}

// drop ends the proxies of a pattern; new connections make new ones. It needs the mutex.
func (l *links) drop(pattern string) {
	for link, proxy := range l.proxies {
		if matches(pattern, link) {
			proxy.Stop()
			delete(l.proxies, link)
		}
	}
}

func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.targets {
		if t.listener != nil {
			_ = t.listener.Close()
		}
	}
	for _, p := range l.proxies {
		p.Stop()
	}
}
