package entry_test

import (
	"context"
	"errors"
	"sync/atomic"
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

// Guards against an instance that starts while the store is silent and finds out only at a time-out that it is back.
func TestFirstReadIsRepeated(t *testing.T) {
	var calls atomic.Int64
	began := time.Now()
	n, err := entry.Repeated(t.Context(), 50*time.Millisecond, func(ctx context.Context) (int, error) {
		if calls.Add(1) < 4 {
			<-ctx.Done()
			return 0, ctx.Err()
		}
		return 7, nil
	})
	if took := time.Since(began); n != 7 || err != nil || took > time.Second {
		t.Errorf("got %d, %v after %v, want 7 at the fourth call", n, err, took)
	}
}

// Guards against calls without a pause to a store that refuses, and against a lost error.
func TestRefusedFirstReadIsRepeatedAtItsPace(t *testing.T) {
	var calls atomic.Int64
	refused := errors.New("refused")
	ctx, cancel := context.WithTimeout(t.Context(), 220*time.Millisecond)
	defer cancel()
	_, err := entry.Repeated(ctx, 50*time.Millisecond, func(context.Context) (int, error) {
		calls.Add(1)
		return 0, refused
	})
	if n := calls.Load(); !errors.Is(err, refused) || n > 6 {
		t.Errorf("%v after %d calls, want refused after at most 5", err, n)
	}
}
