package pool

import (
	"testing"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/session/outcome"
)

// Guards against the deletion of records on a replaced primary, without the lane, beyond the batch limit, or on a server
// that is leaving.
func TestRemoveRecords(t *testing.T) {
	s := newFakeServer()
	for _, id := range []string{"1", "2", "3", "5"} {
		s.records[id] = driver.Record{RequestID: id}
	}
	p := newPoolWithLane(t, s, Options{}, 4, 2)
	held := LaneID{Server: server, Lane: 0}
	want(t, p.RemoveRecords(t.Context(), LaneID{Server: server, Lane: 1}, 1, "a", "4", 2), outcome.NotRun(outcome.LaneUnavailable))
	want(t, p.RemoveRecords(t.Context(), held, 2, "a", "4", 2), outcome.NotRun(outcome.PrimaryReplaced))
	for _, n := range []int64{2, 1, 0} {
		r := p.RemoveRecords(t.Context(), held, 1, "a", "4", 2)
		if want(t, r, done); r.Result.RowsAffected != n {
			t.Errorf("%d records removed, want %d", r.Result.RowsAffected, n)
		}
	}
	p.SetServerStates(ServerStates{server: Retiring})
	want(t, p.RemoveRecords(t.Context(), held, 1, "a", "9", 2), outcome.NotRun(outcome.LaneUnavailable))
	if len(s.records) != 1 {
		t.Errorf("records left: %v", s.records)
	}
}
