package experiment

import (
	"context"
	"math"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"tanagercross/internal/instance/operator"
	"tanagercross/internal/organisation/key"
	"tanagercross/internal/tool/ledger"
	"tanagercross/internal/tool/load"
)

const (
	connectedLimit = 3000.0 // ms, for callers of connected instances
	cutLimit       = 5000.0 // ms, for callers of an instance that is cut off
	beforeWithdraw = 700 * time.Millisecond
	afterWithdraw  = time.Second
	afterCut       = 6500 * time.Millisecond // longer than the limit of a cut instance
	afterHeal      = 3 * time.Second
)

func withdrawal(ctx context.Context, x *run) error {
	if err := x.startPrepared(ctx, x.profile()); err != nil {
		return err
	}
	cuts := max(1, x.options.Runs/5)
	x.condition("%d withdrawals, then %d with one instance cut from the platform and from all other instances", x.options.Runs, cuts)
	var connected, others, cut []float64
	for n := range x.options.Runs {
		last, _, err := x.withdraw(ctx, x.options.Profile.Organisations[n%len(x.options.Profile.Organisations)], -1)
		if err != nil {
			return err
		}
		x.say("withdrawal %d of %d: last success %.0f ms after it was asked for", n+1, x.options.Runs, last)
		connected = append(connected, last)
	}
	for n := range cuts {
		organisation, victim, err := x.servedDuringCut(ctx, n)
		if err != nil {
			return err
		}
		last, atCut, err := x.withdraw(ctx, organisation, victim)
		if err != nil {
			return err
		}
		x.say("withdrawal with a cut %d of %d: last success %.0f ms, at the cut instance %.0f ms", n+1, cuts, last, atCut)
		others, cut = append(others, last), append(cut, atCut)
	}
	x.result.add("connected_last_success_median", median(connected), "ms", nil)
	x.result.add("connected_last_success_worst", quantile(connected, 1), "ms", atMost(connectedLimit))
	x.result.add("others_during_cut_worst", quantile(others, 1), "ms", atMost(connectedLimit))
	x.result.add("cut_instance_worst", quantile(cut, 1), "ms", atMost(cutLimit))
	bound := connectedLimit
	x.result.Plot = Plot{
		Title: "Last success under a withdrawn key", XLabel: "run", YLabel: "ms", Bound: &bound,
		Series: []Series{numbered("connected", connected), numbered("others during cut", others), numbered("cut instance", cut)},
	}
	return nil
}

// withdraw issues a key, withdraws it under load and returns the times, in ms after the withdrawal was asked for, of the
// last answers to requests that started later: at the instances in contact and at the victim, which is cut off if it is
// not negative.
func (x *run) withdraw(ctx context.Context, organisation string, victim int) (last, atVictim float64, err error) {
	d := x.deployment
	issued, err := d.Operator(0).IssueKey(ctx, operator.IssueRequest{Organisation: organisation, Author: author})
	if err != nil {
		return 0, 0, err
	}
	k, err := key.Parse(issued.Key)
	if err != nil {
		return 0, 0, err
	}
	o := x.load(100, 16)
	o.Organisations = []load.Organisation{{Name: organisation, Key: k, Rate: 100, Sessions: 16}}
	o.Attempts = 1
	l := &ledger.Ledger{}
	t := offerTo(ctx, o, l)
	pause(ctx, beforeWithdraw)
	if victim >= 0 {
		d.SetInstanceCut(victim, true)
	}
	asked := time.Now()
	_, err = d.Operator(0).WithdrawKey(ctx, operator.Withdrawal{
		Hash: issued.Hash, Author: author, Reason: x.result.Name, ChangeID: uuid.NewString(),
	})
	x.say("acknowledged after %d ms", time.Since(asked).Milliseconds())
	wait := afterWithdraw
	if victim >= 0 {
		wait = afterCut - time.Since(asked)
	}
	pause(ctx, wait)
	if _, ended := t.end(); err == nil {
		err = ended
	}
	if victim >= 0 {
		d.SetInstanceCut(victim, false)
		pause(ctx, afterHeal)
	}
	if err != nil {
		return 0, 0, eris.Wrap(err, "withdraw")
	}
	for _, e := range l.Entries() {
		if !isDone(e) || e.Started.Before(asked) {
			continue
		}
		after := milliseconds(e.Ended.Sub(asked))
		if victim >= 0 && e.Instance == o.Instances[victim] {
			atVictim = math.Max(atVictim, after)
			continue
		}
		last = math.Max(last, after)
	}
	return last, atVictim, nil
}
