package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"tanagercross/internal/fleet/relay"
	"tanagercross/internal/fleet/roster"
	"tanagercross/internal/fleet/view"
	"tanagercross/internal/instance/clock"
	"tanagercross/internal/service/recovery"
)

// Intervals of gossip.
const (
	gossipInterval = 300 * time.Millisecond
	joinInterval   = 40 * time.Millisecond // until the first answer
	// remoteInterval is the gossip interval between the coordinators of two places; traffic between regions is paid for.
	remoteInterval = 900 * time.Millisecond
	// regionInterval is the interval between the coordinators of two places of a region, of which one reads the store for
	// both.
	regionInterval = 400 * time.Millisecond
	// reportOverdue is the time since an instance of the place last called after which its coordinator calls it instead.
	reportOverdue = 700 * time.Millisecond
	// recheckInterval is the time between calls to instances that do not answer but rank higher as coordinator.
	recheckInterval = time.Second
	// joinTimeout is how long a new instance waits for an answer of another one before it continues alone.
	joinTimeout = 1500 * time.Millisecond
)

// gossip exchanges state with other instances. The instances of a place call one of them, the coordinator of the place.
// It reads the store for them, hands out the place's share of the rates, and exchanges state with the coordinators of the
// other places.
type gossip struct {
	n       *Node
	started time.Duration

	mu                sync.Mutex
	coordinating      bool // this instance is the coordinator of its place
	coordinatingSince time.Duration
	contacted         bool // an exchange with another instance of the place succeeded
	lastReceived      map[string]view.State
	called            map[string]callTimes
	inProgress        map[string]bool
}

// callTimes holds when an instance was called for the first and for the last time.
type callTimes struct{ first, last time.Duration }

func newGossip(n *Node) *gossip {
	return &gossip{
		n: n, started: n.boot(), lastReceived: map[string]view.State{}, called: map[string]callTimes{},
		inProgress: map[string]bool{},
	}
}

// isCoordinator reports whether this instance is the coordinator of its place.
func (e *gossip) isCoordinator() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.coordinating
}

// coordinatorSince returns the moment at which this instance became the coordinator of its place. It is meaningful only
// while the instance is the coordinator.
func (e *gossip) coordinatorSince() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.coordinatingSince
}

// joined reports whether another instance of the place has answered, or the instance continues alone, because none did
// within joinTimeout.
func (e *gossip) joined() bool {
	e.mu.Lock()
	contacted := e.contacted
	e.mu.Unlock()
	now := e.n.boot()
	return contacted || now-e.started > joinTimeout && !e.n.awaitsMembers(now)
}

// run calls tick periodically until the context ends.
func (e *gossip) run(ctx context.Context) {
	for {
		e.tick()
		pause := gossipInterval
		if !e.joined() {
			pause = joinInterval
		}
		if !clock.Sleep(ctx, pause) {
			return
		}
	}
}

// tick determines the coordinator of the place and starts the exchanges that are due. The coordinator is the instance
// that ranks highest among those that answer. Any other instance calls it at each tick, and rechecks silent instances that
// rank higher every recheckInterval. The coordinator calls overdue members and the coordinators of other places.
func (e *gossip) tick() {
	n, now := e.n, e.n.boot()
	if n.awaitsMembers(now) {
		return // no other instance is known yet
	}
	urgent := n.rates.tick(now)
	var targets []roster.Member
	coordinator := n.settings.Name
	for _, m := range n.table.Coordinators(n.settings.Place) {
		if m.Name == n.settings.Name {
			break
		}
		if !e.unresponsive(now, m.Name) {
			targets, coordinator = append(targets, m), m.Name
			break
		}
		if e.due(now, m.Name, recheckInterval) {
			targets = append(targets, m)
		}
	}
	coordinating := coordinator == n.settings.Name && !n.table.Self().Leaving
	e.setCoordinating(now, coordinating)
	if coordinating {
		targets = append(append(targets, e.overdueMembers(now)...), e.dueRemoteCoordinators(now, urgent)...)
	}
	for _, m := range targets {
		e.startExchange(m, coordinating)
	}
}

