package placement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/request/dispatch"
	"tanagercross/internal/request/placement"
)

const seeds = 5

// byLatency chooses as dispatch does without PriorityScheduling: the server with the lowest recent latency.
type byLatency struct{ reports map[string]*latencyReport }

type latencyReport struct {
	dispatch.LoadReport
	at time.Duration
}

func newByLatency(int, *rand.Rand) chooser { return &byLatency{map[string]*latencyReport{}} }

func (b *byLatency) choose(now time.Duration, q placement.Question) string {
	s, _ := dispatch.Candidate(q.Servers, q.Leader, q.Place, nil, func(id string) dispatch.LoadReport {
		if r := b.reports[id]; r != nil && now-r.at < time.Second {
			return r.LoadReport
		}
		return dispatch.LoadReport{}
	})
	return s.ID
}
func (b *byLatency) sent(time.Duration, string) {}
func (b *byLatency) answered(now time.Duration, server string, a placement.Attempt) {
	if a.LoadOnly {
		return
	}
	r := b.reports[server]
	if r == nil || now-r.at >= time.Second {
		r = &latencyReport{LoadReport: dispatch.LoadReport{Latency: a.Took}}
		b.reports[server] = r
	}
	r.Latency += (a.Took - r.Latency) / 4
	r.at = now
}

func newBalanced(_ int, random *rand.Rand) chooser { return &balanced{random: random} }

func percentile(list []time.Duration, p float64) time.Duration {
	slices.Sort(list)
	return list[int(p*float64(len(list)-1))]
}

// Guards against reads that stay at a leader whose slots are wanted by writes, while replicas in other regions have room,
// and against reads that leave their region at low load.
// Load: three servers of 5 slots, 14 ms a statement; 250 writes and 450 reads a second, of at most 357 at each server.
func TestReadsLeaveALeaderFullOfWrites(t *testing.T) {
	const second, end = time.Second, 8 * time.Second
	run := func(seed uint64, caller func(int, *rand.Rand) chooser, writes, reads float64) (atLeader float64, s *simulation) {
		s = newSimulation(seed, []time.Duration{14 * ms, 14 * ms, 14 * ms}, caller)
		s.leader = "s0"
		s.arrivals(writes, end, s.write)
		s.arrivals(reads, end, s.read)
		s.run(end + second)
		all := s.servers[0].reads + s.servers[1].reads + s.servers[2].reads
		return float64(s.servers[0].reads) / float64(all), s
	}
	for seed := range uint64(seeds) {
		before, old := run(seed, newByLatency, 250, 450)
		after, now := run(seed, newBalanced, 250, 450)
		t.Logf("seed %d: share of reads at the leader %.3f before and %.3f after; 95th percentile of reads %v before and %v after",
			seed, before, after, percentile(old.took, 0.95), percentile(now.took, 0.95))
		if after > 0.12 || after > before || percentile(now.took, 0.95) > 150*ms {
			t.Errorf("seed %d: too many reads at the leader, or reads take too long", seed)
		}
		low, _ := run(seed, newBalanced, 20, 150)
		if low < 0.28 || low > 0.38 {
			t.Errorf("seed %d: %.3f of the reads at the leader at low load, want those of its region", seed, low)
		}
	}
}

// Guards against a server that is five times slower and gets as much as the others, or nothing although it could serve
// a share when the others are full.
// Load: reads only, 10 ms a statement and 50 ms at the slow server, which can serve 100 of 1,100 a second; 950 are asked.
// No instance knows the servers at the start; the figures are those after 5 s.
func TestSlowServerKeepsItsShare(t *testing.T) {
	const warmUp, end = 5, 15
	for seed := range uint64(seeds) {
		s := newSimulation(seed, []time.Duration{10 * ms, 10 * ms, 50 * ms}, newBalanced)
		s.warmUp = warmUp * time.Second
		s.arrivals(950, end*time.Second, s.read)
		s.run(end * time.Second)
		slow := 0
		for _, n := range s.servers[2].perSec[warmUp:end] {
			slow += n
		}
		perSecond := float64(slow) / (end - warmUp)
		p95 := percentile(s.took, 0.95)
		t.Logf("seed %d: %.0f a second at the slow server, 95th percentile %v", seed, perSecond, p95)
		if perSecond < 50 || perSecond > 105 || p95 > 500*ms {
			t.Errorf("seed %d: not the share that the server can serve", seed)
		}
	}
}

