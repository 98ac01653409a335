package daemon

import (
	"context"
	"maps"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/lane"
	"tanagercross/internal/database/pool"
	"tanagercross/internal/fleet/exchange"
	"tanagercross/internal/fleet/roster"
)

const (
	laneTick    = 100 * time.Millisecond
	laneTimeout = 2 * time.Second
	// staleRelease bounds the wait for open transactions at an instance that is not fresh: it runs no statement of theirs.
	staleRelease = time.Second
	// statementsAhead is how many statements a lane sends beyond the slots that it stands for, so that a slot does not
	// wait for a round trip.
	statementsAhead = 1
)

type laneEvent interface{ laneEvent() }

type laneTried struct {
	lane lane.Lane
	kind pool.Kind // "" if the lane was taken
}

type laneLost struct{ lane lane.Lane }

type laneReleased struct{ lane lane.Lane }

func (laneTried) laneEvent()    {}
func (laneLost) laneEvent()     {}
func (laneReleased) laneEvent() {}

// lanePlan is the planner with its last input, so that a tick without news costs little.
type lanePlan struct {
	planner *lane.Planner
	groups  uint64 // version of the group list
	leaving bool   // whether a server of the list is leaving
	servers map[string]driver.Server
	// The changes of roster, members and liveness that the candidates and the lanes taken were read at.
	roster, members, liveness uint64
}

// runLanes owns the planner of lanes until the context ends.
func (d *Daemon) runLanes(ctx context.Context) {
	self := lane.Candidate{Instance: d.settings.Name, Place: d.settings.Place}
	plan := &lanePlan{planner: lane.NewPlanner(self, laneWeight, rand.Float64)}
	ticks, cancel := d.clock.Subscribe(laneTick)
	defer cancel()
	d.spawn(func() {
		for range ticks {
			d.laneEvents.Put(nil)
		}
	})
	for {
		events := d.laneEvents.Take(ctx)
		if events == nil {
			return
		}
		now := d.clock.Now()
		changed := false
		for _, e := range events {
			changed = d.handleLane(plan.planner, e, now) || changed
		}
		if changed {
			d.shareOwn()
			d.broadcast(ctx)
		}
		d.planLanes(ctx, plan, now)
	}
}

func laneWeight(instance string, l lane.Lane) uint64 {
	return xxhash.Sum64String(instance + "/" + l.Server + "/" + strconv.Itoa(l.Number))
}

func (d *Daemon) handleLane(p *lane.Planner, e laneEvent, now time.Time) (changed bool) {
	switch e := e.(type) {
	case laneTried:
		switch e.kind {
		case "":
			p.Acquired(e.lane)
			return true
		case pool.Taken:
			p.LockBusy(e.lane, now)
		default:
			p.AttemptFailed(e.lane, now)
		}
	case laneLost:
		p.LaneLost(e.lane, now)
		return true
	case laneReleased:
		p.Released(e.lane, now)
		return true
	}
	return false
}

func (d *Daemon) planLanes(ctx context.Context, p *lanePlan, now time.Time) {
	view := d.fleet.view()
	if _, listed := view.roster.Member(d.settings.Name); !listed {
		return // without a roster every instance would rank first for every lane
	}
	p.planner.SetFresh(d.fleet.Fresh(now), now)
	d.updatePlan(p, view, now)
	if d.draining.Load() {
		p.planner.Drain()
	}
	for _, a := range p.planner.Tick(now) {
		d.performLane(ctx, a, p.servers)
	}
}

// updatePlan tells the planner what is new.
func (d *Daemon) updatePlan(p *lanePlan, view *snapshot, now time.Time) {
	// While a server leaves, its treatment also depends on which server is primary.
	listed := view.groupsVersion != p.groups || p.leaving
	if listed {
		servers := d.presentServers(view)
		p.groups, p.leaving, p.servers = view.groupsVersion, anyLeaving(view), map[string]driver.Server{}
		for _, s := range servers {
			p.servers[s.Name] = s
		}
		p.planner.SetServers(servers, now)
	}
	alive := d.liveness.change()
	if view.rosterChange != p.roster || alive != p.liveness {
		p.planner.SetCandidates(d.candidates(view.roster))
	}
	if listed || view.membersChange != p.members || alive != p.liveness {
		taken := d.takenLanes(view)
		for _, s := range p.servers {
			_, lanes := lane.ConnectionShare(s.ConnectionLimit, lane.ReservedConnections, s.Slots)
			for n := range lanes {
				l := lane.Lane{Server: s.Name, Number: n}
				p.planner.SetHeldElsewhere(l, taken[l], now)
			}
		}
	}
	p.roster, p.members, p.liveness = view.rosterChange, view.membersChange, alive
}

