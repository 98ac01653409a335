package daemon

import (
	"context"
	"time"

	"tanagercross/internal/database/pool"
	"tanagercross/internal/request/execution"
	"tanagercross/internal/session/outcome"
)

const (
	recordsTick = time.Second
	// recordsPeriod is the least time between two batches of an organisation in a group.
	recordsPeriod = time.Minute
	// recordsBatch bounds the time for which a removal keeps an organisation's other writes waiting. It allows 166 writes
	// of an organisation per second and group to be removed as fast as they come.
	recordsBatch   = 10_000
	recordsTimeout = 5 * time.Second
	// removalLane is the lane whose holder removes the records of a primary.
	removalLane = 0
)

// removal decides when the records of the groups are due. It is used by one goroutine.
type removal struct {
	due map[string]time.Time // by group, while this instance holds the lane of its primary
}

// isDue reports whether a group's records are to be removed now. The first time is a period after the lane was taken, so
// that a change of the holder leaves a period between two batches.
func (r *removal) isDue(group string, holds bool, now time.Time) bool {
	if !holds {
		delete(r.due, group)
		return false
	}
	due, ok := r.due[group]
	if ok && now.Before(due) {
		return false
	}
	if r.due == nil {
		r.due = map[string]time.Time{}
	}
	r.due[group] = now.Add(recordsPeriod)
	return ok
}

// runRecords removes records of requests that are too old to be asked for again.
func (d *Daemon) runRecords(ctx context.Context) {
	var r removal
	for range d.ticks(ctx, recordsTick) {
		view := d.table.View()
		for _, name := range view.Names() {
			g, _ := view.Group(name)
			lane := pool.LaneID{Server: g.Primary, Lane: removalLane}
			if r.isDue(name, g.Primary != "" && d.pool.HoldsLane(lane), d.clock.Now()) {
				d.removeRecords(ctx, lane, g.Term)
			}
		}
	}
}

// removeRecords removes one batch of each organisation at the primary of a term.
func (d *Daemon) removeRecords(ctx context.Context, lane pool.LaneID, term uint64) {
	before := execution.OldestRecord(time.Now())
	for _, organisation := range d.fleet.view().organisations {
		ctx, cancel := context.WithTimeout(ctx, recordsTimeout)
		reply := d.pool.RemoveRecords(ctx, lane, term, organisation, before, recordsBatch)
		cancel()
		switch {
		case reply.Verdict.Outcome != outcome.Done:
			d.log.Info("request records not removed", "server", lane.Server, "organisation", organisation,
				"reason", string(reply.Verdict.Reason))
		case reply.Result.RowsAffected > 0:
			d.log.Info("request records removed", "server", lane.Server, "organisation", organisation,
				"records", reply.Result.RowsAffected)
		}
	}
}
