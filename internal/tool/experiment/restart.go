package experiment

import (
	"context"
	"time"

	"tanagercross/internal/tool/ledger"
)

func restart(ctx context.Context, x *run) error {
	if err := x.startPrepared(ctx, x.profile()); err != nil {
		return err
	}
	o := x.load(15, 8)
	half := x.random().Perm(x.options.Instances)[:x.options.Instances/2]
	x.condition("%d instances killed and started again at once, %.0f requests/s", len(half), 15*float64(len(o.Organisations)))
	t := x.offer(ctx, o)
	from := time.Now()
	pause(ctx, 2*time.Second)
	at := time.Now()
	x.deployment.KillInstances(half...)
	x.say("killed %d of %d instances", len(half), x.options.Instances)
	for _, victim := range half {
		if err := x.deployment.RestartInstance(ctx, victim); err != nil {
			_, _ = t.end()
			return err
		}
	}
	again := time.Now()
	for _, victim := range half {
		if err := x.awaitReady(ctx, victim); err != nil {
			_, _ = t.end()
			return err
		}
	}
	ready := time.Now()
	x.say("all instances are ready after %.1f s", seconds(at, ready))
	pause(ctx, max(0, x.options.Duration-time.Since(at)))
	summary, err := t.end()
	if err != nil {
		return err
	}
	entries := x.ledger.Entries()
	last, failed := at, 0
	for _, e := range between(entries, at, time.Now()) {
		if !isDone(e) {
			failed++
			if e.Ended.After(last) {
				last = e.Ended
			}
		}
	}
	for _, reason := range countReasons(between(entries, at, time.Now())) {
		x.say("%d attempts were not done: %s", reason.count, reason.reason)
	}
	r, err := x.report(ctx, ledger.Parameters{})
	if err != nil {
		return err
	}
	x.result.add("time_until_full_service", 1000*seconds(at, last), "ms", nil)
	x.result.add("time_until_started_again", 1000*seconds(at, again), "ms", nil)
	x.result.add("time_until_ready", 1000*seconds(at, ready), "ms", nil)
	x.result.add("attempts_not_done", float64(failed), "", nil)
	x.result.add("cut_requests", float64(summary.Cut), "", nil)
	x.addFaults("", r)
	x.result.Plot = Plot{Title: "Requests around a restart of half of the instances", XLabel: "s", YLabel: "requests/s", Series: []Series{
		perPeriod("done", entries, from, time.Second/2, isDone), perPeriod("refused", entries, from, time.Second/2, isRefused),
	}}
	return nil
}
