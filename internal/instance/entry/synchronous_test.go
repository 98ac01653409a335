package entry_test

import (
	"testing"
	"time"

	"tanagercross/internal/fleet/catalog"
)

// requireSyncReplica makes commits in the group meals wait until one replica has received them.
func (f *fleet) requireSyncReplica() {
	f.cluster.Synchronous("meals")
	next := configuration(2, 100_000, keyText)
	f.cluster.Configure(next.WithGroup(catalog.Group{Name: "meals", ConnectionLimit: 40, SyncReplicas: 1}))
}

// replicateOnlyToLitoral makes commits in the group wait for a replica, and lets the replica of sertao receive nothing, so that only
// the one of litoral receives them.
func (f *fleet) replicateOnlyToLitoral() {
	f.t.Helper()
	f.requireSyncReplica()
	for _, n := range f.nodes {
		f.eventually("the configuration", func() bool { return n.Table().Configuration().Version == 2 })
	}
	f.cluster.Deafen("meals-sertao", true)
}

// awaitUnlisted waits until no instance lists a server.
func (f *fleet) awaitUnlisted(server string) {
	f.t.Helper()
	for _, n := range f.nodes {
		f.eventually(server+" unlisted", func() bool { _, listed := n.Table().Servers().Server(server); return !listed })
	}
}

// mustWriteOne writes the value 1 and requires an acknowledgement.
func (s *caller) mustWriteOne() {
	s.f.t.Helper()
	if a := s.write("plates", "1"); !a.OK() {
		s.f.t.Fatalf("write: %+v", a)
	}
}

// awaitReadOne waits until a read succeeds, and checks that it returns the value of mustWriteOne.
func (s *caller) awaitReadOne() {
	s.f.t.Helper()
	s.f.eventually("a read of the acknowledged write", func() bool { return s.read("plates").OK() })
	if a := s.read("plates"); !a.OK() || a.Rows[0] != "1" {
		s.f.t.Errorf("read %+v, want 1", a)
	}
}

// Guards against the loss of an acknowledged write by a promotion without the report of a replica that has just returned:
// the known list of servers does not contain it yet, and no other replica has the write.
func TestReplicaReturnsBeforePrimaryFails(t *testing.T) {
	f := newFleet(t, "agreste", "sertao", "litoral")
	f.replicateOnlyToLitoral()
	f.cluster.Crash("meals-litoral")
	f.awaitUnlisted("meals-litoral")
	f.cluster.Restart("meals-litoral")
	s := f.session(1, "bookings")
	s.mustWriteOne()
	f.cluster.Crash("meals-agreste")
	s.awaitReadOne()
}

// Guards against the promotion of a replica that lacks acknowledged writes, when the replica that has them crashes together
// with the primary.
func TestReplicaFailsWithPrimary(t *testing.T) {
	f := newFleet(t, "agreste", "sertao", "litoral")
	f.replicateOnlyToLitoral()
	s := f.session(1, "bookings")
	s.mustWriteOne()
	f.cluster.Crash("meals-litoral")
	f.cluster.Crash("meals-agreste")
	time.Sleep(1500 * time.Millisecond)
	if n := f.cluster.Promotions(); n != 0 {
		t.Errorf("%d promotions without the replica that has the write, want none", n)
	}
	f.cluster.Restart("meals-litoral")
	s.awaitReadOne()
}

// Guards against the promotion of a replica that lacks acknowledged writes, because the replica that has them is leaving.
func TestPrimaryFailsWhileReplicaLeaves(t *testing.T) {
	f := newFleet(t, "agreste", "sertao", "litoral")
	f.replicateOnlyToLitoral()
	s := f.session(1, "bookings")
	s.mustWriteOne()
	f.cluster.Drain("meals-litoral")
	for _, n := range f.nodes {
		f.eventually("the replica leaves", func() bool { r, _ := n.Table().Servers().Server("meals-litoral"); return r.Leaving })
	}
	f.cluster.Crash("meals-agreste")
	s.awaitReadOne()
}

// Guards against a group that never gets another primary because a replica was removed for good long before.
func TestPrimaryFailsLongAfterReplica(t *testing.T) {
	f := newFleet(t, "agreste", "sertao", "litoral")
	f.requireSyncReplica()
	f.cluster.Crash("meals-litoral")
	f.awaitUnlisted("meals-litoral")
	s := f.session(1, "bookings")
	f.eventually("a write", func() bool { return s.write("plates", "1").OK() })
	time.Sleep(12 * time.Second)
	f.cluster.Crash("meals-agreste")
	// Only a read is checked: no replica is left, and a write would wait for one.
	f.eventually("a read at another primary", func() bool { return s.read("plates").OK() })
}

// awaitChange waits until another server than the given one is the primary of the group.
func (f *fleet) awaitChange(old string) {
	f.t.Helper()
	f.eventually("another primary than "+old, func() bool {
		p := f.cluster.Primary("meals")
		return p != "" && p != old
	})
}

// release lets a primary leave and waits until another server is the primary of the group.
func (f *fleet) release(primary string) {
	f.t.Helper()
	f.cluster.Drain(primary)
	f.awaitChange(primary)
}

// Guards against the promotion of a replica while the leaving primary still acknowledges commits, because it was too busy to
// report its status.
func TestBusyLeavingPrimaryIsDemoted(t *testing.T) {
	f := newFleet(t, "agreste", "sertao", "litoral")
	f.requireSyncReplica()
	f.cluster.RefuseStatus("meals-agreste")
	f.release("meals-agreste")
}

// Guards against the promotion of a replica while a leaving primary that answers no demotion still acknowledges commits
// through the other replica.
func TestReplicasOfUndemotedPrimaryArePaused(t *testing.T) {
	f := newFleet(t, "agreste", "sertao", "litoral")
	f.requireSyncReplica()
	f.cluster.RefuseDemotion("meals-agreste")
	f.release("meals-agreste")
}

// Guards against a leaving primary without synchronous replicas that leads until it stops, because it answers no demotion.
func TestUndemotedPrimaryIsReplacedBeforeItStops(t *testing.T) {
	f := newFleet(t, "agreste", "sertao", "litoral")
	f.cluster.RefuseDemotion("meals-agreste")
	f.release("meals-agreste")
}
