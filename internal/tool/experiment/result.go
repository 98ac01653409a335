package experiment

import (
	"fmt"
	"slices"
	"strings"
)

// Relation says how a figure is compared with its bound.
type Relation string

// Relations.
const (
	AtMost  Relation = "at_most"
	AtLeast Relation = "at_least"
)

// Target is the bound of a figure.
type Target struct {
	Relation Relation `json:"relation"`
	Bound    float64  `json:"bound"`
}

func atMost(bound float64) *Target  { return &Target{AtMost, bound} }
func atLeast(bound float64) *Target { return &Target{AtLeast, bound} }

func (t Target) met(value float64) bool {
	if t.Relation == AtLeast {
		return value >= t.Bound
	}
	return value <= t.Bound
}

// Figure is a measured value. Without a target it is information.
type Figure struct {
	Name   string  `json:"name"`
	Value  float64 `json:"value"`
	Unit   string  `json:"unit"`
	Target *Target `json:"target,omitempty"`
	Met    *bool   `json:"met,omitempty"`
}

// Parameters are the sizes of a run; fields that an experiment does not use are zero.
type Parameters struct {
	Profile    string   `json:"profile"`
	Instances  int      `json:"instances"`
	Groups     int      `json:"groups"`
	Runs       int      `json:"runs"`
	DurationS  float64  `json:"duration_s"`
	Conditions []string `json:"conditions"` // what else was set, in plain words
}

// Result is the outcome of an experiment.
type Result struct {
	Name       string     `json:"name"`
	Parameters Parameters `json:"parameters"`
	Seed       uint64     `json:"seed"`
	Figures    []Figure   `json:"figures"`
	Target     string     `json:"target"` // all bounds in words
	Met        bool       `json:"met"`    // all bounds are met, and there is at least one unless the experiment has none
	Plot       Plot       `json:"-"`
}

// Figure returns the value of a figure, or false.
func (r Result) Figure(name string) (float64, bool) {
	i := slices.IndexFunc(r.Figures, func(f Figure) bool { return f.Name == name })
	if i < 0 {
		return 0, false
	}
	return r.Figures[i].Value, true
}

func (r *Result) add(name string, value float64, unit string, t *Target) {
	r.Figures = append(r.Figures, Figure{Name: name, Value: value, Unit: unit, Target: t})
}

// judge compares the figures with their bounds.
func (r *Result) judge() {
	var bounds []string
	r.Met = len(r.Figures) > 0
	for i := range r.Figures {
		f := &r.Figures[i]
		if f.Target == nil {
			continue
		}
		met := f.Target.met(f.Value)
		f.Met = &met
		r.Met = r.Met && met
		bounds = append(bounds, fmt.Sprintf("%s %s %s", f.Name, strings.ReplaceAll(string(f.Target.Relation), "_", " "), quantity(f.Target.Bound, f.Unit)))
	}
	r.Target = strings.Join(bounds, ", ")
	if r.Target == "" {
		r.Target = "none"
	}
}

func quantity(value float64, unit string) string {
	return strings.TrimSpace(fmt.Sprintf("%.4g %s", value, unit))
}

// Row returns the result as a row of a Markdown table: experiment, target, figures, seed, met.
func (r Result) Row(command string) string {
	var figures []string
	for _, f := range r.Figures {
		text := f.Name + " " + quantity(f.Value, f.Unit)
		if f.Met != nil && !*f.Met {
			text = "**" + text + "**"
		}
		figures = append(figures, text)
	}
	met := "met"
	switch {
	case !r.Met:
		met = "not met"
	case r.Target == "none":
		met = "no target"
	}
	return fmt.Sprintf("| %s | %s | %s | %d | `%s` | %s |\n", r.Name, r.Target, strings.Join(figures, "<br>"), r.Seed, command, met)
}
