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
	servers    []driver.Server
	candidates []Candidate
	entries    []*entry // sorted by lane
	draining   bool
	staleSince time.Time // zero while the instance is fresh
}

// NewPlanner returns a planner for an instance. Random returns numbers in [0,1) for jitter.
func NewPlanner(self Candidate, weight Weight, random func() float64) *Planner {
	return &Planner{self: self, weight: weight, random: random, candidates: []Candidate{self}}
}

// SetServers takes over the list of servers. Lanes of servers that are gone are released at the next Tick.
func (p *Planner) SetServers(servers []driver.Server, now time.Time) {
	p.servers = slices.Clone(servers)
	var next []*entry
	for _, s := range p.servers {
		for n := range lanesOf(s) {
			l := Lane{Server: s.Name, Number: n}
			e := p.find(l)
			if e == nil {
				e = &entry{lane: l}
				p.schedule(e, s.Place, now)
			}
			next = append(next, e)
		}
	}
	for _, e := range p.entries {
		if !slices.Contains(next, e) && e.phase != waiting {
			next = append(next, e)
		}
	}
	slices.SortFunc(next, func(a, b *entry) int { return compare(a.lane, b.lane) })
	p.entries = next
}

// SetCandidates takes over the live members, the instance itself included. A changed rank moves the next attempt by the
// difference, so that frequent roster changes cannot put an attempt off for ever.
func (p *Planner) SetCandidates(candidates []Candidate) {
	p.candidates = slices.Clone(candidates)
	for _, e := range p.entries {
		if s, ok := p.server(e.lane.Server); ok {
			rank := p.rank(e, s.Place)
			e.due = e.due.Add(time.Duration(rank-e.rank) * RankDelay)
			e.rank = rank
		}
	}
}

// SetTaken says whether another live member is known to hold a lane. When it is free again, attempts start by rank.
func (p *Planner) SetTaken(l Lane, taken bool, now time.Time) {
	e := p.find(l)
	if e == nil || e.taken == taken {
		return
	}
	e.taken = taken
	if s, ok := p.server(l.Server); ok && !taken && e.phase == waiting {
		e.backOff = 0
		p.schedule(e, s.Place, now)
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

// Busy reports that another instance holds the lane.
func (p *Planner) Busy(l Lane, now time.Time) { p.retry(l, now) }

// Failed reports that an attempt could not reach the server or got no connection.
func (p *Planner) Failed(l Lane, now time.Time) { p.retry(l, now) }

// Lost reports that the control connection of a held lane ended. The instance tries again by rank.
func (p *Planner) Lost(l Lane, now time.Time) { p.restart(l, now) }

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
		reason := p.releaseReason(e.lane, now)
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

func (p *Planner) releaseReason(l Lane, now time.Time) ReleaseReason {
	s, ok := p.server(l.Server)
	switch {
	case p.draining:
		return Draining
	case !ok:
		return ServerRemoved
	case l.Number >= lanesOf(s):
		return LaneRemoved
	case s.Leaving:
		return ServerLeaving
	case !p.staleSince.IsZero() && now.Sub(p.staleSince) >= KeepNotFresh:
		return NotFresh
	}
	return ""
}

// schedule sets the next attempt by rank.
func (p *Planner) schedule(e *entry, place string, now time.Time) {
	e.rank = p.rank(e, place)
	e.due = now.Add(time.Duration(e.rank) * RankDelay)
}

func (p *Planner) rank(e *entry, place string) int {
	return Rank(e.lane, place, p.self.Instance, p.candidates, p.weight)
}

// retry doubles the back-off. The jitter covers half of it, so instances that collided spread out.
func (p *Planner) retry(l Lane, now time.Time) {
	e := p.find(l)
	if e == nil || e.phase != trying {
		return
	}
	e.backOff = min(max(2*e.backOff, FirstBackOff), LongBackOff)
	wait := e.backOff/2 + time.Duration(p.random()*float64(e.backOff/2))
	e.phase, e.due = waiting, now.Add(time.Duration(e.rank)*RankDelay+wait)
}

func (p *Planner) restart(l Lane, now time.Time) {
	e := p.find(l)
	if e == nil {
		return
	}
	e.phase, e.backOff = waiting, 0
	s, ok := p.server(l.Server)
	if !ok || l.Number >= lanesOf(s) {
		p.entries = slices.DeleteFunc(p.entries, func(x *entry) bool { return x == e })
		return
	}
	p.schedule(e, s.Place, now)
}

func (p *Planner) server(name string) (driver.Server, bool) {
	for _, s := range p.servers {
		if s.Name == name {
			return s, true
		}
	}
	return driver.Server{}, false
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
