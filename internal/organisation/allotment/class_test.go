package allotment

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	fleetPlaces    = 6
	fleetInstances = 94
	fleetRate      = 404.0
)

// fleet runs one organisation at the coordinators of six places and at 94 instances in steps of one millisecond.
type fleet struct {
	random      *rand.Rand
	byPriority  bool
	loadFactor  float64          // offered requests divided by the rate
	mix         [Classes]float64 // part of each class in the offered requests
	retries     int              // times that a refused caller of the lowest class comes back at once
	nameless    int              // instances that name no priorities to their coordinator
	changeAfter time.Duration    // the coordinator of the first place changes at this time; 0 for never
	countAfter  time.Duration    // requests before this time are not counted
	duration    time.Duration

	caches      []*TokenCache
	classes     []map[Ticket]Class
	homes       [fleetPlaces]Homes
	leaseStart  [fleetPlaces]time.Time
	coordinated [fleetPlaces]time.Time // nobody coordinates a place before this time

	counting                   bool
	offered, refused, admitted [Classes]int
	namelessAdmitted           int
	refusedAtOnce              [Classes]int
	total                      int
	level, lowestLevel         float64 // of a bucket of the whole rate and burst
	reserved                   float64 // at the last grant
}

var fleetSettings = Settings{Rate: fleetRate, Burst: 2 * fleetRate}

// settings returns the part of the rate that a place has.
func (f *fleet) settings(place int) Settings {
	members := 0
	for i := range fleetInstances {
		if i%fleetPlaces == place {
			members++
		}
	}
	part := float64(members) / fleetInstances
	return Settings{Rate: fleetSettings.Rate * part, Burst: fleetSettings.Burst * part}
}

func (f *fleet) admit(instance int, c Class) {
	f.total++
	f.level--
	f.lowestLevel = min(f.lowestLevel, f.level)
	if f.counting {
		f.admitted[c]++
		if instance < f.nameless {
			f.namelessAdmitted++
		}
	}
}

func (f *fleet) refuse(c Class) {
	if f.counting {
		f.refused[c]++
	}
}

// request lets a caller arrive. A refused caller of the lowest class comes back at once.
func (f *fleet) request(now time.Time, instance int, c Class) {
	for try := 0; ; try++ {
		ticket, reason := f.caches[instance].RequestClass(now, c)
		for _, r := range f.caches[instance].Displaced() {
			f.refuse(f.classes[instance][r.Ticket])
		}
		switch {
		case reason == "" && ticket == 0:
			f.admit(instance, c)
			return
		case reason == "":
			f.classes[instance][ticket] = c
			return
		}
		if c < Lowest || try == f.retries {
			f.refuse(c)
			if f.counting {
				f.refusedAtOnce[c]++
			}
			return
		}
	}
}

// grant is the answer of the coordinator of a place.
func (f *fleet) grant(now time.Time, place, instance int, c Call) Grant {
	if now.Before(f.coordinated[place]) {
		return Grant{NotHome: true}
	}
	if !f.byPriority {
		return f.homes[place].Grant(now, f.leaseStart[place], "a", f.settings(place), c.Wanted)
	}
	wanted := c.ByClass
	if instance < f.nameless {
		wanted = ByClass{}.Completed(c.Wanted)
	}
	g := f.homes[place].GrantByClass(now, f.leaseStart[place], "a", f.settings(place), wanted)
	f.reserved = g.Reserved
	return g
}

// pick returns the class of a new request.
func (f *fleet) pick() Class {
	x := f.random.Float64()
	for c, part := range f.mix {
		if x -= part; x < 0 {
			return Class(c)
		}
	}
	return Lowest
}

func (f *fleet) run() {
	start := time.Unix(0, 0)
	for i := range fleetInstances {
		f.caches = append(f.caches, NewTokenCache(Options{ByPriority: f.byPriority && i >= f.nameless, RateWait: 140 * time.Millisecond}))
		f.classes = append(f.classes, map[Ticket]Class{})
	}
	for p := range f.leaseStart {
		f.leaseStart[p] = start.Add(-time.Minute)
	}
	f.level = fleetSettings.Burst
	var messages []message
	for now := start; now.Before(start.Add(f.duration)); now = now.Add(time.Millisecond) {
		f.counting = now.Sub(start) >= f.countAfter
		f.level = min(fleetSettings.Burst, f.level+fleetSettings.Rate/1000)
		if f.changeAfter > 0 && now.Sub(start) == f.changeAfter {
			f.coordinated[0] = now.Add(200 * time.Millisecond)
			f.leaseStart[0] = f.coordinated[0]
		}
		messages = f.deliver(now, messages)
		for i, cache := range f.caches {
			f.serve(i, cache.Serve(now))
			for _, r := range cache.ExpireWaiters(now) {
				f.refuse(f.classes[i][r.Ticket])
			}
			for p := fleetRate * f.loadFactor / 1000 / fleetInstances; f.random.Float64() < p; p-- {
				c := f.pick()
				if f.counting {
					f.offered[c]++
				}
				f.request(now, i, c)
			}
			if call, ok := cache.NextCall(now, fleetSettings); ok {
				messages = append(messages, message{cache: i, call: call, at: f.arrival(now)})
			}
		}
	}
}

// deliver handles the messages that arrive now and returns those that are on their way.
func (f *fleet) deliver(now time.Time, messages []message) []message {
	kept := messages[:0]
	for _, m := range messages {
		switch {
		case now.Before(m.at):
			kept = append(kept, m)
		case !m.granted:
			m.grant = f.grant(now, m.cache%fleetPlaces, m.cache, m.call)
			m.granted, m.at = true, f.arrival(now)
			kept = append(kept, m)
		default:
			f.serve(m.cache, f.caches[m.cache].Receive(now, m.call, m.grant, fleetSettings))
		}
	}
	return kept
}

