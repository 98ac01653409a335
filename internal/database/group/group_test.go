package group

import (
	"testing"
	"time"

	"tanagercross/internal/database/driver"
)

func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

func status(server string, role driver.Role, term, logTerm, index uint64, primary string) driver.Status {
	return driver.Status{Server: server, Role: role, Term: term, Last: driver.Position{Term: logTerm, Index: index}, Primary: primary}
}

func table() *Table {
	t := NewTable()
	t.SetGroups([]Group{{Name: "g", Servers: []driver.Server{{Name: "a"}, {Name: "b"}, {Name: "c"}}}})
	return t
}

func state(t *Table) *State {
	s, _ := t.View().Group("g")
	return s
}

// Guards against a woken old primary that takes the group back to its term, and against a failed fence that makes all
// replicas ineligible.
func TestTermNeverGoesBack(t *testing.T) {
	tb := table()
	tb.ObserveStatus(status("b", driver.Primary, 3, 3, 8, "b"), at(0), at(1))
	tb.ObserveStatus(status("a", driver.Primary, 2, 2, 50, "a"), at(2), at(3))
	tb.ObserveStatus(status("c", driver.Fenced, 5, 3, 8, ""), at(2), at(3))
	tb.AnnouncePrimary("g", 2, "a")
	s := state(tb)
	if s.Term != 3 || s.Primary != "b" || s.Promised != 5 {
		t.Fatalf("term %d, primary %s, promised %d", s.Term, s.Primary, s.Promised)
	}
	if a, _ := s.Server("a"); s.OnCurrentTerm(a) {
		t.Error("a server on the old branch is current")
	}
	tb.ObserveStatus(status("c", driver.Replica, 3, 3, 7, "b"), at(0), at(4))
	if c, _ := state(tb).Server("c"); c.Role != driver.Fenced {
		t.Error("a late older status replaced a newer one")
	}
}

// Guards against data that is older than its stated age: positions alone, without a majority that still follows the
// primary, prove nothing.
func TestDataAgeNeedsMajority(t *testing.T) {
	tb := table()
	tb.ObserveStatus(status("a", driver.Primary, 2, 2, 10, "a"), at(0), at(9))
	if a, _ := state(tb).Server("a"); !a.DataTime.IsZero() {
		t.Fatal("one server proved the age of the data")
	}
	tb.ObserveStatus(status("b", driver.Replica, 2, 2, 10, "a"), at(100), at(109))
	if b, _ := state(tb).Server("b"); !b.DataTime.Equal(at(0)) {
		t.Fatalf("data time %v, want the time before the primary was asked", b.DataTime)
	}
	tb.ObserveStatus(status("a", driver.Primary, 2, 2, 12, "a"), at(200), at(209))
	tb.ObserveStatus(status("c", driver.Fenced, 3, 2, 10, ""), at(300), at(309))
	tb.ObserveStatus(status("b", driver.Fenced, 3, 2, 12, ""), at(400), at(409))
	if b, _ := state(tb).Server("b"); b.DataTime.After(at(0)) {
		t.Errorf("data time moved to %v although a majority was fenced", b.DataTime)
	}
}

// Guards against a mark taken from a replaced primary that counts once the new term has a majority.
func TestMarksOfReplacedPrimary(t *testing.T) {
	tb := table()
	tb.ObserveStatus(status("a", driver.Primary, 2, 2, 10, "a"), at(0), at(1))
	tb.ObserveStatus(status("b", driver.Replica, 2, 2, 10, "a"), at(100), at(101))
	tb.ObserveStatus(status("a", driver.Primary, 2, 2, 11, "a"), at(5000), at(5001))
	tb.ObserveStatus(status("b", driver.Replica, 3, 3, 12, "c"), at(6000), at(6001))
	tb.ObserveStatus(status("c", driver.Primary, 3, 3, 90, "c"), at(6000), at(6001))
	if b, _ := state(tb).Server("b"); b.DataTime.After(at(100)) {
		t.Errorf("data time %v comes from the replaced primary", b.DataTime.Sub(at(0)))
	}
}

// Guards against a server that is listed as leaving and still gets work, against one that stays without work after its
// leaving was cancelled, and against a list that forgets positions.
func TestLeavingAndList(t *testing.T) {
	tb := table()
	tb.ObserveStatus(status("a", driver.Primary, 2, 2, 10, "a"), at(0), at(9))
	before := state(tb)
	list := func(leaving bool) []Group {
		return []Group{{Name: "g", Servers: []driver.Server{{Name: "a"}, {Name: "b", Leaving: leaving}}}}
	}
	tb.SetGroups(list(true))
	if b, _ := state(tb).Server("b"); !b.Leaving {
		t.Error("the server does not leave")
	}
	if a, _ := state(tb).Server("a"); a.Position.Index != 10 || !a.Reachable(at(500)) || a.Reachable(at(1100)) {
		t.Errorf("server a is %+v", a)
	}
	tb.SetGroups(list(false))
	if b, _ := state(tb).Server("b"); b.Leaving {
		t.Error("the server leaves although the list no longer says so")
	}
	if b, _ := before.Server("b"); b.Leaving || len(before.Servers) != 3 {
		t.Error("a state that a request holds was changed")
	}
}

// Guards against a history that forgets minutes-old marks and so sends reads that accept old data to the primary.
func TestMarksReachBack(t *testing.T) {
	var m marks
	for i := range 3000 {
		m = m.with(mark{at: at(i * 200), position: driver.Position{Term: 1, Index: uint64(i)}})
	}
	if len(m) > maxMarks {
		t.Errorf("%d marks", len(m))
	}
	got, ok := m.lastWithin(driver.Position{Term: 1, Index: 2700}, at(600000))
	if age := at(600000).Sub(got.at); !ok || age > 2*time.Minute {
		t.Errorf("data of age 60 s counts as %v old", age)
	}
}
