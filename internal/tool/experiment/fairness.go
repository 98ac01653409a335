package experiment

import (
	"context"
	"math"
	"slices"
	"time"

	"tanagercross/internal/tool/ledger"
	"tanagercross/internal/tool/load"
)

const (
	fairService = 10 * time.Millisecond
	fairPull    = 100 * time.Millisecond
	fairRamp    = time.Second // until the queues are full
	excess      = 10          // times the fair share
	// unlimitedRates lets the queues decide instead of the rates.
	unlimitedRates = "defaults:\n  rate_per_second: 100000\n  burst: 200000\n"
	// replicasPerGroup serve the session reads.
	replicasPerGroup = 2
)

// demand is what an organisation asks for and gets, in slot time per second.
type demand struct {
	organisation   string
	wanted, served float64
	perSecond      Series
}

func fairness(ctx context.Context, x *run) error {
	p := x.profile().WithServiceTime(fairService)
	if err := x.startPrepared(ctx, p); err != nil {
		return err
	}
	if err := x.configure(ctx, 0, unlimitedRates); err != nil {
		return err
	}
	slots := float64(replicasPerGroup * p.Slots * p.Groups)
	share := slots / fairService.Seconds() / float64(len(p.Organisations)) // requests/s
	x.condition("statements of 10 ms, %.0f slots on replicas, fair share %.0f requests/s of %d organisations", slots, share, len(p.Organisations))
	// Others that ask for their whole nominal share overload the slots on their own, since no slot is always busy.
	for _, phase := range []struct {
		name   string
		pull   time.Duration
		others float64 // what each other organisation asks for, as a part of the nominal share
	}{{"flood", 0, 0.8}, {"pulls", fairPull, 0.8}, {"overload", 0, 1}} {
		o := x.load(phase.others*share, 64)
		o.WriteShare, o.Attempts, o.Deadline = 0, 1, 2*time.Second
		greedy := &o.Organisations[0]
		greedy.Pull, greedy.Sessions = phase.pull, 384
		greedy.Rate = excess * share * fairService.Seconds() / (fairService + phase.pull).Seconds()
		x.say("%s: %s sends %.0f requests/s of %s, each other organisation %.0f requests/s", phase.name, greedy.Name, greedy.Rate,
			fairService+phase.pull, phase.others*share)
		demands, err := x.saturate(ctx, o)
		if err != nil {
			return err
		}
		x.judgeFairness(phase.name, demands, slots)
	}
	return nil
}

// saturate offers the load and returns what each organisation got after the ramp.
func (x *run) saturate(ctx context.Context, o load.Options) ([]demand, error) {
	l := &ledger.Ledger{}
	t := offerTo(ctx, o, l)
	pause(ctx, fairRamp)
	from := time.Now()
	pause(ctx, x.options.Duration)
	to := time.Now()
	if _, err := t.end(); err != nil {
		return nil, err
	}
	entries := l.Entries()
	for _, others := range []bool{false, true} {
		part := slices.DeleteFunc(slices.Clone(entries), func(e ledger.Entry) bool {
			return (e.Organisation != o.Organisations[0].Name) != others
		})
		for _, r := range countReasons(part) {
			x.say("not done: %s, %d requests, median %.0f ms, others than the greedy one: %t", r.reason, r.count, median(r.ms), others)
		}
	}
	var demands []demand
	for _, organisation := range o.Organisations {
		cost := (fairService + organisation.Pull).Seconds()
		accept := func(e ledger.Entry) bool { return isDone(e) && e.Organisation == organisation.Name }
		d := demand{organisation: organisation.Name, wanted: organisation.Rate * cost}
		for _, e := range entries {
			if accept(e) && !e.Ended.Before(from) && e.Ended.Before(to) {
				d.served += cost / seconds(from, to)
			}
		}
		d.perSecond = perPeriod(organisation.Name, between(entries, from, to), from, time.Second, accept)
		for i := range d.perSecond.Points {
			d.perSecond.Points[i].Y *= cost
		}
		demands = append(demands, d)
	}
	return demands, nil
}

// judgeFairness adds the share that the worst-served organisation besides the first got.
func (x *run) judgeFairness(name string, demands []demand, slots float64) {
	wanted, total := make([]float64, 0, len(demands)), 0.0
	for _, d := range demands {
		wanted = append(wanted, d.wanted)
		total += d.served
	}
	level := fairLevel(wanted, total)
	worst, who := math.Inf(1), ""
	for _, d := range demands[1:] {
		if share := d.served / math.Min(d.wanted, level); share < worst {
			worst, who = share, d.organisation
		}
	}
	x.say("%s: worst-served is %s with %.1f%% of its fair share; %.2f of %.0f slots were busy", name, who, 100*worst, total, slots)
	x.result.add(name+"_worst_share", 100*worst, "%", atLeast(80))
	x.result.add(name+"_greedy_share", 100*demands[0].served/math.Min(demands[0].wanted, level), "%", nil)
	x.result.add(name+"_busy_slots", total, "", nil)
	if name != "flood" {
		return
	}
	plot := Plot{Title: "Slot time per organisation beside a flood", XLabel: "s", YLabel: "slots"}
	for _, d := range demands {
		plot.Series = append(plot.Series, d.perSecond)
	}
	x.result.Plot = plot
}

// fairLevel returns the max-min share: the level at which the demands, each cut to the level, add up to the total.
func fairLevel(wanted []float64, total float64) float64 {
	sorted := slices.Sorted(slices.Values(wanted))
	left := total
	for i, w := range sorted {
		level := left / float64(len(sorted)-i)
		if w >= level {
			return level
		}
		left -= w
	}
	return math.Inf(1)
}
