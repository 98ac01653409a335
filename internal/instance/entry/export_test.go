package entry

import (
	"context"
	"time"

	"tanagercross/internal/fleet/belief"
)

// Table returns what an instance knows.
func (n *Node) Table() *belief.Table { return n.table }

// Repeated makes a call until one succeeds.
func Repeated(ctx context.Context, pause time.Duration, call func(context.Context) (int, error)) (int, error) {
	return repeated(ctx, pause, call)
}
