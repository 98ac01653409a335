package statement

import (
	"context"
	"time"

	"tanagercross/internal/database/driver"
)

// Command is one request to a server on its connection.
type Command interface{ command() }

// Commands. Only Forward carries a caller's statement; the instance itself issues the others.
type (
	// Reset removes all session values and prepared statements of the connection.
	Reset struct{}
	// SetValue sets a session value.
	SetValue struct{ Value }
	// PrepareStatement prepares a statement.
	PrepareStatement struct{ Preparation }
	// OpenTransaction starts a transaction. Only a leader opens a read-write one. A read-only one is opened by any server
	// whose log holds the position After, or by any server at all if After is zero.
	OpenTransaction struct {
		ReadOnly bool
		After    driver.Position
	}
	// CloseTransaction rolls the open transaction back.
	CloseTransaction struct{}
	// Forward runs a caller's statement. A server whose log lacks the position After refuses a read with code Behind.
	Forward struct {
		ID    string
		Body  Statement
		After driver.Position
	}
	// Status requests the server's report.
	Status struct{}
	// PauseReplication makes a replica stop receiving the log before a change of primary. The term is that of the
	// change, above all known ones.
	PauseReplication struct{ Term uint64 }
	// ResumeReplication lets a paused replica receive the log again.
	ResumeReplication struct{}
	// Demote turns a primary of a lower term into a replica.
	Demote struct{ Term uint64 }
)

func (Reset) command()             {}
func (SetValue) command()          {}
func (PrepareStatement) command()  {}
func (OpenTransaction) command()   {}
func (CloseTransaction) command()  {}
func (Forward) command()           {}
func (Status) command()            {}
func (PauseReplication) command()  {}
func (ResumeReplication) command() {}
func (Demote) command()            {}

// Report is a server's report about itself.
type Report struct {
	Role     driver.Role
	Term     uint64          // newest term that the server knows
	Received driver.Position // newest log position that the server holds
	HeldTerm uint64          // term of the PauseReplication in effect, 0 if the server receives the log
}

// Conn is a connection to one server for one organisation. It is used by one goroutine at a time.
type Conn interface {
	// Run sends the commands in one write and returns their answers in order. If an answer is missing at the deadline or
	// the connection breaks, it returns an error and the answers that arrived before.
	Run(deadline time.Time, commands ...Command) ([]Answer, error)
	// Report runs a command that is answered with the server's report: Status, PauseReplication, ResumeReplication or
	// Demote.
	Report(deadline time.Time, c Command) (Report, error)
	// Reusable reports whether the connection can carry further commands, because no answer is still on its way.
	Reusable() bool
	// Refused reports whether the connection has carried an error other than Behind, so that an equal one is not proven.
	Refused() bool
	// Strays returns how many answers were dropped because they belonged to no command that waited.
	Strays() int
	// ProvesOpening reports whether the answer to OpenTransaction will be proven if the server's log holds the position.
	ProvesOpening(p driver.Position) bool
	// Close closes the connection. The server rolls an open transaction back.
	Close()
}

// Target identifies a server and the organisation on whose behalf a connection to it is opened.
type Target struct {
	Server       string // id
	Group        string
	Address      string
	Organisation string
}

// Dialer opens connections to servers.
type Dialer interface {
	// Dial returns a connection and the log position that the server gave at its start. Errors are *DialError.
	Dial(ctx context.Context, t Target) (Conn, driver.Position, error)
}

// DialError is the reason why a connection could not be opened.
type DialError struct {
	Code    Code // set if the server refused the connection: WrongServer, TooMany or Busy
	Refused bool // nothing listens at the address
	Err     error
}

// Error implements error.
func (e *DialError) Error() string { return "dial: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }
