package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"tanagercross/internal/fleet/lease"
	"tanagercross/internal/fleet/roster"
	"tanagercross/internal/organisation/allotment"
	"tanagercross/internal/session/outcome"
)

const (
	shard         = lease.Shard(7)
	tick          = 4 * time.Millisecond
	takeTimeout   = 300 * time.Millisecond
	checkTimeout  = 600 * time.Millisecond
	exchangePause = 125 * time.Millisecond
	silent        = 2
)

// member is the decision code of one instance in simulated time.
type member struct {
	name        string
	up          bool
	back        time.Time // when a stopped member starts again
	incarnation uint64
	voter       *lease.Voter
	holder      *lease.Holder
	homes       *allotment.Homes
	entry       *allotment.TokenCache
	failures    map[string]int
	checked     map[string]time.Time
	asked       map[allotment.Ticket]bool // whether an ideal bucket would have admitted the request
	nextLease   time.Time
	nextMeeting time.Time
}

// simulation runs the leases, buckets and batches of one organisation. The instances are fresh all the time: without the
// store a majority of them is.
type simulation struct {
	random   *rand.Rand
	now      time.Time
	settings allotment.Settings
	load     float64
	one      bool // all traffic at one instance
	ranked   []roster.Member
	voters   []roster.Member
	members  map[string]*member
	names    []string
	events   []simulated

	inside, refused, offered int
	ideal                    float64
}

type simulated struct {
	at  time.Time
	run func()
}

func newSimulation(seed uint64, instances int) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(0, 0), members: map[string]*member{},
		settings: allotment.Settings{Rate: 100, Burst: 200}, load: 0.95, ideal: 200,
	}
	var list []roster.Member
	for i := range instances {
		list = append(list, roster.Member{Name: fmt.Sprintf("i%02d", i), Place: fmt.Sprint(i % 3)})
		s.names = append(s.names, list[i].Name)
	}
	r := roster.New(1, list)
	s.ranked, s.voters = r.First("shard/7", 8), r.Committee(int(shard), lease.Committee)
	for _, name := range s.names {
		s.members[name] = &member{name: name}
		s.start(s.members[name])
	}
	return s
}

func (s *simulation) start(m *member) {
	*m = member{
		name: m.name, up: true, incarnation: m.incarnation + 1, voter: lease.NewVoter(), homes: &allotment.Homes{},
		entry: allotment.NewTokenCache(allotment.Options{}), failures: map[string]int{}, checked: map[string]time.Time{},
		asked:     map[allotment.Ticket]bool{},
		nextLease: s.now.Add(time.Duration(s.random.IntN(100)) * time.Millisecond),
	}
	m.holder = lease.NewHolder(m.name, m.incarnation)
	if slices.ContainsFunc(s.voters, func(v roster.Member) bool { return v.Name == m.name }) {
		m.voter.Join(s.now, 1, []lease.Shard{shard})
	}
}

func (s *simulation) after(d time.Duration, run func()) {
	at := s.now.Add(d)
	i, _ := slices.BinarySearchFunc(s.events, at, func(e simulated, at time.Time) int {
		if e.at.After(at) {
			return 1
		}
		return -1
	})
	s.events = slices.Insert(s.events, i, simulated{at: at, run: run})
}

// trip draws a one-way delay: mostly within a region, sometimes between regions.
func (s *simulation) trip() time.Duration {
	d := time.Duration(1+s.random.IntN(3)) * time.Millisecond
	if s.random.IntN(4) == 0 {
		d += 20 * time.Millisecond
	}
	return d
}

// call runs f at a member and then answer at the caller, unless one of them has died; an answer that does not come ends
// with false after the timeout.
func (s *simulation) call(from *member, to string, timeout time.Duration, f func(*member), answer func(ok bool)) {
	incarnation, target := from.incarnation, s.members[to]
	back := func(ok bool) func() {
		return func() {
			if from.up && from.incarnation == incarnation {
				answer(ok)
			}
		}
	}
	sent := s.now
	s.after(s.trip(), func() {
		if !target.up {
			s.after(timeout-s.now.Sub(sent), back(false))
			return
		}
		f(target)
		s.after(s.trip(), back(true))
	})
}

func (m *member) record(name string, ok bool) {
	if m.failures[name]++; ok {
		m.failures[name] = 0
	}
}

// alive returns the ranked members that the member takes for alive.
func (s *simulation) alive(m *member, n int) []string {
	var names []string
	for _, r := range s.ranked {
		if len(names) < n && (r.Name == m.name || m.failures[r.Name] < silent) {
			names = append(names, r.Name)
		}
	}
	return names
}

func (s *simulation) check(m *member, name string) {
	if s.now.Sub(m.checked[name]) >= checkTimeout {
		m.checked[name] = s.now
		s.call(m, name, checkTimeout, func(*member) {}, func(ok bool) { m.record(name, ok) })
	}
}

func (s *simulation) lease(m *member, wanted bool) {
	var shards []lease.Shard
	if wanted {
		shards = []lease.Shard{shard}
	}
	m.holder.Want(s.now, shards)
	for _, round := range m.holder.Tick(s.now, s.random.Int64N) {
		round.Ballot.Roster = 1
		for _, v := range s.voters {
			var granted []lease.Shard
			s.call(m, v.Name, time.Second, func(t *member) { granted = t.voter.Vote(s.now, round.Ballot) }, func(ok bool) {
				if ok && !round.Ballot.Release {
					m.holder.Granted(s.now, round.Number, v.Name, granted)
					if len(granted) == 0 {
						m.holder.Refused(s.now, round.Number, v.Name, round.Ballot.Shards, s.random.Int64N)
					}
				}
			})
		}
	}
}

