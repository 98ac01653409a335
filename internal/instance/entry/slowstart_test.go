package entry_test

import (
	"testing"
	"time"

	"tanagercross/internal/fleet/catalog"
)

// Guards against servers that get their full share at once after a promotion, a restart or the end of an evacuation, and
// against slow starts where nothing asks for them.
func TestReasonsForASlowStart(t *testing.T) {
	for _, enabled := range []bool{true, false} {
		want := func(cause string) string {
			if enabled {
				return cause
			}
			return ""
		}
		f := newFleet(t, "agreste", "sertao")
		if enabled {
			f.configure(configuration(2, 100_000, keyText).WithGroup(catalog.Group{Name: "meals", ConnectionLimit: 40, ColdPeriod: time.Second}))
		}
		for _, id := range []string{"meals-agreste", "meals-sertao", "meals-litoral"} {
			if got := f.nodes[0].SlowStart(id); got != "" {
				t.Errorf("enabled %t: %s begins with a slow start because of %q, although nothing has happened", enabled, id, got)
			}
		}
		f.cluster.Crash("meals-agreste")
		f.eventually("another primary", func() bool { return f.cluster.Promotions() > 0 })
		l := f.cluster.Primary("meals")
		f.eventually("the leader in the view", func() bool { known, ok := f.nodes[0].Table().Leader("meals"); return ok && known.Server == l })
		f.eventually("the reason of the promotion", func() bool { return f.nodes[0].SlowStart(l) == want("promotion") })
		f.awaitUnlisted("meals-agreste")
		f.cluster.Restart("meals-agreste")
		f.eventually("the restarted server", func() bool { _, listed := f.nodes[0].Table().Servers().Server("meals-agreste"); return listed })
		f.eventually("the reason of the start", func() bool { return f.nodes[0].SlowStart("meals-agreste") == want("start") })
		f.cluster.Evacuate("litoral")
		f.learns("litoral", true, 0)
		f.cluster.WithdrawEvacuation("litoral")
		f.eventually("the reason of the evacuation", func() bool { return f.nodes[0].SlowStart("meals-litoral") == "evacuation" })
	}
}
