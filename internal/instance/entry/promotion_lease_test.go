package entry_test

import (
	"net"
	"testing"
	"time"

	"tanagercross/internal/fleet/roster"
)

// Guards against a change of primary that waits for a holder of the promotion lease that does not answer, for longer than
// the lease lasts.
func TestUnresponsiveLeaseHolderIsNotAwaited(t *testing.T) {
	const leaseDuration = time.Second
	f := newFleet(t, "agreste", "sertao", "litoral")
	silent, err := net.Listen("tcp", "127.0.0.1:0") // accepts and never answers
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	store := f.cluster.Store("frozen")
	if err := store.Announce(t.Context(), roster.Member{Name: "frozen", Address: silent.Addr().String(), Place: "litoral"}); err != nil {
		t.Fatal(err)
	}
	for _, n := range f.nodes {
		f.eventuallyWithin(12*time.Second, "the frozen instance in the member list", func() bool { _, ok := n.Table().Roster().Member("frozen"); return ok })
	}
	f.cluster.Crash("meals-agreste")
	start := time.Now()
	if _, err := store.Claim(t.Context(), "promotion", "frozen", 0, leaseDuration); err != nil {
		t.Fatal(err)
	}
	f.eventually("another primary", func() bool { return f.cluster.Promotions() > 0 })
	if took := time.Since(start); took > leaseDuration+500*time.Millisecond {
		t.Errorf("another primary after %v, want at most 500 ms after the end of the lease of %v", took, leaseDuration)
	}
}
