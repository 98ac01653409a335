package entry_test

import (
	"testing"
	"time"

	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/organisation/key"
)

// Guards against a transaction whose statements run on different connections or that is aborted, and against a rollback
// that leaves changes.
func TestTransactions(t *testing.T) {
	f := newFleet(t, "agreste", "sertao")
	s := f.session(1, "tally")
	for _, end := range []statement.Statement{statement.Commit{}, statement.Rollback{}} {
		s.write("plates", "before")
		for _, b := range []statement.Statement{
			statement.Begin{}, statement.Write{Arguments: "plates inside"}, statement.Read{Arguments: "plates"}, end,
		} {
			if a := s.do(b); !a.OK() {
				t.Fatalf("%T: %+v", b, a)
			}
		}
		want := "inside"
		if (end == statement.Rollback{}) {
			want = "before"
		}
		if a := s.read("plates"); !a.OK() || a.Rows[0] != want {
			t.Errorf("after %T: %+v, want %s", end, a, want)
		}
	}
	if a := s.do(statement.Commit{}); a.Code != statement.Malformed {
		t.Errorf("commit without a transaction: %+v, want malformed", a)
	}
}

// Guards against a prepared statement of one session that runs the statement of the same name of another session.
func TestPreparedNamesBelongToTheSession(t *testing.T) {
	f := newFleet(t, "agreste")
	writer, reader := f.session(0, "bookings"), f.session(0, "bookings")
	writer.do(statement.Prepare{Name: "p", Writes: true, Shape: "q1"})
	reader.do(statement.Prepare{Name: "p", Shape: "q2"})
	if a := writer.do(statement.Execute{Name: "p", Arguments: "plates 7"}); !a.OK() {
		t.Errorf("write: %+v", a)
	}
	if a := reader.do(statement.Execute{Name: "p", Arguments: "plates"}); !a.OK() || a.Rows[0] != "7" {
		t.Errorf("read: %+v, want 7", a)
	}
	reader.do(statement.Deallocate{Name: "p"})
	if a := reader.do(statement.Execute{Name: "p", Arguments: "plates"}); a.Code != statement.NoStatement {
		t.Errorf("execute of a deallocated statement: %+v, want no statement", a)
	}
}

// Guards against operations that are accepted shortly before the process ends and interrupted by its end.
func TestNoOperationIsAcceptedBeforeTheEnd(t *testing.T) {
	f := newFleet(t, "agreste")
	idle, open := f.session(0, "bookings"), f.session(0, "bookings")
	open.do(statement.Begin{})
	if a := open.write("plates", "1"); !a.OK() {
		t.Fatalf("write: %+v", a)
	}
	f.nodes[0].StopWithin(0, 0)
	if a := idle.read("plates"); a.Code != statement.Busy || a.Delivery != statement.NotSent || !idle.callerSession.ShouldClose() {
		t.Errorf("read: %+v, session over: %t; want busy, not sent and over", a, idle.callerSession.ShouldClose())
	}
	if a := open.do(statement.Commit{}); a.Code != statement.Aborted || f.cluster.Runs(open.last) != 0 {
		t.Errorf("commit: %+v; want aborted, and not run by a server", a)
	}
	if c, refusal := f.nodes[0].Session("bookings", keyText); c != nil || refusal.Code != statement.Busy {
		t.Errorf("session %v, %+v; want busy", c, refusal)
	}
}

// Guards against a statement that is accepted shortly before the process ends although its timeout reaches beyond the end,
// and against the refusal of statements that end in time, or that arrive while the load balancer still sends connections.
func TestStatementsBeforeTheEnd(t *testing.T) {
	const timeout = 5 * time.Second // of the database
	for name, c := range map[string]struct {
		acceptAll, remaining time.Duration
		accepted             bool
	}{
		"ends in time":                       {0, timeout + time.Second, true},
		"timeout reaches beyond the end":     {0, timeout - time.Second, false},
		"load balancer may send connections": {timeout, timeout - time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, "agreste")
			patient := catalog.Database{Name: "patient", Group: "meals", Timeout: timeout, LatencyGoal: time.Second}
			f.cluster.Configure(catalog.NewConfiguration(2, []catalog.Database{patient}, []catalog.Group{{Name: "meals", ConnectionLimit: 40}},
				[]catalog.Organisation{{Name: "coop", Rate: 100, Burst: 100, Keys: []key.Hash{key.HashOf(keyText)}}}))
			f.eventually("the configuration", func() bool { return f.nodes[0].Table().Configuration().Version == 2 })
			s := f.session(0, "patient")
			f.nodes[0].StopWithin(c.acceptAll, c.remaining)
			a := s.write("plates", "1")
			if a.OK() != c.accepted || !a.OK() && (a.Code != statement.Busy || a.Delivery != statement.NotSent) {
				t.Errorf("write: %+v, want accepted %t, otherwise busy and not sent", a, c.accepted)
			}
		})
	}
}

// Guards against statements of other instances that an instance accepts shortly before its process ends.
func TestRelayedStatementsBeforeTheEnd(t *testing.T) {
	f := newFleet(t, "agreste", "agreste")
	s := f.session(1, "bookings")
	if a := s.write("plates", "1"); !a.OK() {
		t.Fatalf("write: %+v", a)
	}
	f.nodes[0].StopWithin(0, 0)
	for _, database := range []string{"bookings", "tally", "plates"} {
		if a := f.session(1, database).read("plates"); !a.OK() {
			t.Errorf("read of %s: %+v", database, a)
		}
	}
}
