package daemon

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/instance/metric"
	"tanagercross/internal/session/outcome"
	"tanagercross/internal/session/route"
)

const (
	operatorsStop = time.Second
	peersStop     = 2 * time.Second
)

// serving is a server with its listener.
type serving struct {
	server interface {
		Serve(l net.Listener) error
		Shutdown(ctx context.Context) error
	}
	listener net.Listener
}

func (s *serving) listen(address netip.AddrPort) (err error) {
	s.listener, err = net.Listen("tcp", address.String())
	return eris.Wrap(err, "listen on "+address.String())
}

func (s *serving) start(d *Daemon) {
	d.spawn(func() {
		if err := s.server.Serve(s.listener); err != nil {
			d.log.Error("listener failed", "address", s.listener.Addr().String(), "error", err.Error())
		}
	})
}

func (d *Daemon) listen() error {
	for _, l := range []struct {
		serving *serving
		address netip.AddrPort
	}{
		{d.callers, d.settings.ListenCallers},
		{d.peers, d.settings.ListenPeers},
		{d.operators, d.settings.ListenOperators},
	} {
		if err := l.serving.listen(l.address); err != nil {
			return err
		}
	}
	d.address = d.settings.AdvertisePeers.String()
	if !d.settings.AdvertisePeers.IsValid() || d.settings.AdvertisePeers.Port() == 0 {
		d.address = d.peers.listener.Addr().String()
	}
	return nil
}

// CallersAddress returns host:port of the caller API.
func (d *Daemon) CallersAddress() string { return d.callers.listener.Addr().String() }

// OperatorsAddress returns host:port of the operators' API.
func (d *Daemon) OperatorsAddress() string { return d.operators.listener.Addr().String() }

// Stop drains the instance: it leaves, lets running work finish inside the drain deadline, gives up its lanes and homes
// and closes its listeners. It returns an error if requests had to be cut.
func (d *Daemon) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.settings.DrainDeadline)
	defer cancel()
	d.log.Info("draining", "deadline", d.settings.DrainDeadline.String())
	d.draining.Store(true)
	d.handOverHomes(ctx)
	d.shareOwn()
	d.broadcast(ctx)
	d.wait(ctx, leaveWait)
	err := d.callers.server.Shutdown(ctx)
	d.pool.Drain(ctx)
	d.shareOwn()
	d.broadcast(ctx)
	d.wait(ctx, leaseTick)
	d.close(d.peers, peersStop)
	d.stop()
	d.close(d.operators, operatorsStop)
	d.client.Close()
	d.tasks.Wait()
	d.log.Info("instance stopped", "cut", err != nil)
	return err
}

func (d *Daemon) close(s *serving, limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := s.server.Shutdown(ctx); err != nil {
		d.log.Debug("listener closed with open connections", "error", err.Error())
	}
}

// counter counts what the API does not see; it implements execution.Counter.
type counter struct{ registry *metric.Registry }

// Refused implements execution.Counter. The caller API counts refusals.
func (counter) Refused(outcome.Outcome, outcome.Reason) {}

// Retried implements execution.Counter.
func (c counter) Retried(r outcome.Reason) { c.registry.Retried(r) }

// Read implements execution.Counter.
func (c counter) Read(role driver.Role, cause route.Reason) { c.registry.ReadServed(role, cause) }
