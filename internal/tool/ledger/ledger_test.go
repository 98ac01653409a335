package ledger_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/session/outcome"
	"tanagercross/internal/tool/ledger"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return origin.Add(time.Duration(ms) * time.Millisecond) }

func write(id string, o outcome.Outcome, start, end int) ledger.Entry {
	return ledger.Entry{Organisation: "a", Session: "s", Group: "g", RequestID: id, Kind: ledger.Write, Outcome: o, Started: at(start), Ended: at(end)}
}

func read(id string, start int, seen ...string) ledger.Entry {
	e := ledger.Entry{Organisation: "a", Session: "s", Group: "g", RequestID: id, Kind: ledger.Read, Outcome: outcome.Done, Started: at(start), Ended: at(start + 1), ServedBy: driver.Replica}
	e.Echo = e.Tag()
	for _, s := range seen {
		e.Seen = append(e.Seen, tag(s))
	}
	return e
}

func tag(id string) ledger.Tag { return ledger.Tag{Organisation: "a", Session: "s", RequestID: id} }

func content(id string, n int) ledger.Content {
	return ledger.Content{Group: "g", Organisation: "a", Tag: tag(id), Count: n}
}

func report(contents []ledger.Content, p ledger.Parameters, entries ...ledger.Entry) ledger.Report {
	var l ledger.Ledger
	for _, e := range entries {
		l.Record(e)
	}
	return l.Report(contents, p)
}

// Guards against each fault of correctness going undetected, and against false findings in a correct run.
func TestFaultsAreDetected(t *testing.T) {
	crossed, foreignSchema := read("r", 9), content("w", 1)
	crossed.Echo.RequestID = "other"
	foreignSchema.Organisation = "b"
	foreignRow := read("r", 0)
	foreignRow.Seen = []ledger.Tag{{Organisation: "b", Session: "s", RequestID: "x"}}
	aged := read("r", 9)
	aged.Aged = true
	done := write("w", outcome.Done, 0, 1)
	cases := []struct {
		name     string
		contents []ledger.Content
		entries  []ledger.Entry
		want     string
	}{
		{"correct", []ledger.Content{content("w", 1)}, []ledger.Entry{done, read("r", 2, "w")}, ""},
		{"lost", nil, []ledger.Entry{done}, "lost"},
		{"doubled", []ledger.Content{content("w", 2)}, []ledger.Entry{done}, "doubled"},
		{"doubled unknown", []ledger.Content{content("w", 2)}, []ledger.Entry{write("w", outcome.Unknown, 0, 1)}, "doubled"},
		{"not run but ran", []ledger.Content{content("w", 1)}, []ledger.Entry{write("w", outcome.NotRunOutcome, 0, 1)}, "not_run_but_ran"},
		{"refused after unknown", []ledger.Content{content("w", 1)}, []ledger.Entry{write("w", outcome.Unknown, 0, 1), write("w", outcome.NotRunOutcome, 2, 3)}, "not_run_but_ran"},
		{"refused after unknown, absent", nil, []ledger.Entry{write("w", outcome.Unknown, 0, 1), write("w", outcome.NotRunOutcome, 2, 3)}, ""},
		{"settled after unknown, lost", nil, []ledger.Entry{write("w", outcome.Unknown, 0, 1), write("w", outcome.Done, 2, 3)}, "lost"},
		{"unknown may be absent", nil, []ledger.Entry{write("w", outcome.Unknown, 0, 1)}, ""},
		{"stale", []ledger.Content{content("w", 1)}, []ledger.Entry{done, read("r", 2)}, "stale_reads"},
		{"read before the acknowledgement", []ledger.Content{content("w", 1)}, []ledger.Entry{done, read("r", 0)}, ""},
		{"stated age", []ledger.Content{content("w", 1)}, []ledger.Entry{done, aged}, ""},
		{"crossed answer", nil, []ledger.Entry{crossed}, "foreign_answers"},
		{"foreign row", nil, []ledger.Entry{foreignRow}, "foreign_answers"},
		{"row in another schema", []ledger.Content{foreignSchema}, []ledger.Entry{done}, "foreign_answers"},
		{"row of nobody", []ledger.Content{content("x", 1)}, nil, "unaccounted_rows"},
	}
	for _, c := range cases {
		r := report(c.contents, ledger.Parameters{}, c.entries...)
		data, _ := json.Marshal(r)
		want := 0
		if c.want != "" {
			want = 1
		}
		if r.Faults() != want || !strings.Contains(string(data), fmt.Sprintf("%q:1", c.want)) && c.want != "" {
			t.Errorf("%s: %s", c.name, data)
		}
	}
}

