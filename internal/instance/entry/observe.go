package entry

import (
	"log/slog"
	"sync"
	"time"

	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/fleet/view"
	"tanagercross/internal/instance/metric"
	"tanagercross/internal/request/dispatch"
	"tanagercross/internal/service/recovery"
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
	}
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

var _ dispatch.Observer = (*observer)(nil)