func (f *fleet) serve(instance int, tickets []Ticket) {
	for _, t := range tickets {
		f.admit(instance, f.classes[instance][t])
		delete(f.classes[instance], t)
	}
}

func (f *fleet) arrival(now time.Time) time.Time {
	return now.Add(time.Duration(500+f.random.IntN(1500)) * time.Microsecond)
}

// refusedPart returns the part of the offered requests of a class that were refused.
func (f *fleet) refusedPart(c Class) float64 {
	return float64(f.refused[c]) / float64(max(1, f.offered[c]))
}

// admittedPart returns the part of a class in the admitted requests.
func (f *fleet) admittedPart(c Class) float64 {
	sum := 0
	for _, n := range f.admitted {
		sum += n
	}
	return float64(f.admitted[c]) / float64(max(1, sum))
}

// heavy returns the fleet of the heaviest day: five times the rate, 11% of it of priority 0 and 37% of priority 2.
func heavy(seed uint64) *fleet {
	return &fleet{
		random: rand.New(rand.NewPCG(seed, 11)), byPriority: true, loadFactor: 5, mix: [Classes]float64{0.11, 0.52, 0.37},
		countAfter: 10 * time.Second, duration: 25 * time.Second,
	}
}

// check runs a fleet and requires that the rate holds and that the most urgent callers are served.
func (f *fleet) check(t *testing.T, seed uint64) {
	t.Helper()
	f.run()
	t.Logf("seed %d: %d admitted, by class %v of %v offered, %v refused, %v of them at once, %.1f reserved", seed, f.total, f.admitted, f.offered, f.refused, f.refusedAtOnce, f.reserved)
	if f.lowestLevel < -1e-6 {
		t.Errorf("seed %d: bucket of the whole rate down to %.2f", seed, f.lowestLevel)
	}
	if part := f.refusedPart(0); part >= 0.02 {
		t.Errorf("seed %d: %.4f of priority 0 refused, want less than 0.02", seed, part)
	}
}

// Guards against an organisation above its rate whose most urgent operations are refused beside less urgent ones, against
// reserved tokens that nobody gets, and against a lowest class without any tokens.
func TestMostUrgentGetTokensAboveTheRate(t *testing.T) {
	for seed := range uint64(2) {
		f, without := heavy(seed), heavy(seed)
		f.check(t, seed)
		without.byPriority = false
		without.run()
		t.Logf("seed %d: without priorities %d admitted, %v of %v by class, %.3f of priority 0 refused", seed, without.total, without.admitted, without.offered, without.refusedPart(0))
		if float64(f.total) < 0.97*float64(without.total) || float64(f.total) > 1.03*float64(without.total) {
			t.Errorf("seed %d: %d admitted, %d without priorities, want within 3%%", seed, f.total, without.total)
		}
		if part := f.admittedPart(Lowest); part < lowerShare {
			t.Errorf("seed %d: %.4f of the tokens for the lowest class, want at least %.2f", seed, part, lowerShare)
		}
	}
}

// Guards against tokens that are kept for urgent callers that do not exist: without them the reserve is empty, and the sum
// is that of the order of arrival.
func TestNothingIsReservedWithoutUrgentDemand(t *testing.T) {
	f, without := heavy(1), heavy(1)
	f.mix, without.mix = [Classes]float64{0, 0, 1}, [Classes]float64{0, 0, 1}
	without.byPriority = false
	f.run()
	without.run()
	if f.reserved > 0 || float64(f.total) < 0.995*float64(without.total) {
		t.Errorf("%.1f tokens reserved and %d admitted, want 0 reserved and %d admitted as without priorities", f.reserved, f.total, without.total)
	}
}

// Guards against refused callers that gain tokens by coming back at once.
func TestRetriesAtOnceGainNothing(t *testing.T) {
	once, thrice := heavy(4), heavy(4)
	thrice.retries = 3
	once.run()
	thrice.check(t, 4)
	if float64(thrice.admitted[Lowest]) > 1.05*float64(once.admitted[Lowest]) {
		t.Errorf("%d of the lowest class admitted with retries, %d without", thrice.admitted[Lowest], once.admitted[Lowest])
	}
}

// Guards against a new coordinator, which has learnt nothing, that refuses the most urgent for longer than it learns.
func TestNewCoordinatorLearnsPriorities(t *testing.T) {
	f := heavy(5)
	f.changeAfter, f.countAfter = 4*time.Second, 5*time.Second
	f.check(t, 5)
}

// Guards against an instance of an earlier version that takes the tokens of the more urgent, or gets none at all.
func TestInstanceWithoutPriorities(t *testing.T) {
	f := heavy(6)
	f.nameless = 10
	f.run()
	named := 0
	for c, n := range f.admitted {
		t.Logf("class %d: %d of %d admitted", c, n, f.offered[c])
		named += n
	}
	if f.lowestLevel < 0 || f.namelessAdmitted == 0 || f.namelessAdmitted > named/10 {
		t.Errorf("%d of %d admitted at the instances without priorities, lowest level %.1f", f.namelessAdmitted, named, f.lowestLevel)
	}
	if part := float64(f.admitted[0]) / float64(f.offered[0]); part < 0.98*float64(fleetInstances-f.nameless)/fleetInstances {
		t.Errorf("%.3f of priority 0 admitted, want all those of the other instances", part)
	}
}
