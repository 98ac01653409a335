package replicaset_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/replicaset"
)

// at returns a position of term 3.
func at(index uint64) driver.Position { return driver.Position{Term: 3, Index: index} }

// members returns a set of servers that were confirmed to hold position 5.
func members(ids ...string) replicaset.Set {
	var list []replicaset.Member
	for _, id := range ids {
		list = append(list, replicaset.Member{ID: id, Address: id, StartedMS: 1, Confirmed: at(5)})
	}
	return replicaset.New(list)
}

// listed says that every server has an entry.
func listed(string) time.Duration { return 0 }

// states returns the states of absent members by id and start.
func states(absent []replicaset.Absence) map[string]replicaset.State {
	m := map[string]replicaset.State{}
	for _, a := range absent {
		m[fmt.Sprintf("%s/%d", a.ID, a.StartedMS)] = a.State
	}
	return m
}

// Guards against a choice from so few reports that a commit is only on members that do not report.
func TestRequiredReports(t *testing.T) {
	for _, c := range []struct{ replicas, sync, want int }{{2, 1, 2}, {4, 1, 4}, {4, 2, 3}, {1, 3, 1}} {
		var ids []string
		for n := range c.replicas + 1 {
			ids = append(ids, fmt.Sprint(n))
		}
		var reports []replicaset.Report
		for n := 1; n <= c.replicas; n++ {
			reports = append(reports, replicaset.Report{Server: fmt.Sprint(n), Received: at(5)})
			absent := members(ids...).Absent(replicaset.Evidence{Reports: reports, MissingFor: listed})
			if safe := replicaset.Decide(absent, c.sync) == replicaset.Safe; safe != (n >= c.want) {
				t.Errorf("%d replicas, %d synchronous, %d report: safe %t, want %d reports", c.replicas, c.sync, n, safe, c.want)
			}
		}
	}
}

// Guards against a server that is forgotten because it was the primary when its entry was last there: it may be back as a
// replica, and hold the last commits.
func TestFormerPrimaryCounts(t *testing.T) {
	set := members("former", "primary", "replica")
	absent := set.Absent(replicaset.Evidence{
		Reports:    []replicaset.Report{{Server: "replica", Received: at(9)}},
		MissingFor: func(id string) time.Duration { return map[string]time.Duration{"former": 7 * time.Second}[id] },
	})
	if d := replicaset.Decide(absent, 1); d != replicaset.Wait {
		t.Errorf("%s with %v, want to wait for the former primary", d, states(absent))
	}
}

