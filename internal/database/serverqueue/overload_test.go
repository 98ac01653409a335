package serverqueue

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	replayed = 20 * time.Second
	// leastShare is the reserved share of a priority, less one item at the end and the time in which nothing of it waits.
	leastShare = 0.045
)

// service returns the part of the measured service time that a priority got.
func (r *replay) service(priority string) float64 {
	total := r.tally["0"].service + r.tally["1"].service + r.tally["2"].service
	return r.tally[priority].service.Seconds() / total.Seconds()
}

// keepsGoal requires that under 2% of a stream's requests are refused or late.
func (r *replay) keepsGoal(t *testing.T, key string) {
	t.Helper()
	if c := r.tally[key]; (c.refused+c.late)*50 >= c.asked {
		t.Errorf("seed %d: %s: %d refused and %d late of %d, want under 2%%", r.seed, key, c.refused, c.late, c.asked)
	}
}

// sharesFairly requires that each ordinary organisation gets what it asks for or its share of a priority's service time,
// whichever is less, but for the grain of a slow statement and a fifth: when more urgent work leaves nothing for the length
// of a latency goal, requests of that time cannot be served later.
func (r *replay) sharesFairly(t *testing.T, priority string) {
	t.Helper()
	share := r.fairShare(priority)
	for _, o := range ordinary {
		c := r.tally[priority+o]
		slow := 7 * c.demand / time.Duration(c.asked)
		if want := min(c.demand, share)*8/10 - slow; c.service < want {
			t.Errorf("seed %d: %s has %v in priority %s, want %v", r.seed, o, c.service, priority, want)
		}
	}
}

// fairShare returns the service time up to which a priority's organisations get what they ask for, if it is shared equally.
func (r *replay) fairShare(priority string) time.Duration {
	left := r.tally[priority].service
	var demands []time.Duration
	for _, o := range append([]string{"hot"}, ordinary...) {
		demands = append(demands, r.tally[priority+o].demand)
	}
	slices.Sort(demands)
	for n, d := range demands {
		share := left / time.Duration(len(demands)-n)
		if d > share {
			return share
		}
		left -= d
	}
	return demands[len(demands)-1]
}

// refusesSoon requires that refusals come before the request's limit, and nine of ten within 100 ms of the request. The others were
// queued before more urgent work came.
func (r *replay) refusesSoon(t *testing.T) {
	t.Helper()
	refused, early := 0, 0
	for _, priority := range []string{"0", "1", "2"} {
		if c := r.tally[priority]; c != nil {
			refused, early = refused+c.refused, early+c.early
		}
	}
	if early*10 < refused*9 {
		t.Errorf("seed %d: %d of %d refusals within 100 ms of the request, want nine of ten", r.seed, early, refused)
	}
	if r.overdue > 0 {
		t.Errorf("seed %d: a refusal came %v after the request's limit", r.seed, r.overdue)
	}
}

// Guards against high-priority callers that are refused or late because of load of the lowest priority, a hot organisation
// that takes the share of others, and a lowest priority that starves. The load: the lowest priority at 2.2 and 3 times its
// usual demand, beside an organisation that asks 4 or 15 times as much as any other at all priorities.
func TestLowestPriorityBesideHotOrganisation(t *testing.T) {
	for _, lowest := range []float64{2.2, 3} {
		for _, hot := range []float64{4, 15} {
			for seed := range uint64(3) {
				t.Run(fmt.Sprint(lowest, hot, seed), func(t *testing.T) {
					r := newReplay(seed+1, 5)
					r.run(registry(lowest, hot), replayed)
					r.keepsGoal(t, "0")
					for _, priority := range []string{"0", "1", "2"} {
						r.sharesFairly(t, priority)
					}
					if share := r.service("2"); share < leastShare {
						t.Errorf("seed %d: the lowest priority has %.3f of the service time, want 0.05", r.seed, share)
					}
					r.refusesSoon(t)
					r.report(t)
				})
			}
		}
	}
}

// Guards against lower priorities that starve behind writes, and callers that wait for a refusal. The load: writes of the
// highest priority alone take 1.6 times what the primary can do.
func TestPrimaryFullOfWrites(t *testing.T) {
	for seed := range uint64(3) {
		r := newReplay(seed+1, 4)
		streams := registry(1, 0)
		for n := range streams {
			if streams[n].Priority == 0 {
				streams[n].Kind, streams[n].rate = Write, 100
			}
		}
		r.run(streams, replayed)
		for _, priority := range []string{"1", "2"} {
			if share := r.service(priority); share < leastShare {
				t.Errorf("seed %d: priority %s has %.3f of the service time, want 0.05", r.seed, priority, share)
			}
		}
		if share := r.service("0"); share < 0.85 {
			t.Errorf("seed %d: the highest priority has %.3f of the service time, want 0.9 less the grain of one item", r.seed, share)
		}
		r.refusesSoon(t)
		r.report(t)
	}
}

// Guards against a priority that is refused for ever, because its expected cost is wrong and nothing of it is served that
// would correct it. The load: as above, after a slow statement of each lower priority.
func TestSlowStatementDoesNotCloseItsPriority(t *testing.T) {
	for seed := range uint64(3) {
		r := newReplay(seed+1, 4)
		for _, priority := range []uint8{1, 2} {
			r.q.costs.learn(Request{Priority: priority}, DefaultMaxCost)
		}
		streams := registry(1, 0)
		for n := range streams {
			if streams[n].Priority == 0 {
				streams[n].Kind, streams[n].rate = Write, 100
			}
		}
		r.run(streams, replayed)
		for _, priority := range []string{"1", "2"} {
			if share := r.service(priority); share < leastShare {
				t.Errorf("seed %d: priority %s has %.3f of the service time, want 0.05", r.seed, priority, share)
			}
		}
	}
}

// Guards against one organisation whose many callers push others out of the queue. The load: 500 sessions of one
// organisation that each send five statements a second at the highest priority, 4 times what the server can do.
func TestOrganisationWithManySessions(t *testing.T) {
	for seed := range uint64(3) {
		r := newReplay(seed+1, 5)
		crowd := stream{rate: 2500, cost: 8 * time.Millisecond, goal: 500 * time.Millisecond}
		crowd.Organisation, crowd.Kind = "hot", Read
		r.run(append(registry(1, 0), crowd), replayed)
		for _, o := range ordinary {
			if c := r.tally["0"+o]; (c.refused+c.late)*50 >= c.asked {
				t.Errorf("seed %d: %s: %d refused and %d late of %d, want under 2%%", r.seed, o, c.refused, c.late, c.asked)
			}
		}
		r.refusesSoon(t)
		r.report(t)
	}
}

// Guards against refusals while the server has room: at usual load nothing is refused.
func TestUsualLoadIsNotRefused(t *testing.T) {
	for seed := range uint64(3) {
		r := newReplay(seed+1, 5)
		r.run(registry(1, 0), replayed)
		for _, priority := range []string{"0", "1", "2"} {
			if c := r.tally[priority]; c.refused > 0 || c.late > 0 {
				t.Errorf("seed %d: priority %s: %d refused, %d late", r.seed, priority, c.refused, c.late)
			}
		}
	}
}
