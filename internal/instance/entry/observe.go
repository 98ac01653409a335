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
)

// slowStatement is the duration from which a successful statement is logged as slow.
const slowStatement = 300 * time.Millisecond

// observer writes one log line for each decision and counts it.
type observer struct {
	n       *Node
	log     *slog.Logger
	metrics *metric.Registry

	mu      sync.Mutex
	lost    map[string]time.Duration // dependencies and instances that do not answer, since when
	ignored map[string]string        // rows that name nothing, with the reason
}

func newObserver(n *Node, log *slog.Logger, m *metric.Registry) *observer {
	o := &observer{n: n, log: log, metrics: m, lost: map[string]time.Duration{}, ignored: map[string]string{}}
	m.Collect(o.gauges)
	return o
}

func (o *observer) gauges(emit metric.Emit) {
	n := o.n
	if n.table == nil || n.gates == nil || n.exchanges == nil {
		return // the instance is being started
	}
	now := n.boot()
	configuration, servers, _ := n.table.ReadTimes()
	emit(metric.ConfigurationAge, (now - configuration).Seconds())
	emit(metric.ServersAge, (now - servers).Seconds())
	emit(metric.ConfigurationInForce, float64(n.table.Configuration().Version))
	steward := 0.0
	if n.exchanges.steward() {
		steward = 1
	}
	emit(metric.Steward, steward)
	for id, g := range n.gates.all() {
		connections, transactions, load, opened := g.gate.Counts()
		label := metric.Label{Name: "server", Value: id}
		emit(metric.ServerConnections, float64(connections), label)
		emit(metric.ServerTransactions, float64(transactions), label)
		emit(metric.ServerLoad, float64(load), label)
		emit(metric.ServerOpened, float64(opened), label)
	}
}

// ConfigurationChanged implements view.Observer.
func (o *observer) ConfigurationChanged(before, after catalog.Configuration, read time.Duration) {
	o.log.Info("configuration in force", "version", after.Version, "before", before.Version, "age_ms", (o.n.boot() - read).Milliseconds())
}

// ServersChanged implements view.Observer.
func (o *observer) ServersChanged(before, after catalog.Servers, read time.Duration) {
	age := (o.n.boot() - read).Milliseconds()
	for _, s := range after.All() {
		if old, ok := before.Server(s.ID); !ok || old != s {
			o.log.Info("server", "server", s.ID, "group", s.Group, "place", s.Place, "address", s.Address, "role", string(s.Role),
				"leaving", s.Leaving, "born", s.Born, "new", !ok, "version", after.Version, "age_ms", age)
		}
	}
	for _, s := range before.All() {
		if _, ok := after.Server(s.ID); !ok {
			o.log.Info("server gone", "server", s.ID, "group", s.Group, "version", after.Version, "age_ms", age)
		}
	}
}

// LeaderChanged implements view.Observer. The table is locked, so that other instances are told later.
func (o *observer) LeaderChanged(before, after view.Leader) {
	o.metrics.Count(metric.LeaderChanges)
	o.log.Info("leader", "group", after.Group, "server", after.Server, "term", after.Term, "before", before.Server, "before_term", before.Term)
	if after.Server == "" {
		go o.n.guard.want()
		return
	}
	if after.Term > 0 {
		go o.n.exchanges.spread()
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

func bodyName(s statement.Statement) string {
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
	scopeNames = [...]string{"leader", "replica"}
	fateNames  = [...]string{"not_sent", "answered", "lost"}
	stepNames  = [...]string{"single", "first", "next", "end"}
)

// AttemptEnded implements dispatch.Observer.
func (o *observer) AttemptEnded(c statement.Call, server, through string, a statement.Answer, took time.Duration) {
	o.log.Info("attempt", "request", c.ID, "session", c.Session, "organisation", c.Organisation, "statement", bodyName(c.Body),
		"step", stepNames[c.Step], "scope", scopeNames[c.Scope], "server", server, "through", through,
		"after", c.After.String(), "fate", fateNames[a.Delivery], "code", string(a.Code), "text", a.Text,
		"position", a.Position.String(), "took_ms", took.Milliseconds())
	if a.OK() && !c.Writes() {
		o.metrics.Count(metric.ReadsServed, metric.Label{Name: "scope", Value: scopeNames[c.Scope]})
	}
}

// LeaderUnreachable implements dispatch.Observer.
func (o *observer) LeaderUnreachable(l view.Leader) {
	s, _ := o.n.table.Servers().Server(l.Server)
	o.n.guard.suspect(o.n.boot(), s)
}

// Retried implements dispatch.Observer.
func (o *observer) Retried(reason string) {
	o.metrics.Count(metric.StatementRetried, metric.Label{Name: "reason", Value: reason})
}

// Refused implements conversation.Observer.
func (o *observer) Refused(database, organisation, id string, code statement.Code, reason string) {
	o.metrics.Count(metric.StatementRefused, metric.Label{Name: "code", Value: string(code)})
	o.log.Info("refused", "request", id, "database", database, "organisation", organisation, "code", string(code), "reason", reason,
		"configuration", o.n.table.Configuration().Version)
}

// Answered implements conversation.Observer.
func (o *observer) Answered(database, organisation string, q statement.Query, a statement.Answer, took time.Duration) {
	o.metrics.Count(metric.Statements, metric.Label{Name: "code", Value: string(a.Code)})
	o.metrics.Statement(string(a.Code), took)
	if a.Code != "" || took > slowStatement {
		o.log.Info("answer", "request", q.ID, "database", database, "organisation", organisation, "statement", bodyName(q.Body),
			"fate", fateNames[a.Delivery], "code", string(a.Code), "text", a.Text, "took_ms", took.Milliseconds(),
			"configuration", o.n.table.Configuration().Version)
	}
}

// dependency logs when a dependency is lost or regained.
func (o *observer) dependency(name string, err error) {
	if err != nil {
		o.metrics.Count(metric.DependencyErrors, metric.Label{Name: "dependency", Value: name})
	}
	o.change(name, err)
}

func (o *observer) peerLost(name string, err error) { o.change("instance "+name, err) }

func (o *observer) peerFound(name string) { o.change("instance "+name, nil) }

func (o *observer) change(name string, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	since, lost := o.lost[name]
	switch {
	case err != nil && !lost:
		o.lost[name] = o.n.boot()
		o.log.Warn("dependency lost", "dependency", name, "error", err.Error())
	case err == nil && lost:
		delete(o.lost, name)
		o.log.Info("dependency regained", "dependency", name, "lost_ms", (o.n.boot() - since).Milliseconds())
	}
}

var _ dispatch.Observer = (*observer)(nil)
