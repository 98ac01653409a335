package execution

import (
	"context"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/group"
	"tanagercross/internal/database/operation"
	"tanagercross/internal/session/outcome"
	"tanagercross/internal/session/route"
	"tanagercross/internal/session/token"
)

// Ports are the parts of the instance that an Engine uses. All must be safe for concurrent use.
type Ports struct {
	Keys          Keys
	Freshness     Freshness
	Rates         Rates
	Configuration Configuration
	Signer        *token.Signer
	Groups        Groups
	Performer     Performer
	Clock         Clock
	Counter       Counter
	Place         string // place of the instance; reads prefer replicas of the same place
}

// Keys finds the organisation of an API key by the hex SHA-256 of the key.
type Keys interface {
	// Organisation returns key_unknown or key_withdrawn as the reason if the key is not valid.
	Organisation(keyHash string) (string, outcome.Reason)
}

// Freshness reports whether the instance may admit requests and give answers. It may not while its copy of the keys and
// the configuration is too old.
type Freshness interface {
	Fresh(now time.Time) bool
}

// Rates limits the requests of an organisation by tokens.
type Rates interface {
	// Take takes one token. The reason is "" on success, otherwise rate_exceeded or rate_home_unavailable.
	Take(ctx context.Context, organisation string) outcome.Reason
}

// Configuration is the configuration in force at this instance.
type Configuration interface {
	Version() uint64
	// EnsureVersion brings the instance to at least the given version, by a read of the store if needed, and reports
	// whether it has that version.
	EnsureVersion(ctx context.Context, version uint64) bool
	// Limits returns the limits in force for an organisation.
	Limits(organisation string) Limits
}

// Limits bound the requests of an organisation. A size of zero means no limit.
type Limits struct {
	StatementBytes int64         // largest text of a statement
	AnswerBytes    int64         // largest result, as in driver.Result.Size
	ReplicaWait    time.Duration // as in route.Read
}

// Groups holds the state of the database groups as this instance knows it.
type Groups interface {
	View() *group.View
	// ObservePosition records the position that a server returned for an operation that was sent at requestedAt.
	ObservePosition(server string, p driver.Position, requestedAt time.Time)
}

// Performer runs operations on a server through any instance that holds a lane of the server, which is an advisory lock
// that entitles the holder to connections. The outcome not_run means that the operation was provably not run. The
// outcome of an operation that was sent to another instance and got no answer is unknown.
type Performer interface {
	// Perform runs an operation and also returns the name of the instance that ran it.
	Perform(ctx context.Context, server string, op operation.Operation) (operation.Reply, string)
	// PerformAt runs an operation of an open transaction at the instance that holds its connection.
	PerformAt(ctx context.Context, holder, server string, op operation.Operation) operation.Reply
}

// Clock gives the time and waits. Now must include the wall time, to which the time in request ids is compared.
type Clock interface {
	Now() time.Time
	// Sleep waits for d and reports false if the context ended first.
	Sleep(ctx context.Context, d time.Duration) bool
}

// Counter counts requests for metrics.
type Counter interface {
	// Refused counts a request whose outcome is not Done, unknown outcomes included.
	Refused(o outcome.Outcome, r outcome.Reason)
	// Retried counts a retry by the reason why the attempt before failed.
	Retried(r outcome.Reason)
	// Read counts an answered read by the role of its server and the reason for choosing that server.
	Read(role driver.Role, cause route.Reason)
}
