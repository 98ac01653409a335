package entry_test

import (
	"testing"

	"tanagercross/internal/database/statement"
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
	f.nodes[0].RefuseStatements()
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
