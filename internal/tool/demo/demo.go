// Package demo runs a deployment under load while its primary is killed, its configuration changed and a key withdrawn,
// and counts what callers saw against what the databases hold.
//
// # Usage
//
//	report, err := demo.Run(ctx, demo.Options{Profile: deployment.Mutirao().WithInstances(3).WithGroups(1)}, os.Stdout)
//	if report.Faults() > 0 {
//		// a requirement was violated
//	}
package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"tanagercross/internal/fleet/configuration"
	"tanagercross/internal/instance/operator"
	"tanagercross/internal/tool/deployment"
	"tanagercross/internal/tool/ledger"
	"tanagercross/internal/tool/load"
)

// Defaults of Options and the moments of the events, as shares of the duration.
const (
	DefaultDuration = 18 * time.Second
	DefaultRate     = 15.0
	DefaultSessions = 6
	killAt          = 0.25
	changeAt        = 0.5
	withdrawAt      = 0.7
	warmUpLimit     = 20 * time.Second
	gapBefore       = time.Second
	gapAfter        = 8 * time.Second
	maxAge          = 2 * time.Second
)

// Options of a run. Zero fields have the defaults.
type Options struct {
	Profile  deployment.Profile
	Duration time.Duration // of the load
	Rate     float64       // requests per second of each organisation
	Sessions int           // of each organisation
	Seed     uint64
	Log      *slog.Logger // of the instances; nil logs nothing
	// Quiet leaves out the events, so that a run measures steady traffic.
	Quiet bool
}

func (o Options) withDefaults() Options {
	if o.Duration == 0 {
		o.Duration = DefaultDuration
	}
	if o.Rate == 0 {
		o.Rate = DefaultRate
	}
	if o.Sessions == 0 {
		o.Sessions = DefaultSessions
	}
	return o
}

// run is the state of one demonstration.
type run struct {
	options    Options
	out        io.Writer
	deployment *deployment.Deployment
	ledger     ledger.Ledger
	started    time.Time
	mu         sync.Mutex
	parameters ledger.Parameters
	killed     *deployment.Database
}

// Run runs the demonstration and returns the figures. Progress goes to out in plain words.
func Run(ctx context.Context, o Options, out io.Writer) (ledger.Report, error) {
	o = o.withDefaults()
	r := &run{options: o, out: out, started: time.Now()}
	p := o.Profile
	r.say("starting %d instances in %s before %d group(s) of 3 databases", p.Instances, strings.Join(p.Places, ", "), p.Groups)
	d, err := deployment.Start(ctx, p, o.Log)
	if err != nil {
		return ledger.Report{}, err
	}
	defer d.Stop()
	r.deployment = d
	r.say("all instances are ready; preparing tables for %d organisations", len(p.Organisations))
	if err := r.prepare(ctx); err != nil {
		return ledger.Report{}, err
	}
	if err := r.traffic(ctx); err != nil {
		return ledger.Report{}, err
	}
	contents, err := r.contents()
	if err != nil {
		return ledger.Report{}, err
	}
	r.say("comparing what callers saw with what the databases hold")
	r.parameters.Rates = r.rates()
	return r.ledger.Report(contents, r.parameters), nil
}

