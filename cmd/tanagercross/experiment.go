package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"tanagercross/internal/tool/deployment"
	"tanagercross/internal/tool/experiment"
)

const (
	allExperiments = "all"
	mostNames      = 12 // on one command line
)

// errNotMet marks experiments that ran and missed a target.
var errNotMet = errors.New("a target is not met")

// experimentOptions are the flags of the experiments; zero values take the default of each experiment.
type experimentOptions struct {
	names     [mostNames]string
	profile   string
	instances int
	groups    int
	runs      int
	seed      uint64
	duration  time.Duration
	report    string
	brief     bool
}

func experimentList(_ context.Context, t *tool) error {
	all := experiment.All()
	return t.print(all, func(w io.Writer) {
		for _, e := range all {
			fmt.Fprintf(w, "%-16s %s\n", e.Name, e.Summary)
		}
	})
}

// experimentRun runs experiments one after the other. Each ends with its result as one JSON object on a line of standard
// output; with --json, progress goes to standard error.
func experimentRun(ctx context.Context, t *tool) error {
	progress := t.out
	if t.options.json {
		progress = t.errors
	}
	chosen, err := chosenExperiments(t.options.experiment.names[:])
	if err != nil {
		return err
	}
	o, err := t.options.experiment.options()
	if err != nil {
		return err
	}
	var failed error
	for _, e := range chosen {
		result, err := experiment.Run(ctx, e, o, progress)
		if err != nil {
			fmt.Fprintln(t.errors, err)
			failed = err
			if ctx.Err() != nil {
				return err
			}
			continue
		}
		if err := t.publish(e, result); err != nil {
			return err
		}
		if !result.Met && failed == nil {
			failed = eris.Wrap(errNotMet, e.Name)
		}
	}
	return failed
}

func (t *tool) publish(e experiment.Experiment, r experiment.Result) error {
	data, err := json.Marshal(r)
	if err != nil {
		return eris.Wrap(err, "encode result")
	}
	fmt.Fprintln(t.out, string(data))
	if t.options.experiment.report == "" {
		return nil
	}
	return experiment.WriteReport(t.options.experiment.report, t.options.experiment.command(e.Name), r)
}

// chosenExperiments resolves names; all stands for every experiment.
func chosenExperiments(names []string) ([]experiment.Experiment, error) {
	if slices.Contains(names, allExperiments) {
		return experiment.All(), nil
	}
	var chosen []experiment.Experiment
	for _, name := range names {
		if name == "" {
			continue
		}
		e, err := experiment.Find(name)
		if err != nil {
			return nil, usage("%v; allowed: the names of experiment list, or all", err)
		}
		chosen = append(chosen, e)
	}
	return chosen, nil
}

func (o experimentOptions) options() (experiment.Options, error) {
	profiles := []deployment.Profile{deployment.Mutirao(), deployment.Trust()}
	i := slices.IndexFunc(profiles, func(p deployment.Profile) bool { return p.Name == o.profile })
	switch {
	case i < 0:
		return experiment.Options{}, usage("--profile %q; allowed: mutirao, trust", o.profile)
	case o.instances < 0 || o.groups < 0 || o.runs < 0 || o.duration < 0:
		return experiment.Options{}, usage("--instances, --groups, --runs and --duration; allowed: positive values")
	}
	return experiment.Options{
		Profile: profiles[i], Instances: o.instances, Groups: o.groups, Runs: o.runs, Seed: o.seed, Duration: o.duration,
		Brief: o.brief,
	}, nil
}

// command returns the command that runs one experiment with the same flags.
func (o experimentOptions) command(name string) string {
	parts := []string{"tanagercross experiment run", name, fmt.Sprintf("--profile %s --seed %d", o.profile, o.seed)}
	for _, f := range []struct {
		name  string
		value int
	}{{"instances", o.instances}, {"groups", o.groups}, {"runs", o.runs}} {
		if f.value != 0 {
			parts = append(parts, fmt.Sprintf("--%s %d", f.name, f.value))
		}
	}
	if o.duration != 0 {
		parts = append(parts, "--duration "+o.duration.String())
	}
	if o.brief {
		parts = append(parts, "--brief")
	}
	return strings.Join(parts, " ")
}
