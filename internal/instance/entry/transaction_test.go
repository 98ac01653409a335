package entry_test

import (
	"testing"

	"tanagercross/internal/database/statement"
)

// Guards against a transaction that is cut or split, and against one whose rollback leaves something.
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
		t.Errorf("commit without a transaction: %+v", a)
	}
}

// Guards against prepared names of one session that run the shape of another.
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
		t.Errorf("dropped name: %+v", a)
	}
}
