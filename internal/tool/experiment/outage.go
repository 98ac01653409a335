package experiment

import (
	"context"
	"math"
	"time"

	"tanagercross/internal/session/outcome"
	"tanagercross/internal/tool/ledger"
)

const (
	outageRate      = 15.0 // of each organisation, far below its rate
	killedPartLeast = 8 * time.Second
	outageAfter     = 3 * time.Second
)

func outage(ctx context.Context, x *run) error {
	if err := x.startPrepared(ctx, x.profile()); err != nil {
		return err
	}
	o := x.load(outageRate, 8)
	x.condition("%.0f requests/s, each organisation inside its rate", outageRate*float64(len(o.Organisations)))
	t := x.offer(ctx, o)
	started := time.Now()
	pause(ctx, 2*time.Second)
	x.say("platform outage of %s begins", x.options.Duration)
	x.deployment.Platform.SetOutage(true)
	down := time.Now()
	pause(ctx, x.options.Duration)
	victim := x.random().IntN(x.options.Instances)
	x.say("killing instance %d during the outage", victim+1)
	killed := time.Now()
	x.deployment.KillInstances(victim)
	pause(ctx, max(killedPartLeast, x.options.Duration/6))
	up := time.Now()
	x.deployment.Platform.SetOutage(false)
	x.say("the platform is back")
	pause(ctx, outageAfter)
	if _, err := t.end(); err != nil {
		return err
	}
	if err := x.deployment.RestartInstance(ctx, victim); err != nil {
		return err
	}
	entries := x.ledger.Entries()
	url := o.Instances[victim]
	x.addOutage("outage", between(entries, down, killed), url, seconds(down, killed), atMost(2))
	// Alone, this part has no target: its share of refusals depends on how long it is.
	x.addOutage("after_death", between(entries, killed, up), url, seconds(killed, up), nil)
	x.addOutage("outage_with_death", between(entries, down, up), url, seconds(down, up), atMost(2))
	r, err := x.report(ctx, ledger.Parameters{})
	if err != nil {
		return err
	}
	x.addFaults("", r)
	x.result.Plot = Plot{Title: "Requests during an outage of the platform and after the death of an instance", XLabel: "s", YLabel: "requests/s", Series: []Series{
		perPeriod("done", entries, started, time.Second, isDone), perPeriod("refused", entries, started, time.Second, isRefused),
	}}
	return nil
}

// addOutage adds the refusals, for any reason, of a part of the outage. Attempts at a dead instance that no instance
// saw are not refusals.
func (x *run) addOutage(name string, entries []ledger.Entry, dead string, duration float64, bound *Target) {
	refused, done, inside, unreachable := 0, 0, 0, 0
	for _, e := range entries {
		switch {
		case e.Outcome == outcome.NotRunOutcome && e.Instance == dead && e.Reason == outcome.ServerUnreachable:
			unreachable++
			continue
		case isRefused(e):
			refused++
		case isDone(e):
			done++
		}
		inside++
	}
	for _, reason := range countReasons(entries) {
		x.say("%s: %d attempts were not done: %s", name, reason.count, reason.reason)
	}
	share := 100 * float64(refused) / math.Max(1, float64(inside))
	x.say("%s: %d attempts done, %d refused (%.2f%%), %d met the dead instance", name, done, refused, share, unreachable)
	x.result.add(name+"_refused_inside_rate", share, "%", bound)
	offered := outageRate * float64(len(x.options.Profile.Organisations)) * duration
	x.result.add(name+"_done_share_of_offered", 100*float64(done)/offered, "%", nil)
}
