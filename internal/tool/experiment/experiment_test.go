package experiment

import (
	"encoding/json"
	"encoding/xml"
	"errors"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/session/outcome"
	"tanagercross/internal/tool/deployment"
	"tanagercross/internal/tool/ledger"
)

// Guards against a result that is met although a figure misses its bound, and against one without figures that is met.
func TestJudge(t *testing.T) {
	cases := []struct {
		value  float64
		target *Target
		met    bool
	}{
		{2000, atMost(2000), true}, {2001, atMost(2000), false}, {90, atLeast(90), true}, {89.9, atLeast(90), false}, {5, nil, true},
	}
	for _, c := range cases {
		r := Result{Name: "x"}
		r.add("good", 0, "", atMost(0))
		r.add("figure", c.value, "ms", c.target)
		r.judge()
		if r.Met != c.met || strings.Contains(r.Row("c"), "not met") == c.met {
			t.Errorf("%v %+v: met %t, row %s", c.value, c.target, r.Met, r.Row("c"))
		}
	}
	var empty Result
	if empty.judge(); empty.Met {
		t.Error("a result without figures is met")
	}
}

// Guards against a fair share that counts unused shares of small demands as lost, or that exceeds the total.
func TestFairLevel(t *testing.T) {
	for _, c := range []struct {
		wanted []float64
		total  float64
		want   float64
	}{
		{[]float64{5, 5, 50}, 30, 20}, {[]float64{50, 10, 10}, 24, 8}, {[]float64{10, 10}, 20, 10},
	} {
		if got := fairLevel(c.wanted, c.total); got != c.want {
			t.Errorf("%v of %v: level %v, want %v", c.wanted, c.total, got, c.want)
		}
	}
}

// Guards against wrong medians, quantiles and slopes.
func TestStatistics(t *testing.T) {
	values := []float64{9, 1, 5, 3}
	if m, worst, s := median(values), quantile(values, 1), slope([]Point{{3, 7}, {6, 13}, {12, 25}}); m != 4 || worst != 9 || s != 2 {
		t.Errorf("median %v, worst %v, slope %v", m, worst, s)
	}
}

// Guards against reads of the primary that are put down to the wrong cause.
func TestPrimaryReads(t *testing.T) {
	at := time.Now()
	entry := func(kind ledger.Kind, session string, after time.Duration, by driver.Role) ledger.Entry {
		return ledger.Entry{
			Kind: kind, Session: session, Group: "g", Outcome: outcome.Done, ServedBy: by, Started: at.Add(after),
			Ended: at.Add(after + time.Millisecond),
		}
	}
	own, other := primaryReads([]ledger.Entry{
		entry(ledger.Write, "a", 0, ""), entry(ledger.Read, "a", 100*time.Millisecond, driver.Primary),
		entry(ledger.Read, "b", 100*time.Millisecond, driver.Primary), entry(ledger.Read, "a", 150*time.Millisecond, driver.Replica),
		entry(ledger.Read, "a", 300*time.Millisecond, driver.Primary),
	}, replicaLag)
	if own != 1 || other != 2 {
		t.Errorf("%d after an own write, %d otherwise, want 1 and 2", own, other)
	}
}

// Guards against a report that is not readable: SVG that does not parse, a row that breaks the table.
func TestReport(t *testing.T) {
	directory := t.TempDir()
	r := Result{Name: "x", Plot: Plot{Title: "a < b & c", Series: []Series{
		{Name: "line", Line: true, Points: []Point{{0, 0}, {1, 2}}}, {Name: "points", Points: []Point{{1, 3}}}, {Name: "none"},
	}}}
	r.add("figure", 1, "ms", atMost(2))
	r.judge()
	if err := WriteReport(directory, "command", r); err != nil {
		t.Fatal(err)
	}
	svg, err := os.Open(filepath.Join(directory, "x.svg"))
	if err != nil {
		t.Fatal(err)
	}
	defer svg.Close()
	for decoder := xml.NewDecoder(svg); ; {
		if _, err := decoder.Token(); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
	}
	row, err := os.ReadFile(filepath.Join(directory, "x.md"))
	if err != nil || strings.Count(string(row), "\n") != 1 || strings.Count(string(row), "|") != 7 {
		t.Errorf("%q %v", row, err)
	}
}

// Guards against an experiment that does not run on a real deployment, or whose result is not the documented JSON.
func TestLatencyRuns(t *testing.T) {
	e, err := Find("latency")
	if err != nil {
		t.Fatal(err)
	}
	r, err := Run(t.Context(), e, Options{Profile: deployment.Mutirao(), Runs: 5, Seed: 3}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	data, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	var fields map[string]any
	if err := json.Unmarshal(data, &fields); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"name", "parameters", "seed", "figures", "target", "met"} {
		if _, ok := fields[name]; !ok {
			t.Errorf("%s is missing in %s", name, data)
		}
	}
	names := make([]string, 0, len(r.Figures))
	for _, f := range r.Figures {
		names = append(names, f.Name)
		if strings.HasSuffix(f.Name, "_median") && !strings.Contains(f.Name, "added") && f.Value <= 0 {
			t.Errorf("%s is %v", f.Name, f.Value)
		}
	}
	if !slices.Contains(names, "read_added_median") || !slices.Contains(names, "write_added_p99") {
		t.Errorf("figures %v", names)
	}
}
