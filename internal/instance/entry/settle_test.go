package entry_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tanagercross/internal/database/statement"
	"tanagercross/internal/instance/clock"
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

// frozenOnce returns a clock that stops all its readers, once, as soon as a condition holds: for a time, and then until thaw
// returns.
func frozenOnce(condition func() bool, length time.Duration, thaw func()) func() time.Duration {
	var mu sync.Mutex
	done := false
	return func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if !done && condition() {
			done = true
			time.Sleep(length)
			thaw()
		}
		return clock.Boot()
	}
}

// Guards against the end of a pause on which another holder of the promotion lease relies, by an instance that was frozen in a change
// of its own after its replicas had reported, and gives that change up when it wakes.
func TestWokenInstanceDoesNotEndAnothersPause(t *testing.T) {
	f := newFleet(t)
	var taken atomic.Bool
	f.boot = frozenOnce(func() bool { return f.cluster.Paused("meals-sertao") }, 1200*time.Millisecond, func() {
		claim, err := f.cluster.Store("other").Claim(context.Background(), "promotion", "other", 0, 10*time.Second)
		taken.Store(err == nil && claim.Holder == "other")
		f.command("meals-sertao", statement.PauseReplication{Term: 50})
	})
	f.start("i1", "agreste")
	f.awaitReady()
	f.requireSyncReplica()
	f.eventually("the configuration", func() bool { return f.nodes[0].Table().Configuration().Version == 2 })
	time.Sleep(3 * time.Second) // the members are recorded
	f.cluster.Crash("meals-litoral")
	f.cluster.Crash("meals-agreste")
	f.eventually("the lease of another instance", taken.Load)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if !f.cluster.Paused("meals-sertao") {
			t.Fatal("the pause of another holder's change was ended")
		}
	}
}
