// Package connplan decides which organisations have connections to a database server that allows fewer connections than
// there are organisations. A connection belongs to one organisation, and to open one occupies a slot of the server for about
// as long as a statement runs.
//
// For each call, the Plan says whether it uses an idle connection, waits for one of its organisation's own, opens one,
// possibly in place of an idle connection of another organisation, or waits for its turn. An idle connection is closed if
// it is needed least: the expected number of openings that it saves a second, from the recent demand of its organisation and
// the number of its connections, is lowest. Calls of priority 0 are urgent. The less urgent leave some connections and one
// opening to them. While urgent openings keep a less urgent call from opening a connection, it gets one opening in twenty.
//
// # Usage
//
//	plan := connplan.New(connplan.Options{Slots: 4})
//	switch a := plan.Decide(now, request, state).(type) {
//	case connplan.UseIdle:
//		use := plan.Take(now, request)
//		// run the statement
//		plan.Return(now, use)
//	case connplan.AwaitOwn:
//		// wait for at most a.Limit, then ask again with Waited set
//	case connplan.Open:
//		opening := plan.Begin(now, request) // after closing the idle connection of a.Evicted, unless that is nil
//		plan.End(now, opening, opened)
//	case connplan.Await:
//		// ask again when a connection has been returned or an opening has ended
//	}
//
// A Plan does no I/O, takes the time as a parameter and is not safe for concurrent use.
package connplan

import (
	"math"
	"time"
)

const (
	demandWindow = 10 * time.Second // time constant of the demand of an organisation
	// forgetAfter is when an organisation without a connection in use is forgotten. Its demand is then negligible.
	forgetAfter = 10 * demandWindow
	// durationWeight is the weight of a new duration in the averages of openings and uses.
	durationWeight = 0.1
	urgentWeight   = 2.0 // of an urgent call in the demand of its organisation
	// reservedPart bounds the part of the connections that the less urgent leave to urgent calls.
	reservedPart = 0.25
)

// Options sets the limits of a Plan.
type Options struct {
	Slots int // statements that the server runs at the same time
}

// Request is a call that needs a connection.
type Request struct {
	Organisation string
	Priority     uint8 // 0 is urgent
	Waited       bool  // the call has waited for a connection of its own organisation before
}

// Urgent reports whether connections are reserved for calls like this one.
func (r Request) Urgent() bool { return r.Priority == 0 }

// Idle describes the idle connections of an organisation.
type Idle struct {
	Organisation string
	Count        int
	Since        time.Duration // of the one that has been idle for the longest time
}

// State is the present state of the connections to the server.
type State struct {
	Connections int // open or being opened
	Limit       int
	Paused      bool // the server has refused a connection lately: one is opened only in place of another
	OwnIdle     int  // idle connections of the organisation that asks
	// Idle lists the idle connections of all organisations. It is called only if one of them has to be closed.
	Idle func() []Idle
}

// Action is what a call does next: UseIdle, AwaitOwn, Open or Await.
type Action interface{ action() }

// UseIdle uses an idle connection of the organisation.
type UseIdle struct{}

// AwaitOwn waits until a connection of the organisation is returned, but not longer than the limit.
type AwaitOwn struct{ Limit time.Duration }

// Open opens a connection, after an idle connection of Evicted was closed unless that is nil.
type Open struct{ Evicted *Eviction }

// Await waits until a connection is returned or an opening ends.
type Await struct{ Cause Cause }

func (UseIdle) action()  {}
func (AwaitOwn) action() {}
func (Open) action()     {}
func (Await) action()    {}

// Cause says why a call waits.
type Cause string

// Causes of a wait.
const (
	Reserved Cause = "reserved"  // the rest of the connections is for urgent calls
	Openings Cause = "openings"  // as many connections are being opened as the server has slots for
	NoneIdle Cause = "none_idle" // all connections are in use
)

// organisation is what is known about the calls of an organisation.
type organisation struct {
	demand  float64 // weighted calls per second, an exponentially weighted average
	calls   float64 // the same without weights
	at      time.Duration
	use     time.Duration // average time for which a call uses a connection
	busy    int           // connections in use or being opened
	opening int           // connections being opened
	waiting int           // calls that wait for a connection of the organisation's own
}