// Guards against instances that all send to the server whose report was the best when they all received it.
// Load: reads at 90% of what three equal servers serve; all 94 instances get the same reports once a second.
func TestNoHerdWithOldReports(t *testing.T) {
	const end = 12 * time.Second
	for seed := range uint64(seeds) {
		s := newSimulation(seed, []time.Duration{10 * ms, 10 * ms, 10 * ms}, newBalanced)
		s.reportEvery = time.Second
		s.arrivals(1350, end, s.read)
		s.run(end)
		checkBusiest(t, seed, s, 12)
	}
}

// Guards against a herd to, or away from, a server whose holder died, so that its answers carry no load any more.
// Load: reads at 90% of what three equal servers serve; the answers of one carry no load from 4 s on.
func TestNoHerdWithASilentHolder(t *testing.T) {
	const end = 12 * time.Second
	for seed := range uint64(seeds) {
		s := newSimulation(seed, []time.Duration{10 * ms, 10 * ms, 10 * ms}, newBalanced)
		s.silent = func(now time.Duration, server string) bool { return server == "s2" && now > 4*time.Second }
		s.arrivals(1350, end, s.read)
		s.run(end)
		checkBusiest(t, seed, s, 12)
	}
}

// checkBusiest requires that in no second a server gets more than 1.5 times the mean.
func checkBusiest(t *testing.T, seed uint64, s *simulation, seconds int) {
	t.Helper()
	worst := 0.0
	for n := range seconds {
		busiest, all := 0, 0
		for _, v := range s.servers {
			busiest, all = max(busiest, v.perSec[n]), all+v.perSec[n]
		}
		worst = max(worst, float64(busiest*len(s.servers))/float64(all))
	}
	t.Logf("seed %d: busiest server at most %.2f times the mean, 95th percentile %v", seed, worst, percentile(s.took, 0.95))
	if worst > 1.5 {
		t.Errorf("seed %d: busiest server at %.2f times the mean in a second, want at most 1.5", seed, worst)
	}
}

// Guards against a herd at the moment in which all instances hold a report that is 1 s old and names one idle server, and
// after the holder of a server died, whose last report says that it is idle.
func TestNoHerdOnOneReport(t *testing.T) {
	servers := []catalog.Server{{ID: "s0", Place: "agreste", Slots: slots}, {ID: "s1", Place: "sertao", Slots: slots}, {ID: "s2", Place: "litoral", Slots: slots}}
	loads := []statement.Load{
		{Slots: slots},
		{Slots: slots, Running: slots, Queued: 60, Wait: [3]time.Duration{120 * ms, 120 * ms, 120 * ms}},
		{Slots: slots, Running: slots, Queued: 50, Wait: [3]time.Duration{100 * ms, 100 * ms, 100 * ms}},
	}
	for seed := range uint64(seeds) {
		for _, age := range []time.Duration{time.Second, 1900 * ms, 3 * time.Second} {
			counts := map[string]int{}
			for n := range instances {
				var e placement.Estimates
				random := rand.New(rand.NewPCG(seed, uint64(n)))
				for i, l := range loads {
					at := time.Second
					if i > 0 && age > 2*time.Second {
						at += 2 * time.Second // the holder of s0 died 2 s before the others reported for the last time
					}
					e.Answered(at, servers[i].ID, placement.Attempt{Answer: statement.Answer{Delivery: statement.Answered, Load: &l}, LoadOnly: true})
				}
				for k := range 20 {
					now := time.Second + age + time.Duration(k)*5*ms
					s, _ := e.Choose(now, placement.Question{Servers: servers, Place: regions[n%3], Priority: 1}, random.Float64)
					e.Sent(now, s.ID, 1)
					counts[s.ID]++
				}
			}
			busiest := max(counts["s0"], counts["s1"], counts["s2"])
			if ratio := float64(3*busiest) / (20 * instances); ratio > 1.5 {
				t.Errorf("seed %d, report %v old: %v, busiest %.2f times the mean", seed, age, counts, ratio)
			}
		}
	}
}

