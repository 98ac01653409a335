package daemon

import (
	"context"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/failover"
)

const (
	// probeTimeout covers a new connection between regions; silence is judged by the watcher, not by this limit.
	probeTimeout = 700 * time.Millisecond
	fenceTimeout = time.Second
	proberQueue  = 8
)

// prober runs the actions of a watcher on one server, one at a time on one connection.
type prober struct {
	*Daemon
	server driver.Server
	jobs   chan failover.Action
	conn   driver.Conn
	put    func(failover.Event)
	stop   context.CancelFunc
}

func newProber(d *Daemon, s driver.Server, put func(failover.Event)) *prober {
	return &prober{Daemon: d, server: s, jobs: make(chan failover.Action, proberQueue), put: put}
}

// submit queues an action. A probe that finds the queue in use is dropped, because the server's silence says enough.
func (p *prober) submit(a failover.Action) {
	if _, probe := a.(failover.Probe); probe && len(p.jobs) > 0 {
		return
	}
	select {
	case p.jobs <- a:
	default:
	}
}

func (p *prober) run(ctx context.Context) {
	defer p.drop()
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-p.jobs:
			p.perform(ctx, a)
		}
	}
}

func (p *prober) perform(ctx context.Context, a failover.Action) {
	switch a := a.(type) {
	case failover.Probe:
		p.probe(ctx)
	case failover.Fence:
		status, err := p.call(ctx, fenceTimeout, func(ctx context.Context, c driver.Conn) (driver.Status, error) {
			return c.Fence(ctx, a.Term, a.Holder)
		})
		p.put(failover.FenceResult{Server: a.Server, Term: a.Term, Status: status, Kind: kindOf(err)})
	case failover.Promote:
		status, err := p.call(ctx, fenceTimeout, func(ctx context.Context, c driver.Conn) (driver.Status, error) {
			return c.Promote(ctx, a.Term, a.Holder)
		})
		p.put(failover.PromoteResult{Server: a.Server, Term: a.Term, Status: status, Kind: kindOf(err)})
	}
}

func kindOf(err error) driver.Kind {
	if err == nil {
		return ""
	}
	return driver.KindOf(err)
}

func (p *prober) probe(ctx context.Context) {
	asked := p.clock.Now()
	status, err := p.call(ctx, probeTimeout, func(ctx context.Context, c driver.Conn) (driver.Status, error) {
		return c.Status(ctx)
	})
	p.put(failover.ProbeResult{Server: p.server.Name, Status: status, Failed: err != nil, RequestedAt: asked})
	if err != nil {
		p.tableEvents.Put(unreachable{server: p.server.Name})
		return
	}
	p.tableEvents.Put(observed{status: status, asked: asked})
}

// call runs one call on the connection, which it opens if needed and drops after a failure.
func (p *prober) call(
	ctx context.Context, timeout time.Duration, f func(context.Context, driver.Conn) (driver.Status, error),
) (driver.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if p.conn == nil {
		conn, err := p.connector.Connect(ctx, p.server)
		if err != nil {
			return driver.Status{}, err
		}
		p.conn = conn
	}
	status, err := f(ctx, p.conn)
	if err != nil && !p.conn.Clean() || driver.KindOf(err) == driver.ResponseLost && err != nil {
		p.drop()
	}
	return status, err
}

func (p *prober) drop() {
	if p.conn != nil {
		p.conn.Close()
		p.conn = nil
	}
}