// Plan decides about the connections to one server. Create it with New.
type Plan struct {
	options       Options
	organisations map[string]*organisation
	busyLess      int // connections in use by less urgent calls
	openings      int
	opening       time.Duration // average duration of an opening; 0 before the first
	lastSweep     time.Duration
	share         share
}

// New returns a plan that knows of no connections.
func New(o Options) *Plan {
	o.Slots = max(1, o.Slots)
	return &Plan{options: o, organisations: map[string]*organisation{}}
}

// arrived counts a call in the demand of its organisation.
func (p *Plan) arrived(now time.Duration, r Request) {
	p.sweep(now)
	o := p.organisation(r.Organisation)
	decay := o.decay(now)
	weight := 1.0
	if r.Urgent() {
		weight = urgentWeight
	}
	o.demand = o.demand*decay + weight/demandWindow.Seconds()
	o.calls = o.calls*decay + 1/demandWindow.Seconds()
	o.at = now
}

// organisation returns the state of an organisation, and creates it if necessary.
func (p *Plan) organisation(name string) *organisation {
	o := p.organisations[name]
	if o == nil {
		o = &organisation{}
		p.organisations[name] = o
	}
	return o
}

// decay returns by how much the averages have decreased since the last call.
func (o *organisation) decay(now time.Duration) float64 {
	return math.Exp(-max(0, now-o.at).Seconds() / demandWindow.Seconds())
}

// sweep forgets organisations without calls, at most once every demandWindow.
func (p *Plan) sweep(now time.Duration) {
	if now-p.lastSweep < demandWindow {
		return
	}
	p.lastSweep = now
	for name, o := range p.organisations {
		if o.busy == 0 && o.waiting == 0 && now-o.at > forgetAfter {
			delete(p.organisations, name)
		}
	}
}

// Decide returns what a call does next.
func (p *Plan) Decide(now time.Duration, r Request, s State) Action {
	if !r.Urgent() && p.busyLess >= s.Limit-p.reserved(s.Limit) {
		return Await{Cause: Reserved}
	}
	if s.OwnIdle > 0 {
		return UseIdle{}
	}
	if p.ownIsSooner(r) {
		return AwaitOwn{Limit: p.opening}
	}
	if p.openings >= p.maxOpenings(now, r) {
		p.share.denied = p.share.denied || !r.Urgent()
		return Await{Cause: Openings}
	}
	if s.Connections < s.Limit && !s.Paused {
		return Open{}
	}
	e, ok := p.leastNeeded(now, s.Idle())
	if !ok {
		return Await{Cause: NoneIdle}
	}
	return Open{Evicted: &e}
}

// reserved returns how many connections the less urgent calls leave to urgent ones: one for each slot, because more
// statements do not run at the same time.
func (p *Plan) reserved(limit int) int { return min(p.options.Slots, int(reservedPart*float64(limit))) }

// maxOpenings returns how many openings run at once before a call may begin another one. Each occupies a slot; the last
// one is left to urgent calls, or to a less urgent one that was promised an opening.
func (p *Plan) maxOpenings(now time.Duration, r Request) int {
	promised := now < p.share.promisedUntil
	if promised && r.Urgent() {
		return p.options.Slots - 1
	}
	if promised || r.Urgent() {
		return p.options.Slots
	}
	return max(1, p.options.Slots-1)
}

// MayOpen reports whether a call that waits for its turn to open a connection may begin now.
func (p *Plan) MayOpen() bool { return p.openings < max(1, p.options.Slots-1) }

// ownIsSooner reports whether a connection of the organisation is expected back before one could be opened.
func (p *Plan) ownIsSooner(r Request) bool {
	o := p.organisations[r.Organisation]
	if r.Waited || o == nil || o.busy == o.opening || o.use == 0 || p.opening == 0 {
		return false
	}
	return o.use*time.Duration(o.waiting+1)/time.Duration(o.busy-o.opening) < p.opening
}
