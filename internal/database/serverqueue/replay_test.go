package serverqueue

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// stream is a Poisson stream of requests of one organisation and priority.
type stream struct {
	Request
	rate float64 // a second
	cost time.Duration
	goal time.Duration
}

type arrival struct {
	at   time.Duration
	cost time.Duration
	stream
}

// replay runs streams against one server with a queue. 3% of the statements take seven times as long.
type replay struct {
	q        *Queue[*arrival]
	seed     uint64
	running  []running
	tally    map[string]*tally // by priority, and by priority and organisation
	overdue  time.Duration     // longest time from a request's limit until its refusal
	measured time.Duration     // start of the counted period
}

type running struct {
	item  *Item[*arrival]
	start time.Duration
	end   time.Duration
}

type tally struct {
	asked, served, late, refused, early int // early: refused within 100 ms of the arrival
	demand, service                     time.Duration
	waits                               []time.Duration
}

// names of the organisations without the hot one.
var ordinary = []string{"a", "b", "c", "d", "e", "f", "g", "h"}

func newReplay(seed uint64, slots int) *replay {
	r := &replay{seed: seed, tally: map[string]*tally{}, measured: time.Second}
	r.q = NewQueue(Options{Slots: slots}, func(i *Item[*arrival], f Refusal) { r.refused(i.Value, f) })
	return r
}

func (r *replay) counts(s stream, count func(*tally)) {
	for _, key := range []string{string('0' + rune(s.Level())), string('0'+rune(s.Level())) + s.Organisation} {
		if r.tally[key] == nil {
			r.tally[key] = &tally{}
		}
		count(r.tally[key])
	}
}

func (r *replay) refused(a *arrival, f Refusal) {
	if limit, ok := f.Request.limit(); ok {
		r.overdue = max(r.overdue, f.At-limit)
	}
	if a.at < r.measured {
		return
	}
	r.counts(a.stream, func(t *tally) {
		t.refused++
		if f.At-a.at <= 100*time.Millisecond {
			t.early++
		}
	})
}

// arrivals returns the requests of all streams in order.
func (r *replay) arrivals(streams []stream, total time.Duration) []arrival {
	random := rand.New(rand.NewPCG(r.seed, 1))
	var all []arrival
	for _, s := range streams {
		for at := time.Duration(0); ; {
			at += time.Duration(random.ExpFloat64() / s.rate * float64(time.Second))
			if at >= total {
				break
			}
			a := arrival{at: at, cost: s.cost, stream: s}
			if random.Float64() < 0.03 {
				a.cost *= 7
			}
			a.Deadline, a.Goal = at+2*s.goal, at+s.goal
			all = append(all, a)
		}
	}
	slices.SortFunc(all, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return all
}

// run replays streams for a time.
func (r *replay) run(streams []stream, total time.Duration) {
	all := r.arrivals(streams, total)
	for n := range all {
		a := &all[n]
		r.advance(a.at)
		r.arrive(a.at, a)
	}
	r.advance(total + 10*time.Second)
}

func (r *replay) arrive(now time.Duration, a *arrival) {
	if a.at >= r.measured {
		r.counts(a.stream, func(t *tally) { t.asked, t.demand = t.asked+1, t.demand+a.cost })
	}
	if _, err := r.q.Push(now, a.Request, a); err != nil {
		r.refused(a, RefusalOf(err))
	}
	r.start(now)
}

// advance ends what has run until a time, and starts what follows.
func (r *replay) advance(until time.Duration) {
	for len(r.running) > 0 {
		next := slices.MinFunc(r.running, func(a, b running) int { return cmp.Compare(a.end, b.end) })
		if expiry, ok := r.q.NextExpiry(); ok && expiry+1 < min(next.end, until) {
			r.q.Expire(expiry + 1)
			continue
		}
		if next.end > until {
			return
		}
		r.running = slices.DeleteFunc(r.running, func(o running) bool { return o == next })
		r.finish(next)
		r.start(next.end)
	}
}

func (r *replay) finish(e running) {
	r.q.Finish(e.end, e.item, e.end-e.start)
	a := e.item.Value
	r.counts(a.stream, func(t *tally) {
		if e.start >= r.measured {
			t.service += e.end - e.start
		}
		if a.at < r.measured {
			return
		}
		t.served++
		t.waits = append(t.waits, e.start-a.at)
		if e.end > a.Goal {
			t.late++
		}
	})
}

func (r *replay) start(now time.Duration) {
	for r.q.slotFree() {
		i, ok := r.q.Next(now)
		if !ok {
			return
		}
		r.running = append(r.running, running{item: i, start: now, end: now + i.Value.cost})
	}
}

// percentile returns a percentile of the waits.
func (t *tally) percentile(p float64) time.Duration {
	if len(t.waits) == 0 {
		return 0
	}
	slices.Sort(t.waits)
	return t.waits[min(len(t.waits)-1, int(p*float64(len(t.waits))))]
}

// registry returns the streams of the container registry at one server with 5 slots: 59% of the slots' time, with a factor
// for the lowest priority and another one for a hot organisation.
func registry(lowest, hot float64) []stream {
	var streams []stream
	add := func(organisation string, factor float64) {
		for p, s := range []stream{
			{rate: 15, cost: 8 * time.Millisecond, goal: 500 * time.Millisecond},
			{rate: 6, cost: 24 * time.Millisecond, goal: time.Second},
			{rate: 2.5 * lowest, cost: 40 * time.Millisecond, goal: 2500 * time.Millisecond},
		} {
			s.rate *= factor
			s.Organisation, s.Priority, s.Kind = organisation, uint8(p), Read
			streams = append(streams, s)
		}
	}
	for _, o := range ordinary {
		add(o, 1)
	}
	if hot > 0 {
		add("hot", hot)
	}
	return streams
}

// report logs the figures of all priorities and organisations if a test fails.
func (r *replay) report(t *testing.T) {
	t.Helper()
	if !t.Failed() && !testing.Verbose() {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(r.tally)) {
		c := r.tally[key]
		t.Logf("seed %d, %-5s asked %5d, served %5d, late %3d, refused %5d (%5d within 100 ms), service %8v, wait p50 %v p99 %v", r.seed,
			key, c.asked, c.served, c.late, c.refused, c.early, c.service.Round(time.Millisecond),
			c.percentile(0.5).Round(time.Millisecond), c.percentile(0.99).Round(time.Millisecond))
	}
}
