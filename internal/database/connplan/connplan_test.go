package connplan

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	slots         = 4
	limit         = 47
	organisations = 78
	openingTime   = 12 * time.Millisecond
	step          = 500 * time.Microsecond
)

// call is a call of the simulation.
type call struct {
	Request
	arrived  time.Duration
	runs     time.Duration // of its statement
	use      Use
	opening  bool
	awaiting bool
	end      time.Duration // of the opening, the wait or the statement
	held     int           // slot that it occupies
}

// server simulates the calls to one server in steps of half a millisecond. Each opening and each statement occupies a slot.
type server struct {
	random      *rand.Rand
	plan        *Plan // nil for the rule that closes the connection that has been idle for the longest time
	ownWait     bool
	connections int
	idle        map[string][]time.Duration // since when connections are idle, by organisation, oldest first
	queue       []*call
	running     []*call

	openings, openingNow, mostOpenings int
	served                             int
	waits                              [2]time.Duration // longest of the urgent and of the other calls
	allServedAt                        time.Duration
}

func newServer(seed uint64, plan *Plan) *server {
	return &server{random: rand.New(rand.NewPCG(seed, 21)), plan: plan, ownWait: true, idle: map[string][]time.Duration{}}
}

func (s *server) idleList() []Idle {
	var list []Idle
	for n := range organisations { // in a fixed order
		name := fmt.Sprint(n)
		if conns := s.idle[name]; len(conns) > 0 {
			list = append(list, Idle{Organisation: name, Count: len(conns), Since: conns[0]})
		}
	}
	return list
}

// oldestIdle is the rule without a plan.
func (s *server) oldestIdle(r Request) Action {
	if len(s.idle[r.Organisation]) > 0 {
		return UseIdle{}
	}
	if s.connections < limit {
		return Open{}
	}
	oldest := Idle{Since: math.MaxInt64}
	for _, i := range s.idleList() {
		if i.Since < oldest.Since {
			oldest = i
		}
	}
	if oldest.Count == 0 {
		return Await{Cause: NoneIdle}
	}
	return Open{Evicted: &Eviction{Organisation: oldest.Organisation}}
}

func (s *server) decide(now time.Duration, c *call) Action {
	if s.plan == nil {
		return s.oldestIdle(c.Request)
	}
	c.Waited = c.Waited || !s.ownWait
	return s.plan.Decide(now, c.Request, State{Connections: s.connections, Limit: limit, OwnIdle: len(s.idle[c.Organisation]), Idle: s.idleList})
}

func (s *server) arrive(now time.Duration, c *call) {
	c.arrived = now
	s.queue = append(s.queue, c)
}

// advance ends what is over at now and lets queued calls use the free slots.
func (s *server) advance(now time.Duration) {
	running := s.running
	s.running = nil
	for _, c := range running {
		s.progress(now, c)
	}
	var waiting []*call
	for n, c := range s.queue {
		if len(s.running) == slots {
			waiting = append(waiting, s.queue[n:]...)
			break
		}
		if !s.begin(now, c) {
			waiting = append(waiting, c)
		}
	}
	s.queue = waiting
}

// progress moves a running call on if its present step is over.
func (s *server) progress(now time.Duration, c *call) {
	switch {
	case c.awaiting:
		if now < c.end && len(s.idle[c.Organisation]) == 0 {
			s.running = append(s.running, c)
			return
		}
		s.plan.Waiting(c.Request, -1)
		c.awaiting, c.Waited = false, true
		if !s.begin(now, c) {
			s.queue = append([]*call{c}, s.queue...)
		}
	case now < c.end:
		s.running = append(s.running, c)
	case c.opening:
		c.opening = false
		s.openingNow--
		if s.plan != nil {
			c.use = s.plan.End(now, c.use, true)
		}
		s.run(now, c)
	default:
		if s.plan != nil {
			s.plan.Return(now, c.use)
		}
		s.idle[c.Organisation] = append(s.idle[c.Organisation], now)
		s.served++
		s.allServedAt = now
	}
}

// run starts the statement of a call.
func (s *server) run(now time.Duration, c *call) {
	kind := 1
	if c.Urgent() {
		kind = 0
	}
	s.waits[kind] = max(s.waits[kind], now-c.arrived)
	c.end = now + c.runs
	s.running = append(s.running, c)
}

