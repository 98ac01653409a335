package group

import (
	"sync/atomic"
	"time"

	"tanagercross/internal/database/driver"
)

// ReachabilityTTL is how long an answer counts as proof that a server can be reached: five probe periods.
const ReachabilityTTL = time.Second

// Server is what is known of one server.
type Server struct {
	driver.Server
	Role        driver.Role
	Promised    uint64          // highest term that the server promised
	Position    driver.Position // last known position
	RequestedAt time.Time       // when the question was sent whose answer gave Position
	// AnsweredAt is when the server last answered; zero if never.
	AnsweredAt time.Time
	FailedAt   time.Time // last failure to reach it; zero if none since the last answer
	// DataTime is the latest known time at which the primary was at or before Position; zero if unknown. All that was
	// acknowledged up to then is on the server.
	DataTime     time.Time
	DataPosition driver.Position // the primary's position at DataTime
	Lag          time.Duration   // estimated replication delay; 0 at the primary
	Load         float64         // work in progress per slot, as last set
}

// Reachable reports whether the server answered lately and has not failed since.
func (s Server) Reachable(now time.Time) bool {
	return s.FailedAt.IsZero() && !s.AnsweredAt.IsZero() && now.Sub(s.AnsweredAt) <= ReachabilityTTL
}

// DataAge returns an upper bound of the age of the server's data, and false if none is known.
func (s Server) DataAge(now time.Time) (time.Duration, bool) {
	if s.DataTime.IsZero() {
		return 0, false
	}
	return now.Sub(s.DataTime), true
}

// State is the immutable state of one group. Its servers are sorted by name and must not be changed.
type State struct {
	Name     string
	Term     uint64 // newest term that had a primary; never goes back
	Primary  string // primary of Term; empty if its name is not known yet
	Promised uint64 // highest term promised by any server
	Servers  []Server

	marks          marks
	confirmedUntil time.Time // a majority is known to have promised no term above Term at this time
}

// Server returns a server of the group.
func (s *State) Server(name string) (Server, bool) {
	for i := range s.Servers {
		if s.Servers[i].Name == name {
			return s.Servers[i], true
		}
	}
	return Server{}, false
}

// OnCurrentTerm reports whether the server is on the branch of the group's term.
func (s *State) OnCurrentTerm(server Server) bool {
	return server.Position.Term == s.Term && s.Term > 0
}

// WritablePrimary returns the primary, if it is known and is not known to be fenced.
func (s *State) WritablePrimary() (Server, bool) {
	p, ok := s.Server(s.Primary)
	return p, ok && p.Promised <= s.Term && p.Role != driver.Fenced
}

// ReachedAt estimates when the primary reached a position. It returns false if no primary is known to have reached it.
func (s *State) ReachedAt(p driver.Position) (time.Time, bool) {
	i := s.marks.firstAt(p)
	if i == len(s.marks) {
		return time.Time{}, false
	}
	return s.marks[i].at, true
}

// View is the set of groups. It changes only with the list; each group is read through its own atomic pointer, so that
// an observation copies the state of one group only.
type View struct {
	groups map[string]*atomic.Pointer[State]
	names  []string
}

// Group returns the current state of a group.
func (v *View) Group(name string) (*State, bool) {
	if v == nil || v.groups[name] == nil {
		return nil, false
	}
	return v.groups[name].Load(), true
}

// Names returns the names of the groups in order. The slice must not be changed.
func (v *View) Names() []string {
	if v == nil {
		return nil
	}
	return v.names
}
