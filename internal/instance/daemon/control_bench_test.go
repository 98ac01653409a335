package daemon

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/failover"
	"tanagercross/internal/database/group"
	"tanagercross/internal/fleet/document"
	"tanagercross/internal/fleet/exchange"
	"tanagercross/internal/fleet/lease"
	"tanagercross/internal/instance/clock"
	"tanagercross/internal/organisation/allotment"
	"tanagercross/internal/organisation/key"
	"tanagercross/internal/service/store"
)

// benchDaemon returns a daemon of a fleet of n members without loops.
func benchDaemon(b *testing.B, n int) *Daemon {
	b.Helper()
	d := &Daemon{clock: clock.NewReal(), table: group.NewTable()}
	d.settings.Name = "i-0000"
	d.fleet, _ = newTestFleet(b, n, 1)
	d.fleet.now = time.Now
	d.rates = rates{holder: lease.NewHolder("i-0000", 1), voter: lease.NewVoter()}
	d.fleet.update(func(s *exchange.State, now time.Time) { s.Polled(now.Add(time.Minute), s.Documents().Versions()) })
	return d
}

// BenchmarkVote is one ballot of a candidate for all shards of which this instance is a voter.
func BenchmarkVote(b *testing.B) {
	sizes(b, func(b *testing.B, n int) {
		d := benchDaemon(b, n)
		v := d.fleet.view()
		shards := v.ranking.committees("i-0000")
		d.rates.voter.Join(time.Now().Add(-time.Minute), v.roster.Version(), shards)
		ballot := lease.Ballot{Candidate: "i-0001", Incarnation: 1, Roster: v.roster.Version(), Shards: shards}
		granted := 0
		for b.Loop() {
			granted = len(d.vote(ballot))
		}
		b.ReportMetric(float64(granted), "shards")
	})
}

// BenchmarkLeaseTick is one tick of a home: choice of its shards and ballots.
func BenchmarkLeaseTick(b *testing.B) {
	sizes(b, func(b *testing.B, n int) {
		d := benchDaemon(b, n)
		wanted := 0
		for b.Loop() {
			v := d.fleet.view()
			shards := d.wantedShards(v)
			wanted = len(shards)
			for _, round := range d.leaseRounds(v, shards, false) {
				_ = ballots(v, round)
			}
		}
		b.ReportMetric(float64(wanted), "shards")
	})
}

// BenchmarkGrant is one take of tokens at the home, for one of a number of organisations.
func BenchmarkGrant(b *testing.B) {
	for _, n := range []int{10, 1000} {
		b.Run(fmt.Sprint("organisations=", n), func(b *testing.B) {
			var homes allotment.Homes
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprint("org_", i)
			}
			start := time.Now()
			for i := 0; b.Loop(); i++ {
				homes.Grant(time.Now(), start, names[i%n], allotment.Settings{Rate: 200, Burst: 400}, 4)
			}
		})
	}
}

type endlessTaker struct{}

func (endlessTaker) Take(_ context.Context, _ string, wanted, _ int) (allotment.Grant, error) {
	return allotment.Grant{Granted: wanted}, nil
}

// BenchmarkTokenTake is one admission at the entry, with its share of the calls to the home.
func BenchmarkTokenTake(b *testing.B) {
	settings := func(string) allotment.Settings { return allotment.Settings{Rate: 1e6, Burst: 1e6} }
	l := allotment.NewLimiter(endlessTaker{}, settings, allotment.Options{})
	for b.Loop() {
		if r := l.Take(b.Context(), "a"); r != "" {
			b.Fatal(r)
		}
	}
}

