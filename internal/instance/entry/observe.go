package entry

import (
	"fmt"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"tanagercross/internal/database/connplan"
	"tanagercross/internal/database/serverpool"
	"tanagercross/internal/database/serverqueue"
	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/fleet/view"
	"tanagercross/internal/instance/metric"
	"tanagercross/internal/organisation/allotment"
	"tanagercross/internal/request/admission"
	"tanagercross/internal/request/dispatch"
	"tanagercross/internal/request/placement"
	"tanagercross/internal/service/recovery"
	"tanagercross/internal/session/outcome"
)

// slowStatement is the duration above which a successful statement is logged.
const slowStatement = 300 * time.Millisecond

// observer logs and counts events of the node and its packages, and passes changes of leaders on to gossip and failover.
type observer struct {
	n       *Node
	log     *slog.Logger
	metrics *metric.Registry

	mu          sync.Mutex
	unreachable map[string]time.Duration // since when dependencies and instances do not answer
	ignored     map[string]string        // last reason for which a row was ignored, by key
}

func newObserver(n *Node, log *slog.Logger, m *metric.Registry) *observer {
	o := &observer{n: n, log: log, metrics: m, unreachable: map[string]time.Duration{}, ignored: map[string]string{}}
	m.Collect(o.gauges)
	return o
}

// gauges emits the current values of the gauges when metrics are collected.
func (o *observer) gauges(emit metric.Emit) {
	n := o.n
	if n.table == nil || n.pools == nil || n.gossip == nil {
		return // the instance is still starting
	}
	now := n.boot()
	configuration, servers, _ := n.table.ReadTimes()
	emit(metric.ConfigurationAge, (now - configuration).Seconds())
	emit(metric.ServersAge, (now - servers).Seconds())
	emit(metric.ConfigurationInForce, float64(n.table.Configuration().Version))
	isCoordinator := 0.0
	if n.gossip.isCoordinator() {
		isCoordinator = 1
	}
	emit(metric.Steward, isCoordinator)
	o.expectedWaits(emit)
	for _, place := range n.table.Evacuations() {
		emit(metric.Evacuated, 1, metric.Label{Name: "place", Value: place})
	}
	for id, g := range n.pools.snapshot() {
		connections, transactions, load, opened := g.pool.Counts()
		label := metric.Label{Name: "server", Value: id}
		emit(metric.ServerConnections, float64(connections), label)
		emit(metric.ServerTransactions, float64(transactions), label)
		emit(metric.ServerLoad, float64(load), label)
		emit(metric.ServerOpened, float64(opened), label)
		if window, paced := g.pool.Window(); paced {
			emit(metric.ServerWindow, float64(window), label)
		}
		replaced := g.pool.Replacements()
		emit(metric.ServerReplaced, float64(replaced.Unproven), label, metric.Label{Name: "reason", Value: "unproven"})
		emit(metric.ServerReplaced, float64(replaced.OutOfStep), label, metric.Label{Name: "reason", Value: "out_of_step"})
		if load := g.pool.QueueLoad(); load != nil {
			for priority, wait := range load.Wait {
				emit(metric.ServerExpectedWait, wait.Seconds(), label, priorityLabel(uint8(priority)))
			}
		}
		evicted := g.pool.Evictions()
		emit(metric.ServerEvicted, float64(evicted.Surplus), label, metric.Label{Name: "reason", Value: string(connplan.Surplus)})
		emit(metric.ServerEvicted, float64(evicted.Demand), label, metric.Label{Name: "reason", Value: string(connplan.Demand)})
	}
}

// QueueServed implements serverpool.QueueObserver.
func (o *observer) QueueServed(_ string, r serverqueue.Request, waited time.Duration) {
	o.countQueue(r, serverqueue.Served)
	o.metrics.Waited(strconv.Itoa(r.Level()), waited)
}

// QueueRefused implements serverpool.QueueObserver.
func (o *observer) QueueRefused(server string, r serverqueue.Refusal) {
	o.countQueue(r.Request, r.Outcome)
	fields := []any{
		"request", r.Request.ID, "server", server, "organisation", r.Request.Organisation, "priority", r.Request.Priority,
		"organisation_priority", r.Request.OrganisationPriority, "outcome", string(r.Outcome), "waited_ms", r.Waited.Milliseconds(),
		"expected_ms", r.Expected.Milliseconds(), "queued", r.Queued,
	}
	if r.Request.Deadline > 0 {
		fields = append(fields, "deadline_ms", (r.Request.Deadline - r.At).Milliseconds())
	}
	if r.Request.Goal > 0 {
		fields = append(fields, "goal_ms", (r.Request.Goal - r.At).Milliseconds())
	}
	if r.Outcome == serverqueue.Displaced {
		fields = append(fields, "for_request", r.For.ID, "for_organisation", r.For.Organisation, "for_priority", r.For.Priority,
			"for_transaction", r.For.InTransaction)
	}
	o.log.Info("queue refused", fields...)
}

