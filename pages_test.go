package tanagercross_test

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"tanagercross/internal/database/serverqueue"
	"tanagercross/internal/fleet/configuration"
	"tanagercross/internal/instance/api"
	"tanagercross/internal/instance/metric"
	"tanagercross/internal/session/outcome"
)

var (
	pathPattern = regexp.MustCompile("[`(]((?:cmd|design|docs|internal|proto|tools|test|\\.ci)/?[A-Za-z0-9_./-]*|[A-Z]+\\.md)[`)]")
	linkPattern = regexp.MustCompile(`\]\(([A-Za-z0-9_./-]+)(?:#[a-z-]*)?\)`)
	goPattern   = regexp.MustCompile(`go (?:run|test|build|vet)\b[^\n` + "`" + `]*`)
	namePattern = regexp.MustCompile(`= "([a-z_]+)"`)
)

func pages(t *testing.T) map[string]string {
	t.Helper()
	paths, err := filepath.Glob("docs/*.md")
	if err != nil {
		t.Fatal(err)
	}
	texts := map[string]string{}
	for _, path := range append(paths, "README.md", "CHANGELOG.md") {
		texts[path] = read(t, path)
	}
	return texts
}

func read(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Guards against pages that send a reader to files, directories or packages that do not exist.
func TestPagesNameWhatExists(t *testing.T) {
	for page, text := range pages(t) {
		exists := func(base, name string) {
			if _, err := os.Stat(filepath.Join(base, strings.TrimSuffix(name, "/..."))); err != nil {
				t.Errorf("%s names %s: %v", page, name, err)
			}
		}
		for _, m := range linkPattern.FindAllStringSubmatch(text, -1) {
			exists(filepath.Dir(page), m[1])
		}
		for _, m := range pathPattern.FindAllStringSubmatch(text, -1) {
			if strings.HasPrefix(m[0], "`") {
				exists(".", m[1])
			}
		}
		for _, command := range goPattern.FindAllString(text, -1) {
			for _, word := range strings.Fields(command) {
				if strings.HasPrefix(word, "./") {
					exists(".", word)
				}
			}
		}
	}
}

// rows returns the cells of the table between two markers of the operating page, without its head.
func rows(t *testing.T, name string) [][]string {
	t.Helper()
	_, rest, _ := strings.Cut(read(t, "docs/OPERATIONS.md"), "<!-- begin "+name+" -->")
	section, _, ok := strings.Cut(rest, "<!-- end "+name+" -->")
	lines := strings.Split(strings.TrimSpace(section), "\n")
	if !ok || len(lines) < 3 {
		t.Fatalf("docs/OPERATIONS.md has no table %q", name)
	}
	var table [][]string
	for _, line := range lines[2:] {
		cells := strings.Split(strings.Trim(line, "|"), "|")
		for i := range cells {
			if cells[i] = strings.Trim(strings.TrimSpace(cells[i]), "`"); cells[i] == "" {
				t.Errorf("table %q has an empty cell in %s", name, line)
			}
		}
		table = append(table, cells)
	}
	return table
}

// compare requires that the first cells of a table are the expected ones.
func compare(t *testing.T, name string, want [][]string) {
	t.Helper()
	got := rows(t, name)
	for i := range got {
		got[i] = got[i][:min(len(got[i]), len(want[0]))]
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("table %q of docs/OPERATIONS.md (-code +page):\n%s", name, diff)
	}
}

// names returns the quoted lower-case names that are assigned in a source file.
func names(t *testing.T, path string, keep func(string) bool) []string {
	t.Helper()
	var found []string
	for _, m := range namePattern.FindAllStringSubmatch(read(t, path), -1) {
		if keep(m[1]) {
			found = append(found, m[1])
		}
	}
	return found
}

// Guards against a table of configuration values that differs from what the check enforces.
func TestConfigurationTable(t *testing.T) {
	var want [][]string
	for _, f := range configuration.Fields() {
		limits := fmt.Sprintf("%d to %d", f.Minimum, f.Maximum)
		want = append(want, []string{f.Name, f.Unit, fmt.Sprint(f.Default), limits, f.Help})
	}
	compare(t, "values", want)
}

// Guards against a reason that operators cannot look up, or that the page gives another status than the API.
func TestReasonTables(t *testing.T) {
	var want [][]string
	unknown := metric.UnknownReasons()
	isReason := func(name string) bool { return name != "done" && name != "not_run" && name != "unknown" }
	for _, name := range names(t, "internal/session/outcome/outcome.go", isReason) {
		r, o, again := outcome.Reason(name), outcome.NotRunOutcome, "no"
		if slices.Contains(unknown, r) {
			o = outcome.Unknown
		}
		if r.Retryable() {
			again = "yes"
		}
		want = append(want, []string{name, string(o), fmt.Sprint(api.StatusOf(o, r)), again})
	}
	compare(t, "reasons", want)

	want = nil
	served := metric.ReadReasons()
	for _, r := range served {
		role := "primary"
		if r.ByReplica() {
			role = "replica"
		}
		want = append(want, []string{string(r), role})
	}
	compare(t, "reads", want)
	isReadReason := func(name string) bool {
		return strings.HasPrefix(name, "replica_") || strings.HasPrefix(name, "primary_") && name != "primary_write"
	}
	if all := names(t, "internal/session/route/route.go", isReadReason); len(all) != len(served) {
		t.Errorf("reasons of reads are %v, the counters have %v", all, served)
	}
}

// Guards against a metric of an entry instance that operators cannot look up.
func TestEntryMetricsAreExplained(t *testing.T) {
	page := read(t, "docs/OPERATIONS.md")
	for _, name := range names(t, "internal/instance/metric/entry.go", func(name string) bool { return strings.HasPrefix(name, "tanagercross_") }) {
		if !strings.Contains(page, "`"+name+"`") {
			t.Errorf("docs/OPERATIONS.md does not explain %s", name)
		}
	}
	for _, o := range serverqueue.Outcomes() {
		if !strings.Contains(page, "\n| `"+string(o)+"` | ") {
			t.Errorf("docs/OPERATIONS.md has no row for the outcome %s of a queue", o)
		}
	}
}

// Guards against a metric that is not explained, or explained and not served.
func TestMetricTable(t *testing.T) {
	isMetric := func(name string) bool { return strings.HasPrefix(name, "tanagercross_") }
	var want [][]string
	for _, name := range names(t, "internal/instance/metric/metric.go", isMetric) {
		want = append(want, []string{name})
	}
	compare(t, "metrics", want)
}
