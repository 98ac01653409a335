package failover

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"tanagercross/internal/database/driver"
)

// The model: processes on a simulated network with a seeded random source, and database servers that obey the rules of
// the design page (promised term and holder, log matching, asynchronous replication, majority await).

type timer struct {
	at  time.Time
	seq int
	run func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at.Before(t[j].at) || (t[i].at.Equal(t[j].at) && t[i].seq < t[j].seq)
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any     { x := (*t)[len(*t)-1]; *t = (*t)[:len(*t)-1]; return x }

type process struct {
	dead       bool
	life       int // counts restarts; messages to an earlier life are lost
	frozenTill time.Time
}

type network struct {
	now       time.Time
	seq       int
	timers    timers
	random    *rand.Rand
	processes map[string]*process
	cuts      map[[2]string]bool // from, to
	drop      float64
}

func newNetwork(seed uint64) *network {
	return &network{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 7)), processes: map[string]*process{}, cuts: map[[2]string]bool{}}
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// between returns a random duration of from to to milliseconds.
func (n *network) between(from, to int) time.Duration {
	return ms(from) + time.Duration(n.random.Int64N(int64(ms(to-from))+1))
}

func (n *network) after(d time.Duration, f func()) {
	n.seq++
	heap.Push(&n.timers, timer{n.now.Add(d), n.seq, f})
}

func (n *network) run(until time.Time) {
	for len(n.timers) > 0 && !n.timers[0].at.After(until) {
		t := heap.Pop(&n.timers).(timer)
		n.now = t.at
		t.run()
	}
	n.now = until
}

// on runs f in a process once it is not frozen, unless it dies before.
func (n *network) on(name string, life int, f func()) {
	p := n.processes[name]
	switch {
	case p.dead || p.life != life:
	case p.frozenTill.After(n.now):
		n.after(p.frozenTill.Sub(n.now), func() { n.on(name, life, f) })
	default:
		f()
	}
}

func (n *network) send(from, to string, delay time.Duration, f func()) {
	if n.cuts[[2]string{from, to}] || n.random.Float64() < n.drop {
		return
	}
	life := n.processes[to].life
	n.after(delay+n.between(0, 2), func() {
		if !n.cuts[[2]string{from, to}] {
			n.on(to, life, f)
		}
	})
}

// every runs f in a process each period for as long as the simulation runs.
func (n *network) every(name string, period time.Duration, f func()) {
	if p := n.processes[name]; !p.dead && !p.frozenTill.After(n.now) {
		f()
	}
	n.after(period, func() { n.every(name, period, f) })
}

type entry struct {
	term uint64
	id   int // 0 for the empty entry of a new primary
}

type wait struct {
	index uint64
	term  uint64
	done  func()
}

type database struct {
	*network
	name     string
	peers    []*database // all servers, itself included
	role     driver.Role
	promised uint64
	holder   string
	log      []entry // log[i] has index i+1
	primary  string
	contact  time.Time
	match    map[string]uint64 // at the primary: index that a server confirmed in the term
	lag      time.Duration     // extra delay of replication to this server
	waits    []wait
	facts    *facts
}

// facts are what the checks compare at the end.
type facts struct {
	promotions map[uint64][]string // servers that became primary of a term
	committed  map[uint64][]string // servers that collected a majority in a term
}

func (d *database) last() driver.Position {
	if len(d.log) == 0 {
		return driver.Position{}
	}
	return driver.Position{Term: d.log[len(d.log)-1].term, Index: uint64(len(d.log))}
}

func (d *database) status() driver.Status {
	s := driver.Status{Server: d.name, Role: d.role, Term: d.promised, Holder: d.holder, Last: d.last(), Primary: d.primary}
	if d.role == driver.Primary {
		s.ReplicatedIndex = d.replicated()
	} else {
		s.PrimaryContact = d.now.Sub(d.contact)
	}
	return s
}

func (d *database) replicated() uint64 {
	var held []uint64
	for _, p := range d.peers {
		held = append(held, d.match[p.name])
	}
	slices.Sort(held)
	return held[(len(held)-1)/2]
}

func (d *database) fence(term uint64, holder string) (driver.Status, driver.Kind) {
	if term < d.promised || (term == d.promised && holder != d.holder) {
		return d.status(), driver.StaleTerm
	}
	if term > d.promised || d.role != driver.Primary {
		d.promised, d.holder, d.role, d.primary, d.waits = term, holder, driver.Fenced, "", nil
	}
	return d.status(), ""
}

func (d *database) promote(term uint64, holder string) (driver.Status, driver.Kind) {
	if term != d.promised || holder != d.holder || d.role == driver.Replica {
		return d.status(), driver.StaleTerm
	}
	if d.role != driver.Primary {
		d.facts.promotions[term] = append(d.facts.promotions[term], d.name)
		d.role, d.primary, d.match = driver.Primary, d.name, map[string]uint64{}
		d.append(0)
	}
	return d.status(), ""
}

func (d *database) append(id int) uint64 {
	d.log = append(d.log, entry{d.promised, id})
	d.match[d.name] = uint64(len(d.log))
	d.replicate()
	return uint64(len(d.log))
}

func (d *database) replicate() {
	if d.role != driver.Primary {
		return
	}
	term, log := d.promised, d.log[:len(d.log):len(d.log)] // never changed in place: truncation copies
	for _, p := range d.peers {
		if p == d {
			continue
		}
		from := min(int(d.match[p.name]), len(log))
		d.send(d.name, p.name, p.lag, func() { p.receive(d, term, from, log) })
	}
}

// receive takes the entries after from; the model sends the whole log so that a mismatch can be resolved in one step.
func (d *database) receive(sender *database, term uint64, from int, log []entry) {
	if term < d.promised || (term == d.promised && d.role == driver.Primary) {
		return
	}
	if term > d.promised {
		d.promised, d.holder = term, ""
	}
	d.role, d.primary, d.contact, d.waits = driver.Replica, sender.name, d.now, nil
	if from > len(d.log) || (from > 0 && d.log[from-1] != log[from-1]) {
		from = 0
	}
	for i := from; i < len(log); i++ {
		if i < len(d.log) && d.log[i] != log[i] {
			d.log = slices.Clone(d.log[:i])
		}
		if i >= len(d.log) {
			d.log = append(d.log, log[i])
		}
	}
	confirmed := uint64(len(log))
	d.send(d.name, sender.name, 0, func() { sender.confirm(d.name, term, confirmed) })
}

func (d *database) confirm(peer string, term, index uint64) {
	if d.role != driver.Primary || d.promised != term || index <= d.match[peer] {
		return
	}
	before := d.replicated()
	d.match[peer] = index
	if d.replicated() > before && !slices.Contains(d.facts.committed[term], d.name) {
		d.facts.committed[term] = append(d.facts.committed[term], d.name)
	}
	d.settle()
}

// await runs done once a majority holds the index in the term.
func (d *database) await(term, index uint64, done func()) {
	d.waits = append(d.waits, wait{index, term, done})
	d.settle()
}

func (d *database) settle() {
	held, waits := d.replicated(), d.waits
	d.waits = nil
	for _, w := range waits {
		if w.term == d.promised && w.index <= held && d.log[held-1].term == d.promised {
			w.done()
		} else {
			d.waits = append(d.waits, w)
		}
	}
}

func (d *database) kill() {
	p := d.processes[d.name]
	p.dead, p.life = true, p.life+1
}

// restart keeps what is durable: the promise and the log.
func (d *database) restart() {
	d.processes[d.name].dead = false
	d.role, d.primary, d.waits, d.contact = driver.Fenced, "", nil, d.now
}
