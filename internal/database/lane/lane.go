// Package lane decides which lanes of which database servers an instance tries to acquire, and when it releases one.
//
// A lane is an exclusive share of a server's connections, and its holder holds an advisory lock on that server. The
// server is the arbiter, so the instances need no agreement: wrong or differing rosters only change who tries first. An
// instance tries to acquire a lane when no live member is known to hold it and the delay of its rank has passed. If the
// lock is held, it backs off with jitter. The delay grows with rank without a bound, so the number of instances that try
// for one lane stays small in a fleet of any size.
//
// A held lane is kept until the server is leaving or removed, its limits no longer allow the lane, the instance drains
// or is no longer fresh. A later instance in the server's place is not a reason to release it: moving a lane closes all
// its connections, which costs more than the longer network path.
//
// # Usage
//
//	planner := lane.NewPlanner(lane.Candidate{Instance: "i1", Place: "agreste"}, weight, random)
//	planner.SetServers(servers, now)
//	planner.SetCandidates(roster)
//	for _, action := range planner.Tick(now) {
//		switch a := action.(type) {
//		case lane.Try: // try the lock, then call Acquired, LockBusy or AttemptFailed
//		case lane.Release: // end the work, close the connections, then call Released
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

// Lane identifies one lane of a server.
type Lane struct {
	Server string
	Number int
}

// Candidate is an instance that may hold lanes.
type Candidate struct {
	Instance string
	Place    string
}

// Weight returns the rendezvous hashing weight of an instance for a lane. The instance with the highest weight ranks
// first.
type Weight func(instance string, l Lane) uint64

// Rank returns how many candidates come before the instance for a lane of a server in a place. Candidates in that
// place come before all others. Ranks from about ExactRankLimit on are estimated from the instance's own weight: an
// instance with such a rank tries only if all before it failed, and counting the candidates of each lane would take more
// than a core at 4,000 candidates and 10,400 lanes.
func Rank(l Lane, place, instance string, candidates []Candidate, weight Weight) int {
	return newCandidateIndex(candidates).rank(l, place, instance, weight(instance, l), weight)
}

// ExactRankLimit is the estimated rank below which the exact rank is counted.
const ExactRankLimit = 32

// candidateIndex groups the candidates by place.
type candidateIndex struct {
	byPlace map[string][]Candidate
	all     []Candidate
}

func newCandidateIndex(candidates []Candidate) candidateIndex {
	f := candidateIndex{byPlace: map[string][]Candidate{}, all: candidates}
	for _, c := range candidates {
		f.byPlace[c.Place] = append(f.byPlace[c.Place], c)
	}
	return f
}

// rank implements Rank; ownWeight is the weight of the instance for the lane.
func (f candidateIndex) rank(l Lane, place, instance string, ownWeight uint64, weight Weight) int {
	self := slices.IndexFunc(f.byPlace[place], func(c Candidate) bool { return c.Instance == instance })
	inPlace, competitors, placeCandidates := self >= 0, f.byPlace[place], 0
	if !inPlace {
		competitors, placeCandidates = f.all, len(f.byPlace[place])
	}
	// Weights are uniformly distributed, so this fraction of the competitors is expected to have a greater one.
	fraction := float64(math.MaxUint64-ownWeight) / math.MaxUint64
	count := len(competitors)
	if !inPlace {
		count -= placeCandidates
	}
	if estimate := placeCandidates + int(fraction*float64(count)); estimate >= ExactRankLimit {
		return estimate
	}
	rank := placeCandidates
	for _, c := range competitors {
		if c.Instance != instance && (inPlace || c.Place != place) && ranksBefore(c.Instance, weight(c.Instance, l), instance, ownWeight) {
			rank++
		}
	}
	return rank
}

// ranksBefore reports whether a comes before b: the greater weight first, the lesser name if the weights are equal.
func ranksBefore(a string, weightA uint64, b string, weightB uint64) bool {
	return cmp.Or(cmp.Compare(weightB, weightA), cmp.Compare(a, b)) < 0
}

// ReservedConnections is the number of connections of each server that no lane may use. Probes and attempts to acquire
// lanes use them.
const ReservedConnections = 5

// ConnectionShare returns how many connections the holder of one lane may open, its control connection included, and how
// many lanes the server has: one per slot, or fewer if the server has fewer usable connections than slots.
func ConnectionShare(limit, reserve, slots int) (connections, lanes int) {
	usable := max(0, limit-reserve)
	lanes = min(slots, usable)
	if lanes <= 0 {
		return 0, 0
	}
	return usable / lanes, lanes
}

// Delays of attempts to acquire a lane.
const (
	RankDelay  = 250 * time.Millisecond // per rank; covers a lock attempt over a new connection between regions
	MinBackOff = 500 * time.Millisecond
	MaxBackOff = 8 * time.Second
	// NotFreshGracePeriod is how long an instance that is not fresh keeps its lanes, so that a short loss of freshness,
	// for example after a pause, does not move them.
	NotFreshGracePeriod = time.Second
)

// Action is Try or Release.
type Action interface{ action() }

// Try requests an attempt to acquire a lane.
type Try struct{ Lane Lane }

// Release requests the release of a held lane.
type Release struct {
	Lane   Lane
	Reason ReleaseReason
}

func (Try) action()     {}
func (Release) action() {}

// ReleaseReason is the reason to release a lane.
type ReleaseReason string

// Reasons to release a lane.
const (
	ServerLeaving ReleaseReason = "server_leaving"
	ServerRemoved ReleaseReason = "server_removed"
	LaneRemoved   ReleaseReason = "lane_removed" // the server's limits now allow fewer lanes
	Draining      ReleaseReason = "draining"
	NotFresh      ReleaseReason = "not_fresh"
)

// phase is the state of the instance's hold on a lane.
type phase int

const (
	waiting phase = iota // not held; the next attempt may be due later
	trying               // an attempt runs
	held
	releasing // a Release was returned and Released has not been called
)

// laneState is the planner's state of one lane.
type laneState struct {
	lane          Lane
	server        driver.Server // from the last list that contains it
	removalReason ReleaseReason // "" while the current list contains the lane
	weight        uint64        // of this instance for the lane
	phase         phase
	rank          int
	nextAttemptAt time.Time // earliest time of the next attempt
	backOff       time.Duration
	heldElsewhere bool // another live member is known to hold it
}

// laneCount returns the number of lanes of a server.
func laneCount(s driver.Server) int {
	_, lanes := ConnectionShare(s.ConnectionLimit, ReservedConnections, s.Slots)
	return lanes
}
