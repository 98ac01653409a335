package freshness_test

import (
	"testing"
	"time"

	"tanagercross/internal/fleet/freshness"
	"tanagercross/internal/fleet/roster"
)

var three = roster.New(1, []roster.Member{{Name: "a"}, {Name: "b"}, {Name: "c"}})

// Guards against an instance that admits requests from state older than the bound, or refuses with a young entry.
func TestModes(t *testing.T) {
	start := time.Now()
	v := freshness.New("a", start)
	if v.Fresh(three, start) {
		t.Error("empty vector is fresh")
	}
	v.Store(start)
	if !v.Fresh(three, start.Add(freshness.Bound-1)) || v.Fresh(three, start.Add(freshness.Bound)) {
		t.Error("store mode has another bound")
	}
	later := start.Add(time.Minute)
	v.Merge(later, []freshness.Age{{Member: "c", Age: 3 * time.Second}, {Member: "a"}})
	if !v.Fresh(three, later.Add(time.Second-1)) || v.Fresh(three, later.Add(time.Second)) {
		t.Error("majority mode has another bound")
	}
	v.Merge(later, []freshness.Age{{Member: "c", Age: 4 * time.Second}})
	if !v.Fresh(three, later) {
		t.Error("an older age replaced a younger one")
	}
	if freshness.New("x", start).Fresh(three, later) {
		t.Error("an instance outside the roster is fresh without the store")
	}
}

// Guards against a paused process: the deadline taken before use must be over after the pause, and an answer merged
// after the pause must not count as young.
func TestPause(t *testing.T) {
	start := time.Now()
	v := freshness.New("a", start)
	v.Store(start)
	deadline := v.Deadline(three, start)
	woken := start.Add(10 * time.Second)
	if woken.Before(deadline) {
		t.Error("deadline holds after a pause")
	}
	v.Merge(start, []freshness.Age{{Member: freshness.StoreName}})
	if v.Fresh(three, woken) {
		t.Error("an answer from before the pause makes the instance fresh")
	}
}

// Guards against a restarted member that completes a majority although it has forgotten the documents.
func TestRestartedMemberDoesNotCount(t *testing.T) {
	start := time.Now()
	v := freshness.New("a", start)
	own := func(now time.Time) bool { _, ok := v.Age("a", now); return ok }
	v.Merge(start.Add(time.Second), []freshness.Age{{Member: "c"}, {Member: "b", Age: 2 * time.Second}})
	v.Establish(three)
	if own(start.Add(time.Second)) {
		t.Error("a member that has not merged a majority since its start tells its own entry")
	}
	v.Merge(start.Add(2*time.Second), []freshness.Age{{Member: "b"}})
	v.Establish(three)
	if !own(start.Add(2 * time.Second)) {
		t.Error("a member that has merged a majority since its start does not tell its own entry")
	}
}

// Guards against an instance that joins the roster and is fresh by what it merged before: a change that came into force
// meanwhile did not ask it.
func TestJoiningMemberReadsStore(t *testing.T) {
	start := time.Now()
	v := freshness.New("a", start)
	v.Store(start)
	joined := start.Add(time.Second)
	v.Join(joined)
	v.Store(joined.Add(-time.Millisecond))
	v.Merge(joined.Add(time.Millisecond), []freshness.Age{{Member: "b"}, {Member: "c"}, {Age: time.Second}})
	v.Establish(three)
	if v.Fresh(three, joined.Add(time.Millisecond)) {
		t.Error("fresh without the store as of the join")
	}
	v.Store(joined)
	if !v.Fresh(three, joined) {
		t.Error("not fresh with the store as of the join")
	}
}

// Guards against an age of the store that disappears in an outage, when operators look for it.
func TestKnownAge(t *testing.T) {
	v := freshness.New("a", time.Unix(1000, 0))
	v.Store(time.Unix(1000, 0))
	now := time.Unix(1000, 0).Add(time.Hour)
	age, known := v.KnownAge(freshness.StoreName, now)
	if _, young := v.Age(freshness.StoreName, now); age != time.Hour || !known || young {
		t.Errorf("age %v, known %t, young %t", age, known, young)
	}
	if _, known := v.KnownAge("b", now); known {
		t.Error("the age of an unknown member is known")
	}
}
