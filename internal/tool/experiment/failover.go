package experiment

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"tanagercross/internal/tool/deployment"
	"tanagercross/internal/tool/ledger"
)

const (
	gapBefore = 500 * time.Millisecond
	// gapAfter is longer than the worst gap that the target allows; a longer gap is cut to it and misses the target.
	gapAfter     = 5 * time.Second
	gapLeast     = 2500 * time.Millisecond // a gap can start late, when the queued work has ended
	calm         = 1500 * time.Millisecond // of acknowledged writes, after which the gap is over
	calmPeriod   = 250 * time.Millisecond
	healLimit    = 15 * time.Second
	healPause    = 500 * time.Millisecond
	jitterAtMost = 250 // ms, so that the fault meets different moments of the watchers' intervals
)

// variant is a way to lose a primary.
type variant struct {
	name       string
	runs       int
	fail, heal func(*deployment.Database) error
	bounded    bool
}

func failover(ctx context.Context, x *run) error {
	if err := x.startPrepared(ctx, x.profile()); err != nil {
		return err
	}
	d := x.deployment
	few := max(1, x.options.Runs/5)
	variants := []variant{
		{
			name: "kill", runs: x.options.Runs, bounded: true,
			fail: func(db *deployment.Database) error { db.Kill(); return nil },
			heal: func(db *deployment.Database) error { return d.RestartDatabase(ctx, db) },
		},
		{
			name: "freeze", runs: few,
			fail: func(db *deployment.Database) error { db.Freeze(); return nil },
			heal: func(db *deployment.Database) error { db.Thaw(); return nil },
		},
		{
			name: "cut", runs: few,
			fail: func(db *deployment.Database) error { d.SetDatabaseCut(db, true); return nil },
			heal: func(db *deployment.Database) error { d.SetDatabaseCut(db, false); return nil },
		},
	}
	o := x.load(20, 8)
	o.WriteShare, o.TransactionShare = 0.5, 0.2
	x.condition("%.0f requests/s, half of them writes", 20*float64(len(o.Organisations)))
	t := x.offer(ctx, o)
	x.result.Plot = Plot{Title: "Write gap of a lost primary", XLabel: "run", YLabel: "ms", Bound: new(float64)}
	*x.result.Plot.Bound = 4000
	pause(ctx, time.Second)
	for _, v := range variants {
		gaps, err := x.losePrimaries(ctx, v)
		if err != nil {
			_, _ = t.end()
			return err
		}
		var middle, worst *Target
		if v.bounded {
			middle, worst = atMost(2000), atMost(4000)
		}
		x.result.add(v.name+"_write_gap_median", median(gaps), "ms", middle)
		x.result.add(v.name+"_write_gap_worst", quantile(gaps, 1), "ms", worst)
		x.result.Plot.Series = append(x.result.Plot.Series, numbered(v.name, gaps))
	}
	if _, err := t.end(); err != nil {
		return err
	}
	r, err := x.report(ctx, ledger.Parameters{})
	if err != nil {
		return err
	}
	x.addFaults("", r)
	return nil
}

// losePrimaries loses the primary of the first group several times and returns the write gaps in ms.
func (x *run) losePrimaries(ctx context.Context, v variant) ([]float64, error) {
	random, group := x.random(), x.groups()[0]
	var gaps []float64
	for n := range v.runs {
		pause(ctx, time.Duration(random.Int64N(jitterAtMost))*time.Millisecond)
		primary, err := x.awaitPrimary(ctx, group)
		if err != nil {
			return nil, err
		}
		at := time.Now()
		if err := v.fail(primary); err != nil {
			return nil, err
		}
		gap := x.awaitGap(ctx, group, at)
		gaps = append(gaps, milliseconds(gap))
		x.say("%s %d of %d: %s, write gap %.0f ms", v.name, n+1, v.runs, primary.Config.Name, milliseconds(gap))
		if err := v.heal(primary); err != nil {
			return nil, err
		}
		if err := x.awaitWhole(ctx, group); err != nil {
			return nil, err
		}
	}
	return gaps, ctx.Err()
}

// awaitGap waits until the writes of a group have been calm for a while and returns their gap.
func (x *run) awaitGap(ctx context.Context, group string, at time.Time) time.Duration {
	pause(ctx, gapLeast)
	for time.Since(at) < gapAfter && ctx.Err() == nil && !x.calm(group) {
		pause(ctx, calmPeriod)
	}
	return x.ledger.WriteGap(ledger.Failure{Group: group, At: at, Before: gapBefore, After: min(gapAfter, time.Since(at))})
}

// calm reports whether writes were acknowledged in every period of the calm time.
func (x *run) calm(group string) bool {
	now := time.Now()
	var seen [calm / calmPeriod]bool
	for _, e := range x.ledger.Entries() {
		age := now.Sub(e.Ended)
		if e.Kind == ledger.Write && e.Group == group && isDone(e) && age >= 0 && age < calm {
			seen[age/calmPeriod] = true
		}
	}
	return !slices.Contains(seen[:], false)
}

// awaitWhole waits until all servers of a group are on the branch of the primary.
func (x *run) awaitWhole(ctx context.Context, group string) error {
	for deadline := time.Now().Add(healLimit); time.Now().Before(deadline); pause(ctx, contentsPeriod) {
		if x.whole(group) {
			pause(ctx, healPause)
			return ctx.Err()
		}
	}
	return eris.Errorf("group %s did not become whole again", group)
}

func (x *run) whole(group string) bool {
	primary := x.deployment.Primary(group)
	if primary == nil {
		return false
	}
	term := primary.Status().Term
	for _, db := range x.deployment.Databases {
		if s := db.Status(); db.Group == group && (s.Term != term || s.Last.Term != term) {
			return false
		}
	}
	return true
}
