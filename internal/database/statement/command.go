package statement

import (
	"context"
	"time"

	"tanagercross/internal/database/driver"
)

// Command is one request on a server connection.
type Command interface{ command() }

// Commands. Only Forward carries a caller's statement.
type (
	// Reset drops session values and prepared statements.
	Reset struct{}
	// Assign sets a session value.
	Assign struct{ Value }
	// Define prepares a statement.
	Define struct{ Preparation }
	// Open starts a transaction. A read-only one needs no leader but the position After, if set.
	Open struct {
		ReadOnly bool
		After    driver.Position
	}
	// Close rolls the transaction back.
	Close struct{}
	// Forward runs a caller's statement; a read may require the position After.
	Forward struct {
		ID    string
		Body  Statement
		After driver.Position
	}
	// Status asks for the server's report.
	Status struct{}
	// Pause stops a replica from receiving, on behalf of a term above all known ones.
	Pause struct{ Term uint64 }
	// Resume lets a paused replica receive again.
	Resume struct{}
	// Demote makes a primary of a lower term a replica.
	Demote struct{ Term uint64 }
)

func (Reset) command()   {}
func (Assign) command()  {}
func (Define) command()  {}
func (Open) command()    {}
func (Close) command()   {}
func (Forward) command() {}
func (Status) command()  {}
func (Pause) command()   {}
func (Resume) command()  {}
func (Demote) command()  {}

// Report is a server's report about itself.
type Report struct {
	Role     driver.Role
	Term     uint64 // newest term that it knows
	Received driver.Position
}

// Conn is a connection to one server for one organisation. It is used by one goroutine at a time.
type Conn interface {
	// Run sends the commands in one write and returns their answers in order. It fails if an answer is missing at the
	// deadline or the connection breaks; the answers that came before are returned too.
	Run(deadline time.Time, commands ...Command) ([]Answer, error)
	// Report runs a command that is answered with the server's report.
	Report(deadline time.Time, c Command) (Report, error)
	// Close ends the connection; an open transaction is rolled back.
	Close()
}

// Target names a server and the organisation for which it is used.
type Target struct {
	Server       string // id
	Group        string
	Address      string
	Organisation string
}

// Dialer opens connections. Errors are *DialError.
type Dialer interface {
	Dial(ctx context.Context, t Target) (Conn, driver.Position, error)
}

// DialError says why a connection was not opened.
type DialError struct {
	Code    Code // set if the server refused: WrongServer, TooMany, Busy
	Refused bool // nothing listens at the address
	Err     error
}

// Error implements error.
func (e *DialError) Error() string { return "dial: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }
