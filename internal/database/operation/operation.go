// Package operation describes the work that an entry instance asks of the holder of a lane.
//
// The holder may be the same process or another instance; both implement Performer, so that the entry path does not
// depend on where the lane is held.
//
// # Usage
//
//	reply := performer.Perform(ctx, "meals-1-a", operation.Read{Organisation: "sertao_coop", Statement: s})
//	if reply.Verdict.Outcome != outcome.Done {
//		return reply.Verdict
//	}
package operation

import (
	"context"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/session/outcome"
)

// Operation is one of Read, Write, Begin, Run, Commit, Rollback and Lookup.
type Operation interface{ operation() }

// Read runs a read on a server that is at least at a position.
type Read struct {
	Organisation string
	AtLeast      driver.Position
	Statement    driver.Statement
	// Durable asks for an answer only once the position seen is held by a majority; set for reads at the primary.
	Durable bool
	KeyHash string // hex SHA-256 of the key, so that a withdrawal ends the read while it is queued
}

// Write runs one statement with its record and waits until a majority holds it in Term.
type Write struct {
	Organisation string
	Term         uint64
	Record       driver.Record
	Statement    driver.Statement
	KeyHash      string // as for Read
}

// Begin opens an interactive transaction on the primary of Term.
type Begin struct {
	Organisation string
	Session      string
	Term         uint64
	KeyHash      string // hex SHA-256 of the key, so that a withdrawal ends the transaction
}

// Run runs a statement in a transaction.
type Run struct {
	Organisation string
	Session      string
	Transaction  string
	Statement    driver.Statement
}

// Commit commits a transaction with its record and waits until a majority holds it.
type Commit struct {
	Organisation string
	Session      string
	Transaction  string
	Record       driver.Record
}

// Rollback ends a transaction without effect.
type Rollback struct {
	Organisation string
	Session      string
	Transaction  string
}

// Lookup asks for the record of a request id on the primary of Term, once its state is held by a majority.
type Lookup struct {
	Organisation string
	Term         uint64
	RequestID    string
}

func (Read) operation()     {}
func (Write) operation()    {}
func (Begin) operation()    {}
func (Run) operation()      {}
func (Commit) operation()   {}
func (Rollback) operation() {}
func (Lookup) operation()   {}

// Reply is the answer to an operation. Only the fields that belong to the operation are set.
type Reply struct {
	Verdict     outcome.Verdict
	Result      driver.Result
	Transaction string // set by Begin: local id at the holder
	Record      driver.RecordState
	QueueTime   time.Duration
	ServiceTime time.Duration
}

// Performer runs operations on a server through one of its lanes. The context carries the deadline.
type Performer interface {
	Perform(ctx context.Context, server string, op Operation) Reply
}