// begin lets a call take a slot, unless it has to wait.
func (s *server) begin(now time.Duration, c *call) bool {
	switch a := s.decide(now, c).(type) {
	case UseIdle:
		conns := s.idle[c.Organisation]
		s.idle[c.Organisation] = conns[:len(conns)-1]
		if s.plan != nil {
			c.use = s.plan.Take(now, c.Request)
		}
		s.run(now, c)
	case AwaitOwn:
		s.plan.Waiting(c.Request, 1)
		c.awaiting, c.end = true, now+a.Limit
		s.running = append(s.running, c)
	case Open:
		if a.Evicted != nil {
			s.idle[a.Evicted.Organisation] = s.idle[a.Evicted.Organisation][1:]
			s.connections--
		}
		s.connections++
		s.openings++
		s.openingNow++
		s.mostOpenings = max(s.mostOpenings, s.openingNow)
		if s.plan != nil {
			c.use = s.plan.Begin(now, c.Request)
		}
		c.opening, c.end = true, now+openingTime
		s.running = append(s.running, c)
	case Await:
		return false
	}
	return true
}

// statement returns a call of an organisation whose statement takes 2.5 to 13 ms.
func (s *server) statement(organisation int, priority uint8) *call {
	runs := 2500*time.Microsecond + time.Duration(s.random.Int64N(int64(10500*time.Microsecond)))
	return &call{Request: Request{Organisation: fmt.Sprint(organisation), Priority: priority}, runs: runs}
}

// playZipf plays calls of 78 organisations with Zipf-distributed demand that varies by 55% with a phase for each.
func (s *server) playZipf(perSecond float64, duration time.Duration) {
	var phase, weight [organisations]float64
	sum := 0.0
	for n := range weight {
		phase[n], weight[n] = 2*math.Pi*s.random.Float64(), 1/float64(n+1)
		sum += weight[n]
	}
	for now := time.Duration(0); now < duration; now += step {
		for n := range weight {
			varied := 1 + 0.55*math.Sin(phase[n]+2*math.Pi*now.Seconds()/20)
			if s.random.Float64() < perSecond*weight[n]/sum*varied*step.Seconds() {
				s.arrive(now, s.statement(n, uint8(s.random.IntN(3))))
			}
		}
		s.advance(now)
	}
}

// Guards against openings that a better choice of the connection to close, or a short wait for an own one, avoids.
func TestFewerOpeningsThanOldestIdle(t *testing.T) {
	for _, perSecond := range []float64{40, 150, 250} {
		var oldest, victim, plan, served int
		for seed := range uint64(5) {
			for _, c := range []struct {
				s     *server
				total *int
			}{{newServer(seed, nil), &oldest}, {newServer(seed, New(Options{Slots: slots})), &plan}, {newServer(seed, New(Options{Slots: slots})), &victim}} {
				c.s.ownWait = c.total != &victim
				c.s.playZipf(perSecond, 40*time.Second)
				*c.total += c.s.openings
				if c.total == &plan {
					served += c.s.served
				}
			}
		}
		t.Logf("%.0f calls a second: %d openings by the oldest idle, %d by the choice of the victim alone, %d by the plan, for %d calls", perSecond, oldest, victim, plan, served)
		if float64(plan) > 0.85*float64(oldest) {
			t.Errorf("%.0f calls a second, seeds 0 to 4: %d openings, %d by the oldest idle, want at most 0.85 of them", perSecond, plan, oldest)
		}
	}
}

// Guards against a herd of openings after the loss of all connections that occupies all slots of the server, so that an
// urgent call waits for it, and against a pace at which the herd takes longer than its work.
func TestHerdAfterLossOfAllConnections(t *testing.T) {
	for seed := range uint64(5) {
		s := newServer(seed, New(Options{Slots: slots}))
		s.playZipf(150, 10*time.Second)
		for now := 10 * time.Second; len(s.running)+len(s.queue) > 0; now += step {
			s.advance(now)
		}
		s.connections, s.idle, s.waits = 0, map[string][]time.Duration{}, [2]time.Duration{}
		start := time.Minute + step
		for n := range organisations {
			s.arrive(start, s.statement(n, 1))
			s.arrive(start, s.statement(n, 2))
		}
		begun := s.served
		for now := start; now < start+2*time.Second; now += step {
			if now == start+100*time.Millisecond {
				s.arrive(now, s.statement(5, 0))
				s.queue = append(s.queue[len(s.queue)-1:], s.queue[:len(s.queue)-1]...)
			}
			s.advance(now)
		}
		t.Logf("seed %d: %d openings at once, urgent call after %v, all served after %v", seed, s.mostOpenings, s.waits[0], s.allServedAt-start)
		if s.mostOpenings > slots || s.waits[0] > 2*openingTime {
			t.Errorf("seed %d: %d openings at once and a wait of %v for the urgent call, want at most %d and %v", seed, s.mostOpenings, s.waits[0], slots, 2*openingTime)
		}
		if s.served-begun != 2*organisations+1 || s.allServedAt-start > time.Second {
			t.Errorf("seed %d: %d calls served after %v, want %d within 1 s", seed, s.served-begun, s.allServedAt-start, 2*organisations+1)
		}
	}
}

