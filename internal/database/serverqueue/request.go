package serverqueue

import (
	"time"

	"tanagercross/internal/database/statement"
)

// Kind is the kind of a statement. Costs are learnt by kind and priority.
type Kind uint8

// Kinds.
const (
	Read Kind = iota
	Write
	Commit
	Opening // opens a transaction and runs its first statement
	kinds
)

// Request describes a statement that waits for the server. Times are those of the clock whose readings the queue is given.
type Request struct {
	ID                   string // names the statement in the refusal of one that it displaces
	Organisation         string
	Priority             uint8 // of the route; 0 is the highest, 2 and lower are one level
	OrganisationPriority uint8 // levels as for Priority
	Kind                 Kind
	InTransaction        bool          // the statement belongs to an open transaction, or commits one
	Deadline             time.Duration // 0 for none
	Goal                 time.Duration // end of the latency goal; 0 for none
}

// levels of a route's and of an organisation's priority, and their combinations.
const (
	levels  = statement.Priorities
	classes = levels * levels
)

// level returns the level of a priority.
func level(priority uint8) int { return min(int(priority), levels-1) }

// Level returns the level of the route's priority, from 0, the highest, to 2.
func (r Request) Level() int { return level(r.Priority) }

// class returns the class of a request: its level by route, then by organisation.
func (r Request) class() int { return r.Level()*levels + level(r.OrganisationPriority) }

// group returns the group of a request: 0 for statements of open transactions, else that of the route's level.
func (r Request) group() int {
	if r.InTransaction {
		return 0
	}
	return 1 + r.Level()
}

// limit returns the time at which the request must have ended, and whether there is one.
func (r Request) limit() (time.Duration, bool) {
	if r.Goal > 0 && (r.Deadline == 0 || r.Goal < r.Deadline) {
		return r.Goal, true
	}
	return r.Deadline, r.Deadline > 0
}

// section returns the list of a flow in which the request waits.
func (r Request) section() section {
	if r.InTransaction {
		return inTransaction
	}
	return newWork
}

// section separates statements of open transactions from new work.
type section uint8

const (
	inTransaction section = iota
	newWork
	sections
)

// Outcome is how a request left the queue.
type Outcome string

// Outcomes. Those after Served are refusals; the statement has not run.
const (
	Served    Outcome = "served"
	CannotEnd Outcome = "cannot_end" // it was expected to end after its deadline or latency goal
	Displaced Outcome = "displaced"  // the queue was full and a more urgent request took the place
	Full      Outcome = "full"       // the queue was full of requests that are at least as urgent
	TimedOut  Outcome = "timed_out"  // its deadline or latency goal passed while it waited, or its caller left
	Stopped   Outcome = "stopped"    // the queue was stopped, or its server is evacuated
)

// Outcomes returns all outcomes.
func Outcomes() []Outcome { return []Outcome{Served, CannotEnd, Displaced, Full, TimedOut, Stopped} }

// Refusal holds the inputs of the decision to refuse a request.
type Refusal struct {
	Outcome  Outcome
	Request  Request
	At       time.Duration // when it was decided
	Waited   time.Duration
	Expected time.Duration // further wait that was expected
	Queued   int           // requests that waited
	For      Request       // the one that took the place; set for Displaced
}

// Item is a request in the queue or one that was started.
type Item[T any] struct {
	Request
	Value       T
	pushed      time.Duration
	estimate    time.Duration
	latestStart time.Duration
	flow        *flow[T]
	next, prev  *Item[T]
	expiryIndex int
	waiting     bool
	group       int
	reserved    bool   // started from the reserved share of its group
	classShare  bool   // started from the reserved share of its class
	limitedBy   uint64 // the slow start whose window counts the item; 0 if none does
}

// Wait returns how long the item has waited.
func (i *Item[T]) Wait(now time.Duration) time.Duration { return max(0, now-i.pushed) }
