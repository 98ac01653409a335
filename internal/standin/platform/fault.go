package platform

import (
	"slices"
	"sync"
	"time"

	"tanagercross/internal/service/rest"
	"tanagercross/internal/service/store"
)

// Faults are the faults in force. It is also the JSON body of PUT /faults on the control port.
type Faults struct {
	Outage            bool  `json:"outage"`       // every call gets 503 without effect
	LatencyMS         int64 `json:"latency_ms"`   // added before each call
	LoseAnswers       int   `json:"lose_answers"` // number of commits whose answers are lost after the effect
	InstanceListLagMS int64 `json:"instance_list_lag_ms"`
}

// listing is a version of the instance list with the time from which it is true.
type listing struct {
	since     time.Time
	instances []rest.Instance
}

// state holds faults and lists, all settable at run time.
type state struct {
	mu       sync.Mutex
	faults   Faults
	groups   []rest.Group
	listings []listing
}

// SetFaults replaces all faults.
func (s *Server) SetFaults(f Faults) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.state.faults = f
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	return s.state.faults
}

func (s *Server) changeFaults(change func(*Faults)) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	change(&s.state.faults)
}

// SetOutage switches an outage on or off.
func (s *Server) SetOutage(on bool) { s.changeFaults(func(f *Faults) { f.Outage = on }) }

// SetLatency sets the latency added to each call.
func (s *Server) SetLatency(d time.Duration) {
	s.changeFaults(func(f *Faults) { f.LatencyMS = d.Milliseconds() })
}

// LoseCommitAnswers makes the next n commits take effect without an answer.
func (s *Server) LoseCommitAnswers(n int) { s.changeFaults(func(f *Faults) { f.LoseAnswers = n }) }

// SetInstanceListLag sets how old the instance list is that callers see.
func (s *Server) SetInstanceListLag(d time.Duration) {
	s.changeFaults(func(f *Faults) { f.InstanceListLagMS = d.Milliseconds() })
}

// SetGroups replaces the list of database groups.
func (s *Server) SetGroups(groups []store.Group) {
	list := make([]rest.Group, 0, len(groups))
	for _, g := range groups {
		list = append(list, rest.GroupOf(g))
	}
	s.setGroups(list)
}

func (s *Server) setGroups(list []rest.Group) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.state.groups = list
}

// SetServerLeaving sets the leaving flag of a database server, and reports whether the server exists.
func (s *Server) SetServerLeaving(name string, leaving bool) bool {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	for _, g := range s.state.groups {
		for i := range g.Servers {
			if g.Servers[i].Name == name {
				g.Servers[i].Leaving = leaving
				return true
			}
		}
	}
	return false
}

func (s *Server) groupList() []rest.Group {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	list := make([]rest.Group, 0, len(s.state.groups))
	for _, g := range s.state.groups {
		list = append(list, rest.Group{Name: g.Name, Servers: slices.Clone(g.Servers)})
	}
	return list
}

// SetInstances replaces the instance list; callers see it once the lag has passed.
func (s *Server) SetInstances(instances []store.ListedInstance) {
	list := make([]rest.Instance, 0, len(instances))
	for _, i := range instances {
		list = append(list, rest.Instance(i))
	}
	s.setInstances(list)
}

func (s *Server) setInstances(list []rest.Instance) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.state.listings = append(s.state.listings, listing{since: time.Now(), instances: list})
	if n := len(s.state.listings); n > keptListings {
		s.state.listings = slices.Clone(s.state.listings[n-keptListings:])
	}
}

func (s *Server) instanceList() []rest.Instance {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	seen := time.Now().Add(-time.Duration(s.state.faults.InstanceListLagMS) * time.Millisecond)
	for _, l := range slices.Backward(s.state.listings) {
		if !l.since.After(seen) {
			return l.instances
		}
	}
	return []rest.Instance{}
}

// loseAnswer reports whether the answer of the commit at hand is to be lost.
func (s *Server) loseAnswer() bool {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	if s.state.faults.LoseAnswers <= 0 {
		return false
	}
	s.state.faults.LoseAnswers--
	return true
}
