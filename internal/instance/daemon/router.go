package daemon

import (
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/request/execution"
	"tanagercross/internal/session/outcome"
	"tanagercross/internal/session/route"
)

// router chooses servers from the tables of groups; it implements execution.Router.
type router struct{ *Daemon }

// Known implements execution.Router.
func (r router) Known(group string) bool {
	_, ok := r.table.View().Group(group)
	return ok
}

// Read implements execution.Router.
func (r router) Read(q execution.Query) (execution.Choice, outcome.Reason) {
	g, ok := r.table.View().Group(q.Group)
	if !ok {
		return execution.Choice{}, outcome.GroupUnknown
	}
	now := r.clock.Now()
	read := route.Read{
		Mode: q.Mode, MaxAge: q.MaxAge, AtLeast: q.AtLeast, Place: r.settings.Place, Exclude: q.Excluded, Started: now,
	}
	if q.Waited {
		read.Started = now.Add(-time.Minute)
	}
	switch c := route.ChooseRead(g, read, now).(type) {
	case route.Serve:
		role := driver.Replica
		if c.Durable {
			role = driver.Primary
		}
		return execution.Choice{
			Server: c.Server, Role: role, Term: c.Term, AtLeast: c.AtLeast, Cause: c.Reason,
		}, ""
	case route.Wait:
		if q.Waited {
			return execution.Choice{}, c.Reason
		}
		return execution.Choice{Wait: c.Until.Sub(now)}, ""
	case route.Refuse:
		return execution.Choice{}, c.Reason
	}
	return execution.Choice{}, outcome.NoServer
}

// Write implements execution.Router.
func (r router) Write(group string) (execution.Choice, outcome.Reason) {
	g, ok := r.table.View().Group(group)
	if !ok {
		return execution.Choice{}, outcome.GroupUnknown
	}
	switch c := route.ChooseWrite(g, route.Write{}, r.clock.Now()).(type) {
	case route.Serve:
		return execution.Choice{Server: c.Server, Role: driver.Primary, Term: c.Term, Cause: c.Reason}, ""
	case route.Refuse:
		return execution.Choice{}, c.Reason
	}
	return execution.Choice{}, outcome.NoPrimary
}

// Term implements execution.Router.
func (r router) Term(group string) uint64 {
	g, ok := r.table.View().Group(group)
	if !ok {
		return 0
	}
	return g.Term
}

// Observe implements execution.Router.
func (r router) Observe(group, server string, p driver.Position) {
	r.tableEvents.Put(positionSeen{group: group, server: server, position: p, asked: r.clock.Now()})
}
