package lane

import (
	"slices"
	"strings"
	"time"

	"tanagercross/internal/database/driver"
)

// Planner decides which lanes one instance acquires and releases. It is not safe for concurrent use.
type Planner struct {
	self           Candidate
	weight         Weight
	random         func() float64 // in [0,1)
	candidates     []Candidate
	candidateIndex candidateIndex
	laneStates     []*laneState // sorted by lane
	draining       bool
	notFreshSince  time.Time // zero while the instance is fresh
}

// NewPlanner returns a planner for the instance self. Random returns numbers in [0,1) for jitter.
func NewPlanner(self Candidate, weight Weight, random func() float64) *Planner {
	p := &Planner{self: self, weight: weight, random: random}
	p.setCandidates([]Candidate{self})
	return p
}

// SetServers replaces the list of servers. Held lanes that the list no longer contains are released at the next Tick.
func (p *Planner) SetServers(servers []driver.Server, now time.Time) {
	for _, e := range p.laneStates {
		e.removalReason = ServerRemoved
	}
	var next []*laneState
	for _, s := range servers {
		for n := range laneCount(s) {
			l := Lane{Server: s.Name, Number: n}
			e := p.findLane(l)
			if e == nil {
				e = &laneState{lane: l, server: s, weight: p.weight(p.self.Instance, l)}
				p.scheduleByRank(e, now)
			}
			e.server, e.removalReason = s, ""
			next = append(next, e)
		}
		for n := laneCount(s); ; n++ {
			e := p.findLane(Lane{Server: s.Name, Number: n})
			if e == nil {
				break
			}
			e.removalReason = LaneRemoved
		}
	}
	for _, e := range p.laneStates {
		if e.removalReason != "" && e.phase != waiting {
			next = append(next, e)
		}
	}
	slices.SortFunc(next, func(a, b *laneState) int { return compareLanes(a.lane, b.lane) })
	p.laneStates = next
}

// SetCandidates replaces the list of live members, the instance itself included. A changed rank moves the next attempt
// by the difference of the delays, so that frequent roster changes cannot postpone an attempt indefinitely.
func (p *Planner) SetCandidates(candidates []Candidate) {
	if slices.Equal(candidates, p.candidates) {
		return
	}
	p.setCandidates(slices.Clone(candidates))
	for _, e := range p.laneStates {
		if e.removalReason == "" {
			rank := p.rank(e)
			e.nextAttemptAt = e.nextAttemptAt.Add(time.Duration(rank-e.rank) * RankDelay)
			e.rank = rank
		}
	}
}

func (p *Planner) setCandidates(candidates []Candidate) {
	p.candidates, p.candidateIndex = candidates, newCandidateIndex(candidates)
}

// SetHeldElsewhere records whether another live member is known to hold a lane. When the lane is free again, the next
// attempt is due after the delay of the rank.
func (p *Planner) SetHeldElsewhere(l Lane, heldElsewhere bool, now time.Time) {
	e := p.findLane(l)
	if e == nil || e.heldElsewhere == heldElsewhere {
		return
	}
	e.heldElsewhere = heldElsewhere
	if e.removalReason == "" && !heldElsewhere && e.phase == waiting {
		e.backOff = 0
		p.scheduleByRank(e, now)
	}
}

// SetFresh records whether the instance is fresh. An instance that is not fresh admits no requests, and other instances
// may be unable to reach it. After NotFreshGracePeriod it releases its lanes, because no instance could use the servers
// otherwise.
func (p *Planner) SetFresh(fresh bool, now time.Time) {
	switch {
	case fresh:
		p.notFreshSince = time.Time{}
	case p.notFreshSince.IsZero():
		p.notFreshSince = now
	}
}

// Drain makes the planner release all lanes and acquire no more.
func (p *Planner) Drain() { p.draining = true }

// Acquired reports that an attempt acquired the lane.
func (p *Planner) Acquired(l Lane) {
	if e := p.findLane(l); e != nil {
		e.phase, e.backOff, e.heldElsewhere = held, 0, false
	}
}

