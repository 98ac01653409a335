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

// currentPrimary returns the primary with the highest promised term, or the first server if there is none.
func (w *simulation) currentPrimary() *database {
	best := w.databases[0]
	for _, d := range w.databases {
		if d.role == driver.Primary && (best.role != driver.Primary || d.promised > best.promised) {
			best = d
		}
	}
	return best
}

// killDatabase kills a database server and restarts it after the given time.
func (w *simulation) killDatabase(d *database, down time.Duration) {
	if w.processes[d.name].dead {
		return
	}
	d.kill()
	w.after(down, d.restart)
}

// killWatcher kills a watcher. After the given time a new incarnation replaces it.
func (w *simulation) killWatcher(p *watcherProcess, down time.Duration) {
	state := w.processes[p.name]
	if state.dead {
		return
	}
	state.dead, state.restarts = true, state.restarts+1
	w.after(down, func() {
		state.dead = false
		p.incarnation++
		p.Watcher = New(Settings{Holder: fmt.Sprint(p.name, "/", p.incarnation), Rank: p.settings.Rank, Random: w.random.Float64}, w.serverList, w.now)
	})
}

// cutLink drops all messages in one direction for the given time.
func (w *simulation) cutLink(from, to string, down time.Duration) {
	w.cutLinks[[2]string{from, to}] = true
	w.after(down, func() { delete(w.cutLinks, [2]string{from, to}) })
}

// injectFault injects one random fault that ends after at most five seconds.
func (w *simulation) injectFault() {
	down, primary := w.randomDuration(500, 5000), w.currentPrimary()
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
		w.processes[primary.name].frozenUntil = w.now.Add(down)
	case "kill":
		w.killDatabase(random, down)
	case "freeze":
		w.processes[random.name].frozenUntil = w.now.Add(down)
	case "one-way cut of servers":
		w.cutLink(primary.name, random.name, down)
		w.cutLink(random.name, w.databases[0].name, down)
	case "partition": // one server with one watcher on one side
		for name := range w.processes {
			if name != random.name && name != watcher.name {
				w.cutLink(name, random.name, down)
				w.cutLink(random.name, name, down)
			}
		}
	case "cut from watchers":
		for _, p := range w.watchers {
			w.cutLink(primary.name, p.name, down)
			if down > 2*time.Second { // then they cannot fence it either, and it continues to replicate
				w.cutLink(p.name, primary.name, down)
			}
		}
	case "pause before promote":
		for _, p := range w.watchers {
			p.pauseFor = w.randomDuration(500, 4000)
		}
		w.killDatabase(primary, down)
	case "kill watcher":
		w.killWatcher(watcher, down)
	case "freeze watcher":
		w.processes[watcher.name].frozenUntil = w.now.Add(down)
	case "lag":
		random.replicationDelay += down / 4
		w.after(down, func() { random.replicationDelay -= down / 4 })
	case "drops":
		w.dropRate += 0.1
		w.after(down, func() { w.dropRate -= 0.1 })
	case "leaving":
		w.setLeaving(primary.name, true)
		w.after(down, func() { w.setLeaving(primary.name, false) })
	case "isolate primary from replicas":
		for _, d := range w.databases {
			w.cutLink(primary.name, d.name, down)
			w.cutLink(d.name, primary.name, down)
		}
	}
}

// setLeaving changes the leaving mark of a server in the list and sends the list to all watchers.
func (w *simulation) setLeaving(name string, leaving bool) {
	w.serverList = slices.Clone(w.serverList)
	for i := range w.serverList {
		if w.serverList[i].Name == name {
			w.serverList[i].Leaving = leaving
		}
	}
	for _, p := range w.watchers {
		w.send(p.name, p.name, 0, func() { w.handle(p, MembershipChanged{Servers: w.serverList, Rank: p.settings.Rank}) })
	}
}

// forEachSeed runs f for all seeds, divided among parallel subtests.
func forEachSeed(t *testing.T, f func(t *testing.T, seed uint64)) {
	for shard := range shards {
		t.Run(fmt.Sprint("shard", shard), func(t *testing.T) {
			t.Parallel()
			for seed := shard; seed < seeds; seed += shards {
				f(t, uint64(seed))
			}
		})
	}
}

