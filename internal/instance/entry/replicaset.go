package entry

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/promotion"
	"tanagercross/internal/database/replicaset"
	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/fleet/view"
	"tanagercross/internal/instance/clock"
	"tanagercross/internal/service/recovery"
)

const (
	// replicaSetInterval is the time between two checks of a group's replica set, and replicaSetChangeInterval that while the
	// set differs from the listed servers or from its record.
	replicaSetInterval       = 5 * time.Second
	replicaSetChangeInterval = 2 * time.Second
	// missingMemberExpiry is how long a server must be missing, and not answer, before a set with a primary does without it. It is
	// longer than the row of a dead primary can be visible: the row expires after three heartbeats, and the list is up to two
	// seconds old.
	missingMemberExpiry = 8 * time.Second
)

// ReplicaSetRecord is the row of a group's replica set in the store.
type ReplicaSetRecord struct {
	Set      replicaset.Set
	Version  uint64 // of the row; 0 if there is none
	Outdated bool   // the set may lack changes, because the store has come back from an older copy since, or it is invalid
	Invalid  error  // why the row could not be decoded
}

// replicaSets keeps the replica sets of the groups with synchronous replicas. The failover coordinator of a group checks its set
// and records changes in the store, where the instance that changes the primary reads it: an instance that has just started
// knows no server that is missing from the list, and the list may be short.
type replicaSets struct {
	n *Node

	mu      sync.Mutex
	byGroup map[string]*knownSet
}

// knownSet is a replica set as this instance knows it.
type knownSet struct {
	set       replicaset.Set
	recorded  replicaset.Set // as it is in the store, by the last read or write of this instance
	complete  bool           // the set was read from the store, or the instance has known the group since the first start
	checkedAt time.Duration  // start of the last check; 0 to check at once
	checking  bool
}

func newReplicaSets(n *Node) *replicaSets {
	return &replicaSets{n: n, byGroup: map[string]*knownSet{}}
}

// known returns the state of a group. The caller holds the lock.
func (r *replicaSets) known(group string) *knownSet {
	k := r.byGroup[group]
	if k == nil {
		k = &knownSet{}
		r.byGroup[group] = k
	}
	return k
}

// seenMembers returns the listed servers of a group as members, and those that were listed so lately that they cannot have been
// dropped from the record; they may not have been recorded yet.
func (r *replicaSets) seenMembers(group string) []replicaset.Member {
	missing := r.n.table.MissingServers(group, missingMemberExpiry)
	var members []replicaset.Member
	for _, s := range slices.Concat(missing, r.n.table.Servers().InGroup(group)) {
		members = append(members, memberOf(s))
	}
	return members
}

// memberOf returns a server as a member of its group's replica set.
func memberOf(s catalog.Server) replicaset.Member {
	return replicaset.Member{ID: s.ID, Address: s.Address, Place: s.Place, StartedMS: s.StartedMS}
}

