package entry

import (
	"sync"
	"time"

	"tanagercross/internal/database/serverpool"
	"tanagercross/internal/database/slowstart"
	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/fleet/view"
	"tanagercross/internal/instance/metric"
)

const (
	// slowStartMemory is how long after an event a pool that is opened for the server begins with a slow start.
	slowStartMemory = 10 * time.Second
	// soleHolderTime is the time after an event in which no other holder can have got far with the slow start.
	soleHolderTime = 500 * time.Millisecond
)

// Causes of slow starts, as in logs and metrics.
const (
	causeStart      = "start"
	causePromotion  = "promotion"
	causeEvacuation = "evacuation"
)

// slowStarts remembers what gives servers a reason for a slow start, for pools that are opened later. The zero value is
// ready for use.
type slowStarts struct {
	mu        sync.Mutex
	events    map[string]slowStartEvent       // by server
	leaders   map[string]string               // last leader by group
	latencies map[string]*slowstart.Latencies // by group
}

// slowStartEvent is the last reason of a server.
type slowStartEvent struct {
	cause string
	at    time.Duration
}

// note records a reason for a server.
func (s *slowStarts) note(server, cause string, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.events == nil {
		s.events = map[string]slowStartEvent{}
	}
	for id, e := range s.events {
		if now-e.at > slowStartMemory {
			delete(s.events, id)
		}
	}
	s.events[server] = slowStartEvent{cause: cause, at: now}
}

// recent returns the last reason of a server, or false if there is none within slowStartMemory.
func (s *slowStarts) recent(server string, now time.Duration) (slowStartEvent, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.events[server]
	return e, ok && now-e.at <= slowStartMemory
}

// promoted records the leader of a group and reports whether it follows another one.
func (s *slowStarts) promoted(l view.Leader) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaders == nil {
		s.leaders = map[string]string{}
	}
	before := s.leaders[l.Group]
	s.leaders[l.Group] = l.Server
	return before != "" && before != l.Server
}

// latenciesOf returns the latencies of the servers of a group.
func (s *slowStarts) latenciesOf(group string) *slowstart.Latencies {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latencies == nil {
		s.latencies = map[string]*slowstart.Latencies{}
	}
	if s.latencies[group] == nil {
		s.latencies[group] = &slowstart.Latencies{}
	}
	return s.latencies[group]
}

// slowStartEnabled reports whether servers of a group begin with a slow start when they start, return or are promoted.
func (n *Node) slowStartEnabled(group string) bool {
	g, _ := n.table.Configuration().Group(group)
	return n.settings.PriorityScheduling || g.ColdPeriod > 0 || g.ColdRate > 0
}

// serversStarted records the servers that are new in the list or have started again. The first list says nothing about when
// its servers started.
func (n *Node) serversStarted(before, after catalog.Servers) {
	if len(before.All()) == 0 {
		return
	}
	for _, s := range after.All() {
		if old, ok := before.Server(s.ID); (!ok || old.StartedMS != s.StartedMS) && n.slowStartEnabled(s.Group) {
			n.pools.starts.note(s.ID, causeStart, n.boot())
		}
	}
}

// leaderPromoted begins a slow start at a server that leads after another one.
func (n *Node) leaderPromoted(l view.Leader) {
	if !n.pools.starts.promoted(l) || !n.slowStartEnabled(l.Group) {
		return
	}
	n.pools.starts.note(l.Server, causePromotion, n.boot())
	if o, ok := n.pools.snapshot()[l.Server]; ok {
		o.pool.BeginSlowStart(causePromotion, false)
	}
}

// evacuationEnded records the servers of a place whose evacuation has ended. Open pools begin their slow start when they are
// readmitted.
func (n *Node) evacuationEnded(place string) {
	for _, s := range n.table.Servers().All() {
		if s.Place == place {
			n.pools.starts.note(s.ID, causeEvacuation, n.boot())
		}
	}
}

// beginSlowStart begins a slow start in a pool that has just been opened, if there is a reason for one. If the reason is not
// new, another holder may have begun it.
func (g *pools) beginSlowStart(pool *serverpool.Pool, now time.Duration) {
	if e, ok := g.starts.recent(pool.Target().Server, now); ok {
		pool.BeginSlowStart(e.cause, now-e.at > soleHolderTime)
	}
}

// slowStartChanged logs and counts the progress of a slow start.
func (o *observer) slowStartChanged(s serverpool.SlowStart) {
	state := "window changed"
	switch {
	case s.Began:
		state = "began"
		o.metrics.Count(metric.SlowStarts, metric.Label{Name: "cause", Value: s.Cause})
	case s.Ended:
		state = "ended"
	}
	o.log.Info("slow start", "server", s.Server, "cause", s.Cause, "state", state, "window", s.Window, "slots", s.Slots,
		"took_ms", s.Took.Milliseconds())
}