func (o *observer) countQueue(r serverqueue.Request, outcome serverqueue.Outcome) {
	o.metrics.Count(metric.QueueLeft, priorityLabel(uint8(r.Level())), metric.Label{Name: "outcome", Value: string(outcome)})
}

// expectedWaits emits the wait of each server by priority that its holder reported lately.
func (o *observer) expectedWaits(emit metric.Emit) {
	if o.n.dispatcher == nil {
		return // the instance is still starting
	}
	for _, s := range o.n.table.Servers().All() {
		for priority := range uint8(statement.Priorities) {
			if wait, ok := o.n.dispatcher.ExpectedWait(s, priority); ok {
				emit(metric.ServerReportedWait, wait.Seconds(), metric.Label{Name: "server", Value: s.ID}, priorityLabel(priority))
			}
		}
	}
}

// priorityLabel returns the label of a priority. Lower priorities than those that queues distinguish count as the last one.
func priorityLabel(priority uint8) metric.Label {
	return metric.Label{Name: "priority", Value: strconv.Itoa(min(int(priority), statement.Priorities-1))}
}

// ConfigurationChanged implements view.Observer.
func (o *observer) ConfigurationChanged(before, after catalog.Configuration, read time.Duration) {
	o.log.Info("configuration in force", "version", after.Version, "before", before.Version, "age_ms", (o.n.boot() - read).Milliseconds())
}

// ServersChanged implements view.Observer.
func (o *observer) ServersChanged(before, after catalog.Servers, read time.Duration) {
	go o.n.serversStarted(before, after)
	age := (o.n.boot() - read).Milliseconds()
	for _, s := range after.All() {
		old, ok := before.Server(s.ID)
		old.ColdFor = s.ColdFor // it shrinks with each row of a cold server
		if !ok || old != s {
			o.log.Info("server", "server", s.ID, "group", s.Group, "place", s.Place, "address", s.Address, "role", string(s.Role),
				"leaving", s.Leaving, "born", s.StartedMS, "new", !ok, "version", after.Version, "age_ms", age)
		}
	}
	for _, s := range before.All() {
		if _, ok := after.Server(s.ID); !ok {
			o.log.Info("server gone", "server", s.ID, "group", s.Group, "version", after.Version, "age_ms", age)
		}
	}
}

// LeaderChanged implements view.Observer. The view is locked during the call, so that gossip and failover run later.
func (o *observer) LeaderChanged(before, after view.Leader) {
	o.metrics.Count(metric.LeaderChanges)
	o.log.Info("leader", "group", after.Group, "server", after.Server, "term", after.Term, "before", before.Server, "before_term", before.Term)
	if after.Server == "" {
		go o.n.failover.requestRefresh()
		return
	}
	go o.n.leaderPromoted(after)
	if after.Term > 0 {
		go o.n.gossip.notifyPlace()
	}
}

// RowIgnored implements view.Observer.
func (o *observer) RowIgnored(key string, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ignored[key] == err.Error() {
		return
	}
	o.ignored[key] = err.Error()
	o.log.Warn("row ignored", "row", key, "error", err.Error())
}

// statementName returns the name of a statement's kind for the log.
func statementName(s statement.Statement) string {
	switch s.(type) {
	case statement.Begin:
		return "begin"
	case statement.Commit:
		return "commit"
	case statement.Rollback:
		return "rollback"
	case statement.Read:
		return "read"
	case statement.Write:
		return "write"
	case statement.Set:
		return "set"
	case statement.Prepare:
		return "prepare"
	case statement.Execute:
		return "execute"
	}
	return "deallocate"
}

var (
	scopeNames    = [...]string{"leader", "replica"}
	deliveryNames = [...]string{"not_sent", "answered", "lost"}
	stepNames     = [...]string{"single", "first", "next", "end"}
)

// AttemptEnded implements dispatch.Observer.
func (o *observer) AttemptEnded(c statement.Call, server, through string, a statement.Answer, took time.Duration) {
	o.log.Info("attempt", "request", c.ID, "session", c.Session, "organisation", c.Organisation, "statement", statementName(c.Body),
		"step", stepNames[c.Step], "scope", scopeNames[c.Scope], "server", server, "through", through,
		"after", c.After.String(), "fate", deliveryNames[a.Delivery], "code", string(a.Code), "text", a.Text,
		"position", a.Position.String(), "took_ms", took.Milliseconds())
	if a.OK() && !c.Writes() {
		o.metrics.Count(metric.ReadsServed, metric.Label{Name: "scope", Value: scopeNames[c.Scope]})
	}
}

// LeaderUnreachable implements dispatch.Observer.
func (o *observer) LeaderUnreachable(l view.Leader) {
	s, _ := o.n.table.Servers().Server(l.Server)
	o.n.failover.reportFailure(o.n.boot(), s)
}

