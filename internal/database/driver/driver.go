// Package driver defines the interface between the proxy and a database server: connections, statements, log positions,
// statuses and errors.
//
// It does not depend on a database protocol. Supporting another one takes another adapter package that implements
// Connector and Conn.
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

// Position identifies an entry of a group's log. Positions are ordered by term, then by index.
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

// Server is one database server as the platform lists it.
type Server struct {
	Name            string
	Group           string
	Place           string
	Address         string // host:port
	Slots           int    // statements the server runs at the same time
	ConnectionLimit int
	Leaving         bool // the platform is about to remove the server
}

// Role is the role in its group that a server reports.
type Role string

// Roles of a server.
const (
	Primary Role = "primary"
	Replica Role = "replica"
	Fenced  Role = "fenced" // promised a term whose primary the server does not know yet
)

// Status is what a server reports about itself.
type Status struct {
	Server          string
	Role            Role
	Term            uint64 // highest promised term
	Holder          string // holder to which the server promised Term
	Last            Position
	Primary         string        // name of the primary from which the server replicates, if any
	PrimaryContact  time.Duration // time since the last message from the primary; 0 at the primary
	ReplicatedIndex uint64        // highest index held by a majority in Term; only at the primary
}

// Statement is an SQL statement with arguments in text format; a nil argument is NULL.
type Statement struct {
	SQL       string
	Arguments []*string
}

// Result is the result of one statement in text format; a nil value is NULL.
type Result struct {
	Columns      []string
	Rows         [][]*string
	RowsAffected int64
	Position     Position // log position of the server when it answered
	Replayed     bool     // the result comes from the stored record of an earlier execution
	Truncated    bool     // the stored record does not contain the rows
}

// Size returns the number of bytes of the column names and values.
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

// Record identifies a write for at-most-once execution. The server stores it in the write's transaction.
type Record struct {
	RequestID   string
	Fingerprint string // hash of organisation, group, statements and arguments
}

// RecordState is the result of looking up the record of a request id.
type RecordState struct {
	Found       bool
	Fingerprint string
	Result      Result
	Position    Position // the record, if found, was written at or before this position
}

// Conn is a connection to one server. It runs one call at a time and is not safe for concurrent use.
type Conn interface {
	// Status returns the server's report about itself.
	Status(ctx context.Context) (Status, error)
	// Read runs a read for an organisation if the server's last position is not below atLeast; otherwise it fails
	// with kind Behind. The check and the read use the same connection.
	Read(ctx context.Context, organisation string, atLeast Position, s Statement) (Result, error)
	// Write runs the statement and stores its record in one transaction on the primary of a term; on any other server it
	// has no effect and fails with kind NotPrimary. If a record of the request id exists, the statement does not run:
	// with the same fingerprint, Write returns the stored result with Replayed set; with another one it fails with kind
	// RequestIDConflict.
	Write(ctx context.Context, organisation string, term uint64, r Record, s Statement) (Result, error)
	// Begin starts an interactive transaction for an organisation on the primary of a term; on any other server it fails
	// with kind NotPrimary.
	Begin(ctx context.Context, organisation string, term uint64) error
	// Run runs a statement in the transaction.
	Run(ctx context.Context, s Statement) (Result, error)
	// Commit stores the record and commits the transaction.
	Commit(ctx context.Context, r Record) (Result, error)
	// Rollback rolls the transaction back.
	Rollback(ctx context.Context) error
	// LookupRecord looks up the record of an organisation's request id.
	LookupRecord(ctx context.Context, organisation, requestID string) (RecordState, error)
	// RemoveRecords deletes up to limit records of an organisation whose request ids sort before the given id, in one
	// transaction, and returns their number. Nothing is written if there are none.
	RemoveRecords(ctx context.Context, organisation, before string, limit int) (int64, error)
	// Await waits until a majority holds the position in its term. It fails with kind NotReplicated after the timeout and
	// with kind NotPrimary if the server is not primary in the term.
	Await(ctx context.Context, p Position, timeout time.Duration) error
	// Fence makes the server promise the term to the holder. It fails with kind StaleTerm if the server promised a higher
	// term, or this one to another holder.
	Fence(ctx context.Context, term uint64, holder string) (Status, error)
	// Promote makes the server primary of a term that it promised to the holder. It fails with kind StaleTerm if the
	// server's newest promise is another one, or if the server already follows another primary of the term.
	Promote(ctx context.Context, term uint64, holder string) (Status, error)
	// TryLane tries to acquire the session-level advisory lock of a lane without waiting, and reports whether it did.
	TryLane(ctx context.Context, lane int) (bool, error)
	// Ping checks that the server answers on the connection.
	Ping(ctx context.Context) error
	// Reset rolls back an open transaction and discards all session state, so that the connection can be reused. A
	// connection that fails to reset must be closed.
	Reset(ctx context.Context) error
	// Clean reports whether no answer is outstanding and no transaction is open.
	Clean() bool
	// Close closes the connection. It is safe to call more than once.
	Close()
}

// Connector opens connections to servers.
type Connector interface {
	// Connect opens a connection. It fails with kind TooManyConnections if the server is at its connection limit.
	Connect(ctx context.Context, s Server) (Conn, error)
}
