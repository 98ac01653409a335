package placement_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/request/placement"
)

const (
	ms        = time.Millisecond
	instances = 94
	slots     = 5
)

var regions = []string{"agreste", "sertao", "litoral"}

// chooser is an instance's choice of a server. A simulation runs the same load with different choosers.
type chooser interface {
	choose(now time.Duration, q placement.Question) string
	sent(now time.Duration, server string)
	answered(now time.Duration, server string, a placement.Attempt)
}

// balanced chooses with Estimates.
type balanced struct {
	placement.Estimates
	random *rand.Rand
}

func (b *balanced) choose(now time.Duration, q placement.Question) string {
	s, _ := b.Choose(now, q, b.random.Float64)
	return s.ID
}
func (b *balanced) sent(now time.Duration, server string) { b.Sent(now, server, 1) }
func (b *balanced) answered(now time.Duration, server string, a placement.Attempt) {
	b.Answered(now, server, a)
}

// event is an action of the simulation at a time.
type event struct {
	at     time.Duration
	number int // orders events at the same time
	run    func()
}
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].number < e[j].number
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { l := *e; x := l[len(l)-1]; *e = l[:len(l)-1]; return x }

// server is a simulated server with a queue in order of arrival.
type server struct {
	row     catalog.Server
	service time.Duration // mean
	running int
	queue   []func()
	reads   int
	writes  int
	perSec  []int // statements by second of the simulation
}

func (s *server) load() *statement.Load {
	l := &statement.Load{Running: s.running, Queued: len(s.queue), Slots: slots}
	if s.running == slots {
		for p := range l.Wait {
			l.Wait[p] = s.service * time.Duration(len(s.queue)+1) / slots
		}
	}
	return l
}

// simulation is a group with one server in each region and instances that send statements to it.
type simulation struct {
	random      *rand.Rand
	now         time.Duration
	events      events
	number      int
	servers     []*server
	callers     []chooser
	reportEvery time.Duration // interval in which all instances get all loads; 0 for a load with each answer
	silent      func(now time.Duration, server string) bool
	leader      string          // id, "" if reads are the only work
	warmUp      time.Duration   // reads that end before are not in took
	took        []time.Duration // durations of reads
}

func newSimulation(seed uint64, service []time.Duration, caller func(n int, random *rand.Rand) chooser) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), silent: func(time.Duration, string) bool { return false }}
	for i, mean := range service {
		row := catalog.Server{ID: fmt.Sprint("s", i), Place: regions[i], Slots: slots}
		s.servers = append(s.servers, &server{row: row, service: mean, perSec: make([]int, 100)})
	}
	for n := range instances {
		s.callers = append(s.callers, caller(n, rand.New(rand.NewPCG(seed, uint64(n)+2))))
	}
	return s
}

func (s *simulation) after(d time.Duration, run func()) {
	s.number++
	heap.Push(&s.events, event{s.now + d, s.number, run})
}

// arrivals starts statements at a rate from random instances until the end.
func (s *simulation) arrivals(perSecond float64, end time.Duration, start func(instance int)) {
	var next func()
	next = func() {
		if s.now < end {
			start(s.random.IntN(instances))
			s.after(time.Duration(s.random.ExpFloat64()*float64(time.Second)/perSecond), next)
		}
	}
	s.after(0, next)
}

func (s *simulation) rows() []catalog.Server {
	var rows []catalog.Server
	for _, v := range s.servers {
		rows = append(rows, v.row)
	}
	return rows
}

// read lets an instance choose a server for a read and send it there.
func (s *simulation) read(instance int) {
	q := placement.Question{Servers: s.rows(), Leader: s.leader, Place: regions[instance%len(regions)], Priority: 1}
	id := s.callers[instance].choose(s.now, q)
	s.send(instance, int(id[1]-'0'), false)
}

// write sends a statement to the first server.
func (s *simulation) write(instance int) { s.send(instance, 0, true) }

func (s *simulation) send(instance, index int, write bool) {
	v, started := s.servers[index], s.now
	way := ms
	if instance%len(regions) != index {
		way = 20 * ms
	}
	s.callers[instance].sent(s.now, v.row.ID)
	v.perSec[int(s.now/time.Second)]++
	if write {
		v.writes++
	} else {
		v.reads++
	}
	s.after(way, func() { s.arrive(v, func() { s.after(way, func() { s.finish(instance, v, started, write) }) }) })
}

func (s *simulation) finish(instance int, v *server, started time.Duration, write bool) {
	a := placement.Attempt{Answer: statement.Answer{Delivery: statement.Answered}, Took: s.now - started, LoadOnly: write}
	if s.reportEvery == 0 && !s.silent(s.now, v.row.ID) {
		a.Answer.Load = v.load()
	}
	s.callers[instance].answered(s.now, v.row.ID, a)
	if !write && s.now >= s.warmUp {
		s.took = append(s.took, a.Took)
	}
}

// arrive runs a statement at a server, or queues it. The function done is called at its end.
func (s *simulation) arrive(v *server, done func()) {
	work := func() {
		s.after(time.Duration(s.random.ExpFloat64()*float64(v.service)), func() {
			v.running--
			if len(v.queue) > 0 {
				next := v.queue[0]
				v.queue = v.queue[1:]
				v.running++
				next()
			}
			done()
		})
	}
	if v.running < slots {
		v.running++
		work()
		return
	}
	v.queue = append(v.queue, work)
}

// broadcast gives all instances the loads of all servers in intervals of reportEvery.
func (s *simulation) broadcast(end time.Duration) {
	for _, v := range s.servers {
		load := v.load()
		for _, c := range s.callers {
			c.answered(s.now, v.row.ID, placement.Attempt{Answer: statement.Answer{Delivery: statement.Answered, Load: load}, LoadOnly: true})
		}
	}
	if s.now < end {
		s.after(s.reportEvery, func() { s.broadcast(end) })
	}
}

func (s *simulation) run(end time.Duration) {
	if s.reportEvery > 0 {
		s.broadcast(end)
	}
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}
