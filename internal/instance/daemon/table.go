package daemon

import (
	"context"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/group"
	"tanagercross/internal/fleet/exchange"
	"tanagercross/internal/service/store"
)

const tableTick = 100 * time.Millisecond

// tableEvent is one of the events of the loop that owns the tables of groups and servers.
type tableEvent interface{ tableEvent() }

type listed struct{ groups []store.Group }

type observed struct {
	status driver.Status
	asked  time.Time
}

type positionSeen struct {
	server   string
	position driver.Position
	asked    time.Time
}

type unreachable struct{ server string }

type announced struct {
	group   string
	term    uint64
	primary string
}

func (listed) tableEvent()       {}
func (observed) tableEvent()     {}
func (positionSeen) tableEvent() {}
func (unreachable) tableEvent()  {}
func (announced) tableEvent()    {}

// groups gives requests the tables of groups; it implements execution.Groups.
type groups struct{ *Daemon }

// View implements execution.Groups.
func (g groups) View() *group.View { return g.table.View() }

// ObservePosition implements execution.Groups.
func (g groups) ObservePosition(server string, p driver.Position, asked time.Time) {
	g.tableEvents.Put(positionSeen{server: server, position: p, asked: asked})
}

// runTable owns the tables of groups and servers until the context ends.
func (d *Daemon) runTable(ctx context.Context) {
	ticks, cancel := d.clock.Subscribe(tableTick)
	defer cancel()
	go func() {
		for range ticks {
			d.tableEvents.Put(nil)
		}
	}()
	for {
		events := d.tableEvents.Take(ctx)
		if events == nil {
			return
		}
		now := d.clock.Now()
		touched, relisted := map[string]bool{}, false
		for _, e := range events {
			if _, ok := e.(listed); ok {
				relisted = true
			}
			if name := d.handleTable(e, now); name != "" {
				touched[name] = true
			}
		}
		d.shareGroups(touched)
		d.readShared(now, relisted)
	}
}

// handleTable applies one event and returns the group that it changed by own knowledge, if any.
func (d *Daemon) handleTable(e tableEvent, now time.Time) string {
	switch e := e.(type) {
	case listed:
		d.table.SetGroups(tableGroups(e.groups))
	case observed:
		d.table.ObserveStatus(e.status, e.asked, now)
		return d.groupOf(e.status.Server)
	case positionSeen:
		d.table.ObservePosition(e.server, e.position, e.asked, now)
	case unreachable:
		d.table.RecordFailure(e.server, now)
	case announced:
		d.table.AnnouncePrimary(e.group, e.term, e.primary)
		return e.group
	}
	return ""
}

// groupOf returns the group of a listed server.
func (d *Daemon) groupOf(server string) string { return d.fleet.view().groupOf[server] }

// shareGroups hands what this instance has observed itself to the exchange.
func (d *Daemon) shareGroups(touched map[string]bool) {
	if len(touched) == 0 {
		return
	}
	view := d.table.View()
	d.fleet.update(func(s *exchange.State, now time.Time) {
		for name := range touched {
			if g, ok := view.Group(name); ok {
				s.MergeGroup(sharedState(g), now)
			}
		}
	})
}

func sharedState(g *group.State) exchange.GroupState {
	shared := exchange.GroupState{Group: g.Name, Term: g.Term, Primary: g.Primary}
	for _, s := range g.Servers {
		if s.RequestedAt.IsZero() {
			continue
		}
		shared.Servers = append(shared.Servers, exchange.ServerPosition{
			Server: s.Name, Position: s.Position, Observed: s.RequestedAt,
		})
	}
	return shared
}

// readShared takes over what other instances have reported since the last call, or all of it after a new list
// of groups.
func (d *Daemon) readShared(now time.Time, all bool) {
	var states []exchange.GroupState
	d.fleet.read(func(s *exchange.State) {
		if states = s.MergedGroups(); all {
			states = s.Groups()
		}
	})
	for _, g := range states {
		if g.Term > 0 && g.Primary != "" {
			d.table.AnnouncePrimary(g.Group, g.Term, g.Primary)
		}
		for _, p := range g.Servers {
			d.table.ObservePosition(p.Server, p.Position, p.Observed, now)
		}
	}
}