// LockBusy reports that an attempt failed because another instance holds the lane.
func (p *Planner) LockBusy(l Lane, now time.Time) { p.scheduleRetry(l, now) }

// AttemptFailed reports that an attempt could not reach the server or could not open a connection.
func (p *Planner) AttemptFailed(l Lane, now time.Time) { p.scheduleRetry(l, now) }

// LaneLost reports that the control connection of a held lane was lost. The next attempt is due after the delay of the
// rank.
func (p *Planner) LaneLost(l Lane, now time.Time) { p.reset(l, now) }

// Released reports that a lane was released as a Release action requested.
func (p *Planner) Released(l Lane, now time.Time) { p.reset(l, now) }

// Held returns the lanes that the instance holds, including those that are being released.
func (p *Planner) Held() []Lane {
	var out []Lane
	for _, e := range p.laneStates {
		if e.phase == held || e.phase == releasing {
			out = append(out, e.lane)
		}
	}
	return out
}

// Tick returns the actions that are due at the given time.
func (p *Planner) Tick(now time.Time) []Action {
	var out []Action
	for _, e := range p.laneStates {
		reason := p.releaseReason(e, now)
		switch {
		case e.phase == held && reason != "":
			e.phase = releasing
			out = append(out, Release{Lane: e.lane, Reason: reason})
		case e.phase == waiting && reason == "" && !e.heldElsewhere && !now.Before(e.nextAttemptAt):
			e.phase = trying
			out = append(out, Try{Lane: e.lane})
		}
	}
	return out
}

// releaseReason returns why the instance must not hold the lane, or "" if it may.
func (p *Planner) releaseReason(e *laneState, now time.Time) ReleaseReason {
	switch {
	case p.draining:
		return Draining
	case e.removalReason != "":
		return e.removalReason
	case e.server.Leaving:
		return ServerLeaving
	case !p.notFreshSince.IsZero() && now.Sub(p.notFreshSince) >= NotFreshGracePeriod:
		return NotFresh
	}
	return ""
}

// scheduleByRank updates the rank of a lane and schedules the next attempt after the delay of that rank.
func (p *Planner) scheduleByRank(e *laneState, now time.Time) {
	e.rank = p.rank(e)
	e.nextAttemptAt = now.Add(time.Duration(e.rank) * RankDelay)
}

func (p *Planner) rank(e *laneState) int {
	return p.candidateIndex.rank(e.lane, e.server.Place, p.self.Instance, e.weight, p.weight)
}

// scheduleRetry schedules the next attempt after a failed one. It doubles the back-off up to MaxBackOff; half of it is
// jitter, so that instances that collided spread out.
func (p *Planner) scheduleRetry(l Lane, now time.Time) {
	e := p.findLane(l)
	if e == nil || e.phase != trying {
		return
	}
	e.backOff = min(max(2*e.backOff, MinBackOff), MaxBackOff)
	wait := e.backOff/2 + time.Duration(p.random()*float64(e.backOff/2))
	e.phase, e.nextAttemptAt = waiting, now.Add(time.Duration(e.rank)*RankDelay+wait)
}

// reset returns a lane to the waiting phase after it was lost or released. A lane that is no longer listed is removed.
func (p *Planner) reset(l Lane, now time.Time) {
	e := p.findLane(l)
	if e == nil {
		return
	}
	e.phase, e.backOff = waiting, 0
	if e.removalReason != "" {
		p.laneStates = slices.DeleteFunc(p.laneStates, func(x *laneState) bool { return x == e })
		return
	}
	p.scheduleByRank(e, now)
}

func (p *Planner) findLane(l Lane) *laneState {
	i, ok := slices.BinarySearchFunc(p.laneStates, l, func(e *laneState, l Lane) int { return compareLanes(e.lane, l) })
	if !ok {
		return nil
	}
	return p.laneStates[i]
}

// compareLanes orders lanes by server name, then by number.
func compareLanes(a, b Lane) int {
	if c := strings.Compare(a.Server, b.Server); c != 0 {
		return c
	}
	return a.Number - b.Number
}
