package failover

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"tanagercross/internal/database/driver"
)

// The simulation model: processes on a simulated network with a seeded random source, and database servers that follow
// the replication rules of the design page (promised term and holder, log matching, asynchronous replication, waiting
// for a majority).

// timer is a scheduled callback. Timers that are due at the same time run in the order of their creation.
type timer struct {
	at  time.Time
	seq int
	run func()
}

// timers is a heap of timers by due time.
type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at.Before(t[j].at) || (t[i].at.Equal(t[j].at) && t[i].seq < t[j].seq)
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any     { x := (*t)[len(*t)-1]; *t = (*t)[:len(*t)-1]; return x }

// process is the state of a simulated process: a watcher, a client or a database server.
type process struct {
	dead        bool
	restarts    int // messages to a process that restarted after they were sent are lost
	frozenUntil time.Time
}

// network is the simulated clock, scheduler and message transport.
type network struct {
	now       time.Time
	seq       int
	timers    timers
	random    *rand.Rand
	processes map[string]*process
	cutLinks  map[[2]string]bool // one-way links from, to that drop all messages
	dropRate  float64
}

func newNetwork(seed uint64) *network {
	return &network{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 7)), processes: map[string]*process{}, cutLinks: map[[2]string]bool{}}
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// randomDuration returns a random duration between the two numbers of milliseconds.
func (n *network) randomDuration(from, to int) time.Duration {
	return milliseconds(from) + time.Duration(n.random.Int64N(int64(milliseconds(to-from))+1))
}

// after schedules f to run once d has passed.
func (n *network) after(d time.Duration, f func()) {
	n.seq++
	heap.Push(&n.timers, timer{n.now.Add(d), n.seq, f})
}

// run executes the timers that are due until the given time.
func (n *network) run(until time.Time) {
	for len(n.timers) > 0 && !n.timers[0].at.After(until) {
		t := heap.Pop(&n.timers).(timer)
		n.now = t.at
		t.run()
	}
	n.now = until
}

// runInProcess runs f once the process is not frozen. It drops f if the process is dead or has restarted.
func (n *network) runInProcess(name string, restarts int, f func()) {
	p := n.processes[name]
	switch {
	case p.dead || p.restarts != restarts:
	case p.frozenUntil.After(n.now):
		n.after(p.frozenUntil.Sub(n.now), func() { n.runInProcess(name, restarts, f) })
	default:
		f()
	}
}

// send delivers a message by running f in the receiving process, unless the link is cut or the message is dropped.
func (n *network) send(from, to string, delay time.Duration, f func()) {
	if n.cutLinks[[2]string{from, to}] || n.random.Float64() < n.dropRate {
		return
	}
	restarts := n.processes[to].restarts
	n.after(delay+n.randomDuration(0, 2), func() {
		if !n.cutLinks[[2]string{from, to}] {
			n.runInProcess(to, restarts, f)
		}
	})
}

// every runs f in a process each period, except while the process is dead or frozen.
func (n *network) every(name string, period time.Duration, f func()) {
	if p := n.processes[name]; !p.dead && !p.frozenUntil.After(n.now) {
		f()
	}
	n.after(period, func() { n.every(name, period, f) })
}

// entry is an entry of a server's log.
type entry struct {
	term uint64
	id   int // 0 for the empty entry of a new primary
}

// pendingAwait is a call of await that has not completed.
type pendingAwait struct {
	index uint64
	term  uint64
	done  func()
}

// database is a simulated database server.
type database struct {
	*network
	name             string
	peers            []*database // all servers, itself included
	role             driver.Role
	promised         uint64
	holder           string
	log              []entry // log[i] has index i+1
	primary          string
	primaryContactAt time.Time
	matchIndex       map[string]uint64 // at the primary: highest index that each server confirmed in the term
	replicationDelay time.Duration     // extra delay of replication to this server
	pendingAwaits    []pendingAwait
	history          *history
}

// history records events of the servers for the checks at the end of a run.
type history struct {
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
		s.ReplicatedIndex = d.majorityIndex()
	} else {
		s.PrimaryContact = d.now.Sub(d.primaryContactAt)
	}
	return s
}