// Guards against a choice of a server that is leaving, was tried, is behind or did not answer, while there is another one.
func TestExclusions(t *testing.T) {
	servers := []catalog.Server{{ID: "s0", Place: "agreste", Slots: slots}, {ID: "s1", Place: "sertao", Slots: slots}, {ID: "s2", Place: "sertao", Leaving: true}}
	random := rand.New(rand.NewPCG(1, 1))
	for _, c := range []struct {
		answer statement.Answer // of s1
		tried  []string
		leader string
		want   string
	}{
		{statement.Answer{Delivery: statement.Answered}, nil, "s0", "s1"},
		{statement.Answer{Delivery: statement.Answered, Code: statement.Behind}, nil, "s0", "s0"},
		{statement.Refused(statement.Busy, ""), nil, "s0", "s0"},
		{statement.NoAnswer(""), nil, "s0", "s0"},
		{statement.Answer{Delivery: statement.Answered}, []string{"s1"}, "s0", "s0"},
		{statement.Answer{Delivery: statement.Answered}, []string{"s1", "s0"}, "s2", "s2"},
		{statement.Answer{Delivery: statement.Answered}, []string{"s1", "s0"}, "s0", ""},
	} {
		var e placement.Estimates
		e.Answered(time.Second, "s1", placement.Attempt{Answer: c.answer, Took: 8 * ms})
		for range 50 {
			got, _ := e.Choose(time.Second+100*ms, placement.Question{Servers: servers, Leader: c.leader, Place: "sertao", Tried: c.tried}, random.Float64)
			if got.ID != c.want {
				t.Fatalf("%+v: chose %q", c, got.ID)
			}
		}
	}
}

// Guards against a report with figures that no server has, which would make sums overflow and the server attract everything.
func TestImpossibleLoad(t *testing.T) {
	for _, l := range []statement.Load{
		{Wait: [3]time.Duration{math.MaxInt64, math.MaxInt64, math.MaxInt64}, Running: math.MaxInt, Queued: 1},
		{Wait: [3]time.Duration{math.MinInt64, -1, -1}, Running: -5, Queued: -5, Slots: -1},
	} {
		var e placement.Estimates
		s := catalog.Server{ID: "s0", Place: "agreste"}
		e.Answered(time.Second, s.ID, placement.Attempt{Answer: statement.Answer{Delivery: statement.Answered, Load: &l}})
		if x := e.Expected(time.Second, s, "agreste", 0); x.Total() < 0 || x.Wait < 0 || x.Utilisation < 0 {
			t.Errorf("%+v: %+v", l, x)
		}
		q := placement.Question{Servers: []catalog.Server{s, {ID: "s1", Place: "sertao"}}, Leader: s.ID, Place: "agreste"}
		got, _ := e.Choose(time.Second, q, func() float64 { return 0 })
		if want := map[bool]string{true: "s1", false: "s0"}[l.Running > 0]; got.ID != want {
			t.Errorf("%+v: chose %q, want %q", l, got.ID, want)
		}
	}
}

// A decision takes at most 5 us and allocates nothing.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{3, 16} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var e placement.Estimates
			var servers []catalog.Server
			for i := range n {
				s := catalog.Server{ID: fmt.Sprint("s", i), Place: regions[i%3], Slots: slots}
				servers = append(servers, s)
				load := statement.Load{Slots: slots, Running: slots, Queued: 10, Wait: [3]time.Duration{ms, 10 * ms, 20 * ms}}
				e.Answered(time.Second, s.ID, placement.Attempt{Answer: statement.Answer{Delivery: statement.Answered, Load: &load}})
				for range 64 {
					e.Sent(time.Second, s.ID, 1)
				}
			}
			random := rand.New(rand.NewPCG(1, 1))
			b.ReportAllocs()
			for b.Loop() {
				e.Choose(time.Second+20*ms, placement.Question{Servers: servers, Leader: "s0", Place: "agreste", Priority: 2}, random.Float64)
			}
		})
	}
}
