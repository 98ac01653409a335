package entry_test

import (
	"testing"
	"time"

	"tanagercross/internal/database/statement"
)

// laggingReplicas lets both replicas receive the value 1 and not the value 2, which the primary acknowledges.
func (f *fleet) laggingReplicas(s *caller) {
	f.t.Helper()
	f.eventually("a write", func() bool { return s.write("plates", "1").OK() })
	f.cluster.Replicate()
	f.cluster.Silence("meals-sertao")
	f.cluster.Silence("meals-litoral")
	f.eventually("another write", func() bool { return s.write("plates", "2").OK() })
}

// Guards against the loss of an acknowledged write by an evacuation without synchronous replicas: no replica has the write
// when the primary is to be replaced, and one reports again later.
func TestEvacuationWaitsForAReplica(t *testing.T) {
	f := newFleet(t, "agreste", "sertao", "litoral")
	s := f.session(1, "bookings")
	f.laggingReplicas(s)
	f.cluster.Evacuate("agreste")
	f.learns("agreste", true, 0, 1, 2)
	time.Sleep(4500 * time.Millisecond)
	if p := f.cluster.Primary("meals"); p != "meals-agreste" {
		t.Errorf("%q leads while no replica reports, want the primary from before", p)
	}
	f.cluster.Restart("meals-sertao")
	f.eventuallyWithin(8*time.Second, "the replica leads", func() bool { return f.cluster.Primary("meals") == "meals-sertao" })
	if v := f.cluster.Value("meals", "plates"); v != "2" {
		t.Errorf("value %q, want the acknowledged 2", v)
	}
}

// Guards against a group that stays without a primary because the demoted one, which runs, is never promoted again.
func TestWithdrawnEvacuationOfPrimary(t *testing.T) {
	f := newFleet(t, "agreste", "sertao", "litoral")
	s := f.session(1, "bookings")
	f.laggingReplicas(s)
	f.cluster.Evacuate("agreste")
	f.learns("agreste", true, 0, 1, 2)
	time.Sleep(4500 * time.Millisecond)
	f.cluster.WithdrawEvacuation("agreste")
	f.learns("agreste", false, 0, 1, 2)
	f.eventuallyWithin(8*time.Second, "a write", func() bool { return s.write("plates", "3").OK() })
}

// Guards against a group that stays without a primary although the one from before, which was demoted, runs as a replica and
// is the only one that has everything.
func TestDemotedPrimaryLeadsAgain(t *testing.T) {
	f := newFleet(t, "agreste", "sertao", "litoral")
	s := f.session(1, "bookings")
	f.laggingReplicas(s)
	f.command("meals-agreste", statement.Demote{Term: 9})
	f.eventuallyWithin(8*time.Second, "a write", func() bool { return s.write("plates", "3").OK() })
	if !f.cluster.Leads("meals-agreste") || f.cluster.RolledBack("plates", "2") {
		t.Error("the acknowledged write is lost")
	}
}

// Guards against a pool that stays evacuated because its mark was set after the end of the evacuation was applied.
func TestPoolDoesNotStayEvacuated(t *testing.T) {
	f := newFleet(t, "agreste")
	s := f.session(0, "bookings")
	f.eventually("a write", func() bool { return s.write("plates", "1").OK() })
	if !f.nodes[0].EvacuatePool("meals-agreste") {
		t.Fatal("no pool is open")
	}
	f.eventuallyWithin(2*time.Second, "a write", func() bool { return s.write("plates", "2").OK() })
}
