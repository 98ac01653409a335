package promotion_test

import (
	"slices"
	"testing"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/promotion"
	"tanagercross/internal/database/replicaset"
	"tanagercross/internal/database/statement"
)

// Guards against the replacement of a primary that another instance reaches, and against keeping one that no instance
// reaches.
func TestDecide(t *testing.T) {
	serving := promotion.Evidence{Primary: "a", Listed: true, ReachedLocally: true, IsLeader: true, PeerConsulted: true}
	cases := map[string]struct {
		change func(*promotion.Evidence)
		want   promotion.Decision
	}{
		"serving":                        {func(*promotion.Evidence) {}, promotion.Keep},
		"reached only by a peer":         {func(e *promotion.Evidence) { e.ReachedLocally, e.ReachedByPeer = false, true }, promotion.Keep},
		"unreachable":                    {func(e *promotion.Evidence) { e.ReachedLocally, e.IsLeader = false, false }, promotion.Replace},
		"unreachable, no peer consulted": {func(e *promotion.Evidence) { e.ReachedLocally, e.PeerConsulted, e.IsLeader = false, false, false }, promotion.Wait},
		"not listed, no peer consulted":  {func(e *promotion.Evidence) { e.ReachedLocally, e.PeerConsulted, e.Listed = false, false, false }, promotion.Replace},
		"unreachable for long, no peer consulted": {func(e *promotion.Evidence) {
			e.ReachedLocally, e.PeerConsulted, e.LeaderlessFor = false, false, time.Second
		}, promotion.Replace},
		"leaving":                     {func(e *promotion.Evidence) { e.Leaving = true }, promotion.Demote},
		"leaving and unreachable":     {func(e *promotion.Evidence) { e.Leaving, e.ReachedLocally, e.IsLeader = true, false, false }, promotion.Replace},
		"restarted as a replica":      {func(e *promotion.Evidence) { e.IsLeader = false }, promotion.Wait},
		"a replica for long":          {func(e *promotion.Evidence) { e.IsLeader, e.LeaderlessFor = false, time.Second }, promotion.Replace},
		"no primary for a short time": {func(e *promotion.Evidence) { *e = promotion.Evidence{LeaderlessFor: 100 * time.Millisecond} }, promotion.Wait},
		"no primary for long":         {func(e *promotion.Evidence) { *e = promotion.Evidence{LeaderlessFor: time.Second} }, promotion.Replace},
	}
	for name, c := range cases {
		e := serving
		c.change(&e)
		if got := promotion.Decide(e); got != c.want {
			t.Errorf("%s: decision %d, want %d", name, got, c.want)
		}
	}
}

// report returns the report of a replica that has received the log up to a position.
func report(server, place string, term, index uint64) promotion.Report {
	return promotion.Report{Server: server, Place: place, Report: statement.Report{
		Role: driver.Replica, Term: term, Received: driver.Position{Term: term, Index: index},
	}}
}

// Guards against a new primary that lacks commits which another replica has received.
func TestChooseTheMostAdvanced(t *testing.T) {
	reports := []promotion.Report{report("a", "x", 3, 7), report("b", "y", 3, 9), report("c", "z", 2, 40)}
	if best, ok := promotion.ChoosePrimary(reports, "x"); !ok || best.Server != "b" {
		t.Errorf("chose %+v, want b, which has received the newest position", best)
	}
	if best, _ := promotion.ChoosePrimary(append(reports, report("d", "x", 3, 9)), "x"); best.Server != "d" {
		t.Errorf("chose %s among equal replicas, want the one in the old primary's place", best.Server)
	}
	if _, ok := promotion.ChoosePrimary(nil, "x"); ok {
		t.Error("chose a primary without any report")
	}
	if term := promotion.NextTerm(reports, 5); term != 6 {
		t.Errorf("term %d, want 6", term)
	}
}

// Guards against a choice from too few reports while a missing replica, or one that still receives commits of the primary,
// may have a longer log, and against waiting for
// missing replicas although a replica has received the whole log of the demoted primary.
func TestSufficientReports(t *testing.T) {
	two := []promotion.Report{report("a", "x", 3, 7), report("b", "y", 3, 9)}
	paused := slices.Clone(two)
	for i := range paused {
		paused[i].Paused = true
	}
	demoted := func(index uint64) promotion.Demotion {
		return promotion.Demotion{Confirmed: true, End: driver.Position{Term: 3, Index: index}}
	}
	members := func(ids ...string) replicaset.Set {
		var list []replicaset.Member
		for _, id := range ids {
			list = append(list, replicaset.Member{ID: id})
		}
		return replicaset.New(list)
	}
	three, four := members("old", "a", "b"), members("old", "a", "b", "c")
	for name, c := range map[string]struct {
		reports  []promotion.Report
		members  replicaset.Set
		sync     int
		demotion promotion.Demotion
		want     bool
	}{
		"asynchronous":                             {two[:1], three, 0, promotion.Demotion{}, true},
		"all report, paused":                       {paused, three, 1, promotion.Demotion{}, true},
		"all report, not paused":                   {two, three, 1, promotion.Demotion{}, false},
		"all report, one is not paused":            {[]promotion.Report{paused[0], two[1]}, three, 1, promotion.Demotion{}, false},
		"all report, primary demoted":              {two, three, 1, demoted(10), true},
		"one is missing":                           {paused, four, 1, promotion.Demotion{}, false},
		"has the whole log of the demoted primary": {two, four, 1, demoted(9), true},
		"lacks one entry of the demoted primary":   {two, four, 1, demoted(10), false},
		"no reports, asynchronous":                 {nil, three, 0, promotion.Demotion{}, false},
		"asynchronous, primary demoted":            {two, three, 0, demoted(9), true},
		"asynchronous, lacks one entry of it":      {two, three, 0, demoted(10), false},
		"no reports, primary demoted":              {nil, three, 0, demoted(9), false},
	} {
		absent := c.members.Absent(replicaset.Evidence{
			Reports: promotion.Counted(c.reports, c.sync, c.demotion), MissingFor: func(string) time.Duration { return 0 },
		})
		if got := promotion.EnoughReports(c.reports, absent, c.sync, c.demotion); got != c.want {
			t.Errorf("%s: %t, want %t", name, got, c.want)
		}
	}
}

// Guards against counting a replica as paused that ignored the pause, because it knows a newer term, and a server that
// leads.
func TestPauseThatIsIgnored(t *testing.T) {
	r := report("a", "x", 3, 7)
	held := r
	held.HeldTerm = 4
	leads := held
	leads.Role = driver.Primary
	if r.WithPause(4).Paused || leads.WithPause(4).Paused {
		t.Error("counted as paused")
	}
	if !held.WithPause(4).Paused {
		t.Error("not counted as paused")
	}
}

// Guards against the choice of a server that is about to stop although another one has received as much.
func TestChooseServerThatIsNotLeaving(t *testing.T) {
	leaving := report("a", "x", 3, 9)
	leaving.Leaving = true
	if best, _ := promotion.ChoosePrimary([]promotion.Report{leaving, report("b", "y", 3, 9)}, "x"); best.Server != "b" {
		t.Errorf("chose %s, want the one that is not about to stop", best.Server)
	}
	former := report("f", "x", 3, 9)
	former.Former = true
	if best, _ := promotion.ChoosePrimary([]promotion.Report{former, report("b", "y", 3, 9)}, "x"); best.Server != "b" {
		t.Errorf("chose %s, want another server than the old primary", best.Server)
	}
	if best, _ := promotion.ChoosePrimary([]promotion.Report{report("b", "y", 3, 8), leaving}, "y"); best.Server != "a" {
		t.Errorf("chose %s, want the one with the newest position", best.Server)
	}
}

// Guards against a second promotion when another server is already the primary.
func TestLeading(t *testing.T) {
	leads := report("b", "y", 4, 1)
	leads.Role = driver.Primary
	if r, ok := promotion.FindNewPrimary([]promotion.Report{report("a", "x", 3, 7), leads}, "a"); !ok || r.Server != "b" {
		t.Errorf("got %+v %t, want b", r, ok)
	}
	if _, ok := promotion.FindNewPrimary([]promotion.Report{leads}, "b"); ok {
		t.Error("the old primary was returned as the new one")
	}
}