// majorityIndex returns the highest index that a majority holds.
func (d *database) majorityIndex() uint64 {
	var held []uint64
	for _, p := range d.peers {
		held = append(held, d.matchIndex[p.name])
	}
	slices.Sort(held)
	return held[(len(held)-1)/2]
}

// fence promises a term to a holder, unless a higher term or another holder was promised before.
func (d *database) fence(term uint64, holder string) (driver.Status, driver.Kind) {
	if term < d.promised || (term == d.promised && holder != d.holder) {
		return d.status(), driver.StaleTerm
	}
	if term > d.promised || d.role != driver.Primary {
		d.promised, d.holder, d.role, d.primary, d.pendingAwaits = term, holder, driver.Fenced, "", nil
	}
	return d.status(), ""
}

// promote makes the server primary of the term that it promised to the holder. Its log starts with an empty entry.
func (d *database) promote(term uint64, holder string) (driver.Status, driver.Kind) {
	if term != d.promised || holder != d.holder || d.role == driver.Replica {
		return d.status(), driver.StaleTerm
	}
	if d.role != driver.Primary {
		d.history.promotions[term] = append(d.history.promotions[term], d.name)
		d.role, d.primary, d.matchIndex = driver.Primary, d.name, map[string]uint64{}
		d.append(0)
	}
	return d.status(), ""
}

// append adds an entry to the primary's log, sends it to the replicas and returns its index.
func (d *database) append(id int) uint64 {
	d.log = append(d.log, entry{d.promised, id})
	d.matchIndex[d.name] = uint64(len(d.log))
	d.replicate()
	return uint64(len(d.log))
}

// replicate sends each replica the entries that it has not confirmed.
func (d *database) replicate() {
	if d.role != driver.Primary {
		return
	}
	term, log := d.promised, d.log[:len(d.log):len(d.log)] // shared with messages: truncation copies the log
	for _, p := range d.peers {
		if p == d {
			continue
		}
		from := min(int(d.matchIndex[p.name]), len(log))
		d.send(d.name, p.name, p.replicationDelay, func() { p.receive(d, term, from, log) })
	}
}

// receive appends the entries after from at a replica and truncates entries that conflict with the primary's log. The
// model sends the whole log so that a mismatch can be resolved in one step.
func (d *database) receive(sender *database, term uint64, from int, log []entry) {
	if term < d.promised || (term == d.promised && d.role == driver.Primary) {
		return
	}
	if term > d.promised {
		d.promised, d.holder = term, ""
	}
	d.role, d.primary, d.primaryContactAt, d.pendingAwaits = driver.Replica, sender.name, d.now, nil
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
	d.send(d.name, sender.name, 0, func() { sender.handleConfirmation(d.name, term, confirmed) })
}

// handleConfirmation records at the primary that a replica holds the log up to the index.
func (d *database) handleConfirmation(peer string, term, index uint64) {
	if d.role != driver.Primary || d.promised != term || index <= d.matchIndex[peer] {
		return
	}
	before := d.majorityIndex()
	d.matchIndex[peer] = index
	if d.majorityIndex() > before && !slices.Contains(d.history.committed[term], d.name) {
		d.history.committed[term] = append(d.history.committed[term], d.name)
	}
	d.completeAwaits()
}

// await runs done once a majority holds the index in the term, and never if the server loses its role before.
func (d *database) await(term, index uint64, done func()) {
	d.pendingAwaits = append(d.pendingAwaits, pendingAwait{index, term, done})
	d.completeAwaits()
}

// completeAwaits runs the callbacks of all awaits whose index a majority now holds.
func (d *database) completeAwaits() {
	held, pendingAwaits := d.majorityIndex(), d.pendingAwaits
	d.pendingAwaits = nil
	for _, w := range pendingAwaits {
		if w.term == d.promised && w.index <= held && d.log[held-1].term == d.promised {
			w.done()
		} else {
			d.pendingAwaits = append(d.pendingAwaits, w)
		}
	}
}

// kill stops the server's process. Messages on the way to it are lost.
func (d *database) kill() {
	p := d.processes[d.name]
	p.dead, p.restarts = true, p.restarts+1
}

// restart starts a killed server with its durable state: the promised term and the log.
func (d *database) restart() {
	d.processes[d.name].dead = false
	d.role, d.primary, d.pendingAwaits, d.primaryContactAt = driver.Fenced, "", nil, d.now
}
