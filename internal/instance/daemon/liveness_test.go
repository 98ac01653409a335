package daemon

import (
	"testing"
	"time"
)

// Guards against a member that is back and stays unused in a large fleet, whose exchange comes to it in minutes only, and
// against checks without bound.
func TestSuspectsAreChecked(t *testing.T) {
	var l liveness
	now := time.Now()
	for range silentAfter {
		l.record("a", false, now)
		l.record("b", false, now)
	}
	l.record("c", false, now)
	if got := l.suspects(1, now, time.Second); len(got) != 1 || l.alive(got[0]) || !l.alive("c") {
		t.Errorf("suspects %v", got)
	}
	if got := l.suspects(2, now, time.Second); len(got) != 1 {
		t.Errorf("checked twice in a period: %v", got)
	}
	before := l.change()
	l.record("a", true, now)
	if got := l.suspects(2, now.Add(time.Second), time.Second); len(got) != 1 || got[0] != "b" || l.change() == before {
		t.Errorf("suspects %v after an answer", got)
	}
	if !l.checkDue("d", now, time.Second) || l.checkDue("d", now, time.Second) {
		t.Error("a check of a home has no bound")
	}
	l.retain(func(string) bool { return false })
	if !l.alive("b") {
		t.Error("a member that left is kept")
	}
}
