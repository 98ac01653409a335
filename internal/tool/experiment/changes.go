package experiment

import (
	"context"
	"fmt"
	"sync"
	"time"

	"tanagercross/internal/tool/ledger"
	"tanagercross/internal/tool/load"
)

const (
	longBytes     = 60_000
	observeBytes  = 4096
	shortBytes    = 2048
	observePeriod = 50 * time.Millisecond
	observeAfter  = time.Second
	inForceLimit  = 5000.0 // ms
	takes         = "takes long statements"
	refuses       = "refuses long statements"
)

// changed is what callers saw of one change.
type changed struct {
	ms                 float64 // until the last answer of an old value
	accepted           bool
	reverted, missing  int
	refusedAfterChange bool // refused, and yet a caller saw the new value
}

func changes(ctx context.Context, x *run) error {
	if err := x.startPrepared(ctx, x.profile()); err != nil {
		return err
	}
	cuts := max(1, x.options.Runs/5)
	x.condition("%d changes, then %d with one instance cut from the platform and from all other instances", x.options.Runs, cuts)
	t := x.offer(ctx, x.load(5, 4))
	var free, withCut []changed
	for n := range x.options.Runs + cuts {
		victim := -1
		if n >= x.options.Runs {
			victim = 1 + x.random().IntN(x.options.Instances-1)
		}
		c, err := x.change(ctx, n, victim)
		if err != nil {
			_, _ = t.end()
			return err
		}
		x.say("change %d: accepted %t, old value last seen after %.0f ms, %d reverts", n+1, c.accepted, c.ms, c.reverted)
		if victim < 0 {
			free = append(free, c)
		} else {
			withCut = append(withCut, c)
		}
	}
	if _, err := t.end(); err != nil {
		return err
	}
	bound := inForceLimit
	x.result.Plot = Plot{Title: "Time until a change is in force everywhere", XLabel: "run", YLabel: "ms", Bound: &bound}
	x.addChanges("connected", free)
	x.addChanges("cut", withCut)
	r, err := x.report(ctx, ledger.Parameters{})
	if err != nil {
		return err
	}
	x.addFaults("", r)
	return nil
}

func (x *run) addChanges(name string, all []changed) {
	var times []float64
	accepted, reverted, missing, leaked := 0, 0, 0, 0
	for _, c := range all {
		reverted += c.reverted
		if c.accepted {
			accepted++
			missing += c.missing
			times = append(times, c.ms)
		}
		if c.refusedAfterChange {
			leaked++
		}
	}
	x.result.add(name+"_accepted", float64(accepted), "", nil)
	x.result.add(name+"_refused", float64(len(all)-accepted), "", nil)
	x.result.add(name+"_in_force_median", median(times), "ms", nil)
	x.result.add(name+"_in_force_worst", quantile(times, 1), "ms", atMost(inForceLimit))
	x.result.add(name+"_reverts", float64(reverted), "", atMost(0))
	x.result.add(name+"_instances_without_it", float64(missing), "", atMost(0))
	x.result.add(name+"_refused_but_seen", float64(leaked), "", atMost(0))
	x.result.Plot.Series = append(x.result.Plot.Series, numbered(name, times))
}

// change toggles the longest statement while callers of each instance observe it. The victim, if not negative, is cut
// off during the change.
func (x *run) change(ctx context.Context, n, victim int) (changed, error) {
	bytes, value := shortBytes, refuses
	if n%2 == 1 {
		bytes, value = longBytes, takes
	}
	if victim >= 0 {
		x.deployment.SetInstanceCut(victim, true)
	}
	l := &ledger.Ledger{}
	watching, stop := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	for i := range x.deployment.Instances {
		watchers.Go(func() { x.observe(watching, i, l) })
	}
	pause(ctx, 2*observePeriod)
	at := time.Now()
	err := x.configure(ctx, 0, fmt.Sprintf("defaults:\n  max_statement_bytes: %d\n", bytes))
	if err != nil {
		x.say("refused after %d ms: %v", time.Since(at).Milliseconds(), err)
	}
	wait := observeAfter
	if victim >= 0 {
		wait = max(wait, afterCut-time.Since(at))
	}
	pause(ctx, wait)
	if victim >= 0 {
		x.deployment.SetInstanceCut(victim, false)
		pause(ctx, afterHeal)
	}
	stop()
	watchers.Wait()
	r := l.Report(nil, ledger.Parameters{Change: &ledger.Change{Value: value, At: at}})
	c := changed{ms: r.ConfigInForceMS, accepted: err == nil, reverted: r.ConfigReverted, missing: r.ConfigMissing}
	c.refusedAfterChange = err != nil && r.ConfigMissing < len(x.deployment.Instances)
	return c, ctx.Err()
}

// observe records whether an instance takes a long statement until ctx ends.
func (x *run) observe(ctx context.Context, instance int, l *ledger.Ledger) {
	o := x.load(1, 1)
	o.Organisations = o.Organisations[:1]
	o.Organisations[0].Instances = o.Instances[instance : instance+1]
	caller, err := load.NewCaller(o, &ledger.Ledger{})
	if err != nil {
		return
	}
	defer caller.Close()
	for ; ctx.Err() == nil; pause(ctx, observePeriod) {
		accepted, known := caller.Accepts(ctx, o.Groups[0], observeBytes)
		if !known {
			continue
		}
		value := refuses
		if accepted {
			value = takes
		}
		l.Observe(ledger.Observation{Instance: o.Instances[instance], Value: value, At: time.Now()})
	}
}
