package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"tanagercross/internal/fleet/roster"
	"tanagercross/internal/fleet/view"
	"tanagercross/internal/instance/clock"
)

// Intervals of reads of the store. The coordinator of one place reads for all instances of its region, because each call
// is paid for.
const (
	configurationPollTimeout = 1200 * time.Millisecond // of one call that waits for a change of the configuration
	serversReadInterval      = 2 * time.Second
	membersReadInterval      = 10 * time.Second
	readTimeout              = time.Second
	readRetryDelay           = 400 * time.Millisecond // after a failed read
	idlePollInterval         = 150 * time.Millisecond
	// startupRepeatInterval is the time after which a restarting instance repeats its first read even if the read before is
	// not answered. After an outage the store answers only calls that arrive after its return, and callers are waiting.
	startupRepeatInterval = 250 * time.Millisecond
	startupPollInterval   = 5 * time.Millisecond
	// startupRepeatWindow is how long after its start an instance repeats reads like this. Most outages end sooner, and
	// each call is paid for.
	startupRepeatWindow = 5 * time.Second
	// maxReadRetryDelay bounds the delay that doubles with each failed read of an instance that is not a coordinator.
	maxReadRetryDelay = 3200 * time.Millisecond
	// staleConfiguration and staleServers are the ages past which an instance reads them although another one reads for it.
	// Servers are read every 2 s and take two exchanges. staleRankDelay is added for each instance that ranks higher, so
	// that not all instances of a place read at once.
	staleConfiguration = 2800 * time.Millisecond
	staleServers       = 3500 * time.Millisecond
	// regionDelay is added to both where one place reads for another: a copy is then older by an exchange between the two
	// coordinators. The configuration of the reader itself is up to two polls old.
	regionDelay    = 700 * time.Millisecond
	staleRankDelay = 250 * time.Millisecond
	takeoverTime   = 5 * time.Second
	announceSpread = time.Second // of the rows that instances write again after the store came back from a copy
	// memberExpiry is how long an instance must not have been seen before its row is removed from the store.
	memberExpiry = 12 * time.Second
)

// shouldRead reports whether this instance is to read a document from the store. asOf is the moment at which its copy was
// last known to be current, 0 if it has none, and limit its age past which it is stale. A coordinator whose copy is stale
// reads for takeoverTime, because the one that reads for the region may be cut off from the store.
func (n *Node) shouldRead(asOf, limit time.Duration) bool {
	now := n.boot()
	if n.gossip.readsForRegion(now) || now < time.Duration(n.readsUntil.Load()) {
		return true
	}
	rank := 0
	for i, m := range n.table.Coordinators(n.settings.Place) {
		if m.Name == n.settings.Name {
			rank = i
		}
	}
	if asOf == 0 && !n.settings.FirstStart {
		return true // callers are waiting for a restarting instance
	}
	if n.gossip.regionHasOtherPlaces() {
		limit += regionDelay
	}
	stale := now-max(asOf, n.gossip.started) > limit+time.Duration(rank)*staleRankDelay
	if stale && n.gossip.isCoordinator() {
		n.readsUntil.Store(int64(now + takeoverTime))
	}
	return stale
}

// readMembers writes the row of this instance, reads the member list, and then reads it periodically while this instance is
// the coordinator. It returns when the context ends.
func (n *Node) readMembers(ctx context.Context) {
	// The list is read after the own row is written, so that of two instances that start together at least one sees the
	// other. A restarting instance also reads it at once, because most rows of the others exist already.
	if !n.settings.FirstStart {
		n.awaitConfiguration(ctx)
		n.spawn(func() { n.readMembersOnce(ctx) })
	}
	for !n.writeOwnMember(ctx) {
		if !clock.Sleep(ctx, readRetryDelay) {
			return
		}
	}
	n.readMembersOnce(ctx)
	removal := n.boot()
	announced := n.table.Generation()
	for {
		announced = n.announceAgain(ctx, announced)
		if n.boot()-removal > membersReadInterval {
			removal = n.boot()
			n.removeExpiredMembers(ctx)
		}
		_, _, read := n.table.ReadTimes()
		if read == 0 && !clock.Sleep(ctx, readRetryDelay) {
			return
		}
		if read == 0 || n.gossip.readsForRegion(n.boot()) && n.boot()-read > membersReadInterval {
			n.readMembersOnce(ctx)
		}
		if !clock.Sleep(ctx, readRetryDelay) {
			return
		}
	}
}