// Guards against the report of a server that started again with nothing being taken for what its earlier start held, whether
// its entry shows the new start or is not up to date.
func TestReportOfAnEmptyLogDoesNotCount(t *testing.T) {
	reports := []replicaset.Report{{Server: "deaf", Received: at(7)}, {Server: "reborn"}}
	for name, set := range map[string]replicaset.Set{
		"entry of the earlier start": members("primary", "deaf", "reborn"),
		"entry of the new start":     members("primary", "deaf", "reborn").WithServers([]replicaset.Member{{ID: "reborn", StartedMS: 2}}),
	} {
		absent := set.Absent(replicaset.Evidence{Reports: reports, MissingFor: listed})
		want := map[string]replicaset.State{"primary/1": replicaset.Silent, "reborn/1": replicaset.Lost}
		if diff := cmp.Diff(want, states(absent)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
		if d := replicaset.Decide(absent, 1); d != replicaset.Wait {
			t.Errorf("%s: %s, want to wait for the primary", name, d)
		}
	}
}

// Guards against a group that waits for ever for servers that do not come back, and against one that stops waiting while a
// server may still come back with commits that only it and a lost server held.
func TestWaitEnds(t *testing.T) {
	for missing, want := range map[time.Duration]replicaset.Decision{
		replicaset.GoneAfter - time.Millisecond: replicaset.Wait, replicaset.GoneAfter: replicaset.Abandon,
	} {
		gone := map[string]time.Duration{"a": time.Hour, "b": missing}
		absent := members("a", "b", "c").Absent(replicaset.Evidence{
			Reports: []replicaset.Report{{Server: "c", Received: at(9)}}, MissingFor: func(id string) time.Duration { return gone[id] },
		})
		if d := replicaset.Decide(absent, 1); d != want {
			t.Errorf("%s after %v, want %s", d, missing, want)
		}
	}
}

// Guards against a member that is dropped before the commits that it acknowledged are on enough others, and against one that
// counts for ever although they are.
func TestMembersAreDroppedOnceOthersHoldTheLog(t *testing.T) {
	set := members("primary", "replica", "reborn", "left").WithServers([]replicaset.Member{{ID: "reborn", StartedMS: 2}})
	drop := func(m replicaset.Member) bool { return m.ID == "left" || set.StartedAgain(m) }
	holds := func(id string, startedMS int64, index uint64) replicaset.Holding {
		return replicaset.Holding{Member: replicaset.Member{ID: id, StartedMS: startedMS}, Received: at(index)}
	}
	primary := holds("primary", 1, 9)
	behind := []replicaset.Holding{holds("replica", 1, 8), holds("reborn", 2, 2)}
	if got := set.WithConfirmed(primary, behind, 1, drop); !got.Equal(set) {
		t.Errorf("%+v after no replica has the whole log, want no change", got.Members())
	}
	earlier := []replicaset.Holding{holds("replica", 1, 8), holds("reborn", 1, 9)}
	if got := set.WithConfirmed(primary, earlier, 1, drop); !got.Equal(set) {
		t.Errorf("%+v after a report from before a start that is known now, want no change", got.Members())
	}
	level := []replicaset.Holding{holds("replica", 1, 9), holds("reborn", 2, 2)}
	if got := set.WithConfirmed(holds("primary", 1, 4), level, 1, drop); !got.Equal(set) {
		t.Errorf("%+v after the primary has less than was confirmed, want no change", got.Members())
	}
	if got := set.WithConfirmed(primary, level, 2, drop); !got.Equal(set) {
		t.Errorf("%+v after one of two synchronous replicas has the log, want no change", got.Members())
	}
	want := []replicaset.Member{
		{ID: "primary", Address: "primary", StartedMS: 1, Confirmed: at(9)},
		{ID: "reborn", StartedMS: 2},
		{ID: "replica", Address: "replica", StartedMS: 1, Confirmed: at(9)},
	}
	if diff := cmp.Diff(want, set.WithConfirmed(primary, level, 1, drop).Members()); diff != "" {
		t.Errorf("members after one replica has the log (-want +got):\n%s", diff)
	}
}

// Guards against a copy of a server's entry from before its last start that brings the earlier start back, and against a server
// that is a member twice because its start was not known at first.
func TestEntriesOfEarlierStarts(t *testing.T) {
	set := replicaset.New([]replicaset.Member{{ID: "a", StartedMS: 7}, {ID: "b"}})
	set = set.WithServers([]replicaset.Member{{ID: "a", StartedMS: 3}, {ID: "b", StartedMS: 4}})
	if diff := cmp.Diff([]replicaset.Member{{ID: "a", StartedMS: 7}, {ID: "b", StartedMS: 4}}, set.Members()); diff != "" {
		t.Errorf("members (-want +got):\n%s", diff)
	}
}

// Guards against a position that is forgotten because the record has an earlier one, so that a server which lost its log since
// seems to hold all that it held.
func TestNewestConfirmedPositionIsKept(t *testing.T) {
	record := replicaset.New([]replicaset.Member{{ID: "a", StartedMS: 1, Confirmed: at(5)}, {ID: "b", StartedMS: 2, Confirmed: at(5)}})
	known := replicaset.New([]replicaset.Member{{ID: "a", StartedMS: 1, Confirmed: at(9)}, {ID: "b", StartedMS: 1, Confirmed: at(9)}})
	want := []replicaset.Member{{ID: "a", StartedMS: 1, Confirmed: at(9)}, {ID: "b", StartedMS: 2, Confirmed: at(5)}}
	if diff := cmp.Diff(want, record.WithPositions(known).Members()); diff != "" {
		t.Errorf("members (-want +got):\n%s", diff)
	}
}
