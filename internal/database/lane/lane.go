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
//		case lane.Try: // then Acquired, Busy or Failed
//		case lane.Release: // end the work, close the connections, then Released
//		}
//	}
package lane

import (
	"cmp"
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
// place come before all others.
func Rank(l Lane, place, instance string, candidates []Candidate, weight Weight) int {
	self := slices.IndexFunc(candidates, func(c Candidate) bool { return c.Instance == instance })
	if self < 0 {
		return len(candidates)
	}
	me, mine, rank := candidates[self], weight(instance, l), 0
	for _, c := range candidates {
		if c.Instance != instance && before(c, me, weight(c.Instance, l), mine, place) {
			rank++
		}
	}
	return rank
}

func before(a, b Candidate, weightA, weightB uint64, place string) bool {
	if near := a.Place == place; near != (b.Place == place) {
		return near
	}
	return cmp.Or(cmp.Compare(weightB, weightA), cmp.Compare(a.Instance, b.Instance)) < 0
}

// Reserve is the number of connections of each server that no lane may use: probes and attempts to take lanes.
const Reserve = 5

// Share returns how many connections the holder of one lane may open, its control connection included, and how many
// lanes the server has. A server with fewer usable connections than slots has fewer lanes.
func Share(limit, reserve, slots int) (connections, lanes int) {
	usable := max(0, limit-reserve)
	lanes = min(slots, usable)
	if lanes <= 0 {
		return 0, 0
	}
	return usable / lanes, lanes
}

// Times of attempts.
const (
	RankDelay    = 250 * time.Millisecond // per rank; covers a lock attempt over a new connection between regions
	FirstBackOff = 500 * time.Millisecond
	LongBackOff  = 8 * time.Second
	// KeepNotFresh is how long an instance that is not fresh keeps its lanes. A short loss of freshness, as after a
	// pause, should not move them.
	KeepNotFresh = time.Second
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
	phase   phase
	rank    int
	due     time.Time // earliest next attempt
	backOff time.Duration
	taken   bool // another live member is known to hold it
}

func lanesOf(s driver.Server) int {
	_, lanes := Share(s.ConnectionLimit, Reserve, s.Slots)
	return lanes
}
