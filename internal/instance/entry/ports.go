package entry

import (
	"context"
	"errors"
	"time"

	"tanagercross/internal/fleet/roster"
	"tanagercross/internal/fleet/view"
)

// Errors of the ports.
var (
	// ErrCompacted says that the history that was asked for is gone.
	ErrCompacted = errors.New("history is gone")
	// ErrConflict says that the platform refused a call because of its token or its target.
	ErrConflict = errors.New("refused")
	// ErrUncertain says that a call may have been carried out.
	ErrUncertain = errors.New("no answer")
)

// Claim is who holds a duty.
type Claim struct {
	Holder    string
	Token     uint64
	Remaining time.Duration // until another instance may take the duty
}

// Store is the platform's store as an instance uses it.
type Store interface {
	// Configuration reads the configuration row.
	Configuration(ctx context.Context) (view.Rows, error)
	// AwaitConfiguration returns the configuration row if it changes after a version within the wait, else no row.
	AwaitConfiguration(ctx context.Context, after uint64, wait time.Duration) (view.Rows, error)
	// Servers reads the servers' rows.
	Servers(ctx context.Context) (view.Rows, error)
	// Members reads the instances' rows.
	Members(ctx context.Context) (view.Rows, error)
	// Announce writes the row of an instance.
	Announce(ctx context.Context, m roster.Member) error
	// Forget removes the row of an instance if it still has a version.
	Forget(ctx context.Context, name string, version uint64) error
	// Claim takes or renews a duty for an instance unless another one holds it. The token of a claim is above the given one.
	Claim(ctx context.Context, duty, holder string, above uint64, lease time.Duration) (Claim, error)
}

// Promoter names the server that is to lead a group.
type Promoter interface {
	Promote(ctx context.Context, holder string, token uint64, group, server string) error
}
