package failover

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"tanagercross/internal/database/driver"
)

const seeds = 300

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
	any := w.databases[w.random.IntN(len(w.databases))]
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
		w.killDatabase(any, down)
	case "freeze":
		w.processes[any.name].frozenTill = w.now.Add(down)
	case "one-way cut of servers":
		w.cut(primary.name, any.name, down)
		w.cut(any.name, w.databases[0].name, down)
	case "partition": // one server with one watcher on one side
		for name := range w.processes {
			if name != any.name && name != watcher.name {
				w.cut(name, any.name, down)
				w.cut(any.name, name, down)
			}
		}
	case "cut from watchers":
		for _, p := range w.watchers {
			w.cut(primary.name, p.name, down)
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
		any.lag += down / 4
		w.after(down, func() { any.lag -= down / 4 })
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
	for i, p := range w.watchers {
		w.send(p.name, p.name, 0, func() { w.handle(p, Changed{Servers: w.list, Rank: i}) })
	}
}

// Guards against acknowledged writes that are lost, two primaries in a term, stale reads, reads that show entries a
// failover removes, and groups that stay without writes or with a fenced server after the faults.
func TestSeededFaults(t *testing.T) {
	var acknowledged, reads, replicas int
	for seed := range uint64(seeds) {
		size := 3
		if seed%5 == 4 {
			size = 5
		}
		w := newWorld(t, seed, size)
		faults := 2 + w.random.IntN(4)
		for range faults {
			w.after(w.between(2000, 10000), w.inject)
		}
		w.run(w.now.Add(25 * time.Second))
		w.check()
		acknowledged, reads, replicas = acknowledged+len(w.all), reads+w.reads, replicas+w.replicas
	}
	t.Logf("%d runs: %d writes acknowledged, %d reads, %d by replicas", seeds, acknowledged, reads, replicas)
}

// Guards against a write gap above 4 s after a single kill of the primary.
func TestWriteGap(t *testing.T) {
	var gaps []time.Duration
	for seed := range uint64(seeds) {
		w := newWorld(t, seed, 3)
		kill := w.now.Add(w.between(3000, 4000))
		w.after(kill.Sub(w.now), func() { w.killDatabase(w.currentPrimary(), 20*time.Second) })
		w.run(kill.Add(8 * time.Second))
		gap := w.gap(kill.Add(-50*time.Millisecond), w.now)
		if gap > 4*time.Second {
			w.fail("write gap %v", gap)
		}
		gaps = append(gaps, gap)
	}
	slices.Sort(gaps)
	at := func(q float64) time.Duration { return gaps[int(q*float64(len(gaps)-1))].Round(time.Millisecond) }
	t.Logf("simulated write gap over %d kills: min %v, p50 %v, p90 %v, p99 %v, max %v", len(gaps), at(0), at(0.5), at(0.9), at(0.99), at(1))
}
