package metric

import (
	"io"

	"github.com/VictoriaMetrics/metrics"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/session/route"
)

// Emit writes the present value of a gauge.
type Emit func(name GaugeName, value float64, labels ...Label)

// Collect registers a function that emits gauges at each scrape. It suits gauges whose labels come and go, such as those
// of the servers whose lanes are held. The function must be safe for concurrent use.
func (r *Registry) Collect(collect func(Emit)) {
	r.set.RegisterMetricsWriter(func(w io.Writer) {
		collect(func(name GaugeName, value float64, labels ...Label) {
			metrics.WriteGaugeFloat64(w, series(string(name), labels...), value)
		})
	})
}

// ReadReasons returns every reason for which a read is served.
func ReadReasons() []route.Reason {
	return []route.Reason{
		route.ReplicaSamePlace, route.ReplicaOtherPlace, route.ReplicaExpected, route.PrimaryRequested, route.PrimaryUnresolved,
		route.PrimaryNoReplica, route.PrimaryReplicaUnreachable, route.PrimaryReplicaLeaving, route.PrimaryReplicaOldBranch,
		route.PrimaryReplicaBehind, route.PrimaryReplicaOld, route.PrimaryReplicaTried,
	}
}

// ReadCount is the number of reads served for a reason.
type ReadCount struct {
	Role   driver.Role
	Reason route.Reason
	Count  uint64
}

// Reads returns the reads served so far, by reason.
func (r *Registry) Reads() []ReadCount {
	var counts []ReadCount
	for _, reason := range ReadReasons() {
		role := roleOf(reason)
		counts = append(counts, ReadCount{Role: role, Reason: reason, Count: r.readCounter(role, reason).Get()})
	}
	return counts
}

func (r *Registry) readCounter(role driver.Role, reason route.Reason) *metrics.Counter {
	return r.set.GetOrCreateCounter(series(Reads, Label{"role", string(role)}, Label{"reason", string(reason)}))
}

func roleOf(reason route.Reason) driver.Role {
	if reason.ByReplica() {
		return driver.Replica
	}
	return driver.Primary
}
