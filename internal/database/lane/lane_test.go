package lane

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tanagercross/internal/database/driver"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"
)

func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

func weight(instance string, l Lane) uint64 {
	return xxhash.Sum64String(fmt.Sprint(instance, l))
}

// Guards against limits that the sum of all lanes exceeds, and against lanes without a connection.
func TestShare(t *testing.T) {
	for _, c := range [][5]int{{35, 5, 2, 15, 2}, {80, 5, 2, 37, 2}, {6, 5, 2, 1, 1}, {5, 5, 2, 0, 0}, {35, 5, 0, 0, 0}} {
		if connections, lanes := ConnectionShare(c[0], c[1], c[2]); connections != c[3] || lanes != c[4] || connections*lanes > c[0]-c[1] {
			t.Errorf("Share(%d,%d,%d) = %d, %d", c[0], c[1], c[2], connections, lanes)
		}
	}
}

// Guards against lanes that nobody takes, that go far away although a near instance lives, that stay unheld after their
// holder died, and against an attempt storm. Instances see each other's lanes 250 ms late.
func TestLanesOfFleet(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 1))
		var servers []driver.Server
		for i := range 9 {
			servers = append(servers, driver.Server{Name: fmt.Sprint("s", i), Place: fmt.Sprint("p", i%3), Slots: 2, ConnectionLimit: 35})
		}
		var roster []Candidate
		planners := map[string]*Planner{}
		for i := range 18 {
			c := Candidate{Instance: fmt.Sprint("i", i), Place: fmt.Sprint("p", i%3)}
			roster = append(roster, c)
			planners[c.Instance] = NewPlanner(c, weight, random.Float64)
		}
		for _, p := range planners {
			p.SetCandidates(roster)
			p.SetServers(servers, at(0))
		}
		locks, tries := map[Lane]string{}, 0
		run := func(from, to int) {
			for ms := from; ms < to; ms += 50 {
				for _, c := range roster {
					p := planners[c.Instance]
					if p == nil {
						continue
					}
					for _, a := range p.Tick(at(ms)) {
						l := a.(Try).Lane
						tries++
						if locks[l] == "" {
							locks[l] = c.Instance
							p.Acquired(l)
						} else {
							p.LockBusy(l, at(ms))
						}
					}
				}
				if ms%250 == 0 {
					for _, p := range planners {
						for l, holder := range locks {
							p.SetHeldElsewhere(l, holder != "" && holder != p.self.Instance, at(ms))
						}
					}
				}
			}
		}
		run(0, 3000)
		near := 0
		for _, s := range servers {
			for n := range 2 {
				if p := planners[locks[Lane{s.Name, n}]]; p != nil && p.self.Place == s.Place {
					near++
				}
			}
		}
		if near != 18 || tries > 3*18 {
			t.Fatalf("seed %d: %d lanes held in their place after %d attempts", seed, near, tries)
		}
		dead := roster[random.IntN(len(roster))].Instance
		delete(planners, dead)
		for l, holder := range locks {
			if holder == dead {
				locks[l] = ""
			}
		}
		run(3000, 6000)
		for l, holder := range locks {
			if holder == "" {
				t.Fatalf("seed %d: %v is not held after its holder died", seed, l)
			}
		}
	}
}

// Guards against a lane kept on a leaving server or during a drain, and one given up for a better placed instance.
func TestRelease(t *testing.T) {
	server := driver.Server{Name: "s", Place: "p", Slots: 1, ConnectionLimit: 35}
	l := Lane{Server: "s"}
	p := NewPlanner(Candidate{Instance: "i", Place: "far"}, weight, func() float64 { return 0 })
	p.SetServers([]driver.Server{server}, at(0))
	if diff := cmp.Diff([]Action{Try{l}}, p.Tick(at(0))); diff != "" {
		t.Fatal(diff)
	}
	p.LockBusy(l, at(0))
	if got := p.Tick(at(100)); got != nil {
		t.Errorf("no back-off after a busy lock: %v", got)
	}
	p.Tick(at(500))
	p.Acquired(l)
	p.SetCandidates([]Candidate{{"i", "far"}, {"near", "p"}})
	if got := p.Tick(at(5000)); got != nil {
		t.Errorf("a better placed instance changed a held lane: %v", got)
	}
	server.Leaving = true
	p.SetServers([]driver.Server{server}, at(6000))
	if diff := cmp.Diff([]Action{Release{l, ServerLeaving}}, p.Tick(at(6000))); diff != "" {
		t.Error(diff)
	}
	p.Released(l, at(6100))
	if got := p.Tick(at(20000)); got != nil || p.Held() != nil {
		t.Errorf("the planner tries for a leaving server: %v", got)
	}
	server.Leaving = false
	p.SetServers([]driver.Server{server}, at(30000))
	p.Tick(at(30000))
	p.Acquired(l)
	p.Drain()
	if diff := cmp.Diff([]Action{Release{l, Draining}}, p.Tick(at(30001))); diff != "" {
		t.Error(diff)
	}
}