// unresponsive reports whether an instance of the place is suspected, leaving, or has not answered calls for AliveTimeout.
func (e *gossip) unresponsive(now time.Duration, name string) bool {
	return e.n.table.Suspected(now, name) || e.unansweredFor(now, name) > view.AliveTimeout
}

// unansweredFor returns for how long calls to an instance have not been answered; 0 if it was never called.
func (e *gossip) unansweredFor(now time.Duration, name string) time.Duration {
	e.mu.Lock()
	times, called := e.called[name]
	e.mu.Unlock()
	if !called {
		return 0
	}
	return now - max(times.first, e.n.table.LastSeen(name))
}

// due reports whether an instance was not called within the last period.
func (e *gossip) due(now time.Duration, name string, period time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	times, called := e.called[name]
	return !called || now-times.last >= period
}

// setCoordinating records whether this instance is the coordinator of its place, and prepares the rates if it becomes it.
func (e *gossip) setCoordinating(now time.Duration, coordinating bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if coordinating == e.coordinating {
		return
	}
	e.coordinating, e.coordinatingSince = coordinating, now
	if coordinating {
		e.n.rates.becomeCoordinator(now)
	}
	e.n.log.Info("steward of the place", "acting", coordinating)
}

// overdueMembers returns the instances of the place that have not called this coordinator for reportOverdue. They may be
// down, or call another coordinator because they do not know of this instance yet.
func (e *gossip) overdueMembers(now time.Duration) []roster.Member {
	var list []roster.Member
	for _, m := range e.n.table.Coordinators(e.n.settings.Place) {
		if m.Name != e.n.settings.Name && now-e.n.table.LastSeen(m.Name) > reportOverdue && e.due(now, m.Name, recheckInterval) {
			list = append(list, m)
		}
	}
	return list
}

// dueRemoteCoordinators returns the coordinators of other places that are to be called now. Between two places, the
// coordinator of the place whose name sorts first calls, since one exchange transfers state both ways; the other one
// calls only if it has not seen the first for three intervals. With urgent set, all are due.
func (e *gossip) dueRemoteCoordinators(now time.Duration, urgent bool) []roster.Member {
	var list []roster.Member
	for _, place := range e.n.table.Places() {
		if place == e.n.settings.Place {
			continue
		}
		period := e.exchangeInterval(place)
		if place < e.n.settings.Place {
			period *= 3
		}
		for _, m := range e.n.table.Coordinators(place) {
			if e.n.table.Suspected(now, m.Name) {
				continue
			}
			if urgent || e.due(now, m.Name, period) && (place > e.n.settings.Place || now-e.n.table.LastSeen(m.Name) > period) {
				list = append(list, m)
			}
			break
		}
	}
	return list
}

// exchangeInterval returns the interval of exchanges with the coordinator of another place.
func (e *gossip) exchangeInterval(place string) time.Duration {
	if e.n.settings.Regions.Same(place, e.n.settings.Place) {
		return regionInterval
	}
	return remoteInterval
}

// readsForRegion reports whether this instance reads the store for its region: it is the coordinator of the first place
// of the region, in alphabetical order, that has a live instance.
func (e *gossip) readsForRegion(now time.Duration) bool {
	if !e.isCoordinator() {
		return false
	}
	for _, place := range e.n.table.Places() {
		if place == e.n.settings.Place {
			break
		}
		if e.n.settings.Regions.Same(place, e.n.settings.Place) && e.placeAnswers(now, place) {
			return false
		}
	}
	return true
}

