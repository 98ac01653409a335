package daemon

import (
	"tanagercross/internal/fleet/exchange"
	"tanagercross/internal/instance/metric"
)

// registerGauges exposes figures that are read when the metrics are asked for.
func (d *Daemon) registerGauges() {
	d.metric.Gauge(metric.LanesHeld, func() float64 { return float64(len(d.pool.Held())) })
	d.metric.Gauge(metric.OpenTransactions, func() float64 { return float64(d.pool.Transactions()) })
	d.metric.Gauge(metric.StoreAge, func() float64 {
		age := -1.0 // not yet known
		d.fleet.read(func(s *exchange.State) {
			if known, ok := s.StoreAge(d.clock.Now()); ok {
				age = known.Seconds()
			}
		})
		return age
	})
}
