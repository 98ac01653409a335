package dispatch

import (
	"iter"

	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/fleet/residence"
	"tanagercross/internal/fleet/roster"
	"tanagercross/internal/fleet/view"
)

// eligibility decides which servers may run the statements of one request, and which instances may relay them.
type eligibility struct {
	table *view.Table
	homes residence.Homes
}

// eligibility returns that of a call on a database.
func (d *Dispatcher) eligibility(db catalog.Database, c statement.Call) eligibility {
	o, _ := d.table.Configuration().Organisation(c.Organisation)
	return eligibility{table: d.table, homes: residence.Of(db.HomeRegions, o.HomeRegions)}
}

// excludes returns the refusal of a request that no server may run whatever happens.
func (e eligibility) excludes(group string) (statement.Answer, bool) {
	if e.homes.Excluded() {
		return statement.Refused(statement.Busy, "the database and the organisation have no home region in common"), true
	}
	if !e.homes.Restricted() {
		return statement.Answer{}, false
	}
	servers := e.table.Servers().InGroup(group)
	for _, s := range servers {
		if e.atHome(s) {
			return statement.Answer{}, false
		}
	}
	return statement.Refused(statement.Busy, "no server is in a home region"), len(servers) > 0
}

// atHome reports whether a server is in a home region.
func (e eligibility) atHome(s catalog.Server) bool {
	return !e.homes.Restricted() || e.homes.Permit(e.table.Regions().Of(s.Place))
}

// permits reports whether a server may run a statement now.
func (e eligibility) permits(s catalog.Server) bool {
	_, evacuated := e.table.Evacuated(s.Place)
	return !evacuated && e.atHome(s)
}

// servers returns the servers of a group that may run a statement now.
func (e eligibility) servers(group string) []catalog.Server {
	all := e.table.Servers().InGroup(group)
	if !e.homes.Restricted() && len(e.table.Evacuations()) == 0 {
		return all
	}
	var permitted []catalog.Server
	for _, s := range all {
		if e.permits(s) {
			permitted = append(permitted, s)
		}
	}
	return permitted
}

// relays yields those of the instances that a statement may be sent through.
func (e eligibility) relays(instances iter.Seq[roster.Member]) iter.Seq[roster.Member] {
	if !e.homes.Restricted() {
		return instances
	}
	regions := e.table.Regions()
	own := regions.Of(e.table.Self().Place)
	return func(yield func(roster.Member) bool) {
		for m := range instances {
			if e.homes.PermitRelay(regions.Of(m.Place), own) && !yield(m) {
				return
			}
		}
	}
}

// refusal returns why the leader of a group may not run a statement, for the answer to the caller.
func (e eligibility) refusal(group string) statement.Answer {
	l, known := e.table.Leader(group)
	s, listed := e.table.Servers().Server(l.Server)
	switch {
	case !known || !listed:
		return statement.Refused(statement.Busy, "no primary is known")
	case !e.atHome(s):
		return statement.Refused(statement.Busy, "the primary is outside of the home regions")
	case !e.permits(s):
		return statement.Refused(statement.Busy, "the data centre of the primary is evacuated")
	}
	return statement.Refused(statement.Busy, "no primary is known")
}
