package failover

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"tanagercross/internal/database/driver"
)

const (
	seeds  = 200
	shards = 4
)

func (w *world) currentPrimary() *database {
	best := w.databases[0]
	for _, d := range w.databases {
		if d.role == driver.Primary && (best.role != driver.Primary || d.promised > best.promised) {
			best = d
		}
	}
	return best
}

func (w *world) killDatabase(d *database, down time.Duration) {
	if w.processes[d.name].dead {
		return
	}
	d.kill()
	w.after(down, d.restart)
}

func (w *world) killWatcher(p *watcherProcess, down time.Duration) {
	state := w.processes[p.name]
	if state.dead {
		return
	}
	state.dead, state.life = true, state.life+1
	w.after(down, func() {
		state.dead = false
		p.incarnation++
		p.Watcher = New(Settings{Holder: fmt.Sprint(p.name, "/", p.incarnation), Rank: p.settings.Rank, Random: w.random.Float64}, w.list, w.now)
	})
}

func (w *world) cut(from, to string, down time.Duration) {
	w.cuts[[2]string{from, to}] = true
	w.after(down, func() { delete(w.cuts, [2]string{from, to}) })
}

// inject brings about one random fault that ends after at most five seconds.
func (w *world) inject() {
	down, primary := w.between(500, 5000), w.currentPrimary()
	random := w.databases[w.random.IntN(len(w.databases))]
	watcher := w.watchers[w.random.IntN(len(w.watchers))]
	kinds := []string{
		"kill primary", "freeze primary", "kill", "freeze", "one-way cut of servers", "partition", "cut from watchers",
		"pause before promote", "kill watcher", "freeze watcher", "lag", "drops", "leaving", "isolate primary from replicas",
	}
	kind := kinds[w.random.IntN(len(kinds))]
	w.faults = append(w.faults, fmt.Sprint(kind, " at ", w.now.Sub(time.Unix(1000, 0)), " for ", down))
	switch kind {
	case "kill primary":
		w.killDatabase(primary, down)
	case "freeze primary":
		w.processes[primary.name].frozenTill = w.now.Add(down)
	case "kill":
		w.killDatabase(random, down)
	case "freeze":
		w.processes[random.name].frozenTill = w.now.Add(down)
	case "one-way cut of servers":
		w.cut(primary.name, random.name, down)
		w.cut(random.name, w.databases[0].name, down)
	case "partition": // one server with one watcher on one side
		for name := range w.processes {
			if name != random.name && name != watcher.name {
				w.cut(name, random.name, down)
				w.cut(random.name, name, down)
			}
		}
	case "cut from watchers":
		for _, p := range w.watchers {
			w.cut(primary.name, p.name, down)
			if down > 2*time.Second { // then they cannot fence it either, and it goes on sending to its replicas
				w.cut(p.name, primary.name, down)
			}
		}
	case "pause before promote":
		for _, p := range w.watchers {
			p.pauseFor = w.between(500, 4000)
		}
		w.killDatabase(primary, down)
	case "kill watcher":
		w.killWatcher(watcher, down)
	case "freeze watcher":
		w.processes[watcher.name].frozenTill = w.now.Add(down)
	case "lag":
		random.lag += down / 4
		w.after(down, func() { random.lag -= down / 4 })
	case "drops":
		w.drop += 0.1
		w.after(down, func() { w.drop -= 0.1 })
	case "leaving":
		w.setLeaving(primary.name, true)
		w.after(down, func() { w.setLeaving(primary.name, false) })
	case "isolate primary from replicas":
		for _, d := range w.databases {
			w.cut(primary.name, d.name, down)
			w.cut(d.name, primary.name, down)
		}
	}
}

func (w *world) setLeaving(name string, leaving bool) {
	w.list = slices.Clone(w.list)
	for i := range w.list {
		if w.list[i].Name == name {
			w.list[i].Leaving = leaving
		}
	}
	for _, p := range w.watchers {
		w.send(p.name, p.name, 0, func() { w.handle(p, MembershipChanged{Servers: w.list, Rank: p.settings.Rank}) })
	}
}

// each runs f for all seeds on a few processors.
func each(t *testing.T, f func(t *testing.T, seed uint64)) {
	for shard := range shards {
		t.Run(fmt.Sprint("shard", shard), func(t *testing.T) {
			t.Parallel()
			for seed := shard; seed < seeds; seed += shards {
				f(t, uint64(seed))
			}
		})
	}
}

// Guards against acknowledged writes that are lost, two primaries in a term, stale reads, reads that show entries a
// failover removes, and groups that stay without writes or with a fenced server after the faults.
func TestSeededFaults(t *testing.T) {
	var acknowledged, reads, replicas, terms atomic.Int64
	t.Cleanup(func() {
		t.Logf("%d runs: %d primaries, %d writes acknowledged, %d reads, %d by replicas", seeds, terms.Load(), acknowledged.Load(), reads.Load(), replicas.Load())
	})
	each(t, func(t *testing.T, seed uint64) {
		size := 3
		if seed%5 == 4 {
			size = 5
		}
		w := newWorld(t, seed, size)
		for range 2 + w.random.IntN(4) {
			w.after(w.between(2000, 9000), w.inject)
		}
		w.run(w.now.Add(20 * time.Second))
		w.check()
		acknowledged.Add(int64(len(w.all)))
		reads.Add(int64(w.reads))
		replicas.Add(int64(w.replicas))
		terms.Add(int64(len(w.facts.promotions)))
	})
}

