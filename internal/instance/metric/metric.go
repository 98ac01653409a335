// Package metric counts what an instance does, in Prometheus text format.
//
// # Usage
//
//	r := metric.New()
//	r.Refused(outcome.QueueFull)
//	r.ReadServed(driver.Primary, route.PrimaryReplicaBehind)
//	r.Request("statements.run", outcome.Done, 3*time.Millisecond)
//	r.Collect(func(emit metric.Emit) {
//		emit(metric.QueueLength, float64(queue.Len()), metric.Label{Name: "server", Value: "meals-1-a"})
//	})
//	mux.Handle("GET /metrics", r.Handler())
//
// Label values come from fixed sets or from the group list, so that the number of series stays bounded. Organisations
// appear in no label: there may be many, and the log lines name them.
package metric

import (
	"bytes"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/session/outcome"
	"tanagercross/internal/session/route"
)

// Names of the counters and histograms.
const (
	Refusals        = "tanagercross_refusals_total"
	UnknownOutcomes = "tanagercross_unknown_outcomes_total"
	Retries         = "tanagercross_retries_total"
	Reads           = "tanagercross_reads_total"
	RequestDuration = "tanagercross_request_duration_seconds"
	VersionInForce  = "tanagercross_version_in_force"
)

// GaugeName is the name of a gauge.
type GaugeName string

// Names of the gauges of pools and queues.
const (
	PoolConnections   GaugeName = "tanagercross_pool_connections"
	PoolIdle          GaugeName = "tanagercross_pool_idle_connections"
	PoolInFlight      GaugeName = "tanagercross_pool_statements_in_flight"
	LanesHeld         GaugeName = "tanagercross_lanes_held"
	QueueLength       GaugeName = "tanagercross_queue_length"
	QueueOldest       GaugeName = "tanagercross_queue_oldest_seconds"
	OpenConnections   GaugeName = "tanagercross_caller_connections"
	OpenTransactions  GaugeName = "tanagercross_open_transactions"
	StoreAge          GaugeName = "tanagercross_store_age_seconds"
	RetryBudgetTokens GaugeName = "tanagercross_retry_budget_tokens"
)

// VersionName is the name of a versioned document.
type VersionName string

// Versioned documents.
const (
	RosterVersion        VersionName = "roster"
	ConfigurationVersion VersionName = "configuration"
	KeysVersion          VersionName = "keys"
	GroupsVersion        VersionName = "groups"
)

// Label is one label of a series.
type Label struct{ Name, Value string }

// latencyBounds in seconds; the target for added latency is 1 ms and the longest deadline is 60 s.
var latencyBounds = []float64{0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 60}

// Registry holds the series of one instance. Create it with New.
type Registry struct {
	set      *metrics.Set
	versions [len(versionNames)]atomic.Uint64
}

// New returns a registry in which the counters of every reason exist with value 0, so that rates of rare reasons are
// seen from the first event on.
func New() *Registry {
	r := &Registry{set: metrics.NewSet()}
	for _, reason := range NotRunReasons() {
		r.set.GetOrCreateCounter(series(Refusals, Label{"reason", string(reason)}))
	}
	for _, reason := range UnknownReasons() {
		r.set.GetOrCreateCounter(series(UnknownOutcomes, Label{"reason", string(reason)}))
	}
	for _, reason := range ReadReasons() {
		r.readCounter(roleOf(reason), reason)
	}
	for i, name := range versionNames {
		v := &r.versions[i]
		r.set.NewGauge(series(VersionInForce, Label{"document", string(name)}), func() float64 { return float64(v.Load()) })
	}
	return r
}

var versionNames = [...]VersionName{RosterVersion, ConfigurationVersion, KeysVersion, GroupsVersion}

// Refused counts a request that was not run.
func (r *Registry) Refused(reason outcome.Reason) { r.count(Refusals, Label{"reason", string(reason)}) }

// OutcomeUnknown counts a request whose outcome is unknown.
func (r *Registry) OutcomeUnknown(reason outcome.Reason) {
	r.count(UnknownOutcomes, Label{"reason", string(reason)})
}

// Retried counts another attempt of a request.
func (r *Registry) Retried(reason outcome.Reason) {
	r.count(Retries, Label{"reason", string(reason)})
}

// ReadServed counts a read by the role of the server that served it.
func (r *Registry) ReadServed(role driver.Role, reason route.Reason) {
	r.readCounter(role, reason).Inc()
}

// Request records the duration of a request by route and outcome.
func (r *Registry) Request(name string, o outcome.Outcome, d time.Duration) {
	full := series(RequestDuration, Label{"route", name}, Label{"outcome", string(o)})
	r.set.GetOrCreatePrometheusHistogramExt(full, latencyBounds).Update(d.Seconds())
}

// Version sets the version of a document that is in force.
func (r *Registry) Version(name VersionName, version uint64) {
	for i, n := range versionNames {
		if n == name {
			r.versions[i].Store(version)
		}
	}
}

// Handler serves the registry together with the figures of the process and the Go runtime.
func (r *Registry) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		var b bytes.Buffer
		r.set.WritePrometheus(&b)
		metrics.WriteProcessMetrics(&b)
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		_, _ = w.Write(b.Bytes())
	})
}

func (r *Registry) count(name string, labels ...Label) {
	r.set.GetOrCreateCounter(series(name, labels...)).Inc()
}

// labelEscaper escapes the value of a label as the text format of metrics defines it. Other bytes stand for themselves.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func series(name string, labels ...Label) string {
	if len(labels) == 0 {
		return name
	}
	var b strings.Builder
	b.WriteString(name)
	separator := byte('{')
	for _, l := range labels {
		b.WriteByte(separator)
		separator = ','
		b.WriteString(l.Name)
		b.WriteString(`="`)
		_, _ = labelEscaper.WriteString(&b, l.Value) // a strings.Builder does not fail
		b.WriteByte('"')
	}
	b.WriteByte('}')
	return b.String()
}
