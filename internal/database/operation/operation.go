// Package operation defines the operations that the instance which received a request sends to the instance that holds
// a lane of the database server.
//
// The holder may be the same instance or another one. Both implement Performer, so that the code that handles requests
// does not depend on where the lane is held.
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

// Read runs a read on a server whose log has reached a position.
type Read struct {
	Organisation string
	AtLeast      driver.Position
	Statement    driver.Statement
	// Durable delays the reply until a majority holds the position that was read; set for reads on the primary.
	Durable bool
	KeyHash string // hex SHA-256 of the caller's key: the read ends if the key is withdrawn while it is queued
}

// Write runs one statement, stores its record in the same transaction and waits until a majority holds it in Term.
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
	KeyHash      string // hex SHA-256 of the caller's key: the transaction ends if the key is withdrawn
}

// Run runs a statement in an open transaction.
type Run struct {
	Organisation string
	Session      string
	Transaction  string
	Statement    driver.Statement
}

// Commit stores the record in an open transaction, commits it and waits until a majority holds it.
type Commit struct {
	Organisation string
	Session      string
	Transaction  string
	Record       driver.Record
}

// Rollback rolls an open transaction back.
type Rollback struct {
	Organisation string
	Session      string
	Transaction  string
}

// Lookup reads the record of a request id on the primary of Term. The reply waits until a majority holds the position
// that was read.
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

// Reply is the result of an operation. Only the fields that belong to the operation are set.
type Reply struct {
	Verdict     outcome.Verdict
	Result      driver.Result
	Transaction string // id of a begun transaction, local to the holder
	Record      driver.RecordState
	QueueTime   time.Duration // wait for a turn on the lane and for a connection
	ServiceTime time.Duration // from then until the server answered
}

// Performer runs operations on a server through one of its lanes. The context carries the deadline of the request.
type Performer interface {
	Perform(ctx context.Context, server string, op Operation) Reply
}
