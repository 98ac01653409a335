package scenario_test

import (
	"encoding/json"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"tanagercross/internal/tool/scenario"
)

const (
	runsVariable = "TANAGERCROSS_RUNS"
	maximumGap   = 4 * time.Second // target of docs/design.md
	medianGap    = 2 * time.Second // target of docs/design.md
	medianRuns   = 5               // fewer runs give no median that could be judged
)

// gaps is the result of all runs.
type gaps struct {
	Runs         int       `json:"runs"`
	MedianMS     float64   `json:"median_ms"`
	WorstMS      float64   `json:"worst_ms"`
	GapsMS       []float64 `json:"gaps_ms"`
	Acknowledged int       `json:"acknowledged"`
	Unknown      int       `json:"unknown"`
	Lost         int       `json:"lost"`
	Doubled      int       `json:"doubled"`
	Stale        int       `json:"stale"`
	Foreign      int       `json:"foreign"`
	NotRunButRan int       `json:"not_run_but_ran"`
	Unaccounted  int       `json:"unaccounted"`
}

// Guards against a group that stays without writes for longer than the targets after its primary is killed, and against
// writes that the change of primary loses or doubles.
func TestFailoverGaps(t *testing.T) {
	g := gaps{Runs: 1}
	if text := os.Getenv(runsVariable); text != "" {
		runs, err := strconv.Atoi(text)
		if err != nil || runs < 1 {
			t.Fatalf("%s: %q; allowed: a positive number", runsVariable, text)
		}
		g.Runs = runs
	}
	for range g.Runs {
		g.run(t)
	}
	slices.Sort(g.GapsMS)
	middle := len(g.GapsMS) / 2
	g.MedianMS = g.GapsMS[middle]
	if len(g.GapsMS)%2 == 0 {
		g.MedianMS = (g.GapsMS[middle-1] + g.GapsMS[middle]) / 2
	}
	g.WorstMS = g.GapsMS[len(g.GapsMS)-1]
	line, err := json.Marshal(g)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%s", line)
	if g.WorstMS > float64(maximumGap.Milliseconds()) {
		t.Errorf("worst write gap %.0f ms, want at most %s", g.WorstMS, maximumGap)
	}
	if g.Runs >= medianRuns && g.MedianMS > float64(medianGap.Milliseconds()) {
		t.Errorf("median write gap %.0f ms, want at most %s", g.MedianMS, medianGap)
	}
	if n := g.Lost + g.Doubled + g.Stale + g.Foreign + g.NotRunButRan + g.Unaccounted; n > 0 {
		t.Errorf("%d violations of correctness", n)
	}
}

// run kills the primary of a fresh fleet under load.
func (g *gaps) run(t *testing.T) {
	t.Helper()
	r, err := scenario.KillPrimary(t.TempDir(), t.Logf)
	if err != nil {
		t.Fatal(err)
	}
	g.GapsMS = append(g.GapsMS, r.WriteGapMS)
	g.Acknowledged += r.Acknowledged
	g.Unknown += r.Unknown
	g.Lost += r.Lost
	g.Doubled += r.Doubled
	g.Stale += r.StaleReads
	g.Foreign += r.ForeignAnswers
	g.NotRunButRan += r.NotRunButRan
	g.Unaccounted += r.Unaccounted
}
