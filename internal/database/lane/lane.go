// Package lane decides which lanes of which servers an instance tries for, and when it gives one up.
//
// A lane is an advisory lock on a database server. The server is the arbiter, so nothing here has to be agreed between
// instances: wrong or differing rosters only change who asks first. An instance tries for a lane when no live member is
// known to hold it and the delay of its rank has passed, and after a busy lock it backs off with jitter. The delay
// grows with rank without a bound, so the number of instances that ask for one lane stays small in a fleet of any size.
//
// A held lane is kept until the server is leaving or gone, or the instance drains. A better placed instance that
// appears later is not a reason: moving a lane closes all its connections, which costs more than the longer way.
//
// # Usage
//
//	planner := lane.NewPlanner(lane.Candidate{Instance: "i1", Place: "agreste"}, weight, random)
//	planner.SetServers(servers, now)
//	planner.SetCandidates(roster)
//	for _, action := range planner.Tick(now) {
//		switch a := action.(type) {
//		case lane.Try: // then Acquired, LockBusy or AttemptFailed
//		case lane.Release: // end the work, close the connections, then Released
//		}
//	}
package lane

import (
	"cmp"
	"math"
	"slices"
	"time"

	"tanagercross/internal/database/driver"
)

// Lane names one lane of a server.
type Lane struct {
	Server string
	Number int
}

// Candidate is an instance that may hold lanes.
type Candidate struct {
	Instance string
	Place    string
}

// Weight returns the rendezvous weight of an instance for a lane; the highest ranks first.
type Weight func(instance string, l Lane) uint64

// Rank returns how many candidates come before the instance for a lane of a server in a place. Candidates in that
// place come before all others. Ranks from about ExactRankLimit on are estimated from the instance's own weight: an instance
// with such a rank asks only if all before it failed, and counting the candidates of each lane would take more than a
// core at 4,000 candidates and 10,400 lanes.
func Rank(l Lane, place, instance string, candidates []Candidate, weight Weight) int {
	return newField(candidates).rank(l, place, instance, weight(instance, l), weight)
}

// ExactRankLimit is the estimated rank below which candidates are counted one by one.
const ExactRankLimit = 32

// field holds the candidates by place.
type field struct {
	places map[string][]Candidate
	all    []Candidate
}

func newField(candidates []Candidate) field {
	f := field{places: map[string][]Candidate{}, all: candidates}
	for _, c := range candidates {
		f.places[c.Place] = append(f.places[c.Place], c)
	}
	return f
}

func (f field) rank(l Lane, place, instance string, mine uint64, weight Weight) int {
	self := slices.IndexFunc(f.places[place], func(c Candidate) bool { return c.Instance == instance })
	near, rivals, ahead := self >= 0, f.places[place], 0
	if !near {
		rivals, ahead = f.all, len(f.places[place])
	}
	// Weights are uniform, so that this share of the rivals is expected to have a greater one.
	share := float64(math.MaxUint64-mine) / math.MaxUint64
	count := len(rivals)
	if !near {
		count -= ahead
	}
	if estimate := ahead + int(share*float64(count)); estimate >= ExactRankLimit {
		return estimate
	}
	rank := ahead
	for _, c := range rivals {
		if c.Instance != instance && (near || c.Place != place) && heavier(c.Instance, weight(c.Instance, l), instance, mine) {
			rank++
		}
	}
	return rank
}

func heavier(a string, weightA uint64, b string, weightB uint64) bool {
	return cmp.Or(cmp.Compare(weightB, weightA), cmp.Compare(a, b)) < 0
}

// ReservedConnections is the number of connections of each server that no lane may use: probes and attempts to take lanes.
const ReservedConnections = 5

// ConnectionShare returns how many connections the holder of one lane may open, its control connection included, and how many
// lanes the server has. A server with fewer usable connections than slots has fewer lanes.
func ConnectionShare(limit, reserve, slots int) (connections, lanes int) {
	usable := max(0, limit-reserve)
	lanes = min(slots, usable)
	if lanes <= 0 {
		return 0, 0
	}
	return usable / lanes, lanes
}

// Times of attempts.
const (
	RankDelay  = 250 * time.Millisecond // per rank; covers a lock attempt over a new connection between regions
	MinBackOff = 500 * time.Millisecond
	MaxBackOff = 8 * time.Second
	// NotFreshGracePeriod is how long an instance that is not fresh keeps its lanes. A short loss of freshness, as after a
	// pause, should not move them.
	NotFreshGracePeriod = time.Second
)

// Action is Try or Release.
type Action interface{ action() }

// Try asks for an attempt to take a lane.
type Try struct{ Lane Lane }

// Release asks that a held lane be given up.
type Release struct {
	Lane   Lane
	Reason ReleaseReason
}

func (Try) action()     {}
func (Release) action() {}

// ReleaseReason says why a lane is given up.
type ReleaseReason string

// Reasons to give up a lane.
const (
	ServerLeaving ReleaseReason = "server_leaving"
	ServerRemoved ReleaseReason = "server_removed"
	LaneRemoved   ReleaseReason = "lane_removed" // the server's limits now allow fewer lanes
	Draining      ReleaseReason = "draining"
	NotFresh      ReleaseReason = "not_fresh"
)

type phase int

const (
	waiting phase = iota
	trying
	held
	releasing
)

// entry is the state of one lane.
type entry struct {
	lane    Lane
	server  driver.Server // of the last list that names it
	gone    ReleaseReason // "" while the list in use has the lane
	weight  uint64        // of the instance
	phase   phase
	rank    int
	due     time.Time // earliest next attempt
	backOff time.Duration
	taken   bool // another live member is known to hold it
}

func lanesOf(s driver.Server) int {
	_, lanes := ConnectionShare(s.ConnectionLimit, ReservedConnections, s.Slots)
	return lanes
}
