package entry_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"tanagercross/internal/fleet/view"
	"tanagercross/internal/instance/entry"
)

// slowMembers is a store that tells who the other instances are only after a while.
type slowMembers struct {
	entry.Store
	released chan struct{}
}

func (s slowMembers) Members(ctx context.Context) (view.Rows, error) {
	select {
	case <-s.released:
		return s.Store.Members(ctx)
	case <-ctx.Done():
		return view.Rows{}, ctx.Err()
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

// silentStore answers no read of the configuration and counts them.
type silentStore struct {
	entry.Store
	calls *atomic.Int64
}

func (s silentStore) Configuration(ctx context.Context) (view.Rows, error) {
	s.calls.Add(1)
	<-ctx.Done()
	return view.Rows{}, ctx.Err()
}

// Guards against an instance that goes on repeating its first read, each of which is paid, while the store stays silent.
func TestFirstReadsSlowDown(t *testing.T) {
	f := newFleet(t, "agreste")
	f.nodes[0].Stop()
	store := silentStore{Store: f.cluster.Store("i2"), calls: new(atomic.Int64)}
	f.startAt("i2", "litoral", store)
	time.Sleep(time.Second)
	if n := store.calls.Load(); n < 3 {
		t.Errorf("%d reads in the first second, want one each 250 ms", n)
	}
	time.Sleep(5 * time.Second)
	before := store.calls.Load()
	time.Sleep(2 * time.Second)
	if n := store.calls.Load() - before; n > 3 {
		t.Errorf("%d reads in 2 s after the start, want one in 1.4 s", n)
	}
}
