package metric

import "time"

// CounterName is the name of a counter of the entry instance.
type CounterName string

// Names of the counters of the entry instance.
const (
	Statements       CounterName = "tanagercross_statements_total"        // by code
	StatementRefused CounterName = "tanagercross_statement_refused_total" // by code and reason
	StatementRetried CounterName = "tanagercross_statement_retried_total" // by reason
	Admissions       CounterName = "tanagercross_admissions_total"        // by priority and outcome
	ReadsServed      CounterName = "tanagercross_reads_served_total"      // by scope
	TokensBorrowed   CounterName = "tanagercross_tokens_borrowed_total"   // from other places
	TokensGranted    CounterName = "tanagercross_tokens_granted_total"    // to operations, by priority
	TokensRefused    CounterName = "tanagercross_tokens_refused_total"    // to operations, by priority
	AnswersUnmatched CounterName = "tanagercross_answers_unmatched_total" // by reason
	LeaderChanges    CounterName = "tanagercross_leader_changes_total"
	CallersCutOff    CounterName = "tanagercross_callers_cut_off_total" // by reason
	Panics           CounterName = "tanagercross_panics_total"
	DependencyErrors CounterName = "tanagercross_dependency_errors_total" // by dependency
	QueueLeft        CounterName = "tanagercross_server_queue_total"      // by priority and outcome
	// EvacuationsStarted counts the data centres whose evacuation the instance has learnt of.
	EvacuationsStarted  CounterName = "tanagercross_evacuations_total"
	SlowStarts          CounterName = "tanagercross_slow_starts_total"          // by cause
	EvacuationRollbacks CounterName = "tanagercross_evacuation_rollbacks_total" // transactions
)

// StatementDuration is the histogram of statements as callers see them.
const StatementDuration = "tanagercross_statement_duration_seconds"

// QueueWait is the histogram of the waits of statements that got their turn at a server, by priority.
const QueueWait = "tanagercross_server_queue_wait_seconds"

// Names of the gauges of the entry instance.
const (
	ConfigurationAge     GaugeName = "tanagercross_configuration_age_seconds"
	ServersAge           GaugeName = "tanagercross_servers_age_seconds"
	ConfigurationInForce GaugeName = "tanagercross_configuration_version"
	ServerConnections    GaugeName = "tanagercross_server_connections"
	ServerTransactions   GaugeName = "tanagercross_server_transactions"
	ServerLoad           GaugeName = "tanagercross_server_statements"
	ServerOpened         GaugeName = "tanagercross_server_connections_opened"
	ServerReplaced       GaugeName = "tanagercross_server_connections_replaced"  // by server and reason
	ServerExpectedWait   GaugeName = "tanagercross_server_expected_wait_seconds" // by server and priority
	ServerReportedWait   GaugeName = "tanagercross_server_reported_wait_seconds" // by server and priority, as its holder reported it
	ServerEvicted        GaugeName = "tanagercross_server_connections_evicted"   // by server and reason
	CallerBytes          GaugeName = "tanagercross_caller_bytes"
	Steward              GaugeName = "tanagercross_steward"
	ServerWindow         GaugeName = "tanagercross_server_window" // by server in a slow start
	Evacuated            GaugeName = "tanagercross_evacuated"     // by place
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

// Waited records the wait of a statement of a priority that got its turn at a server.
func (r *Registry) Waited(priority string, d time.Duration) {
	r.set.GetOrCreatePrometheusHistogramExt(series(QueueWait, Label{"priority", priority}), latencyBounds).Update(d.Seconds())
}
