package lane

import (
	"slices"
	"strings"
	"time"

	"tanagercross/internal/database/driver"
)

// Planner decides for one instance. It is not safe for concurrent use.
type Planner struct {
	self       Candidate
	weight     Weight
	random     func() float64 // in [0,1)
	candidates []Candidate
	field      field
	entries    []*entry // sorted by lane
	draining   bool
	staleSince time.Time // zero while the instance is fresh
}

// NewPlanner returns a planner for an instance. Random returns numbers in [0,1) for jitter.
func NewPlanner(self Candidate, weight Weight, random func() float64) *Planner {
	p := &Planner{self: self, weight: weight, random: random}
	p.setCandidates([]Candidate{self})
	return p
}

// SetServers takes over the list of servers. Lanes of servers that are gone are released at the next Tick.
func (p *Planner) SetServers(servers []driver.Server, now time.Time) {
	for _, e := range p.entries {
		e.gone = ServerRemoved
	}
	var next []*entry
	for _, s := range servers {
		for n := range lanesOf(s) {
			l := Lane{Server: s.Name, Number: n}
			e := p.find(l)
			if e == nil {
				e = &entry{lane: l, server: s, weight: p.weight(p.self.Instance, l)}
				p.schedule(e, now)
			}
			e.server, e.gone = s, ""
			next = append(next, e)
		}
		for n := lanesOf(s); ; n++ {
			e := p.find(Lane{Server: s.Name, Number: n})
			if e == nil {
				break
			}
			e.gone = LaneRemoved
		}
	}
	for _, e := range p.entries {
		if e.gone != "" && e.phase != waiting {
			next = append(next, e)
		}
	}
	slices.SortFunc(next, func(a, b *entry) int { return compare(a.lane, b.lane) })
	p.entries = next
}

// SetCandidates takes over the live members, the instance itself included. A changed rank moves the next attempt by the
// difference, so that frequent roster changes cannot put an attempt off for ever.
func (p *Planner) SetCandidates(candidates []Candidate) {
	if slices.Equal(candidates, p.candidates) {
		return
	}
	p.setCandidates(slices.Clone(candidates))
	for _, e := range p.entries {
		if e.gone == "" {
			rank := p.rank(e)
			e.due = e.due.Add(time.Duration(rank-e.rank) * RankDelay)
			e.rank = rank
		}
	}
}

func (p *Planner) setCandidates(candidates []Candidate) {
	p.candidates, p.field = candidates, newField(candidates)
}

// SetHeldElsewhere says whether another live member is known to hold a lane. When it is free again, attempts start by rank.
func (p *Planner) SetHeldElsewhere(l Lane, taken bool, now time.Time) {
	e := p.find(l)
	if e == nil || e.taken == taken {
		return
	}
	e.taken = taken
	if e.gone == "" && !taken && e.phase == waiting {
		e.backOff = 0
		p.schedule(e, now)
	}
}

// SetFresh says whether the instance is fresh. One that stays not fresh admits nothing, and other instances may be unable
// to reach it: it gives its lanes up, because the servers would otherwise be of no use to anyone.
func (p *Planner) SetFresh(fresh bool, now time.Time) {
	switch {
	case fresh:
		p.staleSince = time.Time{}
	case p.staleSince.IsZero():
		p.staleSince = now
	}
}

// Drain makes the planner give up all lanes and try for none.
func (p *Planner) Drain() { p.draining = true }

// Acquired reports that an attempt took the lane.
func (p *Planner) Acquired(l Lane) {
	if e := p.find(l); e != nil {
		e.phase, e.backOff, e.taken = held, 0, false
	}
}

// LockBusy reports that another instance holds the lane.
func (p *Planner) LockBusy(l Lane, now time.Time) { p.retry(l, now) }

// AttemptFailed reports that an attempt could not reach the server or got no connection.
func (p *Planner) AttemptFailed(l Lane, now time.Time) { p.retry(l, now) }

// LaneLost reports that the control connection of a held lane ended. The instance tries again by rank.
func (p *Planner) LaneLost(l Lane, now time.Time) { p.restart(l, now) }

// Released reports that a lane asked for by Release was given up.
func (p *Planner) Released(l Lane, now time.Time) { p.restart(l, now) }

// Held returns the lanes that the instance holds, those being released included.
func (p *Planner) Held() []Lane {
	var out []Lane
	for _, e := range p.entries {
		if e.phase == held || e.phase == releasing {
			out = append(out, e.lane)
		}
	}
	return out
}

// Tick returns the actions that are due.
func (p *Planner) Tick(now time.Time) []Action {
	var out []Action
	for _, e := range p.entries {
		reason := p.releaseReason(e, now)
		switch {
		case e.phase == held && reason != "":
			e.phase = releasing
			out = append(out, Release{Lane: e.lane, Reason: reason})
		case e.phase == waiting && reason == "" && !e.taken && !now.Before(e.due):
			e.phase = trying
			out = append(out, Try{Lane: e.lane})
		}
	}
	return out
}

func (p *Planner) releaseReason(e *entry, now time.Time) ReleaseReason {
	switch {
	case p.draining:
		return Draining
	case e.gone != "":
		return e.gone
	case e.server.Leaving:
		return ServerLeaving
	case !p.staleSince.IsZero() && now.Sub(p.staleSince) >= NotFreshGracePeriod:
		return NotFresh
	}
	return ""
}

// schedule sets the next attempt by rank.
func (p *Planner) schedule(e *entry, now time.Time) {
	e.rank = p.rank(e)
	e.due = now.Add(time.Duration(e.rank) * RankDelay)
}

func (p *Planner) rank(e *entry) int {
	return p.field.rank(e.lane, e.server.Place, p.self.Instance, e.weight, p.weight)
}

// retry doubles the back-off. The jitter covers half of it, so instances that collided spread out.
func (p *Planner) retry(l Lane, now time.Time) {
	e := p.find(l)
	if e == nil || e.phase != trying {
		return
	}
	e.backOff = min(max(2*e.backOff, MinBackOff), MaxBackOff)
	wait := e.backOff/2 + time.Duration(p.random()*float64(e.backOff/2))
	e.phase, e.due = waiting, now.Add(time.Duration(e.rank)*RankDelay+wait)
}

func (p *Planner) restart(l Lane, now time.Time) {
	e := p.find(l)
	if e == nil {
		return
	}
	e.phase, e.backOff = waiting, 0
	if e.gone != "" {
		p.entries = slices.DeleteFunc(p.entries, func(x *entry) bool { return x == e })
		return
	}
	p.schedule(e, now)
}

func (p *Planner) find(l Lane) *entry {
	i, ok := slices.BinarySearchFunc(p.entries, l, func(e *entry, l Lane) int { return compare(e.lane, l) })
	if !ok {
		return nil
	}
	return p.entries[i]
}

func compare(a, b Lane) int {
	if c := strings.Compare(a.Server, b.Server); c != 0 {
		return c
	}
	return a.Number - b.Number
}
