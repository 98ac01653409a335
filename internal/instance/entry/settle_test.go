package entry_test

import (
	"context"
	"testing"
	"time"

	"tanagercross/internal/database/statement"
)

// pause makes a replica stop receiving the log, as a coordinator does that dies during a change of primary.
func (f *fleet) pause(server string) {
	f.t.Helper()
	f.command(server, statement.PauseReplication{Term: 9})
}

// command sends a command to a server and requires a report.
func (f *fleet) command(server string, c statement.Command) {
	f.t.Helper()
	conn, _, err := f.cluster.Dialer("test").Dial(context.Background(), statement.Target{Server: server, Organisation: "coop"})
	if err != nil {
		f.t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Report(time.Now().Add(time.Second), c); err != nil {
		f.t.Fatal(err)
	}
}

// Guards against the loss of acknowledged commits by an order without an answer that is carried out after its change was
// given up, because the primary had returned.
func TestLateOrderDoesNotReplaceReturnedPrimary(t *testing.T) {
	const carriedOutAfter = 7 * time.Second
	f := newFleet(t, "agreste", "sertao", "litoral")
	f.requireSyncReplica()
	s := f.session(1, "bookings")
	f.eventually("a write", func() bool { return s.write("plates", "0").OK() })
	f.cluster.DelayOrders(4, carriedOutAfter)
	f.cluster.Crash("meals-agreste")
	crashed := time.Now()
	time.Sleep(1500 * time.Millisecond)
	f.cluster.Restart("meals-agreste")
	for _, replica := range []string{"meals-sertao", "meals-litoral"} {
		f.eventually(replica+" resumed", func() bool { return !f.cluster.Paused(replica) })
	}
	f.eventually("a write at the returned primary", func() bool { return s.write("plates", "1").OK() })
	time.Sleep(time.Until(crashed.Add(carriedOutAfter + 3*time.Second)))
	if p := f.cluster.Primary("meals"); p != "meals-agreste" {
		t.Errorf("%s leads after the late orders, want the returned primary", p)
	}
	s.awaitReadOne()
}

// Guards against a replica that receives nothing for good, because the instance that paused it died.
func TestPausedReplicaIsResumedByNextCoordinator(t *testing.T) {
	f := newFleet(t, "agreste", "sertao", "litoral")
	f.pause("meals-sertao")
	f.restartAll(func() {})
	f.eventuallyWithin(10*time.Second, "meals-sertao resumed", func() bool { return !f.cluster.Paused("meals-sertao") })
}

// Guards against a restarted holder of the promotion lease that promotes with the token of the process before it: an order
// of that process which was not answered would then be carried out too.
func TestRestartedHolderUsesHigherToken(t *testing.T) {
	f := newFleet(t, "agreste")
	f.cluster.Crash("meals-agreste")
	f.awaitChange("meals-agreste")
	used := f.cluster.Token("meals")
	f.restartAll(func() {})
	f.awaitReady()
	second := f.cluster.Primary("meals")
	f.cluster.Crash(second)
	f.awaitChange(second)
	if token := f.cluster.Token("meals"); token <= used {
		t.Errorf("token %d after the restart, want more than %d", token, used)
	}
}
