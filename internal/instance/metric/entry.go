package metric

import "time"

// CounterName is the name of a counter of the entry instance.
type CounterName string

// Names of the counters of the entry instance.
const (
	Statements       CounterName = "tanagercross_statements_total"        // by code
	StatementRefused CounterName = "tanagercross_statement_refused_total" // by code and reason
	StatementRetried CounterName = "tanagercross_statement_retried_total" // by reason
	ReadsServed      CounterName = "tanagercross_reads_served_total"      // by scope
	TokensBorrowed   CounterName = "tanagercross_tokens_borrowed_total"   // from other places
	AnswersUnmatched CounterName = "tanagercross_answers_unmatched_total" // by reason
	LeaderChanges    CounterName = "tanagercross_leader_changes_total"
	CallersCutOff    CounterName = "tanagercross_callers_cut_off_total" // by reason
	Panics           CounterName = "tanagercross_panics_total"
	DependencyErrors CounterName = "tanagercross_dependency_errors_total" // by dependency
)

// StatementDuration is the histogram of statements as callers see them.
const StatementDuration = "tanagercross_statement_duration_seconds"

// Names of the gauges of the entry instance.
const (
	ConfigurationAge     GaugeName = "tanagercross_configuration_age_seconds"
	ServersAge           GaugeName = "tanagercross_servers_age_seconds"
	ConfigurationInForce GaugeName = "tanagercross_configuration_version"
	ServerConnections    GaugeName = "tanagercross_server_connections"
	ServerTransactions   GaugeName = "tanagercross_server_transactions"
	ServerLoad           GaugeName = "tanagercross_server_statements"
	ServerOpened         GaugeName = "tanagercross_server_connections_opened"
	ServerReplaced       GaugeName = "tanagercross_server_connections_replaced" // by server and reason
	CallerBytes          GaugeName = "tanagercross_caller_bytes"
	Steward              GaugeName = "tanagercross_steward"
)

// CallerCutOff counts a caller that was refused or disconnected because of a limit. Reasons must come from a small set.
func (r *Registry) CallerCutOff(reason string) { r.Count(CallersCutOff, Label{"reason", reason}) }

// Count adds one to a counter. Label values must come from small sets.
func (r *Registry) Count(name CounterName, labels ...Label) { r.count(string(name), labels...) }

// Add adds a number to a counter without labels.
func (r *Registry) Add(name CounterName, n int) { r.set.GetOrCreateCounter(string(name)).Add(n) }

// Statement records a statement's duration by its code.
func (r *Registry) Statement(code string, d time.Duration) {
	r.set.GetOrCreatePrometheusHistogramExt(series(StatementDuration, Label{"code", code}), latencyBounds).Update(d.Seconds())
}
