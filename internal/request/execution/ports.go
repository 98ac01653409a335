package execution

import (
	"context"
	"maps"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/operation"
	"tanagercross/internal/session/outcome"
	"tanagercross/internal/session/route"
)

// Ports are what the entry path needs from the rest of the instance. All are safe for concurrent use.
type Ports struct {
	Keys          Keys
	Freshness     Freshness
	Rates         Rates
	Configuration Configuration
	Tokens        Tokens
	Router        Router
	Performer     Performer
	Clock         Clock
	Counter       Counter
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
	Reach(ctx context.Context, version uint64) bool
}

// Positions holds one position per group.
type Positions map[string]driver.Position

// Session is the content of a session token. It is not changed in place.
type Session struct {
	Organisation  string
	ID            string
	Positions     Positions
	Configuration uint64
}

// WithPosition returns a copy that is at least at a position in a group.
func (s Session) WithPosition(group string, p driver.Position) Session {
	if s.Positions[group].Compare(p) >= 0 {
		return s
	}
	positions := maps.Clone(s.Positions)
	if positions == nil {
		positions = make(Positions)
	}
	positions[group] = p
	s.Positions = positions
	return s
}

// Tokens reads and writes session tokens.
type Tokens interface {
	// Verify fails for a token whose tag or form is wrong.
	Verify(token string) (Session, error)
	Issue(s Session) string
}

// Query asks for a server for a read.
type Query struct {
	Group    string
	Mode     route.Mode
	AtLeast  driver.Position
	MaxAge   time.Duration // for mode MaxAge
	Excluded []string      // servers that were tried for this request
	Waited   bool          // the bounded wait for a replica has been used
}

// Choice is a server for one attempt.
type Choice struct {
	Server  string
	Role    driver.Role
	Term    uint64          // term of the group
	AtLeast driver.Position // for a read: to check on the connection
	Wait    time.Duration   // if positive, ask again after this time; a replica is about to catch up
	Cause   route.Reason
}

// Router chooses servers from what the instance knows of the groups.
type Router interface {
	Known(group string) bool
	// Read returns no_server or no_primary as the reason if there is no choice.
	Read(q Query) (Choice, outcome.Reason)
	// Write returns the primary and its term, or no_primary as the reason.
	Write(group string) (Choice, outcome.Reason)
	// Term returns the highest term known of a group, whether or not its primary is known.
	Term(group string) uint64
	// Observe records a position that a server was seen at.
	Observe(group, server string, p driver.Position)
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