func (s *simulation) take(m *member, c allotment.Call, homes []string) {
	if len(homes) == 0 {
		m.entry.CallFailed(s.now)
		return
	}
	var g allotment.Grant
	s.call(m, homes[0], takeTimeout, func(t *member) {
		since, held := t.holder.Held(s.now, shard)
		if !held {
			g.NotHome = true
			if first := s.alive(t, 1)[0]; first != t.name {
				s.check(t, first)
			}
			return
		}
		g = t.homes.Grant(s.now, since, "a", s.settings, c.Wanted)
	}, func(ok bool) {
		if homes[0] != m.name {
			m.record(homes[0], ok)
		}
		if !ok || g.NotHome {
			s.take(m, c, homes[1:])
			return
		}
		for _, t := range m.entry.Receive(s.now, c, g, s.settings) {
			delete(m.asked, t)
		}
	})
}

func (s *simulation) arrive(m *member) {
	s.offered++
	fits := s.ideal >= 1
	if fits {
		s.ideal--
		s.inside++
	}
	ticket, reason := m.entry.Request(s.now)
	if reason != "" && fits {
		s.refused++
	}
	if reason == outcome.Reason("") && ticket != 0 {
		m.asked[ticket] = fits
	}
}

func (s *simulation) step(m *member) {
	if !m.up {
		if !m.back.IsZero() && !s.now.Before(m.back) {
			s.start(m)
		}
		return
	}
	if !s.now.Before(m.nextLease) {
		m.nextLease = s.now.Add(100 * time.Millisecond)
		s.lease(m, s.alive(m, 1)[0] == m.name)
	}
	if !s.now.Before(m.nextMeeting) {
		m.nextMeeting = s.now.Add(exchangePause)
		if name := s.names[s.random.IntN(len(s.names))]; name != m.name {
			s.call(m, name, 1500*time.Millisecond, func(*member) {}, func(ok bool) { m.record(name, ok) })
		}
		for _, name := range s.names {
			if m.failures[name] >= silent && s.now.Sub(m.checked[name]) >= time.Second {
				s.check(m, name)
			}
		}
	}
	for _, r := range m.entry.ExpireWaiters(s.now) {
		if m.asked[r.Ticket] {
			s.refused++
		}
		delete(m.asked, r.Ticket)
	}
	if c, ok := m.entry.NextCall(s.now, s.settings); ok {
		s.take(m, c, s.alive(m, 2))
	}
}

func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(tick) {
		for len(s.events) > 0 && !s.events[0].at.After(s.now) {
			e := s.events[0]
			s.events = s.events[1:]
			e.run()
		}
		s.ideal = min(s.settings.Burst, s.ideal+s.settings.Rate*tick.Seconds())
		for _, name := range s.names {
			s.step(s.members[name])
		}
		for p := s.settings.Rate * s.load * tick.Seconds(); s.random.Float64() < p; p-- {
			at := s.members[s.names[0]]
			for !s.one || !at.up {
				if at = s.members[s.names[s.random.IntN(len(s.names))]]; at.up {
					break
				}
			}
			s.arrive(at)
		}
	}
}

// home returns the member that holds the lease, or nil.
func (s *simulation) home() *member {
	for _, m := range s.members {
		if _, held := m.holder.Held(s.now, shard); m.up && held {
			return m
		}
	}
	return nil
}

// die stops a member; a graceful stop gives its lease back before.
func (s *simulation) die(m *member, graceful bool, down time.Duration) {
	if graceful {
		s.lease(m, false)
		s.run(50 * time.Millisecond) // callers go elsewhere meanwhile
	}
	m.up, m.back = false, s.now.Add(down)
}

// Guards against refusals inside an organisation's rate: in steady traffic, with all traffic at one instance, and through
// ten minutes without the store in which homes die and instances are restarted. The decision code runs in simulated time.
func TestRefusedInsideRate(t *testing.T) {
	for _, c := range []struct {
		name   string
		limit  float64
		one    bool
		faults bool
		length time.Duration
	}{
		{"steady", 0.001, false, false, 2 * time.Minute},
		{"one instance", 0.01, true, false, 2 * time.Minute},
		{"store outage", 0.02, false, true, 10 * time.Minute},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			inside, refused, deaths, restarts := 0, 0, 0, 0
			for n := range uint64(4) {
				s := newSimulation(seed(t)+n, 15)
				s.run(lease.AbstainDuration + 5*time.Second)
				s.inside, s.refused, s.one = 0, 0, c.one
				for end := s.now.Add(c.length); s.now.Before(end); {
					s.run(time.Minute)
					if !c.faults {
						continue
					}
					minute := int(end.Sub(s.now) / time.Minute)
					if h := s.home(); h != nil && minute%5 == 2 {
						deaths++
						s.die(h, false, time.Duration(10+s.random.IntN(40))*time.Second)
					} else if m := s.members[s.names[s.random.IntN(len(s.names))]]; m.up && minute%2 == 1 {
						restarts++
						s.die(m, true, 3*time.Second)
					}
				}
				inside, refused = inside+s.inside, refused+s.refused
			}
			share := float64(refused) / float64(inside)
			t.Logf("%d of %d refused inside the rate (%.4f), %d deaths of a home, %d restarts", refused, inside, share, deaths, restarts)
			if share > c.limit || inside < 40_000 || c.faults && deaths < 6 {
				t.Errorf("%.4f refused inside the rate, limit %.4f; %d deaths", share, c.limit, deaths)
			}
		})
	}
}
