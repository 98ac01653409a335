package entry_test

import (
	"testing"
	"time"

	"tanagercross/internal/database/driver"
)

// awaitRecord waits until the record of the group's replica set has the given number of members, all confirmed to hold commits, and
// none of an earlier start of litoral.
func (f *fleet) awaitRecord(members int, litoralStartedMS int64) {
	f.t.Helper()
	f.eventuallyWithin(12*time.Second, "the record of the replica set", func() bool {
		r, err := f.cluster.Store("test").ReplicaSet(f.t.Context(), "meals")
		for _, m := range r.Set.Members() {
			if m.Confirmed.Index == 0 || m.ID == "meals-litoral" && m.StartedMS != litoralStartedMS {
				return false
			}
		}
		return err == nil && len(r.Set.Members()) == members
	})
}

// newRecordedFleet starts a fleet whose group waits for one replica, and whose replica set is recorded with a first commit.
func newRecordedFleet(t *testing.T) (*fleet, *caller) {
	t.Helper()
	f := newFleet(t, "agreste", "sertao", "litoral")
	f.requireSyncReplica()
	s := f.session(1, "bookings")
	f.eventually("a first write", func() bool { return s.write("plates", "0").OK() })
	f.awaitRecord(3, 1)
	return f, s
}

// mustNotChange requires that no server is promoted while a caller reads for 2 s, so that a wait is told from a failure that was not
// noticed.
func (s *caller) mustNotChange(promotions int) {
	s.f.t.Helper()
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		s.read("plates")
	}
	if n := s.f.cluster.Promotions(); n != promotions {
		s.f.t.Fatalf("%d promotions while a server that may hold acknowledged commits is missing, want %d", n, promotions)
	}
}

// awaitRole waits until all instances list a server with a role.
func (f *fleet) awaitRole(server string, role driver.Role) {
	f.t.Helper()
	for _, n := range f.nodes {
		f.eventually("the role of "+server, func() bool { s, _ := n.Table().Servers().Server(server); return s.Role == role })
	}
}

// Guards against the loss of acknowledged writes by instances that have just started: the list that they read is short, and they
// know of no server that it lacks. The primary and the replica with the write are back in the store a moment later.
func TestRestartedFleetKnowsMissingServers(t *testing.T) {
	t.Parallel()
	f, s := newRecordedFleet(t)
	f.cluster.Deafen("meals-sertao", true)
	s.mustWriteOne()
	f.restartAll(func() {
		f.cluster.Unlist("meals-agreste", true)
		f.cluster.Unlist("meals-litoral", true)
	})
	f.awaitReady()
	time.Sleep(1500 * time.Millisecond)
	f.cluster.Unlist("meals-agreste", false)
	f.cluster.Unlist("meals-litoral", false)
	s = f.session(1, "bookings")
	s.awaitReadOne()
	if n := f.cluster.Promotions(); n != 0 {
		t.Errorf("%d promotions although the primary was back in time, want none", n)
	}
}

// Guards against the same loss when no process remembers the crash of the primary and of the replica with the last write.
func TestRestartedFleetWaitsForCrashedServers(t *testing.T) {
	t.Parallel()
	f, s := newRecordedFleet(t)
	f.cluster.Deafen("meals-sertao", true)
	s.mustWriteOne()
	f.restartAll(func() {
		f.cluster.Crash("meals-agreste")
		f.cluster.Crash("meals-litoral")
	})
	f.awaitReady()
	time.Sleep(2 * time.Second) // past the time for servers to report again
	s = f.session(1, "bookings")
	s.mustNotChange(0)
	f.cluster.Restart("meals-litoral")
	s.awaitReadOne()
}

// Guards against the same loss if the replica with the last write is down when the instances restart, and the primary crashes
// after that.
func TestRestartedFleetKnowsCrashedReplica(t *testing.T) {
	t.Parallel()
	f, s := newRecordedFleet(t)
	f.cluster.Deafen("meals-sertao", true)
	s.mustWriteOne()
	f.cluster.Crash("meals-litoral")
	f.awaitUnlisted("meals-litoral")
	f.restartAll(func() {})
	f.awaitReady()
	s = f.session(1, "bookings")
	f.cluster.Crash("meals-agreste")
	s.mustNotChange(0)
	f.cluster.Restart("meals-litoral")
	s.awaitReadOne()
}