// regionHasOtherPlaces reports whether another place of the region has instances.
func (e *gossip) regionHasOtherPlaces() bool {
	return slices.ContainsFunc(e.n.table.Places(), func(place string) bool {
		return place != e.n.settings.Place && e.n.settings.Regions.Same(place, e.n.settings.Place)
	})
}

// placeAnswers reports whether an instance of another place answered a call or called lately.
func (e *gossip) placeAnswers(now time.Duration, place string) bool {
	return slices.ContainsFunc(e.n.table.Coordinators(place), func(m roster.Member) bool {
		seen := e.n.table.LastSeen(m.Name)
		return seen > 0 && now-seen < view.AliveTimeout && !e.n.table.Suspected(now, m.Name)
	})
}

// startExchange exchanges state with an instance in the background, unless a call of startExchange to it is in progress.
func (e *gossip) startExchange(m roster.Member, coordinator bool) {
	e.mu.Lock()
	if e.inProgress[m.Name] {
		e.mu.Unlock()
		return
	}
	e.inProgress[m.Name] = true
	times, called := e.called[m.Name]
	times.last = e.n.boot()
	if !called {
		times.first = times.last
	}
	e.called[m.Name] = times
	e.mu.Unlock()
	go func() {
		e.exchange(m, coordinator)
		e.mu.Lock()
		delete(e.inProgress, m.Name)
		e.mu.Unlock()
	}()
}

// exchange calls an instance, merges its answer into the view, and marks the instance as suspected if it does not answer.
// coordinator says whether this instance is the coordinator of its place.
func (e *gossip) exchange(m roster.Member, coordinator bool) {
	n := e.n
	defer recovery.Catch(n.observer.panicked("gossip"))
	now := n.boot()
	e.mu.Lock()
	has, ok := e.lastReceived[m.Name]
	e.mu.Unlock()
	if !ok {
		has = n.table.Versions() // so that no rows are sent
	}
	message := relay.Gossip{
		Sender: n.table.Presence(now), Rates: n.rates.localDemand(), State: n.table.Delta(now, has, m.Place), Steward: coordinator,
	}
	answer, err := n.client.Gossip(context.Background(), m.Address, message)
	now = n.boot()
	if err != nil {
		n.table.Suspect(now, m.Name)
		n.observer.peerUnreachable(m.Name, err)
		return
	}
	n.observer.peerReachable(m.Name)
	if n.table.LastSeen(m.Name) == 0 {
		n.table.MergePresence(view.Presence{Name: m.Name, Address: m.Address, Place: m.Place, LastSeen: 1})
	}
	if m.Place == n.settings.Place {
		n.rates.checkEarlierDemand(answer.Demands)
	} else {
		n.rates.acknowledged(m.Place, message.State.DemandOf(n.settings.Place).UpdatedAt)
	}
	n.table.Merge(now, answer) // before ClearSuspicion, because the answer may say that the instance is leaving
	n.table.ClearSuspicion(now, m.Name)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastReceived[m.Name] = answer
	if m.Place == n.settings.Place {
		e.contacted = true
	}
}

// notifyCoordinators exchanges state with the coordinators of all places at once, so that a change spreads without waiting
// for the next interval.
func (e *gossip) notifyCoordinators() {
	now := e.n.boot()
	for _, place := range e.n.table.Places() {
		for _, m := range e.n.table.Coordinators(place) {
			if m.Name == e.n.settings.Name || e.n.table.Suspected(now, m.Name) {
				continue
			}
			go e.exchange(m, e.isCoordinator())
			break
		}
	}
}

// notifyPlace exchanges state with all live instances of the place at once, if this instance is the coordinator.
func (e *gossip) notifyPlace() {
	if !e.isCoordinator() {
		return
	}
	now := e.n.boot()
	for _, m := range e.n.table.Coordinators(e.n.settings.Place) {
		if m.Name != e.n.settings.Name && now-e.n.table.LastSeen(m.Name) < view.AliveTimeout {
			go e.exchange(m, true)
		}
	}
}
