package document

import (
	"time"

	"tanagercross/internal/fleet/freshness"
	"tanagercross/internal/fleet/roster"
	"tanagercross/internal/service/store"
)

// Times of the procedure.
const (
	// proposalGrace is how long a proposal that a majority confirmed waits for the other members.
	proposalGrace = 500 * time.Millisecond
	// proposalLimit abandons a change that has not been written.
	proposalLimit = 5 * time.Second
	// resendPeriod is the time between two sends of a proposal or a document to the same member, and between two
	// attempts at the store.
	resendPeriod = 500 * time.Millisecond
	// inForceWait is the freshness bound with an allowance of 10% for clock drift.
	inForceWait = freshness.Bound + freshness.Bound/10
)

// Event is one of Tick, Confirmed, Held, Written and Fetched.
type Event interface{ event() }

// Tick lets time pass.
type Tick struct{}

// Confirmed is a member's answer to a proposal.
type Confirmed struct {
	Member       string
	Confirmation Confirmation
}

// Held tells which versions a member's process held at some moment after Sent.
type Held struct {
	Member      string
	Incarnation uint64
	Versions    []Version
	Sent        time.Time
}

// Written is the result of a CommitAction.
type Written struct{ Kind store.Kind }

// Fetched is the result of a FetchAction that succeeded. A fetch that failed is not reported.
type Fetched struct {
	Document      Document
	RosterVersion uint64
}

func (Tick) event()      {}
func (Confirmed) event() {}
func (Held) event()      {}
func (Written) event()   {}
func (Fetched) event()   {}

// Action is one of ProposeAction, CommitAction, FetchAction, PushAction and FinishAction.
type Action interface{ action() }

// ProposeAction sends the change to a member, with the documents that the member lacks.
type ProposeAction struct {
	Member string
	Change Change
}

// CommitAction writes to the store; its result is a Written event.
type CommitAction struct {
	Conditions []store.Condition
	Writes     []store.Write
}

// FetchAction reads the document and the roster's version from the store; its result is a Fetched event.
type FetchAction struct{ Name string }

// PushAction sends a document to a member; the answer is a Held event. The proposer merges the document itself too.
type PushAction struct {
	Member   string
	Document Document
}

// FinishAction ends the procedure.
type FinishAction struct{ Result Result }

func (ProposeAction) action() {}
func (CommitAction) action()  {}
func (FetchAction) action()   {}
func (PushAction) action()    {}
func (FinishAction) action()  {}

// Status is the end of a change.
type Status string

// Ends of a change. Only Undetermined leaves open whether the change was written.
const (
	InForce      Status = "in_force"
	Conflict     Status = "conflict"     // Winner made the version that this change wanted to make
	Refused      Status = "refused"      // a member's check failed; nothing was written
	Abandoned    Status = "abandoned"    // no majority or no store in time; nothing was written
	Undetermined Status = "undetermined" // the document no longer remembers who made the version
)

// Result tells how a change ended.
type Result struct {
	Status  Status
	Version uint64 // version in force, if InForce
	Winner  Origin // change that won, if Conflict
	Member  string // member that refused, if Refused
	Message string
}

type phase int

const (
	proposing phase = iota
	settling        // waits until every fresh member holds the base of a roster change
	writing
	fetching
	spreading
	finished
)

// holding is the period in which one process of a member is known to have held the document.
type holding struct {
	incarnation uint64
	from        time.Time // moment of the first answer
	to          time.Time // moment before the last request that was answered
}

// Params are what a procedure needs besides the change.
type Params struct {
	Base   Document      // the document of version Change.Base
	Roster roster.Roster // the roster that the proposer holds
	// NextRoster is the roster that the change makes, if it changes the roster.
	NextRoster roster.Roster
	// RosterSettled says that every fresh instance is known to hold Roster. Only then does a change count as in force
	// as soon as every member has it; an instance with an older roster may not be among the members asked.
	RosterSettled bool
}

// Procedure takes one change from its proposal to the end. It is not safe for concurrent use.
type Procedure struct {
	change   Change
	params   Params
	phase    phase
	started  time.Time
	lastSend time.Time
	lastTry  time.Time

	confirmed map[string]bool
	majority  time.Time // when a majority confirmed the proposal
	unclear   bool      // a write was sent whose effect is not known
	unwritten int       // writes that were sent and have no result yet

	document   Document // as written
	held       map[string]holding
	majorityAt time.Time // moment at which a majority may have held the document together
	everyAt    time.Time // moment at which every member may have held it together
}

// NewProcedure returns the procedure of a change. The first Tick starts it.
func NewProcedure(c Change, p Params, now time.Time) *Procedure {
	return &Procedure{
		change: c, params: p, started: now, document: c.apply(p.Base),
		confirmed: map[string]bool{}, held: map[string]holding{},
	}
}

// Change returns the change of the procedure.
func (p *Procedure) Change() Change { return p.change }

// Step takes an event and returns the actions that follow from it.
func (p *Procedure) Step(e Event, now time.Time) []Action {
	switch e := e.(type) {
	case Confirmed:
		return p.onConfirmed(e, now)
	case Held:
		return p.onHeld(e, now)
	case Written:
		return p.onWritten(e, now)
	case Fetched:
		return p.onFetched(e, now)
	case Tick:
		return p.onTick(now)
	}
	return nil
}

func (p *Procedure) finish(r Result) []Action {
	p.phase = finished
	return []Action{FinishAction{Result: r}}
}

// members returns the members that the change concerns: of a roster change those before and after it.
func (p *Procedure) members() []roster.Member {
	all := append([]roster.Member{}, p.params.Roster.Members()...)
	for _, m := range p.params.NextRoster.Members() {
		if _, ok := p.params.Roster.Index(m.Name); !ok {
			all = append(all, m)
		}
	}
	return all
}

// enough reports whether the members that hold is true for are a majority of the roster with a quorum of its witnesses,
// and for a roster change also of the next one.
func (p *Procedure) enough(hold func(member string) bool) bool {
	for _, r := range []roster.Roster{p.params.Roster, p.params.NextRoster} {
		if r.Len() > 0 && (count(r.Members(), hold) < r.Majority() || count(r.Witnesses(), hold) < r.Quorum()) {
			return false
		}
	}
	return true
}

func count(members []roster.Member, hold func(member string) bool) int {
	n := 0
	for _, m := range members {
		if hold(m.Name) {
			n++
		}
	}
	return n
}

func (p *Procedure) every(hold func(member string) bool) bool {
	for _, m := range p.members() {
		if !hold(m.Name) {
			return false
		}
	}
	return true
}
