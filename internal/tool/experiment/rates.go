package experiment

import (
	"context"
	"fmt"
	"time"

	"tanagercross/internal/tool/ledger"
	"tanagercross/internal/tool/load"
)

const (
	meteredRate  = 100.0
	meteredBurst = 200.0
	inside       = 0.95
)

func rates(ctx context.Context, x *run) error {
	if err := x.startPrepared(ctx, x.profile()); err != nil {
		return err
	}
	document := fmt.Sprintf("defaults:\n  rate_per_second: %.0f\n  burst: %.0f\n", meteredRate, meteredBurst)
	if err := x.configure(ctx, 0, document); err != nil {
		return err
	}
	x.condition("rate %.0f/s, burst %.0f, one attempt per request", meteredRate, meteredBurst)
	x.result.Plot = Plot{Title: "Requests done per second", XLabel: "s", YLabel: "requests/s"}
	for i, phase := range []struct {
		name    string
		factor  float64
		one     bool
		refused *Target // in percent of the requests inside the rate
	}{
		{"steady", inside, false, atMost(0.1)},
		{"one_instance", inside, true, atMost(1)},
		{"excess_one_instance", excess, true, nil},
		{"excess", excess, false, nil},
	} {
		o := x.load(phase.factor*meteredRate, 512)
		// An organisation of its own for each phase: none starts with an empty bucket.
		o.Organisations = o.Organisations[i : i+1]
		o.Attempts = 1
		if phase.one {
			o.Organisations[0].Instances = o.Instances[len(o.Instances)-1:]
		}
		if err := x.meter(ctx, phase.name, o, phase.refused); err != nil {
			return err
		}
	}
	return nil
}

// meter offers the load of one organisation and adds what was admitted and refused.
func (x *run) meter(ctx context.Context, name string, o load.Options, bound *Target) error {
	l := &ledger.Ledger{}
	from := time.Now()
	t := offerTo(ctx, o, l)
	pause(ctx, x.options.Duration)
	summary, err := t.end()
	if err != nil {
		return err
	}
	organisation := o.Organisations[0].Name
	r := l.Report(nil, ledger.Parameters{Rates: []ledger.Rate{{
		Organisation: organisation, PerSecond: meteredRate, Burst: meteredBurst,
	}}})
	refused := 100 * float64(r.RefusedInsideRate) / float64(max(1, r.InsideRate))
	x.say("%s: %d requests, %d inside the rate, %d of them refused, %d over the rate, %d skipped", name, r.Requests, r.InsideRate,
		r.RefusedInsideRate, r.OverRate, summary.Skipped)
	for _, reason := range countReasons(l.Entries()) {
		x.say("%s: %d requests were not done: %s", name, reason.count, reason.reason)
	}
	x.result.add(name+"_over_rate", float64(r.OverRate), "", atMost(0))
	x.result.add(name+"_refused_inside_rate", refused, "%", bound)
	x.result.add(name+"_served_share", 100*r.WorstOrganisationShare, "%", nil)
	x.result.Plot.Series = append(x.result.Plot.Series, perPeriod(name, l.Entries(), from, time.Second, isDone))
	return nil
}
