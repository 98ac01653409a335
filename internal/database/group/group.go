// Package group keeps the tables of groups and servers and derives the view that requests read.
//
// One loop owns a Table and feeds it: lists, statuses from probes and from other instances, positions seen on replies,
// announced primaries. Requests read the View at any time from any goroutine without locks.
//
// The term of a group is the newest term that is known to have had a primary: a server reported that role or follows
// that primary, or has a log entry of the term. It never goes back. A term that was only promised does not count,
// because a fence that came to nothing would otherwise make every replica look out of date.
//
// The age of a replica's data comes from marks: "the primary was at or before this position at this time". A mark
// counts once a majority of servers, asked after it, still promised no newer term. Without that rule an instance that
// sees only a replaced primary and a replica of it would take old data for fresh data.
//
// # Usage
//
//	table := group.NewTable()
//	table.SetGroups(list)
//	asked := clock.Now()
//	status, err := conn.Status(ctx)
//	table.ObserveStatus(status, asked, clock.Now())
//	state, ok := table.View().Group("meals-1")
package group

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"tanagercross/internal/database/driver"
)

// Group is one group of the platform's list.
type Group struct {
	Name    string
	Servers []driver.Server
}

// Table holds what is known of all groups. One goroutine changes it; any may call View.
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

// SetGroups takes over the platform's list, which alone says who is leaving. What is known of servers that stay is kept.
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

// ObserveStatus takes a status that was asked for at asked and is known since now. For a status from another instance, asked
// is now less its age. Statuses may arrive out of order.
func (t *Table) ObserveStatus(status driver.Status, asked, now time.Time) {
	t.change(status.Server, func(state *State, server *Server) {
		if asked.Before(server.RequestedAt) {
			return
		}
		server.Role, server.Promised = status.Role, status.Term
		state.Promised = max(state.Promised, status.Term)
		switch {
		case status.Role == driver.Primary:
			state.newTerm(status.Term, status.Server)
		case status.Role == driver.Replica && status.Primary != "":
			state.newTerm(status.Term, status.Primary)
		}
		state.position(server, status.Last, asked, now)
	})
}

// ObservePosition takes a position from a reply of a server.
func (t *Table) ObservePosition(server string, p driver.Position, asked, now time.Time) {
	t.change(server, func(state *State, s *Server) {
		if !asked.Before(s.RequestedAt) {
			state.position(s, p, asked, now)
		}
	})
}

// RecordFailure takes a failure to reach a server. It counts until the next answer.
func (t *Table) RecordFailure(server string, now time.Time) {
	t.change(server, func(_ *State, s *Server) { s.FailedAt = now })
}

// AnnouncePrimary takes a primary that a watcher, another instance or the store names. An older term changes nothing.
func (t *Table) AnnouncePrimary(group string, term uint64, primary string) {
	pointer := t.View().groups[group]
	if pointer == nil {
		return
	}
	next := *pointer.Load()
	next.newTerm(term, primary)
	pointer.Store(&next)
}

// SetLoad sets the load of a server, as work in progress per slot.
func (t *Table) SetLoad(server string, load float64) {
	t.change(server, func(_ *State, s *Server) { s.Load = load })
}

// change applies f to a copy of the server's group and publishes the copy.
func (t *Table) change(server string, f func(*State, *Server)) {
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
	next.derive()
	pointer.Store(&next)
}

func (s *State) newTerm(term uint64, primary string) {
	if term > s.Term {
		// A mark of the old term that no majority confirmed may be from after the replacement of that primary.
		s.marks = s.marks.until(s.confirmedUntil)
		s.Term, s.Primary = term, primary
	}
	if term == s.Term && s.Primary == "" {
		s.Primary = primary
	}
	s.Promised = max(s.Promised, s.Term)
}

func (s *State) position(server *Server, p driver.Position, asked, now time.Time) {
	server.Position, server.RequestedAt, server.AnsweredAt, server.FailedAt = p, asked, now, time.Time{}
	s.newTerm(p.Term, "")
	if server.Name == s.Primary && p.Term == s.Term {
		s.marks = s.marks.with(mark{at: asked, position: p})
	}
}

// derive computes the data times and lags.
func (s *State) derive() {
	if c := s.confirmed(); c.After(s.confirmedUntil) {
		s.confirmedUntil = c
	}
	for i := range s.Servers {
		server := &s.Servers[i]
		if !s.OnCurrentTerm(*server) {
			server.DataTime, server.DataPosition, server.Lag = time.Time{}, driver.Position{}, 0
			continue
		}
		if m, ok := s.marks.lastWithin(server.Position, s.confirmedUntil); ok {
			server.DataTime, server.DataPosition = m.at, m.position
		}
		server.Lag = s.lag(*server)
	}
}

// confirmed returns the time up to which a majority is known to have promised no term above the group's.
func (s *State) confirmed() time.Time {
	asked := make([]time.Time, 0, len(s.Servers))
	for _, server := range s.Servers {
		if server.Promised == s.Term {
			asked = append(asked, server.RequestedAt)
		}
	}
	majority := len(s.Servers)/2 + 1
	if len(asked) < majority {
		return time.Time{}
	}
	slices.SortFunc(asked, func(a, b time.Time) int { return b.Compare(a) })
	return asked[majority-1]
}

// lag estimates the replication delay: how long before the server was asked the primary was at its position.
func (s *State) lag(server Server) time.Duration {
	next := s.marks.firstAt(driver.Position{Term: server.Position.Term, Index: server.Position.Index + 1})
	if server.Name == s.Primary || next == len(s.marks) {
		return 0
	}
	return max(0, server.RequestedAt.Sub(s.marks[next].at))
}
