package entry_test

import (
	"context"
	"testing"
	"time"

	"tanagercross/internal/fleet/belief"
	"tanagercross/internal/instance/entry"
)

// slowMembers is a store that tells who the other instances are only after a while.
type slowMembers struct {
	entry.Store
	released chan struct{}
}

func (s slowMembers) Members(ctx context.Context) (belief.Rows, error) {
	select {
	case <-s.released:
		return s.Store.Members(ctx)
	case <-ctx.Done():
		return belief.Rows{}, ctx.Err()
	}
}

// Guards against an instance that serves callers before it knows the others, and so uses all servers by itself.
func TestCallersWaitForTheListOfInstances(t *testing.T) {
	f := newFleet(t, "agreste")
	store := slowMembers{Store: f.cluster.Store("i2"), released: make(chan struct{})}
	n := f.startAt("i2", "agreste", store)
	f.eventually("the configuration", func() bool { return n.Table().Configuration().Version > 0 })
	started := make(chan struct{})
	go func() {
		defer close(started)
		n.Session("bookings", keyText)
	}()
	select {
	case <-started:
		t.Error("a session started before the other instances are known")
	case <-time.After(200 * time.Millisecond):
	}
	close(store.released)
	select {
	case <-started:
	case <-time.After(2 * time.Second):
		t.Error("no session after the other instances are known")
	}
}
