package daemon

import (
	"testing"
	"time"
)

// Guards against two batches of records within one period, also when the lane changes its holder.
func TestRemovalPeriod(t *testing.T) {
	var r removal
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		at    time.Duration
		holds bool
		want  bool
	}{
		{0, true, false},
		{recordsPeriod - 1, true, false},
		{recordsPeriod, true, true},
		{recordsPeriod + time.Second, true, false},
		{2 * recordsPeriod, true, true},
		{3 * recordsPeriod, false, false},
		{3*recordsPeriod + 1, true, false},
		{4 * recordsPeriod, true, false},
		{4*recordsPeriod + 1, true, true},
	} {
		if got := r.isDue("g", c.holds, start.Add(c.at)); got != c.want {
			t.Errorf("after %s, lane held %v: due %v", c.at, c.holds, got)
		}
	}
}
