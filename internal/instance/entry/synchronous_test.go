package entry_test

import (
	"context"
	"testing"
	"time"

	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/catalog"
)

// awaitReplica makes the commits of the group wait for a replica.
func (f *fleet) awaitReplica() {
	f.cluster.Synchronous("meals")
	next := configuration(2, 100_000, keyText)
	f.cluster.Configure(next.WithGroup(catalog.Group{Name: "meals", ConnectionLimit: 40, SyncReplicas: 1}))
}

// synchronous makes the commits of the group wait for a replica, and lets the replica of sertao receive nothing, so that
// only the one of litoral has them.
func (f *fleet) synchronous() {
	f.t.Helper()
	f.awaitReplica()
	for _, n := range f.nodes {
		f.eventually("the configuration", func() bool { return n.Table().Configuration().Version == 2 })
	}
	conn, _, err := f.cluster.Dialer("test").Dial(context.Background(), statement.Target{Server: "meals-sertao", Organisation: "coop"})
	if err != nil {
		f.t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Report(time.Now().Add(time.Second), statement.PauseReplication{Term: 9}); err != nil {
		f.t.Fatal(err)
	}
}

// unlisted waits until no instance lists a server.
func (f *fleet) unlisted(server string) {
	f.t.Helper()
	for _, n := range f.nodes {
		f.eventually(server+" unlisted", func() bool { _, listed := n.Table().Servers().Server(server); return !listed })
	}
}

// writeOne writes a value that must not be lost once it is acknowledged.
func (s *caller) writeOne() {
	s.f.t.Helper()
	if a := s.write("plates", "1"); !a.OK() {
		s.f.t.Fatalf("write: %+v", a)
	}
}

// readsOne waits until the caller is served again, and checks that the value is there.
func (s *caller) readsOne() {
	s.f.t.Helper()
	s.f.eventually("a read of the acknowledged write", func() bool { return s.read("plates").OK() })
	if a := s.read("plates"); !a.OK() || a.Rows[0] != "1" {
		s.f.t.Errorf("read %+v, want 1", a)
	}
}

// Guards against a promotion without the report of a replica that has just come back: the list of servers does not have
// it yet, and no other replica has the last acknowledged write.
func TestReplicaReturnsBeforeThePrimaryDies(t *testing.T) {
	f := newFleet(t, "agreste", "sertao", "litoral")
	f.synchronous()
	f.cluster.Crash("meals-litoral")
	f.unlisted("meals-litoral")
	f.cluster.Restart("meals-litoral")
	s := f.session(1, "bookings")
	s.writeOne()
	f.cluster.Crash("meals-agreste")
	s.readsOne()
}

// Guards against a promotion of a replica that lacks acknowledged writes, when the one that has them dies together with
// the primary.
func TestReplicaDiesWithThePrimary(t *testing.T) {
	f := newFleet(t, "agreste", "sertao", "litoral")
	f.synchronous()
	s := f.session(1, "bookings")
	s.writeOne()
	f.cluster.Crash("meals-litoral")
	f.cluster.Crash("meals-agreste")
	time.Sleep(1500 * time.Millisecond)
	if n := f.cluster.Promotions(); n != 0 {
		t.Errorf("%d promotions without the replica that may have the write", n)
	}
	f.cluster.Restart("meals-litoral")
	s.readsOne()
}

// Guards against a promotion of a replica that stays but lacks what one that leaves has received.
func TestPrimaryDiesWhileAReplicaLeaves(t *testing.T) {
	f := newFleet(t, "agreste", "sertao", "litoral")
	f.synchronous()
	s := f.session(1, "bookings")
	s.writeOne()
	f.cluster.Drain("meals-litoral")
	for _, n := range f.nodes {
		f.eventually("the replica leaves", func() bool { r, _ := n.Table().Servers().Server("meals-litoral"); return r.Leaving })
	}
	f.cluster.Crash("meals-agreste")
	s.readsOne()
}

// Guards against a group that never gets another primary because a replica left for good long before.
func TestPrimaryDiesLongAfterAReplica(t *testing.T) {
	f := newFleet(t, "agreste", "sertao", "litoral")
	f.awaitReplica()
	f.cluster.Crash("meals-litoral")
	f.unlisted("meals-litoral")
	s := f.session(1, "bookings")
	f.eventually("a write", func() bool { return s.write("plates", "1").OK() })
	time.Sleep(12 * time.Second)
	f.cluster.Crash("meals-agreste")
	// A write would wait for a replica.
	f.eventually("a read at another primary", func() bool { return s.read("plates").OK() })
}
