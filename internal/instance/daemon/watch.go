package daemon

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/failover"
	"tanagercross/internal/fleet/exchange"
	"tanagercross/internal/fleet/roster"
	"tanagercross/internal/instance/event"
	"tanagercross/internal/service/store"
)

const (
	watchersPerGroup = 3
	watchTick        = 50 * time.Millisecond
	assignmentTick   = 250 * time.Millisecond
	evidenceKept     = 600 * time.Millisecond // three report periods; evidence that is not renewed is withdrawn
)

// watch is this instance's watcher of one group.
type watch struct {
	*Daemon
	group   string
	servers []driver.Server
	rank    int
	box     event.Box[failover.Event]
	watcher *failover.Watcher
	probers map[string]*prober
	stop    context.CancelFunc
}

// runWatches starts and stops watchers as the roster and the group list change.
func (d *Daemon) runWatches(ctx context.Context) {
	watches := map[string]*watch{}
	var assigned *snapshot
	defer func() {
		for _, w := range watches {
			w.stop()
		}
	}()
	for range d.ticks(ctx, assignmentTick) {
		// Ranking the watchers of each group takes long in a large fleet and changes with roster and list only.
		view := d.fleet.view()
		if assigned == nil || view.rosterChange != assigned.rosterChange || view.groupsVersion != assigned.groupsVersion {
			d.assignWatches(ctx, view, watches)
			assigned = view
		}
		d.withdrawEvidence()
	}
}

func (d *Daemon) assignWatches(ctx context.Context, view *snapshot, watches map[string]*watch) {
	wanted := map[string]bool{}
	for _, g := range view.groups {
		rank := rankOf(view.roster.Watchers(g.Name, watchersPerGroup), d.settings.Name)
		if rank < 0 {
			continue
		}
		wanted[g.Name] = true
		if w, ok := watches[g.Name]; ok {
			w.box.Put(failover.MembershipChanged{Servers: g.Servers, Rank: rank})
			continue
		}
		watches[g.Name] = d.startWatch(ctx, g, rank)
	}
	for name, w := range watches {
		if !wanted[name] {
			w.stop()
			delete(watches, name)
		}
	}
}

func rankOf(members []roster.Member, name string) int {
	return slices.IndexFunc(members, func(m roster.Member) bool { return m.Name == name })
}

func (d *Daemon) startWatch(ctx context.Context, g store.Group, rank int) *watch {
	ctx, stop := context.WithCancel(ctx)
	w := &watch{Daemon: d, group: g.Name, servers: g.Servers, rank: rank, probers: map[string]*prober{}, stop: stop}
	d.log.Info("watching group", "group", g.Name, "rank", rank)
	d.spawn(func() { w.run(ctx) })
	return w
}

func (w *watch) run(ctx context.Context) {
	// A watcher that starts anew in the same process must not use an earlier watcher's holder name.
	holder := fmt.Sprintf("%s/%d/%d", w.settings.Name, w.incarnation, w.watchCount.Add(1))
	settings := failover.Settings{Holder: holder, Rank: w.rank, Random: rand.Float64}
	w.watcher = failover.New(settings, w.servers, w.clock.Now())
	w.setServers(ctx, w.servers)
	ticks, cancel := w.clock.Subscribe(watchTick)
	defer cancel()
	w.spawn(func() {
		for range ticks {
			w.box.Put(failover.Tick{})
		}
	})
	for {
		events := w.box.Take(ctx)
		if events == nil {
			return
		}
		for _, e := range events {
			w.handle(ctx, e)
		}
	}
}

func (w *watch) handle(ctx context.Context, e failover.Event) {
	now := w.clock.Now()
	switch e := e.(type) {
	case failover.MembershipChanged:
		w.setServers(ctx, e.Servers)
	case failover.Tick:
		w.hear(ctx, now)
	}
	w.perform(ctx, w.watcher.Handle(e, now))
}