func anyLeaving(view *snapshot) bool {
	for _, g := range view.groups {
		for _, s := range g.Servers {
			if s.Leaving {
				return true
			}
		}
	}
	return false
}

// presentServers tells the pool which servers leave and returns all servers for the planner. A leaving primary keeps its
// lanes until it is replaced, because only a change of primary moves writes to another server.
func (d *Daemon) presentServers(view *snapshot) []driver.Server {
	var servers []driver.Server
	presences := pool.ServerStates{}
	for _, g := range view.groups {
		primary := ""
		if state, ok := d.table.View().Group(g.Name); ok {
			primary = state.Primary
		}
		for _, s := range g.Servers {
			switch {
			case s.Leaving && s.Name == primary:
				presences[s.Name], s.Leaving = pool.Retiring, false
			case s.Leaving:
				presences[s.Name] = pool.Leaving
			}
			servers = append(servers, s)
		}
	}
	d.pool.SetServerStates(presences)
	return servers
}

// candidates returns the members that are not leaving and that answered lately.
func (d *Daemon) candidates(r roster.Roster) []lane.Candidate {
	var candidates []lane.Candidate
	for _, m := range r.Members() {
		if !m.Leaving && (m.Name == d.settings.Name || d.liveness.alive(m.Name)) {
			candidates = append(candidates, lane.Candidate{Instance: m.Name, Place: m.Place})
		}
	}
	return candidates
}

// takenLanes returns the lanes that other live members tell that they hold.
func (d *Daemon) takenLanes(view *snapshot) map[lane.Lane]bool {
	taken := map[lane.Lane]bool{}
	for _, m := range view.members {
		if m.Member == d.settings.Name || !d.liveness.alive(m.Member) {
			continue
		}
		for _, l := range m.Lanes {
			taken[lane.Lane{Server: l.Server, Number: l.Lane}] = true
		}
	}
	return taken
}

func (d *Daemon) performLane(ctx context.Context, a lane.Action, servers map[string]driver.Server) {
	switch a := a.(type) {
	case lane.Try:
		if s, ok := servers[a.Lane.Server]; ok {
			d.spawn(func() { d.tryLane(ctx, s, a.Lane) })
		}
	case lane.Release:
		d.log.Info("releasing lane", "server", a.Lane.Server, "lane", a.Lane.Number, "reason", string(a.Reason))
		d.spawn(func() {
			limit := d.settings.DrainDeadline
			if a.Reason == lane.NotFresh {
				limit = staleRelease
			}
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
			defer cancel()
			d.pool.Release(ctx, a.Lane.Server, a.Lane.Number)
			d.laneEvents.Put(laneReleased{lane: a.Lane})
		})
	}
}

func (d *Daemon) tryLane(ctx context.Context, s driver.Server, l lane.Lane) {
	ctx, cancel := context.WithTimeout(ctx, laneTimeout)
	defer cancel()
	share, lanes := lane.ConnectionShare(s.ConnectionLimit, lane.ReservedConnections, s.Slots)
	inflight := max(1, s.Slots/max(1, lanes)) + statementsAhead
	err := d.pool.Acquire(ctx, s, l.Number, share, inflight)
	kind := pool.Kind("")
	if err != nil {
		kind = pool.KindOf(err)
		if kind == "" {
			kind = pool.Unreachable
		}
	} else {
		d.log.Info("lane taken", "server", s.Name, "lane", l.Number, "connections", share)
	}
	d.laneEvents.Put(laneTried{lane: l, kind: kind})
}

// shareOwn publishes this instance's small state to the exchange.
func (d *Daemon) shareOwn() {
	state := exchange.MemberState{Leaving: d.draining.Load(), Evidence: d.evidence.list()}
	held := map[exchange.Lane]bool{}
	for _, h := range d.pool.HeldLanes() {
		held[exchange.Lane{Server: h.Server, Lane: h.Lane}] = true
	}
	for l := range maps.Keys(held) {
		state.Lanes = append(state.Lanes, l)
	}
	d.fleet.update(func(s *exchange.State, now time.Time) { s.SetOwn(state, now) })
}
