package daemon

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/group"
	"tanagercross/internal/database/lane"
	"tanagercross/internal/database/pool"
	"tanagercross/internal/fleet/document"
	"tanagercross/internal/fleet/exchange"
	"tanagercross/internal/fleet/roster"
	"tanagercross/internal/instance/clock"
	"tanagercross/internal/instance/settings"
	"tanagercross/internal/service/store"
)

// fleetOf returns an instance with a full roster and group list and no loops running.
func fleetOf(b *testing.B, members, groups int) (*Daemon, []store.Group) {
	d := &Daemon{settings: settings.Settings{Name: "i0000", Place: "p0"}, clock: clock.NewReal(), table: group.NewTable(), pool: pool.New(nil, pool.Options{})}
	d.fleet = newFleet(exchange.Params{Self: "i0000", Incarnation: 1}, "p0", d.clock.Now)
	var list []roster.Member
	var states []exchange.MemberState
	for i := range members {
		name := fmt.Sprintf("i%04d", i)
		list = append(list, roster.Member{Name: name, Place: fmt.Sprintf("p%d", i%8), Address: fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250)})
		states = append(states, exchange.MemberState{Member: name, Incarnation: 1, Sequence: 1})
	}
	content, err := roster.New(1, list).Encode()
	if err != nil {
		b.Fatal(err)
	}
	var all []store.Group
	for g := range groups {
		group := store.Group{Name: fmt.Sprintf("meals-%d", g)}
		for s := range 3 {
			group.Servers = append(group.Servers, driver.Server{
				Name: fmt.Sprintf("meals-%d-%c", g, 'a'+s), Group: group.Name, Place: fmt.Sprintf("p%d", (g+s)%8),
				Address: fmt.Sprintf("10.1.%d.%d:5432", g/250, g%250), Slots: 2, ConnectionLimit: 35,
			})
		}
		all = append(all, group)
	}
	d.fleet.update(func(s *exchange.State, now time.Time) {
		s.MergeDocument(document.Document{Name: document.Roster, Version: 1, Content: content}, now)
		s.Answer(exchange.Message{Members: states}, now)
	})
	return d, all
}

// BenchmarkLoops measures the loops that look at the whole roster or the whole group list. core% is the share of one
// core that a loop takes in an instance of a fleet of that size: the first ones at their own period, those named
// "change" at each change of the roster or of a leaving flag. A restart changes the flag twice and a replacement the
// roster twice, and 1,900 of 4,000 members are restarted or replaced a day.
//
//	go test -run '^$' -bench Loops -benchtime 3x ./internal/instance/daemon
func BenchmarkLoops(b *testing.B) {
	const changesPerMember = 4.0 * 1900 / 4000 / 86_400 // a second
	for _, size := range []struct{ members, groups int }{{20, 3}, {200, 87}, {1000, 433}, {4000, 1733}} {
		d, groups := fleetOf(b, size.members, size.groups)
		view := d.fleet.view()
		run := func(name string, perSecond float64, f func()) {
			b.Run(fmt.Sprintf("%s/members=%d/groups=%d", name, size.members, size.groups), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					f()
				}
				b.ReportMetric(100*perSecond*b.Elapsed().Seconds()/float64(b.N), "core%")
			})
		}
		changes := changesPerMember * float64(size.members)
		// An exchange tick, 8 requests, 8 answers and 8 merged answers a second, and 10 checks of the poll.
		run("publish", 38, func() { d.fleet.update(func(*exchange.State, time.Time) {}) })
		view.ranking.committee(0)
		run("homes", 10, func() { d.wantedShards(view) })
		run("homes change", changes, func() { newRanking(view.roster).compute() })
		run("watchers change", changes, func() {
			for _, g := range groups {
				rankOf(view.roster.Watchers(g.Name, watchersPerGroup), d.settings.Name)
			}
		})
		plan := &lanePlan{planner: lane.NewPlanner(lane.Candidate{Instance: "i0000", Place: "p0"}, laneWeight, rand.Float64)}
		view.groups, view.groupsVersion = groups, 1
		d.table.SetGroups(tableGroups(groups))
		d.updatePlan(plan, view, time.Now())
		run("lanes", 10, func() { d.updatePlan(plan, view, time.Now()); plan.planner.Tick(time.Now()) })
		gone := 0
		run("lanes change", changes, func() {
			for range silentAfter { // one member more is not alive, so that ranks change
				d.liveness.record(view.roster.Members()[1+gone%(size.members-1)].Name, false, time.Now())
			}
			gone++
			d.updatePlan(plan, view, time.Now())
		})
		touched := map[string]bool{}
		for _, g := range groups {
			touched[g.Name] = true
			for _, s := range g.Servers {
				status := driver.Status{Server: s.Name, Role: driver.Replica, Term: 1, Last: driver.Position{Term: 1, Index: 9}, Primary: s.Group + "-a"}
				d.table.ObserveStatus(status, time.Now(), time.Now())
			}
		}
		d.shareGroups(touched)
		run("table", 10, func() { d.readShared(time.Now(), false) })
		b.Run(fmt.Sprintf("documents/members=%d/groups=%d", size.members, size.groups), func(b *testing.B) {
			var list []byte
			for b.Loop() {
				list, _ = encodeGroups(groups)
			}
			b.ReportMetric(float64(len(list)), "groups-B")
			b.ReportMetric(float64(len(d.fleet.document(document.Roster).Content)), "roster-B")
		})
	}
}
