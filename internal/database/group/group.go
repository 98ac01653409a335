// Package group keeps an instance's knowledge of all groups of database servers: their primaries, and the reachability,
// log positions and data age of their servers.
//
// One goroutine owns a Table and updates it with server lists, statuses from probes and from other instances, positions
// returned with replies, and announced primaries. Requests read the View at any time from any goroutine without locks.
//
// The term of a group is the newest term that is known to have had a primary: a server reported that role or follows
// that primary, or has a log entry of the term. It never decreases. A term that was only promised does not count,
// because a fence without a later promotion would otherwise make every replica look out of date.
//
// The age of a replica's data is derived from samples of the primary: "the primary was at or before this position at
// this time". A sample counts once a majority of servers has promised no newer term in statuses requested after it.
// Without that rule an instance that reaches only a replaced primary and a replica of it would consider old data fresh.
//
// # Usage
//
//	table := group.NewTable()
//	table.SetGroups(list)
//	requestedAt := clock.Now()
//	status, err := conn.Status(ctx)
//	table.ObserveStatus(status, requestedAt, clock.Now())
//	state, ok := table.View().Group("meals-1")
package group

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"tanagercross/internal/database/driver"
)

// Group is a group of database servers in the platform's list.
type Group struct {
	Name    string
	Servers []driver.Server
}

// Table holds the state of all groups. Only one goroutine may update it; any goroutine may call View.
type Table struct {
	view   atomic.Pointer[View]
	groups map[string]string // server to group
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{groups: map[string]string{}}
	t.view.Store(&View{})
	return t
}

// View returns the current view.
func (t *Table) View() *View { return t.view.Load() }

// SetGroups replaces the list of groups and servers by the platform's list, the only source of the leaving marks. The
// observations of servers that stay are kept.
func (t *Table) SetGroups(list []Group) {
	old, next := t.View(), &View{groups: map[string]*atomic.Pointer[State]{}}
	t.groups = map[string]string{}
	for _, g := range list {
		pointer := old.groups[g.Name]
		state := &State{Name: g.Name}
		if pointer == nil {
			pointer = &atomic.Pointer[State]{}
		} else {
			*state = *pointer.Load()
		}
		known := *state
		state.Servers = nil
		for _, s := range g.Servers {
			server, _ := known.Server(s.Name)
			server.Server = s
			state.Servers = append(state.Servers, server)
			t.groups[s.Name] = g.Name
		}
		slices.SortFunc(state.Servers, func(a, b Server) int { return strings.Compare(a.Name, b.Name) })
		pointer.Store(state)
		next.groups[g.Name] = pointer
		next.names = append(next.names, g.Name)
	}
	slices.Sort(next.names)
	t.view.Store(next)
}

// ObserveStatus records a status that was requested at requestedAt and received now. For a status from another instance,
// requestedAt is now minus the status's age. Statuses may arrive out of order: one requested before the known one is
// ignored.
func (t *Table) ObserveStatus(status driver.Status, requestedAt, now time.Time) {
	t.updateGroup(status.Server, func(state *State, server *Server) {
		if requestedAt.Before(server.RequestedAt) {
			return
		}
		server.Role, server.Promised = status.Role, status.Term
		state.Promised = max(state.Promised, status.Term)
		switch {
		case status.Role == driver.Primary:
			state.advanceTerm(status.Term, status.Server)
		case status.Role == driver.Replica && status.Primary != "":
			state.advanceTerm(status.Term, status.Primary)
		}
		state.position(server, status.Last, requestedAt, now)
	})
}

// ObservePosition records a position that a server returned with a reply, unless one requested later is known.
func (t *Table) ObservePosition(server string, p driver.Position, requestedAt, now time.Time) {
	t.updateGroup(server, func(state *State, s *Server) {
		if !requestedAt.Before(s.RequestedAt) {
			state.position(s, p, requestedAt, now)
		}
	})
}

// RecordFailure records a failure to reach a server. The server counts as unreachable until its next answer.
func (t *Table) RecordFailure(server string, now time.Time) {
	t.updateGroup(server, func(_ *State, s *Server) { s.FailedAt = now })
}