// Guards against gaps that are counted while nothing was offered, or missed while refusals arrive.
func TestWriteGap(t *testing.T) {
	gap := func(entries ...ledger.Entry) float64 {
		f := &ledger.Failure{Group: "g", At: at(1000), Before: 500 * time.Millisecond, After: 9 * time.Second}
		return report(nil, ledger.Parameters{Failure: f}, entries...).WriteGapMS
	}
	before, after := write("1", outcome.Done, 980, 990), write("4", outcome.Done, 3000, 3010)
	refused := write("2", outcome.NotRunOutcome, 1000, 1010)
	got := []float64{gap(before, refused, after), gap(before, after), gap(before, refused, write("3", outcome.Unknown, 1100, 5990)), gap()}
	if diff := cmp.Diff([]float64{2010, 10, 4990, 0}, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against a starved organisation, a wrong refusal and an exceeded rate going undetected.
func TestRates(t *testing.T) {
	var entries []ledger.Entry
	for i := range 100 { // 10 requests/s for 10 s, one in four refused
		e := write(fmt.Sprint(i), outcome.Done, i*100, i*100+1)
		if i%4 == 0 {
			e.Outcome, e.Reason = outcome.NotRunOutcome, outcome.RateExceeded
		}
		entries = append(entries, e)
	}
	p := func(rate, burst float64) ledger.Parameters {
		return ledger.Parameters{Rates: []ledger.Rate{{Organisation: "a", PerSecond: rate, Burst: burst}}}
	}
	inside := report(nil, p(20, 10), entries...)
	if inside.RefusedInsideRate != 25 || inside.InsideRate != 100 || inside.WorstOrganisationShare != 0.75 || inside.OverRate != 0 {
		t.Errorf("inside: %+v", inside)
	}
	over := report(nil, p(1, 5), entries...) // 75 admitted in 9.8 s where 15 are allowed
	if over.OverRate < 59 || over.OverRate > 61 || over.WorstOrganisationShare != 1 || over.InsideRate > 15 {
		t.Errorf("over: %+v", over)
	}
}

// Guards against a withdrawn key or an old configuration that stays in use unnoticed.
func TestMoments(t *testing.T) {
	var l ledger.Ledger
	for _, e := range []ledger.Entry{write("1", outcome.Done, 0, 10), write("2", outcome.Done, 1500, 1800), write("3", outcome.NotRunOutcome, 2500, 2600)} {
		e.Key = "k"
		l.Record(e)
	}
	for _, o := range []ledger.Observation{{"i1", "old", at(0)}, {"i1", "new", at(1200)}, {"i1", "old", at(1900)}, {"i1", "new", at(2000)}, {"i2", "old", at(900)}, {"i2", "new", at(1100)}, {"i3", "old", at(1300)}} {
		l.Observe(o)
	}
	r := l.Report(nil, ledger.Parameters{Withdrawal: &ledger.Withdrawal{Key: "k", At: at(1000)}, Change: &ledger.Change{Value: "new", At: at(1000)}})
	if r.KeyWithdrawalMS != 800 || r.ConfigInForceMS != 900 || r.ConfigReverted != 1 || r.ConfigMissing != 1 {
		t.Errorf("%+v", r)
	}
}
