// Package statement defines the statements of callers, the commands that run them on a server connection, and the answers
// to both.
//
// # Usage
//
//	call := statement.Call{Organisation: "sertao_coop", Step: statement.Single, Scope: statement.Leader,
//		ID: id, Body: statement.Write{Arguments: "1a4 noon"}}
//	answer := executor.Execute(ctx, "meals-1-a", call)
//	switch answer.Delivery {
//	case statement.Answered:   // the server answered, possibly with an error code
//	case statement.NotSent:    // no server has received the statement
//	case statement.Unanswered: // sent without an answer: it may have run
//	}
//
// Values of these types are immutable. Their text form on the wire belongs to the adapter that connects callers and
// servers.
package statement

import (
	"time"

	"tanagercross/internal/database/driver"
)

// Statement is one statement of a caller.
type Statement interface{ statement() }

// Statements. Arguments are forwarded as the caller wrote them.
type (
	// Begin starts a transaction.
	Begin struct{ ReadOnly bool }
	// Commit commits the transaction.
	Commit struct{}
	// Rollback rolls the transaction back.
	Rollback struct{}
	// Read reads one item.
	Read struct{ Arguments string }
	// Write writes one item.
	Write struct{ Arguments string }
	// Set sets a session value.
	Set struct{ Name, Value string }
	// Prepare gives a name to a statement without its arguments, the shape.
	Prepare struct {
		Name   string
		Writes bool
		Shape  string
	}
	// Execute runs a prepared statement.
	Execute struct{ Name, Arguments string }
	// Deallocate removes a prepared statement from the session.
	Deallocate struct{ Name string }
)

func (Begin) statement()      {}
func (Commit) statement()     {}
func (Rollback) statement()   {}
func (Read) statement()       {}
func (Write) statement()      {}
func (Set) statement()        {}
func (Prepare) statement()    {}
func (Execute) statement()    {}
func (Deallocate) statement() {}

// Query is a statement with the id that its caller gave it.
type Query struct {
	ID   string
	Body Statement
}

// State is the transaction state of a session.
type State uint8

// States of a session.
const (
	Idle State = iota
	InTransaction
	FailedTransaction
)

// Code is the reason why a statement failed. The empty code means success.
type Code string

// Codes. Those up to TooMany promise that no effect of the attempt is kept; NotRun tells which of them also prove that the
// statement itself has not run.
const (
	Busy          Code = "busy"
	Aborted       Code = "aborted"
	Behind        Code = "behind"
	ReadOnly      Code = "read_only"
	WrongServer   Code = "wrong_server"
	TooMany       Code = "too_many"
	Failed        Code = "failed"
	Timeout       Code = "timeout"
	Unknown       Code = "unknown"
	NoStatement   Code = "no_statement"
	Unauthorized  Code = "unauthorized"
	NoDatabase    Code = "no_database"
	TooLarge      Code = "too_large"
	Malformed     Code = "malformed"
	UnknownReason Code = "unknown_reason" // the server gave a code that the adapter does not know
)

// NotRun reports whether the code, in a server's answer, proves that the server has not run the statement.
func (c Code) NotRun() bool {
	switch c {
	case Busy, NoStatement, Behind, ReadOnly, WrongServer, TooMany:
		return true
	}
	return false
}

// Step is the position of a statement in its transaction.
type Step uint8

// Steps.
const (
	Single Step = iota // outside of a transaction
	First              // opens the transaction on the server and runs as its first statement
	Next               // a further statement of the transaction
	End                // commit or rollback
)

// Scope determines which servers may run a statement.
type Scope uint8

// Scopes.
const (
	Leader  Scope = iota // only a server that leads when it runs the statement
	Replica              // any server whose log holds the required position
)

// Delivery is how far a statement got on its way to a server and back.
type Delivery uint8

// Deliveries.
const (
	NotSent    Delivery = iota // no server has received it
	Answered                   // the server answered it
	Unanswered                 // it was sent and not answered, so that it may have run
)

// Value is a session value.
type Value struct{ Name, Value string }

// Preparation is a prepared statement. Its name depends on the shape only, so that all sessions which prepare the same
// shape share it on a server connection.
type Preparation struct {
	Name   string
	Writes bool
	Shape  string
}

// Call is the request to run one statement on a server.
type Call struct {
	Organisation string
	Session      string // identifies the caller's session within the fleet
	Transaction  uint64 // id from the answer to First
	Step         Step
	Scope        Scope
	ReadOnly     bool            // the transaction only reads
	After        driver.Position // position that the server's log must hold; used with scope Replica
	MaximumAge   time.Duration   // bound on the staleness of a read with scope Replica; 0 for none
	ID           string
	Body         Statement
	Values       []Value
	Preparation  *Preparation // set for Execute
	Timeout      time.Duration
	Expires      time.Duration // end of the timeout by the clock of the instance that holds the connection; 0 for none
	// Priority is that of the database, and OrganisationPriority that of the organisation. 0 is the highest.
	Priority             uint8
	OrganisationPriority uint8
	Goal                 time.Duration // time left of the latency goal when the call was sent; 0 for no goal
}

// Writes reports whether the statement itself changes data.
func (c Call) Writes() bool {
	switch c.Body.(type) {
	case Write:
		return true
	case Execute:
		return c.Preparation != nil && c.Preparation.Writes
	}
	return false
}

// WithTimeout returns a copy with another timeout.
func (c Call) WithTimeout(d time.Duration) Call {
	c.Timeout = d
	return c
}

// Answer is the result of a statement, or the reason why there is none.
type Answer struct {
	Rows        []string
	Signature   string // of the server that ran the statement
	Code        Code
	Text        string // explains the code
	State       State
	Position    driver.Position // log position of the server when it answered
	Transaction uint64          // id of the transaction that the statement opened
	Delivery    Delivery
	// Proven is set on the connection to a server if the answer cannot be the repetition of an earlier one.
	Proven bool
	// Load is that of the server, as its holder saw it; nil if it was not reported.
	Load *Load
}

// Priorities is the number of priorities that loads and queues distinguish. Lower priorities count as the last one.
const Priorities = 3

// Load is the load of a server, as seen by the instance through which its statements go.
type Load struct {
	Wait    [Priorities]time.Duration // expected wait of a new statement in the queue, by priority
	Running int                       // statements
	Queued  int
	Slots   int
}

// OK reports whether the server ran the statement without an error.
func (a Answer) OK() bool { return a.Delivery == Answered && a.Code == "" }

// Refused returns the answer to a statement that no server has received.
func Refused(c Code, text string) Answer { return Answer{Delivery: NotSent, Code: c, Text: text} }

// NoAnswer returns the answer to a statement that was sent and not answered, so that its effect is unknown.
func NoAnswer(text string) Answer { return Answer{Delivery: Unanswered, Code: Unknown, Text: text} }
