package succession_test

import (
	"testing"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/statement"
	"tanagercross/internal/database/succession"
)

// Guards against replacing a primary that others reach, and against keeping one that nobody does.
func TestJudge(t *testing.T) {
	serving := succession.Evidence{Primary: "a", Listed: true, ReachedHere: true, Leads: true, Asked: true}
	cases := map[string]struct {
		change func(*succession.Evidence)
		want   succession.Verdict
	}{
		"serves":                    {func(*succession.Evidence) {}, succession.Keep},
		"reached only elsewhere":    {func(e *succession.Evidence) { e.ReachedHere, e.ReachedThere = false, true }, succession.Keep},
		"reached by nobody":         {func(e *succession.Evidence) { e.ReachedHere, e.Leads = false, false }, succession.Replace},
		"reached, not by a second":  {func(e *succession.Evidence) { e.ReachedHere, e.Asked, e.Leads = false, false, false }, succession.Wait},
		"alone, not listed":         {func(e *succession.Evidence) { e.ReachedHere, e.Asked, e.Listed = false, false, false }, succession.Replace},
		"alone for long":            {func(e *succession.Evidence) { e.ReachedHere, e.Asked, e.Leaderless = false, false, time.Second }, succession.Replace},
		"leaves":                    {func(e *succession.Evidence) { e.Leaving = true }, succession.Relieve},
		"leaves and is gone":        {func(e *succession.Evidence) { e.Leaving, e.ReachedHere, e.Leads = true, false, false }, succession.Replace},
		"came back as a replica":    {func(e *succession.Evidence) { e.Leads = false }, succession.Wait},
		"a replica for long":        {func(e *succession.Evidence) { e.Leads, e.Leaderless = false, time.Second }, succession.Replace},
		"no primary since a moment": {func(e *succession.Evidence) { *e = succession.Evidence{Leaderless: 100 * time.Millisecond} }, succession.Wait},
		"no primary for long":       {func(e *succession.Evidence) { *e = succession.Evidence{Leaderless: time.Second} }, succession.Replace},
	}
	for name, c := range cases {
		e := serving
		c.change(&e)
		if got := succession.Judge(e); got != c.want {
			t.Errorf("%s: verdict %d, want %d", name, got, c.want)
		}
	}
}

func report(server, place string, term, index uint64) succession.Report {
	return succession.Report{Server: server, Place: place, Report: statement.Report{
		Role: driver.Replica, Term: term, Received: driver.Position{Term: term, Index: index},
	}}
}

// Guards against a new primary that lacks what another replica has received.
func TestChooseTheMostAdvanced(t *testing.T) {
	reports := []succession.Report{report("a", "x", 3, 7), report("b", "y", 3, 9), report("c", "z", 2, 40)}
	if best, ok := succession.Choose(reports, "x"); !ok || best.Server != "b" {
		t.Errorf("chose %+v", best)
	}
	if best, _ := succession.Choose(append(reports, report("d", "x", 3, 9)), "x"); best.Server != "d" {
		t.Errorf("chose %s of equal ones, want the one in the old primary's place", best.Server)
	}
	if _, ok := succession.Choose(nil, "x"); ok {
		t.Error("chose from nothing")
	}
	if term := succession.Term(reports, 5); term != 6 {
		t.Errorf("term %d, want 6", term)
	}
}

// Guards against a change that may lose a commit that a synchronous replica has confirmed.
func TestNeededReports(t *testing.T) {
	for _, c := range []struct{ replicas, sync, want int }{{2, 0, 1}, {2, 1, 2}, {4, 1, 4}, {4, 2, 3}, {1, 3, 1}} {
		if got := succession.Needed(c.replicas, c.sync); got != c.want {
			t.Errorf("%d replicas, %d synchronous: %d reports, want %d", c.replicas, c.sync, got, c.want)
		}
	}
}

// Guards against a choice from too few reports while a replica that is not listed may have more, and against one that
// waits for replicas although the relieved primary's whole log was received.
func TestSufficientReports(t *testing.T) {
	two := []succession.Report{report("a", "x", 3, 7), report("b", "y", 3, 9)}
	for name, c := range map[string]struct {
		reports        []succession.Report
		replicas, sync int
		relieved       driver.Position
		want           bool
	}{
		"asynchronous":                   {two[:1], 2, 0, driver.Position{}, true},
		"all report":                     {two, 2, 1, driver.Position{}, true},
		"one is missing":                 {two, 3, 1, driver.Position{}, false},
		"has all of the relieved":        {two, 3, 1, driver.Position{Term: 3, Index: 9}, true},
		"lacks one of the relieved":      {two, 3, 1, driver.Position{Term: 3, Index: 10}, false},
		"nobody reports, asynchronous":   {nil, 2, 0, driver.Position{}, false},
		"nobody reports to the relieved": {nil, 2, 0, driver.Position{Term: 3, Index: 9}, false},
	} {
		if got := succession.Sufficient(c.reports, c.replicas, c.sync, c.relieved); got != c.want {
			t.Errorf("%s: %t, want %t", name, got, c.want)
		}
	}
}

// Guards against a choice of a server that is about to stop, unless no other one has as much.
func TestChooseOneThatStays(t *testing.T) {
	leaving := report("a", "x", 3, 9)
	leaving.Leaving = true
	if best, _ := succession.Choose([]succession.Report{leaving, report("b", "y", 3, 9)}, "x"); best.Server != "b" {
		t.Errorf("chose %s, want the one that stays", best.Server)
	}
	if best, _ := succession.Choose([]succession.Report{report("b", "y", 3, 8), leaving}, "y"); best.Server != "a" {
		t.Errorf("chose %s, want the most advanced", best.Server)
	}
}

// Guards against a second change when a server leads already.
func TestLeading(t *testing.T) {
	leads := report("b", "y", 4, 1)
	leads.Role = driver.Primary
	if r, ok := succession.Leading([]succession.Report{report("a", "x", 3, 7), leads}, "a"); !ok || r.Server != "b" {
		t.Errorf("got %+v %t", r, ok)
	}
	if _, ok := succession.Leading([]succession.Report{leads}, "b"); ok {
		t.Error("the old primary counts as the next one")
	}
}
