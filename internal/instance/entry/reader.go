package entry

import (
	"context"
	"errors"
	"time"

	"tanagercross/internal/fleet/roster"
	"tanagercross/internal/fleet/view"
	"tanagercross/internal/instance/clock"
)

// Pace of reads. One instance of each place reads for the others; calls are paid one by one.
const (
	configurationWait = 1200 * time.Millisecond // of one call that waits for a change
	serversPeriod     = 2 * time.Second
	membersPeriod     = 10 * time.Second
	readTimeout       = time.Second
	readRetry         = 400 * time.Millisecond // after a failed read
	idleCheck         = 150 * time.Millisecond
	// firstRepeat is the pause after which an instance that starts again repeats its first read although the one before
	// is not answered: a store that was silent answers only calls that reach it after its return, and callers wait.
	firstRepeat = 250 * time.Millisecond
	firstCheck  = 5 * time.Millisecond
	// firstFor is how long after its start an instance does so: most outages end sooner, and calls are paid.
	firstFor = 5 * time.Second
	// staleAfter is the age of a document past which an instance reads it itself; a further step for each instance that
	// comes before it keeps all of a place from reading at once.
	staleAfter = 2200 * time.Millisecond
	staleStep  = 250 * time.Millisecond
	// memberLostAfter is the silence after which the row of an instance is removed.
	memberLostAfter = 12 * time.Second
)

// reads reports whether this instance is to read a document that it last knew to be current at a moment.
func (n *Node) reads(asOf time.Duration) bool {
	if n.exchanges.steward() {
		return true
	}
	rank := 0
	for i, m := range n.table.Coordinators(n.settings.Place) {
		if m.Name == n.settings.Name {
			rank = i
		}
	}
	if asOf == 0 && !n.settings.FirstStart {
		return true // callers wait for an instance that starts again
	}
	return n.boot()-max(asOf, n.exchanges.started) > staleAfter+time.Duration(min(rank, 4))*staleStep
}

// readMembers announces this instance and learns of the others.
func (n *Node) readMembers(ctx context.Context) {
	// The list is read after the own row is written: of two instances that start together one sees the other. An
	// instance that starts again knows the others sooner if it reads the list at once.
	if !n.settings.FirstStart {
		n.awaitStore(ctx)
		n.spawn(func() { n.readMembersOnce(ctx) })
	}
	for !n.announce(ctx) {
		if !clock.Sleep(ctx, readRetry) {
			return
		}
	}
	n.readMembersOnce(ctx)
	for {
		_, _, read := n.table.ReadTimes()
		if read == 0 && !clock.Sleep(ctx, readRetry) {
			return
		}
		if read == 0 || n.exchanges.steward() && n.boot()-read > membersPeriod {
			n.readMembersOnce(ctx)
		}
		if !clock.Sleep(ctx, readRetry) {
			return
		}
	}
}

func (n *Node) announce(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	err := n.options.Store.Announce(call, roster.Member{
		Name: n.settings.Name, Address: n.settings.PeersAddress, Place: n.settings.Place, Power: n.settings.Power,
	})
	n.observer.dependency("store members", err)
	if err != nil {
		// The list of members is useful even if the own row could not be written.
		n.readMembersOnce(ctx)
	}
	return err == nil
}

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
	n.forgetLost(ctx)
}

// forgetLost removes rows of instances of the own place that were not heard for long.
func (n *Node) forgetLost(ctx context.Context) {
	now := n.boot()
	if !n.exchanges.steward() || now-n.exchanges.began() < memberLostAfter {
		return
	}
	for _, m := range n.table.Coordinators(n.settings.Place) {
		version, listed := n.table.MemberRowVersion(m.Name)
		if m.Name == n.settings.Name || !listed || now-n.table.LastSeen(m.Name) < memberLostAfter {
			continue
		}
		call, cancel := context.WithTimeout(ctx, readTimeout)
		err := n.options.Store.Forget(call, m.Name, version)
		cancel()
		n.log.Info("member removed", "member", m.Name, "silent_ms", (now - n.table.LastSeen(m.Name)).Milliseconds(), "error", errorText(err))
	}
}

// awaitStore waits until an instance that starts again has its configuration, so that only one kind of call is repeated
// while the store does not answer.
func (n *Node) awaitStore(ctx context.Context) {
	for end := n.boot() + joinWait; n.boot() < end && clock.Sleep(ctx, firstCheck); {
		if read, _, _ := n.table.ReadTimes(); read > 0 {
			return
		}
	}
}

// firstConfiguration reads the configuration while callers wait for it.
func (n *Node) firstConfiguration(ctx context.Context) (view.Rows, error) {
	ctx, stop := context.WithTimeout(ctx, n.exchanges.started+firstFor-n.boot())
	defer stop()
	return clock.Repeat(ctx, firstRepeat, func(ctx context.Context) (view.Rows, error) {
		call, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		if known, _, _ := n.table.ReadTimes(); known > 0 {
			return view.Rows{}, nil // another instance has told
		}
		started := n.boot()
		rows, err := n.options.Store.Configuration(call)
		if ctx.Err() == nil {
			n.observer.dependency("store configuration", err)
		}
		rows.ReadAt = started
		return rows, err
	})
}

// readConfiguration follows the configuration while it is this instance's turn.
func (n *Node) readConfiguration(ctx context.Context) {
	following := uint64(0) // version after which changes are awaited; 0 to read the row first
	for ctx.Err() == nil {
		read, _, _ := n.table.ReadTimes()
		if !n.reads(read) {
			following = 0
			clock.Sleep(ctx, idleCheck)
			continue
		}
		next, err := n.followConfiguration(ctx, following)
		n.observer.dependency("store configuration", err)
		following = next
		if err != nil {
			clock.Sleep(ctx, readRetry)
		}
	}
}

func (n *Node) followConfiguration(ctx context.Context, after uint64) (uint64, error) {
	started := n.boot()
	var rows view.Rows
	var err error
	known, _, _ := n.table.ReadTimes()
	switch {
	case after > 0:
		call, cancel := context.WithTimeout(ctx, configurationWait+readTimeout/2)
		defer cancel()
		rows, err = n.options.Store.AwaitConfiguration(call, after, configurationWait)
		rows.ReadAt = started
	case known == 0 && !n.settings.FirstStart && n.boot() < n.exchanges.started+firstFor:
		rows, err = n.firstConfiguration(ctx)
	default:
		call, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		rows, err = n.options.Store.Configuration(call)
		rows.ReadAt = started
	}
	if errors.Is(err, ErrCompacted) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	n.table.SetConfiguration(rows)
	return max(after, rows.Version), nil
}

// readServers reads the servers' rows while it is this instance's turn, and at once when a leader is in doubt.
func (n *Node) readServers(ctx context.Context) {
	if !n.settings.FirstStart {
		n.awaitStore(ctx)
	}
	for ctx.Err() == nil {
		_, read, _ := n.table.ReadTimes()
		due := n.reads(read) && n.boot()-read >= serversPeriod
		if !due && !n.guard.wantsServers() {
			clock.Sleep(ctx, idleCheck/2)
			continue
		}
		if err := n.readServersOnce(ctx); err != nil {
			clock.Sleep(ctx, readRetry)
		}
	}
}

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

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