// Guards against lost acknowledged writes, two primaries in a term, stale reads, reads that return entries which a
// failover then removes, and groups that stay without writes or with a fenced server after the faults have ended.
func TestSeededFaults(t *testing.T) {
	var acknowledged, reads, replicaReads, terms atomic.Int64
	t.Cleanup(func() {
		t.Logf("%d runs: %d primaries, %d writes acknowledged, %d reads, %d by replicas", seeds, terms.Load(), acknowledged.Load(), reads.Load(), replicaReads.Load())
	})
	forEachSeed(t, func(t *testing.T, seed uint64) {
		size := 3
		if seed%5 == 4 {
			size = 5
		}
		w := newSimulation(t, seed, size)
		for range 2 + w.random.IntN(4) {
			w.after(w.randomDuration(2000, 9000), w.injectFault)
		}
		w.run(w.now.Add(20 * time.Second))
		w.check()
		acknowledged.Add(int64(len(w.acknowledgedWrites)))
		reads.Add(int64(w.reads))
		replicaReads.Add(int64(w.replicaReads))
		terms.Add(int64(len(w.history.promotions)))
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
	forEachSeed(t, func(t *testing.T, seed uint64) {
		w := newSimulation(t, seed, 3)
		kill := w.now.Add(w.randomDuration(3000, 4000))
		w.after(kill.Sub(w.now), func() { w.killDatabase(w.currentPrimary(), 20*time.Second) })
		w.run(kill.Add(6 * time.Second))
		if gaps[seed] = w.writeGap(kill.Add(-50*time.Millisecond), w.now); gaps[seed] > 4*time.Second {
			w.fail("write gap %v", gaps[seed])
		}
	})
}

// Guards against a group that has no writes, or a server that accepts no entries, for as long as a permanent fault of
// each kind lasts, and against a leaving primary that is not replaced.
func TestLastingFaults(t *testing.T) {
	isolate := func(w *simulation, p *database, out, in bool) {
		for _, d := range w.databases {
			if out {
				w.cutLink(p.name, d.name, time.Hour)
			}
			if in {
				w.cutLink(d.name, p.name, time.Hour)
			}
		}
	}
	fenceByOther := func(w *simulation, p *database, servers int) {
		for _, d := range w.databases {
			if d != p && servers > 0 {
				d.fence(d.promised+1, "w9/0")
				servers--
			}
		}
	}
	for name, c := range map[string]struct {
		writesPaused, primaryChanges bool
		writeGap                     time.Duration
		fault                        func(w *simulation, p *database)
	}{
		"stalled in both directions":        {primaryChanges: true, fault: func(w *simulation, p *database) { isolate(w, p, true, true) }},
		"confirmations lost":                {primaryChanges: true, fault: func(w *simulation, p *database) { isolate(w, p, false, true) }},
		"cut while idle":                    {writesPaused: true, primaryChanges: true, fault: func(w *simulation, p *database) { isolate(w, p, true, true) }},
		"majority fenced by a dead watcher": {writeGap: 2500 * time.Millisecond, fault: func(w *simulation, p *database) { fenceByOther(w, p, 2) }},
		"replica fenced by a dead watcher":  {fault: func(w *simulation, p *database) { fenceByOther(w, p, 1) }},
		"leaving":                           {primaryChanges: true, fault: func(w *simulation, p *database) { w.setLeaving(p.name, true) }},
		"restart":                           {fault: func(w *simulation, p *database) { w.killDatabase(p, milliseconds(100)) }},
		"frozen":                            {primaryChanges: true, fault: func(w *simulation, p *database) { w.processes[p.name].frozenUntil = w.now.Add(time.Hour) }},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(6) {
				w := newSimulation(t, seed, 3)
				w.faults = []string{name}
				w.run(w.now.Add(3 * time.Second))
				w.writesPaused = c.writesPaused
				w.run(w.now.Add(time.Second))
				p, start := w.currentPrimary(), w.now
				c.fault(w, p)
				w.run(w.now.Add(4 * time.Second))
				w.writesPaused = false
				w.run(w.now.Add(time.Second))
				if last := w.acknowledgedWrites[len(w.acknowledgedWrites)-1].at; w.now.Sub(last) > time.Second {
					w.fail("no writes for %v", w.now.Sub(last))
				}
				if writeGap := w.writeGap(start, w.now); c.writeGap > 0 && writeGap > c.writeGap {
					w.fail("write gap %v", writeGap)
				}
				if current := w.currentPrimary(); c.primaryChanges && current == p {
					w.fail("%s is still primary", p.name)
				}
				if !c.primaryChanges {
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

// Guards against a watcher that mistakes its own pause for the silence of a primary, and against one that acts on its
// own observations alone.
func TestPauseAndSingleSource(t *testing.T) {
	w := newSimulation(t, 1, 3)
	w.run(w.now.Add(3 * time.Second))
	term := w.currentPrimary().promised
	for _, p := range w.watchers {
		w.processes[p.name].frozenUntil = w.now.Add(5 * time.Second)
	}
	w.run(w.now.Add(8 * time.Second))
	for _, p := range w.watchers[1:] {
		w.killWatcher(p, time.Hour)
	}
	w.cutLink(w.currentPrimary().name, w.watchers[0].name, time.Hour)
	w.run(w.now.Add(5 * time.Second))
	if got := w.currentPrimary().promised; got != term {
		t.Errorf("the primary changed from term %d to %d", term, got)
	}
}
