package failover

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/group"
	"tanagercross/internal/session/route"
	"tanagercross/internal/session/token"
)

// watcherProcess is a simulated instance that runs a watcher.
type watcherProcess struct {
	*Watcher
	name        string
	incarnation int
	pauseFor    time.Duration // if set, the process freezes before its next promotion is sent
}

// acknowledged is a write whose commit was acknowledged to a client.
type acknowledged struct {
	position driver.Position
	id       int
	at       time.Time
}

// client sends reads and writes; its session token guarantees that it reads its own writes.
type client struct {
	name   string
	table  *group.Table
	token  token.Token
	writes []acknowledged
}

// simulation is a group of database servers with three watchers and three clients.
type simulation struct {
	*network
	t                  testing.TB
	seed               uint64
	databases          []*database
	watchers           []*watcherProcess
	clients            []*client
	serverList         []driver.Server
	history            *history
	nextID             int
	acknowledgedWrites []acknowledged
	readTails          []acknowledged // newest entry that each read at the primary returned
	reads              int
	replicaReads       int
	faults             []string
	writesPaused       bool // clients send only reads
}

func newSimulation(t testing.TB, seed uint64, size int) *simulation {
	w := &simulation{network: newNetwork(seed), t: t, seed: seed, history: &history{map[uint64][]string{}, map[uint64][]string{}}}
	for i := range size {
		d := &database{network: w.network, name: fmt.Sprint("s", i), role: driver.Fenced, primaryContactAt: w.now, history: w.history}
		w.processes[d.name] = &process{}
		w.databases = append(w.databases, d)
		w.serverList = append(w.serverList, driver.Server{Name: d.name, Group: "g", Place: fmt.Sprint("p", i%3)})
	}
	for _, d := range w.databases {
		d.peers, d.replicationDelay = w.databases, w.randomDuration(0, 20)
		w.every(d.name, milliseconds(40), d.replicate)
	}
	for i := range 3 {
		p := &watcherProcess{name: fmt.Sprint("w", i)}
		w.processes[p.name] = &process{}
		rank := i
		if seed%3 == 2 { // instances with different rosters may compute equal ranks, which cause rival attempts
			rank = 0
		}
		p.Watcher = New(Settings{Holder: p.name + "/0", Rank: rank, Random: w.random.Float64}, w.serverList, w.now)
		w.watchers = append(w.watchers, p)
		w.every(p.name, milliseconds(50), func() { w.handle(p, Tick{}) })
	}
	for i := range 3 {
		c := &client{name: fmt.Sprint("c", i), table: group.NewTable(), token: token.New("o", fmt.Sprint(i))}
		c.table.SetGroups([]group.Group{{Name: "g", Servers: w.serverList}})
		w.processes[c.name] = &process{}
		w.clients = append(w.clients, c)
		w.every(c.name, milliseconds(40), func() { w.runClient(c) })
	}
	return w
}

// fail ends the test with the seed and the injected faults, which reproduce the run.
func (w *simulation) fail(format string, arguments ...any) {
	w.t.Helper()
	w.t.Fatalf("seed %d, faults %v: %s", w.seed, w.faults, fmt.Sprintf(format, arguments...))
}

func (w *simulation) database(name string) *database {
	return w.databases[slices.IndexFunc(w.databases, func(d *database) bool { return d.name == name })]
}

// handle passes an event to a watcher and carries out the returned actions.
func (w *simulation) handle(p *watcherProcess, e Event) {
	restarts := w.processes[p.name].restarts
	call := func(server string, f func(*database) Event) {
		w.send(p.name, server, 0, func() {
			answer := f(w.database(server))
			if w.processes[p.name].restarts == restarts {
				w.send(server, p.name, 0, func() { w.handle(p, answer) })
			}
		})
	}
	for _, a := range p.Handle(e, w.now) {
		switch a := a.(type) {
		case Probe:
			requestedAt := w.now
			call(a.Server, func(d *database) Event {
				status := d.status()
				for _, c := range w.clients {
					w.send(p.name, c.name, w.randomDuration(0, 250), func() { c.table.ObserveStatus(status, requestedAt, w.now) })
				}
				return ProbeResult{Server: a.Server, Status: status, RequestedAt: requestedAt}
			})
		case ReportEvidence:
			for _, q := range w.watchers {
				if q != p {
					w.send(p.name, q.name, w.randomDuration(1, 25), func() { w.handle(q, PeerEvidence{From: p.name, Term: a.Term}) })
				}
			}
		case Fence:
			call(a.Server, func(d *database) Event {
				s, kind := d.fence(a.Term, a.Holder)
				return FenceResult{Server: a.Server, Term: a.Term, Status: s, Kind: kind}
			})
		case Promote:
			promote := func() {
				call(a.Server, func(d *database) Event {
					s, kind := d.promote(a.Term, a.Holder)
					return PromoteResult{Server: a.Server, Term: a.Term, Status: s, Kind: kind}
				})
			}
			if p.pauseFor > 0 {
				w.processes[p.name].frozenUntil = w.now.Add(p.pauseFor)
				p.pauseFor = 0
			}
			w.runInProcess(p.name, restarts, promote)
		case AnnouncePrimary:
			for _, q := range w.watchers {
				if q != p {
					w.send(p.name, q.name, w.randomDuration(1, 250), func() { w.handle(q, PrimaryAnnounced{Term: a.Term, Primary: a.Primary}) })
				}
			}
			for _, c := range w.clients {
				w.send(p.name, c.name, w.randomDuration(1, 25), func() { c.table.AnnouncePrimary("g", a.Term, a.Primary) })
			}
		}
	}
}

