// Package driver defines how the proxy talks to one database server.
//
// The interfaces are narrow so that another database protocol can be used by replacing one adapter package.
//
// # Usage
//
//	conn, err := connector.Connect(ctx, driver.Server{Name: "meals-1-a", Address: "127.0.0.1:5432"})
//	if err != nil {
//		return err
//	}
//	defer conn.Close()
//	result, err := conn.Read(ctx, "sertao_coop", driver.Position{Term: 3, Index: 17}, statement)
//
// All errors are *Error. Its Kind says whether the statement may have taken effect.
package driver

import (
	"cmp"
	"context"
	"fmt"
	"time"
)

// Position is a place in a group's log. Positions are ordered by term, then by index.
type Position struct {
	Term  uint64
	Index uint64
}

// Compare returns -1, 0 or +1 if p is before, equal to or after q.
func (p Position) Compare(q Position) int {
	if c := cmp.Compare(p.Term, q.Term); c != 0 {
		return c
	}
	return cmp.Compare(p.Index, q.Index)
}

// String returns the position as "term/index".
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Term, p.Index) }

// Server identifies one database server.
type Server struct {
	Name            string
	Group           string
	Place           string
	Address         string // host:port
	Slots           int    // statements the server runs at the same time
	ConnectionLimit int
	Leaving         bool
}

// Role is a server's own view of its role.
type Role string

// Roles of a server.
const (
	Primary Role = "primary"
	Replica Role = "replica"
	Fenced  Role = "fenced" // promised a term whose primary is not yet known
)

// Status is what a server reports about itself.
type Status struct {
	Server          string
	Role            Role
	Term            uint64 // highest promised term
	Holder          string // who fenced the server for Term
	Last            Position
	Primary         string        // name of the primary that the server follows, if any
	PrimaryContact  time.Duration // time since the last message from the primary; 0 at the primary
	ReplicatedIndex uint64        // highest index held by a majority in Term; only at the primary
}

// Statement is a statement with text arguments; a nil argument is NULL.
type Statement struct {
	SQL       string
	Arguments []*string
}

// Result is the answer to one statement in text format; a nil value is NULL.
type Result struct {
	Columns      []string
	Rows         [][]*string
	RowsAffected int64
	Position     Position // position of the server when it answered
	Replayed     bool     // the answer comes from the stored record of an earlier run
	Truncated    bool     // the stored record did not keep the rows
}

// Size returns the bytes of the column names and values.
func (r Result) Size() int64 {
	var size int64
	for _, name := range r.Columns {
		size += int64(len(name))
	}
	for _, row := range r.Rows {
		for _, value := range row {
			if value != nil {
				size += int64(len(*value))
			}
		}
	}
	return size
}

// Record identifies a write for at-most-once execution.
type Record struct {
	RequestID   string
	Fingerprint string // hash of organisation, group, statements and arguments
}

// RecordState tells what a server knows about a request id.
type RecordState struct {
	Found       bool
	Fingerprint string
	Result      Result
	Position    Position // the record, if found, is at or before this position
}

// Conn is one connection. It runs one call at a time and is not safe for concurrent use.
type Conn interface {
	// Status returns the server's report about itself.
	Status(ctx context.Context) (Status, error)
	// Read runs a read for an organisation if the server's last position is not below at least; otherwise it fails
	// with kind Behind. The check and the read use the same connection.
	Read(ctx context.Context, organisation string, atLeast Position, s Statement) (Result, error)
	// Write runs the statement and its record in one database transaction of the primary of a term; at any other server it
	// has no effect and fails with kind NotPrimary. A record that already exists with the same
	// fingerprint gives the stored result with Replayed set; with another fingerprint it fails with kind RequestIDConflict.
	Write(ctx context.Context, organisation string, term uint64, r Record, s Statement) (Result, error)
	// Begin starts an interactive transaction for an organisation at the primary of a term; at any other server it fails
	// with kind NotPrimary.
	Begin(ctx context.Context, organisation string, term uint64) error
	// Run runs a statement inside the transaction.
	Run(ctx context.Context, s Statement) (Result, error)
	// Commit stores the record and commits the transaction.
	Commit(ctx context.Context, r Record) (Result, error)
	// Rollback ends the transaction without effect.
	Rollback(ctx context.Context) error
	// LookupRecord looks up a request id for an organisation.
	LookupRecord(ctx context.Context, organisation, requestID string) (RecordState, error)
	// RemoveRecords removes up to limit records of an organisation whose ids sort before an id, in one transaction, and
	// returns their number. Nothing is written if there are none.
	RemoveRecords(ctx context.Context, organisation, before string, limit int) (int64, error)
	// Await returns nil once a majority holds the position in that term. It fails with kind NotReplicated at the
	// timeout and with kind NotPrimary if the server is not primary in the term.
	Await(ctx context.Context, p Position, timeout time.Duration) error
	// Fence makes the server promise the term to the holder. It fails with kind StaleTerm if it promised another.
	Fence(ctx context.Context, term uint64, holder string) (Status, error)
	// Promote makes the server primary of a term that it promised to the holder.
	Promote(ctx context.Context, term uint64, holder string) (Status, error)
	// TryLane takes the session-level advisory lock of a lane, and reports whether it was free.
	TryLane(ctx context.Context, lane int) (bool, error)
	// Ping checks the connection.
	Ping(ctx context.Context) error
	// Reset returns the connection to a clean state. A connection that fails to reset must be closed.
	Reset(ctx context.Context) error
	// Clean reports whether no answer is outstanding and no transaction is open.
	Clean() bool
	// Close closes the connection. It is safe to call more than once.
	Close()
}

// Connector opens connections.
type Connector interface {
	Connect(ctx context.Context, s Server) (Conn, error)
}
