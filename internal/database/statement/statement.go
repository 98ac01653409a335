// Package statement holds the statements of callers, the commands that run them on a server connection, and the answers.
//
// # Usage
//
//	call := statement.Call{Organisation: "sertao_coop", Step: statement.Single, Scope: statement.Leader,
//		ID: id, Body: statement.Write{Arguments: "1a4 noon"}}
//	answer := executor.Execute(ctx, "meals-1-a", call)
//	switch answer.Delivery {
//	case statement.Answered: // by the server
//	case statement.NotSent:  // no server has seen the statement
//	case statement.Unanswered:     // sent, but without an answer
//	}
//
// Types are immutable values. The text form of statements belongs to the adapter that speaks to callers and servers.
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
	// Commit ends a transaction.
	Commit struct{}
	// Rollback ends a transaction without effect.
	Rollback struct{}
	// Read reads one item.
	Read struct{ Arguments string }
	// Write writes one item.
	Write struct{ Arguments string }
	// Set sets a session value.
	Set struct{ Name, Value string }
	// Prepare names a statement shape.
	Prepare struct {
		Name   string
		Writes bool
		Shape  string
	}
	// Execute runs a prepared statement.
	Execute struct{ Name, Arguments string }
	// Deallocate drops a prepared name.
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

// Code says why a statement failed. The empty code is success.
type Code string

// Codes. The first group promises that nothing of the attempt is kept.
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

// NotRun reports whether a server that answers with the code has not run the statement.
func (c Code) NotRun() bool {
	switch c {
	case Busy, NoStatement, Behind, ReadOnly, WrongServer, TooMany:
		return true
	}
	return false
}

// Step is the place of a statement in its transaction.
type Step uint8

// Steps.
const (
	Single Step = iota // outside a transaction
	First              // opens the transaction on the server
	Next
	End // commit or rollback
)

// Scope says which servers may run a statement.
type Scope uint8

// Scopes.
const (
	Leader  Scope = iota // only a server that leads at that moment
	Replica              // any server that holds the required position
)

// Delivery says how far a statement got.
type Delivery uint8

// Fates.
const (
	NotSent Delivery = iota
	Answered
	Unanswered
)

// Value is a session value.
type Value struct{ Name, Value string }

// Preparation is a prepared statement under a name that is the same for every session with this shape.
type Preparation struct {
	Name   string
	Writes bool
	Shape  string
}

// Call asks for the run of one statement on a server.
type Call struct {
	Organisation string
	Session      string // identifies the caller's session within the fleet
	Transaction  uint64 // given by the answer to First
	Step         Step
	Scope        Scope
	ReadOnly     bool            // the transaction only reads
	After        driver.Position // the server's log must hold it; used with scope Replica
	MaximumAge   time.Duration   // 0 if a read need not prove its age
	ID           string
	Body         Statement
	Values       []Value
	Preparation  *Preparation // set for Execute
	Timeout      time.Duration
	Expires      time.Duration // end of the timeout by the clock of the instance that uses the server; 0 for none
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

// Answer is what became of a statement.
type Answer struct {
	Rows        []string
	Signature   string // of the server that ran the statement
	Code        Code
	Text        string // explains a code
	State       State
	Position    driver.Position
	Transaction uint64
	Delivery    Delivery
}

// OK reports success.
func (a Answer) OK() bool { return a.Delivery == Answered && a.Code == "" }

// Refused returns the answer to a statement that no server has seen.
func Refused(c Code, text string) Answer { return Answer{Delivery: NotSent, Code: c, Text: text} }

// NoAnswer returns the answer to a statement that was sent and not answered.
func NoAnswer(text string) Answer { return Answer{Delivery: Unanswered, Code: Unknown, Text: text} }