// runClient sends one random request of a client.
func (w *simulation) runClient(c *client) {
	state, _ := c.table.View().Group("g")
	if w.random.IntN(10) == 0 && !w.writesPaused {
		if s, ok := route.ChooseWrite(state, route.Write{}, w.now).(route.Serve); ok {
			w.write(c, s)
		}
		return
	}
	read := route.Read{AtLeast: c.token.Position("g"), Place: fmt.Sprint("p", w.random.IntN(3)), Started: w.now}
	if w.random.IntN(4) == 0 {
		read.Mode, read.MaxAge = route.MaxAge, w.randomDuration(100, 1500)
	}
	w.read(c, read, slices.Clone(c.writes))
}

// write appends an entry at the primary and records it as acknowledged once a majority holds it.
func (w *simulation) write(c *client, s route.Serve) {
	requestedAt, d := w.now, w.database(s.Server)
	w.send(c.name, d.name, 0, func() {
		if d.role != driver.Primary || d.promised != s.Term {
			return
		}
		w.nextID++
		id := w.nextID
		p := driver.Position{Term: s.Term, Index: d.append(id)}
		d.await(p.Term, p.Index, func() {
			w.send(d.name, c.name, 0, func() {
				c.token = c.token.WithPosition("g", p)
				c.table.ObservePosition(d.name, p, requestedAt, w.now)
				a := acknowledged{p, id, w.now}
				c.writes, w.acknowledgedWrites = append(c.writes, a), append(w.acknowledgedWrites, a)
			})
		})
	})
}

// contains reports whether the server's log holds an acknowledged write.
func (d *database) contains(a acknowledged) bool {
	i := int(a.position.Index)
	return i <= len(d.log) && d.log[i-1] == entry{a.position.Term, a.id}
}

// read routes a read and fails the test if the serving server lacks one of the writes in mustSee.
func (w *simulation) read(c *client, r route.Read, mustSee []acknowledged) {
	state, _ := c.table.View().Group("g")
	switch s := route.ChooseRead(state, r, w.now).(type) {
	case route.Wait:
		w.after(s.Until.Sub(w.now), func() { w.read(c, r, mustSee) })
	case route.Serve:
		d, requestedAt := w.database(s.Server), w.now
		if r.Mode == route.MaxAge && s.Reason.ByReplica() {
			for _, a := range w.acknowledgedWrites {
				if a.at.Before(w.now.Add(-r.MaxAge)) {
					mustSee = append(mustSee, a)
				}
			}
		}
		w.send(c.name, d.name, 0, func() {
			if d.last().Compare(s.AtLeast) < 0 {
				r.Exclude = append(slices.Clone(r.Exclude), s.Server)
				w.send(d.name, c.name, 0, func() { w.read(c, r, mustSee) })
				return
			}
			p := d.last()
			tail := acknowledged{position: p, id: d.log[p.Index-1].id}
			answer := func() {
				if !s.Reason.ByReplica() {
					w.readTails = append(w.readTails, tail)
				}
				for _, a := range mustSee {
					if !d.contains(a) {
						w.fail("read %+v served by %s (%s) lacks %v acknowledged at %v, now %v", r, d.name, s.Reason, a.position, a.at, w.now)
					}
				}
				w.reads++
				if s.Reason.ByReplica() {
					w.replicaReads++
				}
				w.send(d.name, c.name, 0, func() { c.token = c.token.WithPosition("g", p); c.table.ObservePosition(d.name, p, requestedAt, w.now) })
			}
			switch {
			case !s.Durable:
				answer()
			case d.role == driver.Primary && p.Term == d.promised:
				d.await(p.Term, p.Index, answer)
			}
		})
	}
}

// check verifies after all faults have ended that the group accepts writes, holds every write that was acknowledged to or
// read by a client, had one primary per term and has no fenced server.
func (w *simulation) check() {
	w.t.Helper()
	var primary *database
	for _, d := range w.databases {
		if d.role == driver.Primary && (primary == nil || d.promised > primary.promised) {
			primary = d
		}
	}
	if primary == nil || len(w.acknowledgedWrites) == 0 || w.acknowledgedWrites[len(w.acknowledgedWrites)-1].at.Before(w.now.Add(-time.Second)) {
		var states []string
		for _, d := range w.databases {
			states = append(states, fmt.Sprintf("%+v", d.status()))
		}
		w.fail("no writes in the last second after all faults ended: %q", states)
	}
	for _, a := range append(slices.Clone(w.acknowledgedWrites), w.readTails...) {
		if !primary.contains(a) {
			w.fail("%s lacks %v, which was acknowledged to or read by a client", primary.name, a.position)
		}
	}
	for term, names := range w.history.promotions {
		if len(names) > 1 || len(w.history.committed[term]) > 1 {
			w.fail("term %d has primaries %v, majorities at %v", term, names, w.history.committed[term])
		}
	}
	for _, d := range w.databases {
		if d.role == driver.Fenced {
			w.fail("%s is left fenced: %+v", d.name, d.status())
		}
	}
}

// writeGap returns the longest time without an acknowledged write between two times.
func (w *simulation) writeGap(from, to time.Time) time.Duration {
	longest, last := time.Duration(0), from
	for _, a := range w.acknowledgedWrites {
		if a.at.After(from) && a.at.Before(to) {
			longest, last = max(longest, a.at.Sub(last)), a.at
		}
	}
	return max(longest, to.Sub(last))
}
