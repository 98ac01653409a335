package daemon

import (
	"time"

	"tanagercross/internal/fleet/document"
	"tanagercross/internal/fleet/exchange"
	"tanagercross/internal/instance/metric"
	"tanagercross/internal/instance/operator"
)

// gauges returns the function that emits the gauges of the instance. Only servers whose lanes are held here have series,
// so their number does not grow with the fleet.
func (d *Daemon) gauges(callerConnections func() int) func(metric.Emit) {
	return func(emit metric.Emit) {
		emit(metric.OpenConnections, float64(callerConnections()))
		emit(metric.RetryBudgetTokens, d.engine.RetryTokens())
		if age, ok := d.storeAge(d.clock.Now()); ok {
			emit(metric.StoreAge, age.Seconds())
		}
		transactions := 0
		for _, u := range d.pool.Usage() {
			transactions += u.Transactions
			server := metric.Label{Name: "server", Value: u.Server}
			emit(metric.LanesHeld, float64(u.Lanes), server)
			emit(metric.PoolConnections, float64(u.Connections), server)
			emit(metric.PoolIdle, float64(u.Idle), server)
			emit(metric.PoolInFlight, float64(u.InFlight), server)
			emit(metric.QueueLength, float64(u.Queued), server)
			emit(metric.QueueOldest, u.Oldest.Seconds(), server)
		}
		emit(metric.OpenTransactions, float64(transactions))
	}
}

func (d *Daemon) storeAge(now time.Time) (age time.Duration, ok bool) {
	d.fleet.read(func(s *exchange.State) { age, ok = s.StoreAge(now) })
	return age, ok
}

// addVersions fills in the document versions that a member was last seen with.
func (d *Daemon) addVersions(m *operator.Member) {
	d.fleet.read(func(s *exchange.State) {
		versions, _ := s.VersionsOf(m.Name)
		for _, v := range versions {
			switch v.Name {
			case document.Roster:
				m.RosterVersion = v.Version
			case document.Configuration:
				m.ConfigurationVersion = v.Version
			case document.Keys:
				m.KeysVersion = v.Version
			case document.Groups:
				m.GroupsVersion = v.Version
			}
		}
	})
}

// readShares returns the reasons for which reads were served, without those that have not occurred.
func (d *Daemon) readShares() []operator.Reads {
	counts := d.metric.Reads()
	var total uint64
	for _, c := range counts {
		total += c.Count
	}
	var shares []operator.Reads
	for _, c := range counts {
		if c.Count > 0 {
			shares = append(shares, operator.Reads{
				Role: string(c.Role), Reason: string(c.Reason), Count: c.Count, Share: float64(c.Count) / float64(total),
			})
		}
	}
	return shares
}