// Guards against an urgent call that waits because less urgent calls hold all connections.
func TestConnectionsAreReservedForUrgentCalls(t *testing.T) {
	for _, limit := range []int{1, 3, 8, limit} {
		p := New(Options{Slots: slots})
		state := State{Limit: limit, Idle: func() []Idle { return nil }}
		held := 0
		for n := range 2 * limit {
			r := Request{Organisation: fmt.Sprint(n), Priority: 1}
			if _, ok := p.Decide(0, r, state).(Open); !ok {
				break
			}
			p.End(0, p.Begin(0, r), true)
			state.Connections++
			held++
		}
		if want := limit - min(slots, limit/4); held != want {
			t.Errorf("limit %d: less urgent calls hold %d connections, want %d", limit, held, want)
		}
		urgent := Request{Organisation: "urgent"}
		if _, ok := p.Decide(0, urgent, state).(Open); limit >= 4 && !ok {
			t.Errorf("limit %d: an urgent call does not open one of the connections left", limit)
		}
	}
}

// Guards against the loss of an organisation's only connection while another one holds several, and against an idle one
// that is kept for an organisation that is not expected back.
func TestLeastNeeded(t *testing.T) {
	p := New(Options{Slots: slots})
	for n := range 200 {
		now := time.Duration(n) * 50 * time.Millisecond
		p.Return(now+5*time.Millisecond, p.Take(now, Request{Organisation: "busy", Priority: 2}))
		if n%40 == 0 {
			p.arrived(now, Request{Organisation: "seldom", Priority: 2})
		}
		if n%80 == 0 {
			p.arrived(now, Request{Organisation: "urgent"})
			p.arrived(now, Request{Organisation: "rare", Priority: 2})
		}
	}
	now := 10 * time.Second
	for _, c := range []struct {
		idle   []Idle
		name   string
		reason Reason
	}{
		{[]Idle{{"busy", 4, 9 * time.Second}, {"seldom", 1, time.Second}}, "busy", Surplus},
		{[]Idle{{"busy", 1, time.Second}, {"seldom", 1, 9 * time.Second}}, "seldom", Demand},
		{[]Idle{{"urgent", 1, time.Second}, {"rare", 1, 9 * time.Second}}, "rare", Demand},
		{[]Idle{{"unknown", 1, 9 * time.Second}, {"rare", 1, time.Second}}, "unknown", Demand},
		{[]Idle{{"a", 1, 9 * time.Second}, {"b", 1, 8 * time.Second}}, "b", Demand},
	} {
		if e, ok := p.leastNeeded(now, c.idle); !ok || e.Organisation != c.name || e.Reason != c.reason {
			t.Errorf("of %v %+v, want %s for %s", c.idle, e, c.name, c.reason)
		}
	}
}

// Guards against a call that waits for its organisation's own connection longer than an opening takes, or twice.
func TestAwaitOwn(t *testing.T) {
	p := New(Options{Slots: slots})
	r := Request{Organisation: "a"}
	state := State{Limit: limit}
	p.Return(17*time.Millisecond, p.End(12*time.Millisecond, p.Begin(0, r), true))
	if _, ok := p.Decide(time.Second, r, state).(Open); !ok {
		t.Error("a call waits for a connection that nobody uses")
	}
	p.Take(time.Second, r)
	if a, ok := p.Decide(time.Second, r, state).(AwaitOwn); !ok || a.Limit != 12*time.Millisecond {
		t.Errorf("%+v, want a wait of at most 12 ms for the connection that is used for 5 ms", a)
	}
	p.Waiting(r, 1)
	p.Waiting(r, 1)
	if _, ok := p.Decide(time.Second, r, state).(Open); !ok {
		t.Error("a third call waits for a connection for which two wait")
	}
	r.Waited = true
	p.Waiting(r, -2)
	if _, ok := p.Decide(time.Second, r, state).(Open); !ok {
		t.Error("a call waits a second time")
	}
}

// Measures the decision about 78 organisations at the connection limit.
func BenchmarkDecide(b *testing.B) {
	p := New(Options{Slots: slots})
	var idle []Idle
	for n := range limit {
		r := Request{Organisation: fmt.Sprint(n)}
		p.arrived(0, r)
		p.arrived(time.Duration(n)*time.Millisecond, r)
		idle = append(idle, Idle{Organisation: r.Organisation, Count: 1 + n%2})
	}
	state := State{Connections: limit, Limit: limit, Idle: func() []Idle { return idle }}
	for b.Loop() {
		p.Decide(time.Second, Request{Organisation: "other"}, state)
	}
}