// Guards against servers that stay without a usable lane because the instance that holds their lanes is cut off from the
// fleet, and against lanes that move at a short loss of freshness.
func TestPlannerGivesUpLanesWhenNotFresh(t *testing.T) {
	weight := func(string, Lane) uint64 { return 1 }
	server := driver.Server{Name: "s", Place: "p", ConnectionLimit: 35, Slots: 1}
	l := Lane{Server: "s"}
	p := NewPlanner(Candidate{Instance: "i", Place: "p"}, weight, func() float64 { return 0 })
	p.SetServers([]driver.Server{server}, at(0))
	p.Tick(at(0))
	p.Acquired(l)
	p.SetFresh(false, at(1000))
	p.SetFresh(false, at(1500))
	if got := p.Tick(at(1900)); got != nil {
		t.Errorf("released after 900 ms: %v", got)
	}
	p.SetFresh(true, at(1950))
	p.SetFresh(false, at(2000))
	if got := p.Tick(at(2900)); got != nil {
		t.Errorf("the time before the last fresh moment counts: %v", got)
	}
	if diff := cmp.Diff([]Action{Release{l, NotFresh}}, p.Tick(at(3000))); diff != "" {
		t.Error(diff)
	}
	p.Released(l, at(3100))
	if got := p.Tick(at(20000)); got != nil {
		t.Errorf("an instance that is not fresh tries for a lane: %v", got)
	}
	p.SetFresh(true, at(20000))
	if diff := cmp.Diff([]Action{Try{l}}, p.Tick(at(20000))); diff != "" {
		t.Error(diff)
	}
}

// Guards against an estimated rank that is far from the counted one, or below ExactRankLimit although counting is due.
func TestEstimatedRank(t *testing.T) {
	var candidates []Candidate
	for i := range 4000 {
		candidates = append(candidates, Candidate{Instance: fmt.Sprint("i", i), Place: fmt.Sprint("p", i%8)})
	}
	for n := range 300 {
		l, self := Lane{Server: fmt.Sprint("s", n)}, candidates[n]
		counted := 0
		for _, c := range candidates {
			if near, mine := c.Place == "p0", self.Place == "p0"; near && !mine ||
				near == mine && c != self && weight(c.Instance, l) > weight(self.Instance, l) {
				counted++
			}
		}
		got := Rank(l, "p0", self.Instance, candidates, weight)
		if got != counted && (got < ExactRankLimit || counted > got+300 || counted < got-300) {
			t.Fatalf("lane %v: rank %d, counted %d", l, got, counted)
		}
	}
}

func benchmarkPlanner(b *testing.B, run func(p *Planner, candidates []Candidate, servers []driver.Server)) {
	for _, size := range [][2]int{{20, 18}, {200, 260}, {1000, 1300}, {4000, 5200}} {
		var candidates []Candidate
		for i := range size[0] {
			candidates = append(candidates, Candidate{Instance: fmt.Sprint("i", i), Place: fmt.Sprint("p", i%8)})
		}
		var servers []driver.Server
		for i := range size[1] {
			servers = append(servers, driver.Server{Name: fmt.Sprint("s", i), Place: fmt.Sprint("p", i%8), Slots: 2, ConnectionLimit: 35})
		}
		b.Run(fmt.Sprintf("members=%d/lanes=%d", size[0], 2*size[1]), func(b *testing.B) {
			hash := func(instance string, l Lane) uint64 { return xxhash.Sum64String(instance+l.Server) + uint64(l.Number) }
			p := NewPlanner(candidates[0], hash, rand.Float64)
			p.SetCandidates(candidates)
			p.SetServers(servers, at(0))
			for l := range size[1] {
				p.SetHeldElsewhere(Lane{Server: fmt.Sprint("s", l)}, true, at(0))
				p.SetHeldElsewhere(Lane{Server: fmt.Sprint("s", l), Number: 1}, true, at(0))
			}
			b.ResetTimer()
			for b.Loop() {
				run(p, candidates, servers)
			}
		})
	}
}

// BenchmarkTick is a tick without news.
func BenchmarkTick(b *testing.B) {
	benchmarkPlanner(b, func(p *Planner, _ []Candidate, _ []driver.Server) { p.Tick(at(1)) })
}

// BenchmarkCandidates is the planning after one member was lost or came back.
func BenchmarkCandidates(b *testing.B) {
	n := 0
	benchmarkPlanner(b, func(p *Planner, c []Candidate, _ []driver.Server) {
		n++
		p.SetCandidates(c[:len(c)-n%2])
	})
}

// BenchmarkServers is the planning after a new list of servers.
func BenchmarkServers(b *testing.B) {
	benchmarkPlanner(b, func(p *Planner, _ []Candidate, s []driver.Server) { p.SetServers(s, at(1)) })
}
