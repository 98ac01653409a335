// Package experiment measures the targets of docs/design.md, section 1, on a deployment in one process. All figures are
// counted from what callers saw and from what the databases hold, never from figures of the proxy.
//
// # Usage
//
//	for _, e := range experiment.All() {
//		result, err := experiment.Run(ctx, e, experiment.Options{Profile: deployment.Mutirao(), Seed: 1}, os.Stdout)
//		fmt.Println(result.Met, err)
//	}
//
// The bounds are those of the targets. A figure without a bound is information.
package experiment

import (
	"context"
	"io"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"tanagercross/internal/tool/deployment"
)

// Options of a run. Zero fields have the defaults of the experiment.
type Options struct {
	Profile   deployment.Profile
	Instances int
	Groups    int
	Runs      int
	Seed      uint64
	Duration  time.Duration // of the measured part of one phase
	// Brief runs a tenth to a third of the defaults, for a trial.
	Brief bool
}

// Experiment is one measurement.
type Experiment struct {
	Name     string
	Summary  string
	defaults defaults
	brief    defaults
	run      func(ctx context.Context, x *run) error
}

// defaults are the sizes of an experiment; zero fields are not used by it.
type defaults struct {
	instances, groups, runs int
	duration                time.Duration
}

// All returns the experiments in the order in which they run.
func All() []Experiment {
	const s = time.Second
	return []Experiment{
		{"failover", "write gap of a killed, frozen and cut primary", defaults{6, 1, 20, 0}, defaults{3, 1, 2, 0}, failover},
		{"replica_reads", "share of session reads on replicas that lag by 200 ms", defaults{6, 1, 0, 15 * s}, defaults{3, 1, 0, 5 * s}, replicaReads},
		{"fairness", "worst-served organisation beside one that sends ten times its fair share", defaults{6, 1, 0, 8 * s}, defaults{3, 1, 0, 4 * s}, fairness},
		{"latency", "time that the proxy adds to a direct connection", defaults{1, 1, 3000, 0}, defaults{1, 1, 300, 0}, latency},
		{"acknowledgement", "three ways to acknowledge a write", defaults{3, 1, 6, 0}, defaults{3, 1, 2, 0}, acknowledgement},
		{"rates", "requests over the rate, and refusals inside it", defaults{6, 1, 0, 8 * s}, defaults{3, 1, 0, 3 * s}, rates},
		{"outage", "service during an outage of the platform", defaults{6, 1, 0, 60 * s}, defaults{3, 1, 0, 8 * s}, outage},
		{"withdrawal", "time until a withdrawn key stops working", defaults{6, 1, 10, 0}, defaults{3, 1, 2, 0}, withdrawal},
		{"configuration", "time until a change is in force everywhere", defaults{6, 1, 10, 0}, defaults{3, 1, 2, 0}, changes},
		{"shutdown", "requests cut by shutdowns under load", defaults{6, 1, 20, 0}, defaults{3, 1, 2, 0}, shutdown},
		{"restart", "time until full service after a restart of half of the instances", defaults{6, 1, 0, 15 * s}, defaults{4, 1, 0, 12 * s}, restart},
		{"control_cost", "processor time and traffic of an idle instance", defaults{0, 1, 0, 4 * s}, defaults{0, 1, 0, 2 * s}, controlCost},
	}
}

// Find returns the experiment of a name.
func Find(name string) (Experiment, error) {
	all := All()
	i := slices.IndexFunc(all, func(e Experiment) bool { return e.Name == name })
	if i < 0 {
		return Experiment{}, eris.Errorf("experiment %q does not exist", name)
	}
	return all[i], nil
}

// Run runs an experiment. Progress goes to out in plain words.
func Run(ctx context.Context, e Experiment, o Options, out io.Writer) (Result, error) {
	d := e.defaults
	if o.Brief {
		d = e.brief
	}
	set(&o.Instances, d.instances)
	set(&o.Groups, d.groups)
	set(&o.Runs, d.runs)
	set(&o.Duration, d.duration)
	x := &run{options: o, out: out, started: time.Now(), result: &Result{Name: e.Name, Seed: o.Seed}}
	x.result.Parameters = Parameters{
		Profile: o.Profile.Name, Instances: o.Instances, Groups: o.Groups, Runs: o.Runs, DurationS: o.Duration.Seconds(),
	}
	err := e.run(ctx, x)
	x.stop()
	x.result.judge()
	return *x.result, eris.Wrap(err, "experiment "+e.Name)
}

func set[T comparable](value *T, otherwise T) {
	var zero T
	if *value == zero {
		*value = otherwise
	}
}