// Guards against a write gap above 4 s after a single kill of the primary.
func TestWriteGap(t *testing.T) {
	gaps := make([]time.Duration, seeds)
	t.Cleanup(func() {
		slices.Sort(gaps)
		at := func(q float64) time.Duration { return gaps[int(q*float64(seeds-1))].Round(time.Millisecond) }
		t.Logf("simulated write gap over %d kills: min %v, p50 %v, p90 %v, p99 %v, max %v", seeds, at(0), at(0.5), at(0.9), at(0.99), at(1))
	})
	each(t, func(t *testing.T, seed uint64) {
		w := newWorld(t, seed, 3)
		kill := w.now.Add(w.between(3000, 4000))
		w.after(kill.Sub(w.now), func() { w.killDatabase(w.currentPrimary(), 20*time.Second) })
		w.run(kill.Add(6 * time.Second))
		if gaps[seed] = w.gap(kill.Add(-50*time.Millisecond), w.now); gaps[seed] > 4*time.Second {
			w.fail("write gap %v", gaps[seed])
		}
	})
}

// Guards against a group that stays without writes, or with a server that takes no entries, for as long as a lasting
// fault of each kind goes on, and against a leaving primary that is kept.
func TestLastingFaults(t *testing.T) {
	isolate := func(w *world, p *database, out, in bool) {
		for _, d := range w.databases {
			if out {
				w.cut(p.name, d.name, time.Hour)
			}
			if in {
				w.cut(d.name, p.name, time.Hour)
			}
		}
	}
	foreign := func(w *world, p *database, servers int) {
		for _, d := range w.databases {
			if d != p && servers > 0 {
				d.fence(d.promised+1, "w9/0")
				servers--
			}
		}
	}
	for name, c := range map[string]struct {
		idle, left bool
		gap        time.Duration
		fault      func(w *world, p *database)
	}{
		"stalled in both directions":        {left: true, fault: func(w *world, p *database) { isolate(w, p, true, true) }},
		"confirmations lost":                {left: true, fault: func(w *world, p *database) { isolate(w, p, false, true) }},
		"cut while idle":                    {idle: true, left: true, fault: func(w *world, p *database) { isolate(w, p, true, true) }},
		"majority fenced by a dead watcher": {gap: 2500 * time.Millisecond, fault: func(w *world, p *database) { foreign(w, p, 2) }},
		"replica fenced by a dead watcher":  {fault: func(w *world, p *database) { foreign(w, p, 1) }},
		"leaving":                           {left: true, fault: func(w *world, p *database) { w.setLeaving(p.name, true) }},
		"restart":                           {fault: func(w *world, p *database) { w.killDatabase(p, ms(100)) }},
		"frozen":                            {left: true, fault: func(w *world, p *database) { w.processes[p.name].frozenTill = w.now.Add(time.Hour) }},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(6) {
				w := newWorld(t, seed, 3)
				w.faults = []string{name}
				w.run(w.now.Add(3 * time.Second))
				w.idle = c.idle
				w.run(w.now.Add(time.Second))
				p, start := w.currentPrimary(), w.now
				c.fault(w, p)
				w.run(w.now.Add(4 * time.Second))
				w.idle = false
				w.run(w.now.Add(time.Second))
				if last := w.all[len(w.all)-1].at; w.now.Sub(last) > time.Second {
					w.fail("no writes for %v", w.now.Sub(last))
				}
				if gap := w.gap(start, w.now); c.gap > 0 && gap > c.gap {
					w.fail("write gap %v", gap)
				}
				if current := w.currentPrimary(); c.left && current == p {
					w.fail("%s is still primary", p.name)
				}
				if !c.left {
					for _, d := range w.databases {
						if d.role == driver.Fenced {
							w.fail("%s is left fenced", d.name)
						}
					}
				}
			}
		})
	}
}

// Guards against a watcher that takes its own pause for the silence of a primary, and against one that acts on its own
// evidence alone.
func TestPauseAndSingleSource(t *testing.T) {
	w := newWorld(t, 1, 3)
	w.run(w.now.Add(3 * time.Second))
	term := w.currentPrimary().promised
	for _, p := range w.watchers {
		w.processes[p.name].frozenTill = w.now.Add(5 * time.Second)
	}
	w.run(w.now.Add(8 * time.Second))
	for _, p := range w.watchers[1:] {
		w.killWatcher(p, time.Hour)
	}
	w.cut(w.currentPrimary().name, w.watchers[0].name, time.Hour)
	w.run(w.now.Add(5 * time.Second))
	if got := w.currentPrimary().promised; got != term {
		t.Errorf("the primary changed from term %d to %d", term, got)
	}
}