// Guards against the loss of acknowledged writes that only a former primary holds: it is back as a replica and receives them, but
// is cut off the store.
func TestFormerPrimaryWithoutEntryCounts(t *testing.T) {
	t.Parallel()
	f, s := newRecordedFleet(t)
	f.cluster.Crash("meals-agreste")
	f.awaitChange("meals-agreste")
	f.awaitUnlisted("meals-agreste")
	second := f.cluster.Primary("meals")
	f.awaitRole(second, driver.Primary)
	f.cluster.Unlist("meals-agreste", true)
	f.cluster.Restart("meals-agreste")
	for _, id := range []string{"meals-sertao", "meals-litoral"} {
		f.cluster.Deafen(id, id != second)
	}
	f.eventually("an acknowledged write", func() bool { return s.write("plates", "1").OK() })
	f.cluster.Crash(second)
	s.mustNotChange(1)
	f.cluster.Unlist("meals-agreste", false)
	s.awaitReadOne()
}

// Guards against the loss of acknowledged writes that only a replica holds which has had no entry for so long that it was
// forgotten. It still receives commits, and answers.
func TestReplicaCutOffTheStoreCounts(t *testing.T) {
	t.Parallel()
	f, s := newRecordedFleet(t)
	f.cluster.Unlist("meals-litoral", true)
	f.awaitUnlisted("meals-litoral")
	time.Sleep(14 * time.Second)
	f.cluster.Deafen("meals-sertao", true)
	f.eventually("an acknowledged write", func() bool { return s.write("plates", "1").OK() })
	f.cluster.Crash("meals-agreste")
	s.mustNotChange(0)
	f.cluster.Unlist("meals-litoral", false)
	s.awaitReadOne()
}

// Guards against a record that still has a server which left for good, so that the group waits for it after the next crash.
func TestServerThatLeftIsDropped(t *testing.T) {
	t.Parallel()
	f, s := newRecordedFleet(t)
	f.cluster.Crash("meals-litoral")
	f.eventually("a write", func() bool { return s.write("plates", "1").OK() })
	f.awaitRecord(2, 1)
	f.cluster.Crash("meals-agreste")
	f.awaitChange("meals-agreste")
}

// Guards against a group that never has a primary again because the servers that it waits for do not come back.
func TestWaitForCrashedServersEnds(t *testing.T) {
	t.Parallel()
	f, s := newRecordedFleet(t)
	f.cluster.Crash("meals-litoral")
	f.cluster.Crash("meals-agreste")
	s.mustNotChange(0)
	f.eventuallyWithin(18*time.Second, "the last server leads", func() bool { return f.cluster.Primary("meals") == "meals-sertao" })
}

// Guards against store calls for replica sets in groups without synchronous replicas, which need none.
func TestNoRecordWithoutSyncReplicas(t *testing.T) {
	t.Parallel()
	f := newFleet(t, "agreste", "sertao", "litoral")
	s := f.session(1, "bookings")
	f.eventually("a write", func() bool { return s.write("plates", "1").OK() })
	f.cluster.Crash("meals-agreste")
	f.awaitChange("meals-agreste")
	f.eventually("a write", func() bool { return s.write("plates", "2").OK() })
	if n := f.cluster.ReplicaSetCalls(); n != 0 {
		t.Errorf("%d calls for replica sets, want none", n)
	}
}

// Guards against the loss of acknowledged writes by the report of a replica that held them and started again with nothing: the
// other replica lacks them, and the primary, which has them, is back a moment later.
func TestReportOfAReplicaThatLostItsLog(t *testing.T) {
	t.Parallel()
	for name, unlisted := range map[string]bool{"listed": false, "cut off the store": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, s := newRecordedFleet(t)
			f.cluster.Deafen("meals-sertao", true)
			s.mustWriteOne()
			f.cluster.Crash("meals-litoral")
			f.cluster.Crash("meals-agreste")
			f.cluster.Unlist("meals-litoral", unlisted)
			f.cluster.RestartEmpty("meals-litoral")
			s.mustNotChange(0)
			f.cluster.Unlist("meals-litoral", false)
			f.cluster.Restart("meals-agreste")
			s.awaitReadOne()
		})
	}
}

// Guards against a replica that started again with nothing and never counts again, although it has received the whole log.
func TestReplicaThatReceivedItsLogAgainCounts(t *testing.T) {
	t.Parallel()
	f, s := newRecordedFleet(t)
	f.cluster.Crash("meals-litoral")
	f.cluster.RestartEmpty("meals-litoral")
	s.mustWriteOne()
	f.awaitRecord(3, 2)
	f.cluster.Crash("meals-agreste")
	s.awaitReadOne()
}
