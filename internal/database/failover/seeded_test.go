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

type watcherProcess struct {
	*Watcher
	name        string
	incarnation int
	pauseFor    time.Duration // if set, the process freezes before its next promotion is sent
}

type acknowledged struct {
	position driver.Position
	id       int
	at       time.Time
}

type client struct {
	name   string
	table  *group.Table
	token  token.Token
	writes []acknowledged
}

type world struct {
	*network
	t         testing.TB
	seed      uint64
	databases []*database
	watchers  []*watcherProcess
	clients   []*client
	list      []driver.Server
	facts     *facts
	nextID    int
	all       []acknowledged
	seen      []acknowledged // newest entries in answers of reads at the primary
	reads     int
	replicas  int
	faults    []string
	idle      bool // callers send no writes
}

func newWorld(t testing.TB, seed uint64, size int) *world {
	w := &world{network: newNetwork(seed), t: t, seed: seed, facts: &facts{map[uint64][]string{}, map[uint64][]string{}}}
	for i := range size {
		d := &database{network: w.network, name: fmt.Sprint("s", i), role: driver.Fenced, contact: w.now, facts: w.facts}
		w.processes[d.name] = &process{}
		w.databases = append(w.databases, d)
		w.list = append(w.list, driver.Server{Name: d.name, Group: "g", Place: fmt.Sprint("p", i%3)})
	}
	for _, d := range w.databases {
		d.peers, d.lag = w.databases, w.between(0, 20)
		w.every(d.name, ms(40), d.replicate)
	}
	for i := range 3 {
		p := &watcherProcess{name: fmt.Sprint("w", i)}
		w.processes[p.name] = &process{}
		rank := i
		if seed%3 == 2 { // ranks differ between instances whose rosters differ; equal ranks give rival attempts
			rank = 0
		}
		p.Watcher = New(Settings{Holder: p.name + "/0", Rank: rank, Random: w.random.Float64}, w.list, w.now)
		w.watchers = append(w.watchers, p)
		w.every(p.name, ms(50), func() { w.handle(p, Tick{}) })
	}
	for i := range 3 {
		c := &client{name: fmt.Sprint("c", i), table: group.NewTable(), token: token.New("o", fmt.Sprint(i))}
		c.table.SetGroups([]group.Group{{Name: "g", Servers: w.list}})
		w.processes[c.name] = &process{}
		w.clients = append(w.clients, c)
		w.every(c.name, ms(40), func() { w.act(c) })
	}
	return w
}

func (w *world) fail(format string, arguments ...any) {
	w.t.Helper()
	w.t.Fatalf("seed %d, faults %v: %s", w.seed, w.faults, fmt.Sprintf(format, arguments...))
}

func (w *world) database(name string) *database {
	return w.databases[slices.IndexFunc(w.databases, func(d *database) bool { return d.name == name })]
}

func (w *world) handle(p *watcherProcess, e Event) {
	life := w.processes[p.name].life
	call := func(server string, f func(*database) Event) {
		w.send(p.name, server, 0, func() {
			answer := f(w.database(server))
			if w.processes[p.name].life == life {
				w.send(server, p.name, 0, func() { w.handle(p, answer) })
			}
		})
	}
	for _, a := range p.Handle(e, w.now) {
		switch a := a.(type) {
		case Probe:
			asked := w.now
			call(a.Server, func(d *database) Event {
				status := d.status()
				for _, c := range w.clients {
					w.send(p.name, c.name, w.between(0, 250), func() { c.table.ObserveStatus(status, asked, w.now) })
				}
				return ProbeResult{Server: a.Server, Status: status, RequestedAt: asked}
			})
		case ReportEvidence:
			for _, q := range w.watchers {
				if q != p {
					w.send(p.name, q.name, w.between(1, 25), func() { w.handle(q, PeerEvidence{From: p.name, Term: a.Term}) })
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
				w.processes[p.name].frozenTill = w.now.Add(p.pauseFor)
				p.pauseFor = 0
			}
			w.on(p.name, life, promote)
		case AnnouncePrimary:
			for _, q := range w.watchers {
				if q != p {
					w.send(p.name, q.name, w.between(1, 250), func() { w.handle(q, PrimaryAnnounced{Term: a.Term, Primary: a.Primary}) })
				}
			}
			for _, c := range w.clients {
				w.send(p.name, c.name, w.between(1, 25), func() { c.table.AnnouncePrimary("g", a.Term, a.Primary) })
			}
		}
	}
}

func (w *world) act(c *client) {
	state, _ := c.table.View().Group("g")
	if w.random.IntN(10) == 0 && !w.idle {
		if s, ok := route.ChooseWrite(state, route.Write{}, w.now).(route.Serve); ok {
			w.write(c, s)
		}
		return
	}
	read := route.Read{AtLeast: c.token.Position("g"), Place: fmt.Sprint("p", w.random.IntN(3)), Started: w.now}
	if w.random.IntN(4) == 0 {
		read.Mode, read.MaxAge = route.MaxAge, w.between(100, 1500)
	}
	w.read(c, read, slices.Clone(c.writes))
}

func (w *world) write(c *client, s route.Serve) {
	asked, d := w.now, w.database(s.Server)
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
				c.table.ObservePosition(d.name, p, asked, w.now)
				a := acknowledged{p, id, w.now}
				c.writes, w.all = append(c.writes, a), append(w.all, a)
			})
		})
	})
}

func (d *database) has(a acknowledged) bool {
	i := int(a.position.Index)
	return i <= len(d.log) && d.log[i-1] == entry{a.position.Term, a.id}
}

func (w *world) read(c *client, r route.Read, mustSee []acknowledged) {
	state, _ := c.table.View().Group("g")
	switch s := route.ChooseRead(state, r, w.now).(type) {
	case route.Wait:
		w.after(s.Until.Sub(w.now), func() { w.read(c, r, mustSee) })
	case route.Serve:
		d, asked := w.database(s.Server), w.now
		if r.Mode == route.MaxAge && s.Reason.ByReplica() {
			for _, a := range w.all {
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
					w.seen = append(w.seen, tail)
				}
				for _, a := range mustSee {
					if !d.has(a) {
						w.fail("read %+v served by %s (%s) lacks %v acknowledged at %v, now %v", r, d.name, s.Reason, a.position, a.at, w.now)
					}
				}
				w.reads++
				if s.Reason.ByReplica() {
					w.replicas++
				}
				w.send(d.name, c.name, 0, func() { c.token = c.token.WithPosition("g", p); c.table.ObservePosition(d.name, p, asked, w.now) })
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

// check compares what callers were told with what the group holds after all faults have ended.
func (w *world) check() {
	w.t.Helper()
	var primary *database
	for _, d := range w.databases {
		if d.role == driver.Primary && (primary == nil || d.promised > primary.promised) {
			primary = d
		}
	}
	if primary == nil || len(w.all) == 0 || w.all[len(w.all)-1].at.Before(w.now.Add(-time.Second)) {
		var states []string
		for _, d := range w.databases {
			states = append(states, fmt.Sprintf("%+v", d.status()))
		}
		w.fail("no writes in the last second after all faults ended: %q", states)
	}
	for _, a := range append(slices.Clone(w.all), w.seen...) {
		if !primary.has(a) {
			w.fail("%s lacks %v, which a caller was told", primary.name, a.position)
		}
	}
	for term, names := range w.facts.promotions {
		if len(names) > 1 || len(w.facts.committed[term]) > 1 {
			w.fail("term %d has primaries %v, majorities at %v", term, names, w.facts.committed[term])
		}
	}
	for _, d := range w.databases {
		if d.role == driver.Fenced {
			w.fail("%s is left fenced: %+v", d.name, d.status())
		}
	}
}

// gap returns the longest time without an acknowledged write between two times.
func (w *world) gap(from, to time.Time) time.Duration {
	longest, last := time.Duration(0), from
	for _, a := range w.all {
		if a.at.After(from) && a.at.Before(to) {
			longest, last = max(longest, a.at.Sub(last)), a.at
		}
	}
	return max(longest, to.Sub(last))
}