func (r *run) say(format string, arguments ...any) {
	fmt.Fprintf(r.out, "%6.1f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// regular returns the organisations whose keys stay; the last one loses its key.
func (r *run) regular() []string {
	all := r.options.Profile.Organisations
	return all[:len(all)-1]
}

// rates are the built-in defaults, which the demonstration does not change.
func (r *run) rates() []ledger.Rate {
	var rates []ledger.Rate
	for _, name := range r.regular() {
		v := configuration.Document{}.For(name)
		rates = append(rates, ledger.Rate{
			Organisation: name, PerSecond: float64(v.RatePerSecond), Burst: float64(v.Burst),
		})
	}
	return rates
}

func (r *run) leaving() string {
	all := r.options.Profile.Organisations
	return all[len(all)-1]
}

func (r *run) load(organisations []string, groups []string) load.Options {
	o := load.Options{
		Instances: r.deployment.CallerURLs(), Groups: groups, Duration: r.options.Duration, WriteShare: 0.1,
		TransactionShare: 0.2, AgedShare: 0.05, MaxAge: maxAge, Seed: r.options.Seed, Dial: r.deployment.CallerDialer(),
	}
	for _, name := range organisations {
		o.Organisations = append(o.Organisations, load.Organisation{
			Name: name, Key: r.deployment.Keys[name], Rate: r.options.Rate, Sessions: r.options.Sessions,
		})
	}
	return o
}

func (r *run) groups() []string {
	var names []string
	for _, db := range r.deployment.Databases {
		if len(names) == 0 || names[len(names)-1] != db.Group {
			names = append(names, db.Group)
		}
	}
	return names
}

// prepare creates the tables. In a new fleet the homes of the organisations are only known after the leases that an
// earlier life could have given have ended, so that the first attempts are refused.
func (r *run) prepare(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, warmUpLimit)
	defer cancel()
	for {
		err := load.Prepare(ctx, r.load(r.options.Profile.Organisations, r.groups()))
		if err == nil || ctx.Err() != nil {
			return err
		}
	}
}

// traffic offers the load and brings the events about.
func (r *run) traffic(ctx context.Context) error {
	var all sync.WaitGroup
	failures := make(chan error, 4)
	offer := func(organisations []string) {
		all.Go(func() {
			summary, err := load.Run(ctx, r.load(organisations, r.groups()), &r.ledger)
			if err != nil {
				failures <- err
				return
			}
			for _, l := range summary.Latencies {
				r.say("%s of %d organisation(s): %d done, median %.1f ms, p99 %.1f ms", l.Kind, len(organisations), l.Count,
					l.P50MS, l.P99MS)
			}
		})
	}
	r.say("offering %.0f requests/s for %.0f s; callers roam between the instances",
		r.options.Rate*float64(len(r.options.Profile.Organisations)), r.options.Duration.Seconds())
	offer(r.regular())
	offer([]string{r.leaving()})
	if !r.options.Quiet {
		all.Go(func() {
			if err := r.events(ctx); err != nil {
				failures <- err
			}
		})
	}
	all.Wait()
	close(failures)
	return <-failures
}

func (r *run) events(ctx context.Context) error {
	start := time.Now()
	for _, e := range []struct {
		at float64
		do func(context.Context) error
	}{{killAt, r.kill}, {changeAt, r.change}, {withdrawAt, r.withdraw}} {
		due := start.Add(time.Duration(e.at * float64(r.options.Duration)))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(due)):
		}
		if err := e.do(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) kill(context.Context) error {
	group := r.groups()[0]
	primary := r.deployment.Primary(group)
	if primary == nil {
		return eris.New("no primary to kill")
	}
	r.say("killing the primary %s", primary.Config.Name)
	primary.Kill()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.killed = primary
	r.parameters.Failure = &ledger.Failure{Group: group, At: time.Now(), Before: gapBefore, After: gapAfter}
	return nil
}

// change lowers the longest statement that callers may send, which every instance shows to callers.
func (r *run) change(ctx context.Context) error {
	client := r.deployment.Operator(0)
	current, err := client.Configuration(ctx)
	if err != nil {
		return err
	}
	document := fmt.Sprintf("defaults:\n  max_statement_bytes: %d\n", shortStatement)
	if err := configuration.Check([]byte(document)); err != nil {
		return err
	}
	watching, stop := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	for _, url := range r.deployment.CallerURLs() {
		watchers.Go(func() { r.observe(watching, url) })
	}
	at := time.Now()
	accepted, err := client.Apply(ctx, operator.Proposal{
		BaseVersion: current.Version, Document: document, Author: "demo", Reason: "shorter statements", ChangeID: uuid.NewString(),
	})
	if err == nil {
		r.say("configuration version %d is in force after %d ms", accepted.Version, time.Since(at).Milliseconds())
		r.mu.Lock()
		r.parameters.Change = &ledger.Change{Value: refused, At: at}
		r.mu.Unlock()
		r.pause(ctx, observeAfter)
	}
	stop()
	watchers.Wait()
	return err
}

func (r *run) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (r *run) withdraw(ctx context.Context) error {
	name := r.leaving()
	withdrawn := r.deployment.Keys[name].Hash()
	r.say("withdrawing the key of %s while its callers are connected", name)
	at := time.Now()
	change, err := r.deployment.Operator(1).WithdrawKey(ctx, operator.Withdrawal{
		Hash: withdrawn, Author: "demo", Reason: "demonstration", ChangeID: uuid.NewString(),
	})
	if err != nil {
		return err
	}
	r.say("withdrawal acknowledged as version %d after %.0f ms", change.Version, float64(time.Since(at).Milliseconds()))
	r.mu.Lock()
	defer r.mu.Unlock()
	// Counted from the request, not from the acknowledgement, which comes later.
	r.parameters.Withdrawal = &ledger.Withdrawal{Key: withdrawn.String(), At: at}
	return nil
}
