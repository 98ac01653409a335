package daemon

import (
	"context"
	"time"
)

const (
	// reachTimeout bounds the read of the store when a caller has seen a newer configuration. The store answers a read
	// within a round trip between regions, or not at all.
	reachTimeout = 500 * time.Millisecond
	// reachWait is the wait for peers when the store does not answer.
	reachWait   = 300 * time.Millisecond
	reachRounds = 2
)

// reach brings the instance to a version of the configuration and reports whether it is there.
func (d *Daemon) reach(ctx context.Context, version uint64) bool {
	held := func() bool { return d.fleet.view().configurationVersion >= version }
	// A read that another caller started before the version was written does not show it; the next one does.
	for round := 0; round < reachRounds && !held() && ctx.Err() == nil; round++ {
		d.synchronise(ctx)
	}
	return held()
}

// synchronise reads the store, or asks peers if it does not answer. All callers at the same time share one read, so that
// callers with newer tokens cannot load the store.
func (d *Daemon) synchronise(ctx context.Context) {
	read := d.reaching.DoChan("configuration", func() (any, error) {
		// The end of one caller must not end the read of the others.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reachTimeout+reachWait)
		defer cancel()
		reading, stop := context.WithTimeout(ctx, reachTimeout)
		defer stop()
		if d.poll(reading) != nil {
			d.broadcast(ctx)
			d.wait(ctx, reachWait)
		}
		return nil, nil
	})
	select {
	case <-read:
	case <-ctx.Done():
	}
}