// AnnouncePrimary records the primary of a term as reported by a watcher, another instance or the store. A term older
// than the known one is ignored.
func (t *Table) AnnouncePrimary(group string, term uint64, primary string) {
	pointer := t.View().groups[group]
	if pointer == nil {
		return
	}
	next := *pointer.Load()
	next.advanceTerm(term, primary)
	pointer.Store(&next)
}

// SetLoad sets the load of a server, as work in progress per slot.
func (t *Table) SetLoad(server string, load float64) {
	t.updateGroup(server, func(_ *State, s *Server) { s.Load = load })
}

// updateGroup applies f to a copy of the server's group and publishes the copy. A server that is not listed is ignored.
func (t *Table) updateGroup(server string, f func(*State, *Server)) {
	pointer := t.View().groups[t.groups[server]]
	if pointer == nil {
		return
	}
	next := *pointer.Load()
	next.Servers = slices.Clone(next.Servers)
	for i := range next.Servers {
		if next.Servers[i].Name == server {
			f(&next, &next.Servers[i])
		}
	}
	next.updateDataTimes()
	pointer.Store(&next)
}

// advanceTerm records a term that had a primary, and the primary's name if it is not empty. Older terms are ignored.
func (s *State) advanceTerm(term uint64, primary string) {
	if term > s.Term {
		// A sample of the old term that no majority confirmed may be from after the replacement of that primary.
		s.samples = s.samples.upTo(s.confirmedUntil)
		s.Term, s.Primary = term, primary
	}
	if term == s.Term && s.Primary == "" {
		s.Primary = primary
	}
	s.Promised = max(s.Promised, s.Term)
}

// position records a position that a server returned, and a sample if the server is the primary of the term.
func (s *State) position(server *Server, p driver.Position, requestedAt, now time.Time) {
	server.Position, server.RequestedAt, server.AnsweredAt, server.FailedAt = p, requestedAt, now, time.Time{}
	s.advanceTerm(p.Term, "")
	if server.Name == s.Primary && p.Term == s.Term {
		s.samples = s.samples.withSample(sample{at: requestedAt, position: p})
	}
}

// updateDataTimes derives the data time and the replication lag of each server. Servers that are not on the current term
// have neither.
func (s *State) updateDataTimes() {
	if c := s.majorityConfirmedAt(); c.After(s.confirmedUntil) {
		s.confirmedUntil = c
	}
	for i := range s.Servers {
		server := &s.Servers[i]
		if !s.OnCurrentTerm(*server) {
			server.DataTime, server.DataPosition, server.Lag = time.Time{}, driver.Position{}, 0
			continue
		}
		if m, ok := s.samples.lastNotAfter(server.Position, s.confirmedUntil); ok {
			server.DataTime, server.DataPosition = m.at, m.position
		}
		server.Lag = s.replicationLag(*server)
	}
}

// majorityConfirmedAt returns the latest time at which a majority is known to have promised no term above the group's,
// or zero if there is none.
func (s *State) majorityConfirmedAt() time.Time {
	requestTimes := make([]time.Time, 0, len(s.Servers))
	for _, server := range s.Servers {
		if server.Promised == s.Term {
			requestTimes = append(requestTimes, server.RequestedAt)
		}
	}
	majority := len(s.Servers)/2 + 1
	if len(requestTimes) < majority {
		return time.Time{}
	}
	slices.SortFunc(requestTimes, func(a, b time.Time) int { return b.Compare(a) })
	return requestTimes[majority-1]
}

// replicationLag estimates a server's replication delay: the time from the primary's passing the server's position until
// the server returned that position. It is 0 for the primary and for a server that has all sampled entries.
func (s *State) replicationLag(server Server) time.Duration {
	next := s.samples.firstAtOrAfter(driver.Position{Term: server.Position.Term, Index: server.Position.Index + 1})
	if server.Name == s.Primary || next == len(s.samples) {
		return 0
	}
	return max(0, server.RequestedAt.Sub(s.samples[next].at))
}
