package experiment

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"tanagercross/internal/fleet/configuration"
	"tanagercross/internal/instance/operator"
	"tanagercross/internal/tool/deployment"
	"tanagercross/internal/tool/ledger"
	"tanagercross/internal/tool/load"
)

const (
	// warmUpLimit covers the wait of new voters, F + L, in which no organisation has a home.
	warmUpLimit    = 30 * time.Second
	contentsWait   = 15 * time.Second
	contentsPeriod = 50 * time.Millisecond
	longestLoad    = 30 * time.Minute
	author         = "experiment"
)

// run is the state of one experiment.
type run struct {
	options    Options
	out        io.Writer
	started    time.Time
	result     *Result
	deployment *deployment.Deployment
	ledger     *ledger.Ledger
}

func (x *run) say(format string, arguments ...any) {
	fmt.Fprintf(x.out, "%6.1f s  %s: %s\n", time.Since(x.started).Seconds(), x.result.Name, fmt.Sprintf(format, arguments...))
}

// condition notes a setting in the parameters of the result.
func (x *run) condition(format string, arguments ...any) {
	x.result.Parameters.Conditions = append(x.result.Parameters.Conditions, fmt.Sprintf(format, arguments...))
}

func (x *run) random() *rand.Rand { return rand.New(rand.NewPCG(x.options.Seed, 0)) }

func (x *run) profile() deployment.Profile {
	return x.options.Profile.WithInstances(x.options.Instances).WithGroups(x.options.Groups)
}

// start starts a deployment in place of the one that runs.
func (x *run) start(ctx context.Context, p deployment.Profile) error {
	x.stop()
	x.say("starting %d instances before %d group(s) of 3 databases", p.Instances, p.Groups)
	d, err := deployment.Start(ctx, p, nil)
	if err != nil {
		return err
	}
	x.deployment, x.ledger = d, &ledger.Ledger{}
	return nil
}

func (x *run) stop() {
	if x.deployment != nil {
		x.deployment.Stop()
		x.deployment = nil
	}
}

// prepare creates the tables, again until the homes of the organisations are known.
func (x *run) prepare(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, warmUpLimit)
	defer cancel()
	for {
		err := load.Prepare(ctx, x.load(1, 1))
		if err == nil || ctx.Err() != nil {
			return err
		}
	}
}

// startPrepared starts a deployment and creates the tables.
func (x *run) startPrepared(ctx context.Context, p deployment.Profile) error {
	if err := x.start(ctx, p); err != nil {
		return err
	}
	return x.prepare(ctx)
}

func (x *run) groups() []string {
	var names []string
	for _, db := range x.deployment.Databases {
		if len(names) == 0 || names[len(names)-1] != db.Group {
			names = append(names, db.Group)
		}
	}
	return names
}

// load returns options with all organisations at a rate each.
func (x *run) load(rate float64, sessions int) load.Options {
	o := load.Options{
		Instances: x.deployment.CallerURLs(), Groups: x.groups(), Duration: longestLoad, WriteShare: 0.1, Seed: x.options.Seed,
		Dial: x.deployment.CallerDialer(),
	}
	for _, name := range x.options.Profile.Organisations {
		o.Organisations = append(o.Organisations, load.Organisation{
			Name: name, Key: x.deployment.Keys[name], Rate: rate, Sessions: sessions,
		})
	}
	return o
}

// traffic is a load that runs beside the experiment.
type traffic struct {
	until   chan struct{}
	done    chan struct{}
	summary load.Summary
	err     error
}

// offer starts a load that records in the ledger of the run.
func (x *run) offer(ctx context.Context, o load.Options) *traffic { return offerTo(ctx, o, x.ledger) }

func offerTo(ctx context.Context, o load.Options, l *ledger.Ledger) *traffic {
	t := &traffic{until: make(chan struct{}), done: make(chan struct{})}
	o.Stop = t.until
	go func() {
		defer close(t.done)
		t.summary, t.err = load.Run(ctx, o, l)
	}()
	return t
}

// end stops the offering and waits for the running requests.
func (t *traffic) end() (load.Summary, error) {
	close(t.until)
	<-t.done
	return t.summary, t.err
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// contents reads the tags that the primaries hold.
func (x *run) contents(ctx context.Context) ([]ledger.Content, error) {
	var contents []ledger.Content
	for _, group := range x.groups() {
		primary, err := x.awaitPrimary(ctx, group)
		if err != nil {
			return nil, err
		}
		for _, organisation := range x.options.Profile.Organisations {
			rows, err := primary.Dump(organisation, load.ContentsSQL)
			if err != nil {
				return nil, err
			}
			contents = append(contents, load.Contents(group, organisation, rows)...)
		}
	}
	return contents, nil
}

func (x *run) awaitPrimary(ctx context.Context, group string) (*deployment.Database, error) {
	for deadline := time.Now().Add(contentsWait); time.Now().Before(deadline) && ctx.Err() == nil; pause(ctx, contentsPeriod) {
		if primary := x.deployment.Primary(group); primary != nil {
			return primary, nil
		}
	}
	return nil, eris.Errorf("group %s has no primary", group)
}

// report compares the ledger with the contents of the databases.
func (x *run) report(ctx context.Context, p ledger.Parameters) (ledger.Report, error) {
	contents, err := x.contents(ctx)
	if err != nil {
		return ledger.Report{}, err
	}
	return x.ledger.Report(contents, p), nil
}

// addFaults adds the violations of correctness, of which the target allows none.
func (x *run) addFaults(prefix string, r ledger.Report) {
	x.result.add(prefix+"faults", float64(r.Faults()), "", atMost(0))
	x.result.add(prefix+"requests", float64(r.Requests), "", nil)
	x.result.add(prefix+"acknowledged_writes", float64(r.Acknowledged), "", nil)
	x.result.add(prefix+"unknown", float64(r.Unknown), "", nil)
	if r.Faults() > 0 {
		x.say("faults: %d lost, %d doubled, %d not run but ran, %d stale, %d foreign, %d unaccounted", r.Lost, r.Doubled,
			r.NotRunButRan, r.StaleReads, r.ForeignAnswers, r.Unaccounted)
	}
}

// configure puts a document in force through an instance.
func (x *run) configure(ctx context.Context, instance int, document string) error {
	if err := configuration.Check([]byte(document)); err != nil {
		return err
	}
	client := x.deployment.Operator(instance)
	current, err := client.Configuration(ctx)
	if err != nil {
		return err
	}
	_, err = client.Apply(ctx, operator.Proposal{
		BaseVersion: current.Version, Document: document, Author: author, Reason: x.result.Name, ChangeID: uuid.NewString(),
	})
	return err
}
