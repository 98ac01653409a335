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

// Ports are what the entry path needs from the rest of the instance. All are safe for concurrent use.
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
	Place         string // of the instance; replicas of the same place come first
}

// Keys finds the organisation of a key by the hex SHA-256 of the key.
type Keys interface {
	// Organisation returns key_unknown or key_withdrawn as the reason if the key is not valid.
	Organisation(keyHash string) (string, outcome.Reason)
}

// Freshness tells whether the instance may admit requests and give answers.
type Freshness interface {
	Fresh(now time.Time) bool
}

// Rates takes rate tokens.
type Rates interface {
	// Take takes one token; the reason is "", rate_exceeded or rate_home_unavailable.
	Take(ctx context.Context, organisation string) outcome.Reason
}

// Configuration tells which version of the configuration is in force here.
type Configuration interface {
	Version() uint64
	// Reach brings the instance to at least a version and reports whether it is there.
	EnsureVersion(ctx context.Context, version uint64) bool
	// Limits returns what is in force for an organisation.
	Limits(organisation string) Limits
}

// Limits bound the requests of an organisation. Zero bounds nothing.
type Limits struct {
	StatementBytes int64
	AnswerBytes    int64
	ReplicaWait    time.Duration // as in route.Read
}

// Groups tells what the instance knows of the database groups.
type Groups interface {
	View() *group.View
	// Observe records the position that a server answered with to a question that was sent at asked.
	ObservePosition(server string, p driver.Position, requestedAt time.Time)
}

// Performer runs operations on a server through any instance that holds a lane of it. A verdict not_run says that the
// operation was provably not run; an operation that was sent to another instance without an answer is unknown.
type Performer interface {
	// Perform also returns the name of the instance that ran the operation.
	Perform(ctx context.Context, server string, op operation.Operation) (operation.Reply, string)
	// PerformAt runs an operation of a transaction at the instance that holds it.
	PerformAt(ctx context.Context, holder, server string, op operation.Operation) operation.Reply
}

// Clock gives the time and waits. Now carries the wall time, because request ids carry it.
type Clock interface {
	Now() time.Time
	// Sleep reports false if the context ended first.
	Sleep(ctx context.Context, d time.Duration) bool
}

// Counter counts by reason.
type Counter interface {
	Refused(o outcome.Outcome, r outcome.Reason)
	Retried(r outcome.Reason)
	// Read counts a read by the role of its server and the reason of the choice.
	Read(role driver.Role, cause route.Reason)
}