// read reads the record of a group and merges it with what this instance knows. What the instance knows counts only if the
// store has no record, or one that may lack later changes; otherwise members that another instance removed would come back.
func (r *replicaSets) read(ctx context.Context, group string) (ReplicaSetRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	record, err := r.n.options.Store.ReplicaSet(ctx, group)
	r.n.observer.dependency("store replica sets", err)
	if err != nil {
		return record, err
	}
	if record.Invalid != nil {
		r.n.observer.RowIgnored("replica set "+group, record.Invalid)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.known(group)
	k.recorded = record.Set
	if record.Version > 0 && !record.Outdated {
		k.complete = true
	} else {
		record.Set = record.Set.WithServers(k.set.Members())
		k.complete = k.complete || r.n.settings.FirstStart
	}
	record.Set = record.Set.WithServers(r.seenMembers(group)).WithPositions(k.set)
	k.set = record.Set
	return record, nil
}

// refresh reads the servers and the record of a group, and returns its replica set. It fails if the instance has just started and
// the store has no record that can be relied on: servers may be missing from the list that this instance does not know.
func (r *replicaSets) refresh(ctx context.Context, group string) (replicaset.Set, error) {
	servers := make(chan error, 1)
	go func() {
		err := context.Canceled
		defer func() { servers <- err }()
		defer recovery.Catch(r.n.observer.panicked("read of the servers"))
		err = r.n.readServersOnce(ctx)
	}()
	_, err := r.read(ctx, group)
	if serversErr := <-servers; serversErr != nil {
		return replicaset.Set{}, serversErr
	}
	if err != nil {
		return replicaset.Set{}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.known(group)
	k.set = k.set.WithServers(r.seenMembers(group))
	if !r.reliable(k) {
		return replicaset.Set{}, eris.Errorf("waiting for servers of %s that this instance does not know and that may report to the store", group)
	}
	return k.set, nil
}

// reliable reports whether a set has all servers that may hold commits. While an instance that has just started has no record,
// servers may still report to the store that it does not know. The caller holds the lock.
func (r *replicaSets) reliable(k *knownSet) bool {
	return k.complete || r.n.boot()-r.n.table.FirstServersRead() >= view.MissingServerGrace
}

// checkSoon makes the next check of a group start at once, because its primary has changed.
func (r *replicaSets) checkSoon(group string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.known(group).checkedAt = 0
}

// check starts a check of a group's replica set in the background if one is due.
func (r *replicaSets) check(now time.Duration, group string, syncReplicas int) {
	seen, listed := r.seenMembers(group), len(r.n.table.Servers().InGroup(group))
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.known(group)
	interval := replicaSetInterval
	if !k.set.WithServers(seen).Equal(k.recorded) || len(k.set.Members()) != listed {
		interval = replicaSetChangeInterval
	}
	if k.checking || k.checkedAt > 0 && now-k.checkedAt < interval {
		return
	}
	k.checking, k.checkedAt = true, now
	go func() {
		defer func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			k.checking = false
		}()
		defer recovery.Catch(r.n.observer.panicked("check of a replica set"))
		ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
		defer cancel()
		r.update(ctx, group, syncReplicas)
	}()
}

// update brings the replica set of a group up to date, and records it in the store if it has changed.
func (r *replicaSets) update(ctx context.Context, group string, syncReplicas int) {
	if !r.load(ctx, group) {
		return
	}
	confirm := r.confirmation(ctx, group, syncReplicas)
	next := r.apply(group, confirm)
	r.mu.Lock()
	changed := !next.Equal(r.known(group).recorded)
	r.mu.Unlock()
	if !changed {
		return
	}
	record, err := r.read(ctx, group)
	if err != nil {
		return
	}
	record.Set = r.apply(group, confirm)
	r.write(ctx, group, record)
}

// load reads the record of a group if this instance has not read one, and reports whether the set is reliable.
func (r *replicaSets) load(ctx context.Context, group string) bool {
	r.mu.Lock()
	complete := r.known(group).complete
	r.mu.Unlock()
	if !complete {
		if _, err := r.read(ctx, group); err != nil {
			return false
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reliable(r.known(group))
}

// apply applies a confirmation to the known set of a group, together with the servers that were seen, and returns the result.
func (r *replicaSets) apply(group string, confirm func(replicaset.Set) replicaset.Set) replicaset.Set {
	seen := r.seenMembers(group)
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.known(group)
	k.set = confirm(k.set.WithServers(seen))
	return k.set
}

// write records the replica set of a group. If another instance has changed the record meanwhile, the next check reads it.
func (r *replicaSets) write(ctx context.Context, group string, record ReplicaSetRecord) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	err := r.n.options.Store.PutReplicaSet(ctx, group, record)
	r.n.log.Info("replica set recorded", "group", group, "members", memberTexts(record.Set.Members()), "error", errorText(err))
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.known(group)
	k.recorded, k.complete = record.Set, true
}

// confirmation asks the servers of a group what they hold, and returns the change of the replica set that follows from their
// answers. Replicas that are found paused without a change in progress are reported to failover.
func (r *replicaSets) confirmation(ctx context.Context, group string, syncReplicas int) func(replicaset.Set) replicaset.Set {
	unchanged := func(s replicaset.Set) replicaset.Set { return s }
	g := r.n.failover
	l, known := r.n.table.Leader(group)
	primary, listed := r.n.table.Servers().Server(l.Server)
	if !known || !listed || primary.Role != driver.Primary {
		return unchanged
	}
	// The primary is asked first, so that its replicas can have received what it reports.
	lead, err := g.sendCommand(ctx, primary, reportTimeout, statement.Status{})
	if err != nil || lead.Role != driver.Primary || !clock.Sleep(ctx, catchUpPollInterval) {
		return unchanged
	}
	replicas := g.replicas(group, primary.ID)
	reports := g.queryServers(ctx, replicas, statement.Status{})
	g.notePaused(group, reports)
	var holdings []replicaset.Holding
	for _, s := range replicas {
		if n := slices.IndexFunc(reports, func(x promotion.Report) bool { return x.Server == s.ID }); n >= 0 {
			holdings = append(holdings, replicaset.Holding{Member: memberOf(s), Received: reports[n].Received})
		}
	}
	expired := r.expiredMembers(ctx, group)
	return func(s replicaset.Set) replicaset.Set {
		return s.WithConfirmed(replicaset.Holding{Member: memberOf(primary), Received: lead.Received}, holdings, syncReplicas,
			func(m replicaset.Member) bool { return s.StartedAgain(m) || slices.Contains(expired, m.ID) })
	}
}

// expiredMembers returns the members of a group that have been missing from the store for missingMemberExpiry and do not answer
// at their addresses. One that answers may be cut off the store only, and still receive commits and acknowledge them.
func (r *replicaSets) expiredMembers(ctx context.Context, group string) []string {
	r.mu.Lock()
	members := r.known(group).set.Members()
	r.mu.Unlock()
	var missing []catalog.Server
	for _, m := range members {
		if r.n.table.MissingFor(m.ID) >= missingMemberExpiry {
			missing = append(missing, memberServer(group, m))
		}
	}
	reports := r.n.failover.queryServers(ctx, missing, statement.Status{})
	var expired []string
	for _, s := range missing {
		if !slices.ContainsFunc(reports, func(x promotion.Report) bool { return x.Server == s.ID }) {
			expired = append(expired, s.ID)
		}
	}
	return expired
}

// memberServer returns a member as a server that commands can be sent to.
func memberServer(group string, m replicaset.Member) catalog.Server {
	return catalog.Server{ID: m.ID, Group: group, Address: m.Address, Place: m.Place, StartedMS: m.StartedMS, Role: driver.Replica}
}

// memberTexts returns members in the form of the log.
func memberTexts(members []replicaset.Member) []string {
	texts := make([]string, 0, len(members))
	for _, m := range members {
		texts = append(texts, fmt.Sprintf("%s: started %d, holds %s", m.ID, m.StartedMS, m.Confirmed))
	}
	return texts
}
