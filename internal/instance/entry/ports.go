package entry

import (
	"context"
	"errors"
	"time"

	"tanagercross/internal/fleet/roster"
	"tanagercross/internal/fleet/view"
)

// Errors that implementations of Store and Promoter return.
var (
	// ErrCompacted means that changes since the requested version are no longer available.
	ErrCompacted = errors.New("history is gone")
	// ErrConflict means that the platform refused a call because of its fencing token or its target.
	ErrConflict = errors.New("refused")
	// ErrUncertain means that a call was not answered and may have been carried out.
	ErrUncertain = errors.New("no answer")
)

// Claim is the state of a lease in the store.
type Claim struct {
	Holder    string
	Token     uint64        // fencing token, which increases with each new holder
	Remaining time.Duration // time until another instance may acquire the lease
}

// Store is the platform's store as an instance uses it.
type Store interface {
	// Configuration reads the configuration row and the evacuations.
	Configuration(ctx context.Context) (view.OperatorRows, error)
	// AwaitConfiguration waits for a change of the configuration row or of the evacuations after a version. It returns the
	// rows that changed, or none if nothing changed within the wait.
	AwaitConfiguration(ctx context.Context, after uint64, wait time.Duration) (view.OperatorRows, error)
	// Servers reads the servers' rows.
	Servers(ctx context.Context) (view.Rows, error)
	// Members reads the instances' rows.
	Members(ctx context.Context) (view.Rows, error)
	// Announce writes the row of an instance.
	Announce(ctx context.Context, m roster.Member) error
	// Forget removes the row of an instance unless its version has changed.
	Forget(ctx context.Context, name string, version uint64) error
	// ReplicaSet reads the record of a group's replica set.
	ReplicaSet(ctx context.Context, group string) (ReplicaSetRecord, error)
	// PutReplicaSet writes the record of a group's replica set, unless the version of its row has changed.
	PutReplicaSet(ctx context.Context, group string, r ReplicaSetRecord) error
	// Claim acquires or renews a lease for an instance, with a token above the given one. If another instance holds it,
	// the returned claim names that one.
	Claim(ctx context.Context, leaseName, holder string, above uint64, lease time.Duration) (Claim, error)
}

// Promoter orders the platform to promote servers.
type Promoter interface {
	// Promote makes a server the primary of its group. It is refused with ErrConflict if a higher token was used before.
	Promote(ctx context.Context, holder string, token uint64, group, server string) error
}
