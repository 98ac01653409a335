package entry

import (
	"maps"
	"slices"
	"time"

	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/fleet/evacuation"
	"tanagercross/internal/fleet/relay"
	"tanagercross/internal/instance/metric"
	"tanagercross/internal/service/recovery"
)

// EvacuationsChanged implements view.Observer. The view is locked during the call, so that the rest runs later.
func (o *observer) EvacuationsChanged(before, after evacuation.Set) {
	for _, place := range after.Places() {
		if !before.Contains(place) {
			o.metrics.Count(metric.EvacuationsStarted)
			o.log.Info("data centre evacuated", "place", place)
		}
	}
	for _, place := range before.Places() {
		if !after.Contains(place) {
			o.log.Info("evacuation withdrawn", "place", place)
			go o.n.evacuationEnded(place)
		}
	}
	go o.n.evacuationsChanged()
}

// evacuationsChanged applies a change of the evacuations to the pools and passes it on at once: by the instance that reads
// for its region to the coordinators of all places, and by each coordinator to its place.
func (n *Node) evacuationsChanged() {
	defer recovery.Catch(n.observer.panicked("evacuation"))
	n.pools.evacuate()
	if n.gossip.readsForRegion(n.boot()) {
		n.gossip.notifyCoordinators()
	}
	n.gossip.notifyPlace()
}

// transactionsEnd returns when open transactions on the servers of a place are rolled back, if it is evacuated.
func (n *Node) transactionsEnd(place string) (time.Duration, bool) {
	e, ok := n.table.Evacuated(place)
	return evacuation.TransactionsEnd(e.Learnt, e.Confirmed, n.settings.EvacuationTimeout), ok
}

// evacuate closes what the pools of evacuated servers no longer need, and readmits the others. Calls are serialised, so that
// a pool is not marked for an evacuation that ended after it was read.
func (g *pools) evacuate() {
	g.evacuating.Lock()
	defer g.evacuating.Unlock()
	for id, o := range g.snapshot() {
		end, evacuated := g.n.transactionsEnd(o.server.Place)
		if !evacuated {
			o.pool.Readmit()
			continue
		}
		if rolledBack := o.pool.Evacuate(end); rolledBack > 0 {
			g.n.observer.metrics.Add(metric.EvacuationRollbacks, rolledBack)
			g.n.log.Info("transactions rolled back by evacuation", "server", id, "place", o.server.Place, "transactions", rolledBack)
		}
	}
}

// refuseEvacuated refuses a new statement at a server whose place is evacuated. The sender may not know of the evacuation
// yet; this instance is the last one that can hold the statement back.
func (g *pools) refuseEvacuated(s catalog.Server, c statement.Call) (statement.Answer, bool) {
	if c.Step == statement.Next || c.Step == statement.End {
		return statement.Answer{}, false
	}
	_, evacuated := g.n.table.Evacuated(s.Place)
	return statement.Refused(statement.Busy, "the data centre "+s.Place+" is evacuated"), evacuated
}

// hasSuccessor reports whether a server that could follow a group's primary is listed outside of the evacuated places.
func (g *failover) hasSuccessor(group, primary string) bool {
	for _, s := range g.n.table.Servers().InGroup(group) {
		if s.ID != primary && !g.evacuated(s) {
			return true
		}
	}
	return false
}

// evacuated reports whether the place of a server is evacuated.
func (g *failover) evacuated(s catalog.Server) bool {
	_, ok := g.n.table.Evacuated(s.Place)
	return ok
}

// departing reports whether a primary is to be replaced in the planned way: it is leaving, or its place is evacuated and
// another server can follow it.
func (g *failover) departing(s catalog.Server) bool {
	return s.Leaving || g.evacuated(s) && g.hasSuccessor(s.Group, s.ID)
}

// demotionDue reports whether a departing primary is to be demoted now, after it has been departing for some time. The
// transactions on an evacuated one go on for their time; its holder reports when there are none.
func (g *failover) demotionDue(s catalog.Server, departingFor time.Duration) bool {
	end, evacuated := g.n.transactionsEnd(s.Place)
	if evacuated && !s.Leaving {
		return g.n.boot() >= end
	}
	return departingFor > demoteDelay
}

// reportVacated reports the evacuated primaries that this instance is the first holder of and that have no open transaction
// to their failover coordinators, which replace them without waiting for the end of the transactions.
func (g *pools) reportVacated(now time.Duration) {
	for _, group := range g.n.table.Configuration().Groups() {
		l, known := g.n.table.Leader(group)
		s, listed := g.n.table.Servers().Server(l.Server)
		e, evacuated := g.n.table.Evacuated(s.Place)
		if !known || !listed || !evacuated || now-e.Learnt < demoteDelay {
			continue
		}
		if m, ok := g.n.table.FirstHolder(now, s.ID, s.Place); !ok || m.Name != g.n.settings.Name {
			continue
		}
		departing := g.n.failover.departing(s)
		g.noteStranded(s, !departing)
		if departing && !g.hasTransactions(s.ID) {
			g.n.failover.report(now, relay.PrimaryChange{Group: group, Primary: s.ID, Planned: true})
		}
	}
}

// noteStranded logs when an evacuated primary has no server elsewhere that can follow it.
func (g *pools) noteStranded(s catalog.Server, stranded bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if stranded && !g.stranded[s.ID] {
		g.n.log.Warn("evacuated primary has no successor", "group", s.Group, "server", s.ID, "place", s.Place)
	}
	if stranded {
		g.stranded[s.ID] = true
		return
	}
	delete(g.stranded, s.ID)
}

// noteEmptyPlaces logs once for each evacuation that no server is listed in its place, because the name may be wrong. Servers
// that are removed later are not reported.
func (g *pools) noteEmptyPlaces() {
	if _, read, _ := g.n.table.ReadTimes(); read == 0 {
		return
	}
	places, servers := g.n.table.Evacuations(), g.n.table.Servers().All()
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.checkedPlaces, func(place string, _ bool) bool { return !slices.Contains(places, place) })
	for _, place := range places {
		inPlace := func(s catalog.Server) bool { return s.Place == place }
		if !g.checkedPlaces[place] && !slices.ContainsFunc(servers, inPlace) {
			g.n.log.Warn("evacuated data centre has no server", "place", place)
		}
		g.checkedPlaces[place] = true
	}
}

// hasTransactions reports whether a server has an open transaction here.
func (g *pools) hasTransactions(server string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	o := g.byServer[server]
	if o == nil {
		return false
	}
	_, transactions, _, _ := o.pool.Counts()
	return transactions > 0
}

// maintainEvacuations is called at the interval of the pools.
func (g *pools) maintainEvacuations(now time.Duration) {
	g.evacuate()
	g.noteEmptyPlaces()
	if len(g.n.table.Evacuations()) > 0 {
		g.reportVacated(now)
	}
}
