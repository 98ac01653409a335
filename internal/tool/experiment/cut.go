package experiment

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"tanagercross/internal/tool/ledger"
)

const (
	cutProbe = 1500 * time.Millisecond
	// cutProbeStart leaves out answers that were on their way, and tokens that were taken before the cut.
	cutProbeStart = 500 * time.Millisecond
)

// servedDuringCut finds an instance that still serves an organisation while it is cut off, so that a withdrawal is
// measured at an instance that would otherwise answer. Most refuse for lack of a home or a lane.
func (x *run) servedDuringCut(ctx context.Context, n int) (organisation string, victim int, err error) {
	others := x.options.Instances - 1
	for i := range others {
		victim = 1 + (n+i)%others
		if organisation, err = x.probeCut(ctx, victim); err != nil || organisation != "" {
			return organisation, victim, err
		}
	}
	return "", 0, eris.New("no instance serves any organisation while it is cut off")
}

// probeCut cuts an instance off for a moment and returns the organisation that it served most, or nothing.
func (x *run) probeCut(ctx context.Context, victim int) (string, error) {
	l := &ledger.Ledger{}
	o := x.load(20, 4)
	o.Attempts, o.WriteShare, o.Deadline = 1, 0, time.Second
	for i := range o.Organisations {
		o.Organisations[i].Instances = o.Instances[victim : victim+1]
	}
	x.deployment.SetInstanceCut(victim, true)
	from := time.Now().Add(cutProbeStart)
	t := offerTo(ctx, o, l)
	pause(ctx, cutProbe)
	_, err := t.end()
	x.deployment.SetInstanceCut(victim, false)
	pause(ctx, afterHeal)
	best, most := "", 0
	for _, organisation := range o.Organisations {
		served := 0
		for _, e := range l.Entries() {
			if e.Organisation == organisation.Name && e.Started.After(from) && isDone(e) {
				served++
			}
		}
		if served > most {
			best, most = organisation.Name, served
		}
	}
	x.say("cut off, instance %d served %d requests of %q", victim+1, most, best)
	return best, err
}
