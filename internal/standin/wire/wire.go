// Package wire puts a stand-in cluster behind the interfaces of the users' platform: the metadata store and the promotion
// call over HTTP, and one listener of the line protocol for each server. Programs run against it as separate processes.
//
// # Usage
//
//	w, err := wire.Start(c, "meals-1-agreste", "meals-1-sertao")
//	defer w.Stop()
//	w.Configure(document)
//	settings := "platform.address=" + w.StoreAddress()
//	w.Server("meals-1-agreste").Set(wire.Silence)
//	w.SetAnswers(wire.AnswerFault{Repeat: 0.05, Least: time.Millisecond, Most: 80 * time.Millisecond})
//	for _, r := range w.Records() { ... }       // what arrived at the servers and what they answered
//
// It is written from the published protocol alone and shares no code with the adapter.
package wire

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"tanagercross/internal/standin/cluster"
)

const (
	replicationPeriod = 5 * time.Millisecond
	headerTimeout     = 2 * time.Second
)

// Platform is a running stand-in.
type Platform struct {
	cluster *cluster.Cluster
	store   *store
	front   *http.Server
	address string
	servers map[string]*server
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu          sync.Mutex
	answers     AnswerFault
	records     []Record
	connections int
	signatures  int
}

// Start serves the store and the listed servers of a cluster on loopback.
func Start(c *cluster.Cluster, ids ...string) (*Platform, error) {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Platform{cluster: c, servers: map[string]*server{}, ctx: ctx, cancel: cancel}
	p.store = &store{cluster: c, rows: map[rowKey]row{}, addresses: map[string]string{}, redirects: map[string]string{}}
	for _, id := range ids {
		s, err := p.listen(id)
		if err != nil {
			p.Stop()
			return nil, err
		}
		p.servers[id] = s
		p.store.addresses[id] = s.proxy.Address()
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		p.Stop()
		return nil, eris.Wrap(err, "listen for store calls")
	}
	p.address = listener.Addr().String()
	p.front = &http.Server{Handler: p.store, ReadHeaderTimeout: headerTimeout}
	p.running.Go(func() { _ = p.front.Serve(listener) })
	p.running.Go(p.replicate)
	return p, nil
}

func (p *Platform) replicate() {
	ticker := time.NewTicker(replicationPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.cluster.Replicate()
		case <-p.ctx.Done():
			return
		}
	}
}

// Stop ends all listeners and connections.
func (p *Platform) Stop() {
	p.cancel()
	if p.front != nil {
		_ = p.front.Close()
	}
	for _, s := range p.servers {
		s.stop()
	}
	p.running.Wait()
}

// StoreAddress is the address of the store and of the promotion call.
func (p *Platform) StoreAddress() string { return p.address }

// Configure writes the operator's configuration.
func (p *Platform) Configure(document any) error {
	value, err := json.Marshal(document)
	if err != nil {
		return eris.Wrap(err, "configuration")
	}
	p.store.put(rowKey{"op", "config"}, value)
	return nil
}

// Redirect makes rows that programs write name a proxy in place of an address, so that others call through the proxy.
func (p *Platform) Redirect(address string, proxy *Proxy) {
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	p.store.redirects[address] = proxy.Address()
}

// SetStore sets how the store misbehaves.
func (p *Platform) SetStore(f StoreFault) {
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	p.store.fault = f
}

// Server returns the proxy before a server.
func (p *Platform) Server(id string) *Proxy { return p.servers[id].proxy }

// Crash stops a server: its connections are reset and new ones refused.
func (p *Platform) Crash(id string) {
	p.cluster.Crash(id)
	p.servers[id].proxy.Set(Refuse)
}

// Restart brings a server back.
func (p *Platform) Restart(id string) {
	p.cluster.Restart(id)
	p.servers[id].proxy.Set(Pass)
}