// announceAgain writes the row of this instance again after the store has come back from an older copy, which may lack it. It
// returns the generation of the store in which the row was written last. The writes of the instances are spread over
// announceSpread.
func (n *Node) announceAgain(ctx context.Context, announced uint64) uint64 {
	generation := n.table.Generation()
	if generation <= announced {
		return announced
	}
	n.log.Info("store came back from a copy", "generation", generation, "before", announced)
	if !clock.Sleep(ctx, rand.N(announceSpread)) || !n.writeOwnMember(ctx) {
		return announced
	}
	return generation
}

// writeOwnMember writes the row of this instance and reports whether that succeeded. After a failure it reads the member
// list, which is useful even without the own row.
func (n *Node) writeOwnMember(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	err := n.options.Store.Announce(call, roster.Member{
		Name: n.settings.Name, Address: n.settings.PeersAddress, Place: n.settings.Place, Power: n.settings.Power,
	})
	n.observer.dependency("store members", err)
	if err != nil {
		n.readMembersOnce(ctx)
	}
	return err == nil
}

// readMembersOnce reads the member list into the view. An error is logged, and the present list stays.
func (n *Node) readMembersOnce(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	started := n.boot()
	rows, err := n.options.Store.Members(call)
	n.observer.dependency("store members", err)
	if err != nil {
		return
	}
	rows.ReadAt = started
	n.table.SetMembers(rows)
}

// removeExpiredMembers removes the rows of instances of the own place that were not seen for memberExpiry. Only an instance
// that has been the coordinator for that long does so.
func (n *Node) removeExpiredMembers(ctx context.Context) {
	now := n.boot()
	if !n.gossip.isCoordinator() || now-n.gossip.coordinatorSince() < memberExpiry {
		return
	}
	for _, m := range n.table.Coordinators(n.settings.Place) {
		version, listed := n.table.MemberRowVersion(m.Name)
		if m.Name == n.settings.Name || !listed || now-n.table.LastSeen(m.Name) < memberExpiry {
			continue
		}
		call, cancel := context.WithTimeout(ctx, readTimeout)
		err := n.options.Store.Forget(call, m.Name, version)
		cancel()
		n.log.Info("member removed", "member", m.Name, "silent_ms", (now - n.table.LastSeen(m.Name)).Milliseconds(), "error", errorText(err))
	}
}

// awaitConfiguration waits until a restarting instance has its configuration, at most startupRepeatWindow, so that only the
// read of the configuration is repeated while the store does not answer, and the other reads follow at once.
func (n *Node) awaitConfiguration(ctx context.Context) {
	for end := n.boot() + startupRepeatWindow; n.boot() < end && clock.Sleep(ctx, startupPollInterval); {
		if read, _, _ := n.table.ReadTimes(); read > 0 {
			return
		}
	}
}

// firstConfiguration reads the configuration at a restart, while callers wait for it. It repeats the read every
// startupRepeatInterval and returns no row if another instance has sent the configuration meanwhile.
func (n *Node) firstConfiguration(ctx context.Context) (view.OperatorRows, error) {
	ctx, stop := context.WithTimeout(ctx, n.gossip.started+startupRepeatWindow-n.boot())
	defer stop()
	return clock.Repeat(ctx, startupRepeatInterval, func(ctx context.Context) (view.OperatorRows, error) {
		call, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		if known, _, _ := n.table.ReadTimes(); known > 0 {
			return view.OperatorRows{}, nil // received from another instance
		}
		started := n.boot()
		rows, err := n.options.Store.Configuration(call)
		if ctx.Err() == nil {
			n.observer.dependency("store configuration", err)
		}
		rows.Configuration.ReadAt = started
		return rows, err
	})
}