// Retried implements dispatch.Observer.
func (o *observer) Retried(reason string) {
	o.metrics.Count(metric.StatementRetried, metric.Label{Name: "reason", Value: reason})
}

// Admission implements dispatch.Observer.
func (o *observer) Admission(c statement.Call, database string, v admission.Verdict) {
	outcome := "admitted"
	if !v.Admitted {
		outcome = "refused"
		o.log.Info("call refused for overload", "request", c.ID, "session", c.Session, "database", database, "organisation", c.Organisation,
			"priority", c.Priority, "limit_ms", v.Limit.Milliseconds(), "wait_ms", v.Wait.Milliseconds(), "age_ms", v.Age.Milliseconds(),
			"reports", reportTexts(v.Reports), "refused_fraction", v.Refused, "retry_after_ms", v.RetryAfter.Milliseconds())
	}
	o.metrics.Count(metric.Admissions, priorityLabel(c.Priority), metric.Label{Name: "outcome", Value: outcome})
}

// reportTexts returns the reports on which a refusal is based in the form of the log.
func reportTexts(reports []placement.Report) []string {
	texts := make([]string, 0, len(reports))
	for _, r := range reports {
		texts = append(texts, fmt.Sprintf("%s: wait %d ms, %d ms old", r.Server, r.Wait.Milliseconds(), r.Age.Milliseconds()))
	}
	return texts
}

// RetryDenied implements dispatch.Observer.
func (o *observer) RetryDenied(c statement.Call, reason string) {
	o.metrics.Count(metric.Admissions, priorityLabel(c.Priority), metric.Label{Name: "outcome", Value: "retry_denied"})
	o.log.Info("retry denied", "request", c.ID, "session", c.Session, "organisation", c.Organisation, "priority", c.Priority, "reason", reason)
}

// Panicked implements dispatch.Observer and callersession.Observer.
func (o *observer) Panicked(part string, p recovery.Panic) {
	o.metrics.Count(metric.Panics)
	o.log.Error("panic", "part", part, "value", p.Value, "stack", p.Stack)
}

// panicked returns the handler of panics in a part of the instance.
func (o *observer) panicked(part string) func(recovery.Panic) {
	return func(p recovery.Panic) { o.Panicked(part, p) }
}

// Refused implements callersession.Observer.
func (o *observer) Refused(database, organisation, id string, code statement.Code, reason string) {
	o.metrics.Count(metric.StatementRefused, metric.Label{Name: "code", Value: string(code)})
	o.log.Info("refused", "request", id, "database", database, "organisation", organisation, "code", string(code), "reason", reason,
		"configuration", o.n.table.Configuration().Version)
}

// tokenDecided counts an operation that got a rate token or was refused, by the class of its priority.
func (o *observer) tokenDecided(c allotment.Class, refused outcome.Reason) {
	name := metric.TokensGranted
	if refused != "" {
		name = metric.TokensRefused
	}
	o.metrics.Count(name, metric.Label{Name: "priority", Value: strconv.Itoa(int(c))})
}

// Answered implements callersession.Observer.
func (o *observer) Answered(database, organisation string, q statement.Query, a statement.Answer, took time.Duration) {
	o.metrics.Count(metric.Statements, metric.Label{Name: "code", Value: string(a.Code)})
	o.metrics.Statement(string(a.Code), took)
	if a.Code != "" || took > slowStatement {
		o.log.Info("answer", "request", q.ID, "database", database, "organisation", organisation, "statement", statementName(q.Body),
			"fate", deliveryNames[a.Delivery], "code", string(a.Code), "text", a.Text, "took_ms", took.Milliseconds(),
			"configuration", o.n.table.Configuration().Version)
	}
}

// dependency records the result of a call to a dependency. It counts errors, and logs when the dependency stops and starts
// answering.
func (o *observer) dependency(name string, err error) {
	if err != nil {
		o.metrics.Count(metric.DependencyErrors, metric.Label{Name: "dependency", Value: name})
	}
	o.setReachable(name, err)
}

// peerUnreachable records that a call to an instance failed.
func (o *observer) peerUnreachable(name string, err error) { o.setReachable("instance "+name, err) }

// peerReachable records that an instance answered.
func (o *observer) peerReachable(name string) { o.setReachable("instance "+name, nil) }

// setReachable records whether a dependency or an instance answers, and logs a change.
func (o *observer) setReachable(name string, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	since, unreachable := o.unreachable[name]
	switch {
	case err != nil && !unreachable:
		o.unreachable[name] = o.n.boot()
		o.log.Warn("dependency lost", "dependency", name, "error", err.Error())
	case err == nil && unreachable:
		delete(o.unreachable, name)
		o.log.Info("dependency regained", "dependency", name, "lost_ms", (o.n.boot() - since).Milliseconds())
	}
}

var (
	_ dispatch.Observer        = (*observer)(nil)
	_ serverpool.QueueObserver = (*observer)(nil)
)