// hear feeds the watcher with the evidence and the primaries that other instances tell.
func (w *watch) hear(ctx context.Context, now time.Time) {
	term, _ := w.watcher.Primary()
	var reporters []string
	var shared exchange.GroupState
	w.fleet.read(func(s *exchange.State) {
		reporters = s.Reporters(w.group, term)
		shared, _ = s.Group(w.group)
	})
	for _, name := range reporters {
		// The last evidence of a member that is gone stays in its state and must not count as a second source.
		if name != w.settings.Name && w.liveness.alive(name) {
			w.perform(ctx, w.watcher.Handle(failover.PeerEvidence{From: name, Term: term}, now))
		}
	}
	if shared.Term > term && shared.Primary != "" {
		w.perform(ctx, w.watcher.Handle(failover.PrimaryAnnounced{Term: shared.Term, Primary: shared.Primary}, now))
	}
}

func (w *watch) perform(ctx context.Context, actions []failover.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case failover.Probe:
			w.submit(a.Server, a)
		case failover.Fence:
			w.log.Info("fencing server", "group", w.group, "server", a.Server, "term", a.Term)
			w.submit(a.Server, a)
		case failover.Promote:
			w.log.Info("promoting server", "group", w.group, "server", a.Server, "term", a.Term)
			w.submit(a.Server, a)
		case failover.ReportEvidence:
			w.report(ctx, a.Term)
		case failover.AnnouncePrimary:
			w.announce(ctx, a)
		}
	}
}

func (w *watch) submit(server string, a failover.Action) {
	if p, ok := w.probers[server]; ok {
		p.submit(a)
	}
}

// report tells the other watchers of the group that its primary does not work.
func (w *watch) report(ctx context.Context, term uint64) {
	if !w.evidence.add(exchange.Evidence{Group: w.group, Term: term}, w.clock.Now()) {
		return
	}
	w.shareOwn()
	for _, m := range w.fleet.view().roster.Watchers(w.group, watchersPerGroup) {
		if m.Name != w.settings.Name {
			w.spawn(func() { w.exchangeWith(ctx, m.Name) })
		}
	}
}

func (w *watch) announce(ctx context.Context, a failover.AnnouncePrimary) {
	w.log.Info("primary announced", "group", w.group, "term", a.Term, "primary", a.Primary)
	w.tableEvents.Put(announced{group: w.group, term: a.Term, primary: a.Primary})
	w.fleet.update(func(s *exchange.State, now time.Time) {
		s.MergeGroup(exchange.GroupState{Group: w.group, Term: a.Term, Primary: a.Primary}, now)
	})
	w.broadcast(ctx)
}

func (w *watch) setServers(ctx context.Context, servers []driver.Server) {
	for name, p := range w.probers {
		if !slices.ContainsFunc(servers, func(s driver.Server) bool { return s.Name == name && s.Address == p.server.Address }) {
			p.stop()
			delete(w.probers, name)
		}
	}
	for _, s := range servers {
		if _, ok := w.probers[s.Name]; ok {
			continue
		}
		ctx, stop := context.WithCancel(ctx)
		p := newProber(w.Daemon, s, w.box.Put)
		p.stop = stop
		w.probers[s.Name] = p
		w.spawn(func() { p.run(ctx) })
	}
}

// withdrawEvidence takes evidence back that the watchers no longer renew.
func (d *Daemon) withdrawEvidence() {
	if d.evidence.expire(d.clock.Now()) {
		d.shareOwn()
	}
}

// evidenceTable holds what this instance's watchers report, with the time of the last report.
type evidenceTable struct {
	mu       sync.Mutex
	reported map[exchange.Evidence]time.Time
}

func (t *evidenceTable) add(e exchange.Evidence, now time.Time) (fresh bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reported == nil {
		t.reported = map[exchange.Evidence]time.Time{}
	}
	_, known := t.reported[e]
	t.reported[e] = now
	return !known
}

func (t *evidenceTable) expire(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := len(t.reported)
	maps.DeleteFunc(t.reported, func(_ exchange.Evidence, at time.Time) bool { return now.Sub(at) > evidenceKept })
	return len(t.reported) != before
}

func (t *evidenceTable) list() []exchange.Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Keys(t.reported))
}