// sleepAfterReads waits after a number of failed reads in a row. While the store is down, the coordinator tries often, so
// that its return is noticed; the others back off, because each call is paid for and most would fail alike.
func (n *Node) sleepAfterReads(ctx context.Context, failed int) {
	delay := readRetryDelay
	if !n.gossip.isCoordinator() {
		delay = min(readRetryDelay<<min(failed, 8), maxReadRetryDelay)
	}
	clock.Sleep(ctx, delay)
}

// readConfiguration keeps the configuration current while shouldRead says so, until the context ends.
func (n *Node) readConfiguration(ctx context.Context) {
	after := uint64(0) // version after which changes are awaited; 0 to read the row first
	failed := 0
	for ctx.Err() == nil {
		read, _, _ := n.table.ReadTimes()
		if !n.shouldRead(read, staleConfiguration) {
			after = 0
			clock.Sleep(ctx, idlePollInterval)
			continue
		}
		next, err := n.followConfiguration(ctx, after)
		n.observer.dependency("store configuration", err)
		after = next
		if failed++; err == nil {
			failed = 0
			continue
		}
		n.sleepAfterReads(ctx, failed)
	}
}

// followConfiguration makes one call for the configuration: it waits for a change after a version, or reads the row if
// after is 0. It returns the version to continue from, 0 to read the row again.
func (n *Node) followConfiguration(ctx context.Context, after uint64) (uint64, error) {
	started := n.boot()
	var rows view.OperatorRows
	var err error
	known, _, _ := n.table.ReadTimes()
	switch {
	case after > 0:
		call, cancel := context.WithTimeout(ctx, configurationPollTimeout+readTimeout/2)
		defer cancel()
		rows, err = n.options.Store.AwaitConfiguration(call, after, configurationPollTimeout)
		rows.Configuration.ReadAt = started
	case known == 0 && !n.settings.FirstStart && n.boot() < n.gossip.started+startupRepeatWindow:
		rows, err = n.firstConfiguration(ctx)
	default:
		call, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		rows, err = n.options.Store.Configuration(call)
		rows.Configuration.ReadAt = started
	}
	if errors.Is(err, ErrCompacted) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	n.table.SetEvacuations(n.boot(), rows.Evacuations)
	n.table.SetConfiguration(rows.Configuration)
	for _, row := range rows.Ignored {
		n.observer.RowIgnored(row.Key, row.Reason)
	}
	return max(after, rows.Configuration.Version), nil
}

// readServers reads the server rows periodically while shouldRead says so, and at once when the failover coordinator
// requests it. It returns when the context ends.
func (n *Node) readServers(ctx context.Context) {
	if !n.settings.FirstStart {
		n.awaitConfiguration(ctx)
	}
	failed := 0
	for ctx.Err() == nil {
		_, read, _ := n.table.ReadTimes()
		due := n.shouldRead(read, staleServers) && n.boot()-read >= serversReadInterval
		if !due && !n.failover.takeRefreshRequest() {
			clock.Sleep(ctx, idlePollInterval/2)
			continue
		}
		if failed++; n.readServersOnce(ctx) == nil {
			failed = 0
			continue
		}
		n.sleepAfterReads(ctx, failed)
	}
}

// readServersOnce reads the server rows into the view.
func (n *Node) readServersOnce(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	started := n.boot()
	rows, err := n.options.Store.Servers(call)
	n.observer.dependency("store servers", err)
	if err != nil {
		return err
	}
	rows.ReadAt = started
	n.table.SetServers(n.boot(), rows)
	return nil
}

// errorText returns the text of an error for a log field, empty if there is none.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
