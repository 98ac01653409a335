// Package platform is a small stand-in for the platform's table service, object store and lists.
//
// # Usage
//
//	s, err := platform.Start(ctx, platform.Config{Address: "127.0.0.1:0", ControlAddress: "127.0.0.1:0"})
//	if err != nil {
//		return err
//	}
//	defer s.Stop()
//	s.SetOutage(true)
//
// The control port has GET and PUT /faults, PUT /groups, PUT /instances, PUT /leaving?server=NAME&leaving=true and
// GET /counters, all in JSON.
package platform

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"tanagercross/internal/service/store"
)

// Defaults and limits.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
	// A call over the rate waits at most this long before it is refused.
	maximumRateWait   = 100 * time.Millisecond
	maximumBodyBytes  = 64 << 20
	keptListings      = 256
	readHeaderTimeout = 5 * time.Second
	burstFraction     = 10 // the burst is a tenth of a second of calls
)

// Config configures a Server. Empty addresses mean a free port of the loopback interface.
type Config struct {
	Address         string
	ControlAddress  string
	File            string // keeps the table over restarts if set
	WritesPerSecond int
	ReadsPerSecond  int
	Groups          []store.Group
	Instances       []store.ListedInstance
}

// Counters are the calls since the start. Refused calls are counted only in Refused.
type Counters struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Refused uint64 `json:"refused"`
}

// Server is a running stand-in.
type Server struct {
	table    *table
	state    state
	reads    *rate.Limiter
	writes   *rate.Limiter
	count    struct{ reads, writes, refused atomic.Uint64 }
	listener net.Listener
	control  net.Listener
	servers  [2]*http.Server
	group    errgroup.Group
	cancel   context.CancelFunc
}

// Start starts a stand-in that runs until Stop or the end of the context.
func Start(ctx context.Context, c Config) (*Server, error) {
	if c.WritesPerSecond <= 0 {
		c.WritesPerSecond = DefaultWritesPerSecond
	}
	if c.ReadsPerSecond <= 0 {
		c.ReadsPerSecond = DefaultReadsPerSecond
	}
	t, err := openTable(c.File)
	if err != nil {
		return nil, err
	}
	s := &Server{table: t, reads: limiter(c.ReadsPerSecond), writes: limiter(c.WritesPerSecond)}
	s.SetGroups(c.Groups)
	s.SetInstances(c.Instances)
	if s.listener, err = listen(c.Address); err != nil {
		return nil, err
	}
	if s.control, err = listen(c.ControlAddress); err != nil {
		s.listener.Close()
		return nil, err
	}
	ctx, s.cancel = context.WithCancel(ctx)
	base := func(net.Listener) context.Context { return ctx }
	s.servers[0] = &http.Server{Handler: s.handler(), ReadHeaderTimeout: readHeaderTimeout, BaseContext: base}
	s.servers[1] = &http.Server{Handler: s.controlHandler(), ReadHeaderTimeout: readHeaderTimeout, BaseContext: base}
	s.group.Go(func() error { return s.servers[0].Serve(s.listener) })
	s.group.Go(func() error { return s.servers[1].Serve(s.control) })
	s.group.Go(func() error {
		<-ctx.Done()
		s.servers[0].Close()
		return s.servers[1].Close()
	})
	return s, nil
}

func limiter(perSecond int) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, perSecond/burstFraction))
}

func listen(address string) (net.Listener, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	return l, eris.Wrap(err, "listen")
}

// Stop closes the ports and all connections and waits for the loops.
func (s *Server) Stop() {
	s.cancel()
	_ = s.group.Wait()
}

// Addr returns host:port of the platform surface.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// ControlAddr returns host:port of the control surface.
func (s *Server) ControlAddr() string { return s.control.Addr().String() }

// Counters returns the calls served so far.
func (s *Server) Counters() Counters {
	return Counters{
		Reads: s.count.reads.Load(), Writes: s.count.writes.Load(), Refused: s.count.refused.Load(),
	}
}