// BenchmarkWatcherProbe is one round of probes of a group's three servers at its watcher, without the network.
func BenchmarkWatcherProbe(b *testing.B) {
	now := time.Now()
	servers := []driver.Server{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	w := failover.New(failover.Settings{Holder: "h", Random: func() float64 { return 0.5 }}, servers, now)
	for b.Loop() {
		now = now.Add(100 * time.Millisecond)
		for _, a := range w.Handle(failover.Tick{}, now) {
			p, ok := a.(failover.Probe)
			if !ok {
				continue
			}
			status := driver.Status{
				Server: p.Server, Term: 1, Primary: "a", Role: driver.Replica, Last: driver.Position{Term: 1, Index: 9},
			}
			if p.Server == "a" {
				status.Role, status.ReplicatedIndex = driver.Primary, 9
			}
			w.Handle(failover.ProbeResult{Server: p.Server, Status: status, RequestedAt: now}, now)
		}
	}
}

// BenchmarkSharedGroups is one tick of the table of groups: ten groups were merged since the last.
func BenchmarkSharedGroups(b *testing.B) {
	for _, n := range []int{3, 70, 350, 1734} {
		b.Run(fmt.Sprint("groups=", n), func(b *testing.B) {
			d := benchDaemon(b, 20)
			var list []store.Group
			for i := range n {
				list = append(list, store.Group{Name: fmt.Sprint("g", i), Servers: testServers(i)})
			}
			d.table.SetGroups(tableGroups(list))
			now := time.Now()
			d.fleet.update(func(s *exchange.State, _ time.Time) {
				s.RetainGroups(func(string) bool { return true })
				for i := range list {
					s.MergeGroup(sharedTestState(i, now, 1), now)
				}
			})
			d.readShared(now, true)
			for i := 0; b.Loop(); i++ {
				now = now.Add(100 * time.Millisecond)
				d.fleet.update(func(s *exchange.State, _ time.Time) {
					for k := range 10 {
						g := (10*i + k) % n
						s.MergeGroup(sharedTestState(g, now, uint64(i)), now)
					}
				})
				d.readShared(now, false)
			}
		})
	}
}

func sharedTestState(group int, now time.Time, index uint64) exchange.GroupState {
	shared := exchange.GroupState{Group: fmt.Sprint("g", group), Term: 1, Primary: fmt.Sprint("s", group, "a")}
	for _, c := range "abc" {
		shared.Servers = append(shared.Servers, exchange.ServerPosition{
			Server: fmt.Sprint("s", group, string(c)), Observed: now, Position: driver.Position{Term: 1, Index: index},
		})
	}
	return shared
}

func testServers(group int) []driver.Server {
	var servers []driver.Server
	for _, c := range "abc" {
		name := fmt.Sprint("s", group, string(c))
		servers = append(servers, driver.Server{
			Name: name, Group: fmt.Sprint("g", group), Place: "p1", Address: "10.0.0.1:5432", Slots: 2, ConnectionLimit: 35,
		})
	}
	return servers
}

// perUnit reports the memory that remains of what make returns, for each of n units.
func perUnit(b *testing.B, n int, build func() any) {
	b.Helper()
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		kept := build()
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(kept)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/unit")
}

// BenchmarkMemory is the memory for each member, group, organisation, key and lane.
func BenchmarkMemory(b *testing.B) {
	b.Run("member", func(b *testing.B) {
		perUnit(b, 4000, func() any {
			f, _ := newTestFleet(b, 4000, 1)
			f.view().ranking.committee(0)
			return f
		})
	})
	b.Run("group", func(b *testing.B) {
		perUnit(b, 1734, func() any {
			d := benchDaemon(b, 2)
			var list []store.Group
			for i := range 1734 {
				list = append(list, store.Group{Name: fmt.Sprint("g", i), Servers: testServers(i)})
			}
			content, err := encodeGroups(list)
			if err != nil {
				b.Fatal(err)
			}
			d.fleet.update(func(s *exchange.State, now time.Time) {
				s.MergeDocument(document.Document{Name: document.Groups, Version: 2, Content: content}, now)
				for _, g := range list {
					s.MergeGroup(exchange.GroupState{Group: g.Name, Term: 1, Primary: g.Servers[0].Name}, now)
				}
			})
			d.table.SetGroups(tableGroups(list))
			return d
		})
	})
	b.Run("organisation", func(b *testing.B) {
		perUnit(b, 10_000, func() any {
			homes := &allotment.Homes{}
			l := allotment.NewLimiter(endlessTaker{}, func(string) allotment.Settings {
				return allotment.Settings{Rate: 200, Burst: 400}
			}, allotment.Options{})
			start := time.Now()
			for i := range 10_000 {
				name := fmt.Sprint("org_", i)
				homes.Grant(start, start, name, allotment.Settings{Rate: 200, Burst: 400}, 1)
				l.Take(b.Context(), name)
			}
			return []any{homes, l}
		})
	})
	b.Run("key", func(b *testing.B) {
		perUnit(b, 2000, func() any {
			var t key.Table
			for i := range 2000 {
				k, err := key.New()
				if err != nil {
					b.Fatal(err)
				}
				t, err = t.WithIssued(key.Entry{Hash: k.Hash(), Organisation: fmt.Sprint("org_", i), IssuedAt: time.Now(), IssuedBy: "a"})
				if err != nil {
					b.Fatal(err)
				}
			}
			return t
		})
	})
}
