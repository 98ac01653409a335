package experiment

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"tanagercross/internal/tool/ledger"
)

const readyLimit = 20 * time.Second

func shutdown(ctx context.Context, x *run) error {
	if err := x.startPrepared(ctx, x.profile()); err != nil {
		return err
	}
	o := x.load(20, 8)
	o.WriteShare, o.TransactionShare = 0.3, 0.3
	x.condition("%.0f requests/s, callers keep their connections and follow readiness", 20*float64(len(o.Organisations)))
	t := x.offer(ctx, o)
	pause(ctx, time.Second)
	random := x.random()
	var times []float64
	forced := 0
	for n := range x.options.Runs {
		victim := random.IntN(x.options.Instances)
		started := time.Now()
		if err := x.deployment.StopInstance(ctx, victim); err != nil {
			forced++
			x.say("instance %d: %v", victim+1, err)
		}
		times = append(times, milliseconds(time.Since(started)))
		x.say("shutdown %d of %d: instance %d ended after %.0f ms", n+1, x.options.Runs, victim+1, times[n])
		if err := x.deployment.RestartInstance(ctx, victim); err != nil {
			_, _ = t.end()
			return err
		}
		if err := x.awaitReady(ctx, victim); err != nil {
			_, _ = t.end()
			return err
		}
	}
	summary, err := t.end()
	if err != nil {
		return err
	}
	r, err := x.report(ctx, ledger.Parameters{})
	if err != nil {
		return err
	}
	x.result.add("cut_requests", float64(summary.Cut), "", atMost(0))
	x.result.add("unreachable_requests", float64(summary.Unreachable), "", atMost(0))
	x.result.add("malformed_answers", float64(summary.Malformed), "", atMost(0))
	x.result.add("shutdowns_past_deadline", float64(forced), "", atMost(0))
	x.result.add("shutdown_time_median", median(times), "ms", nil)
	x.result.add("sent", float64(summary.Sent), "", nil)
	x.addFaults("", r)
	x.result.Plot = Plot{Title: "Time of a shutdown under load", XLabel: "run", YLabel: "ms", Series: []Series{numbered("shutdown", times)}}
	return nil
}

func (x *run) awaitReady(ctx context.Context, number int) error {
	for deadline := time.Now().Add(readyLimit); time.Now().Before(deadline); pause(ctx, contentsPeriod) {
		if x.deployment.Ready(ctx, number) {
			return ctx.Err()
		}
	}
	return eris.Errorf("instance %d did not become ready", number+1)
}
