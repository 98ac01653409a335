package view_test

import (
	"testing"
	"time"

	"tanagercross/internal/fleet/view"
)

// Guards against rows that are ignored because the store came back from an older copy and gave their versions out again, and
// against a configuration that reverts to the one of the copy.
func TestRowsOfALaterGenerationReplaceEarlierOnes(t *testing.T) {
	b, o := table()
	first, second := view.Version(1, 900), view.Version(2, 40)
	b.SetConfiguration(rows(first, time.Second, "config=xxx"))
	b.SetConfiguration(rows(second, 2*time.Second, "config=xx"))
	if v := b.Configuration().Version; v != 3 || len(o.ignored) != 1 {
		t.Errorf("version %d with the configuration of the copy, want 3; ignored rows %v, want one", v, o.ignored)
	}
	b.SetConfiguration(rows(second+1, 3*time.Second, "config=xxxx"))
	if v := b.Configuration().Version; v != 4 {
		t.Errorf("version %d with a configuration written after the return, want 4", v)
	}
	b.SetConfiguration(rows(first+1, 4*time.Second, "config=xxxxx"))
	if v := b.Configuration().Version; v != 4 || b.Generation() != 2 {
		t.Errorf("version %d, generation %d after a late answer of the first generation, want 4 and 2", v, b.Generation())
	}
}

// Guards against servers and instances that are lost because the older copy of the store lacks their rows.
func TestRowsThatTheCopyLacksAreKeptForAMoment(t *testing.T) {
	b, _ := table()
	b.SetServers(time.Second, rows(view.Version(1, 900), time.Second, "a=primary", "b=replica"))
	b.SetMembers(rows(view.Version(1, 900), time.Second, "i1=agreste", "i2=agreste"))
	b.SetServers(2*time.Second, rows(view.Version(2, 40), 2*time.Second, "a=primary"))
	b.SetMembers(rows(view.Version(2, 40), 2*time.Second, "i1=agreste"))
	if servers, members := len(b.Servers().All()), b.Roster().Len(); servers != 2 || members != 2 {
		t.Errorf("%d servers and %d instances right after the return, want 2 and 2", servers, members)
	}
	b.SetServers(6*time.Second, rows(view.Version(2, 60), 6*time.Second, "a=primary"))
	b.SetMembers(rows(view.Version(2, 60), 12*time.Second, "i1=agreste"))
	if servers, members := len(b.Servers().All()), b.Roster().Len(); servers != 1 || members != 1 {
		t.Errorf("%d servers and %d instances whose rows were not written again, want 1 and 1", servers, members)
	}
}
