package entry_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/organisation/key"
)

// addRecordsGroup adds a second group of servers, records, with the database sheets, and waits until it accepts writes.
func (f *fleet) addRecordsGroup() {
	f.t.Helper()
	f.cluster.AddGroup("records", "sertao", "litoral", "agreste")
	databases := []catalog.Database{
		{Name: "bookings", Group: "meals", Timeout: time.Second, LatencyGoal: time.Second},
		{Name: "sheets", Group: "records", Timeout: time.Second, LatencyGoal: time.Second},
	}
	groups := []catalog.Group{{Name: "meals", ConnectionLimit: 40}, {Name: "records", ConnectionLimit: 40}}
	f.cluster.Configure(catalog.NewConfiguration(2, databases, groups, []catalog.Organisation{
		{Name: "coop", Rate: 100_000, Burst: 100_000, Keys: []key.Hash{key.HashOf(keyText)}},
	}))
	f.eventually("a write to the second group", func() bool {
		c, _ := f.nodes[0].Session("sheets", keyText)
		return c != nil && f.session(0, "sheets").write("plates", "0").OK()
	})
}

// Guards against a group that stays without a primary because the promoted server crashes immediately.
func TestPromotedServerDies(t *testing.T) {
	f := newFleet(t, "agreste", "sertao", "litoral")
	s := f.session(1, "bookings")
	if a := s.write("plates", "1"); !a.OK() {
		t.Fatalf("write: %+v", a)
	}
	f.cluster.Crash("meals-agreste")
	f.eventually("another primary", func() bool { return f.cluster.Promotions() > 0 })
	f.cluster.Crash(f.cluster.Primary("meals"))
	f.cluster.Restart("meals-agreste")
	f.eventually("a write after the second crash", func() bool { return s.write("plates", "2").OK() })
	if a := s.read("plates"); !a.OK() || a.Rows[0] != "2" {
		t.Errorf("read %+v, want 2", a)
	}
}

// Guards against two groups that block each other when both lose their primaries at the same time, and against a fencing
// token that two instances use.
func TestTwoGroupsLosePrimaries(t *testing.T) {
	f := newFleet(t, "agreste", "sertao", "litoral")
	f.addRecordsGroup()
	f.cluster.Crash("meals-agreste")
	f.cluster.Silence("records-sertao")
	for _, database := range []string{"bookings", "sheets"} {
		s := f.session(2, database)
		f.eventually("a write to "+database, func() bool { return s.write("plates", "1").OK() })
	}
	if n := f.cluster.Promotions(); n != 2 {
		t.Errorf("%d promotions, want 2", n)
	}
}

// Guards against a change of primary that is not completed because the instance that carries it out stops.
func TestPrimaryAndInstanceFailTogether(t *testing.T) {
	for victim := range 3 {
		t.Run(fmt.Sprint(victim), func(t *testing.T) {
			f := newFleet(t, "agreste", "sertao", "litoral")
			s := f.session((victim+1)%3, "bookings")
			f.cluster.Crash("meals-agreste")
			time.Sleep(time.Duration(victim) * 100 * time.Millisecond)
			f.nodes[victim].Stop()
			f.eventually("a write", func() bool { return s.write("plates", "1").OK() })
		})
	}
}

// Guards against a promotion without the promotion lease, against a change of primary that does not happen after an outage
// of the store, and against wrong reads during the outage.
func TestPrimaryFailsDuringStoreOutage(t *testing.T) {
	f := newFleet(t, "agreste", "sertao", "litoral")
	writer, reader := f.session(0, "bookings"), f.session(1, "tally")
	if a := writer.write("plates", "1"); !a.OK() {
		t.Fatalf("write: %+v", a)
	}
	f.cluster.SetStoreDown(true)
	f.cluster.Crash("meals-agreste")
	time.Sleep(1500 * time.Millisecond)
	if n := f.cluster.Promotions(); n != 0 {
		t.Errorf("%d promotions without the promotion lease, want none", n)
	}
	if a := reader.read("plates"); a.OK() && !slices.Equal(a.Rows, []string{"1"}) {
		t.Errorf("read %+v, want 1 or a refusal", a)
	}
	f.cluster.SetStoreDown(false)
	f.eventually("a write after the outage", func() bool { return writer.write("plates", "2").OK() })
}

// Guards against a group that waits for a promotion order that was lost.
func TestUnansweredPromotionIsRepeated(t *testing.T) {
	f := newFleet(t, "agreste", "sertao", "litoral")
	f.cluster.DelayOrders(1, time.Hour)
	f.cluster.Crash("meals-agreste")
	start := time.Now()
	f.eventually("another primary", func() bool { return f.cluster.Promotions() > 0 })
	if took := time.Since(start); took > 2500*time.Millisecond {
		t.Errorf("another primary after %v, want at most 2.5 s", took)
	}
}

// Guards against a promotion order that takes effect late and replaces the server that was promoted after it.
func TestLatePromotionIsSuperseded(t *testing.T) {
	f := newFleet(t, "agreste", "sertao", "litoral")
	f.cluster.DelayOrders(1, 6*time.Second)
	f.cluster.Crash("meals-agreste")
	f.eventually("another primary", func() bool { return f.cluster.Promotions() == 1 })
	second := f.cluster.Primary("meals")
	f.cluster.Crash(second)
	f.eventually("a third primary", func() bool { return f.cluster.Promotions() == 2 })
	f.cluster.Restart(second)
	third := f.cluster.Primary("meals")
	time.Sleep(5 * time.Second)
	if now := f.cluster.Primary("meals"); now != third {
		t.Errorf("primary %s after the late order, want %s", now, third)
	}
}
