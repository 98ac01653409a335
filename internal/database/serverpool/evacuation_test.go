package serverpool_test

import (
	"context"
	"testing"
	"time"

	"tanagercross/internal/database/serverpool"
	"tanagercross/internal/database/statement"
)

// Guards against statements of an evacuated server that were queued or relayed before the evacuation was known, against a
// transaction that goes on after its time, and against a server that stays without work after the end of the evacuation.
func TestEvacuatedPool(t *testing.T) {
	now := time.Second
	c, pool := start(t, primary, serverpool.Options{Boot: func() time.Duration { return now }})
	first := write("s1", 1)
	first.Step = statement.First
	opened := pool.Execute(context.Background(), first)
	pool.Execute(context.Background(), read("s2", 1))
	if !opened.OK() || c.Connections(primary) != 2 {
		t.Fatalf("%+v, %d connections", opened, c.Connections(primary))
	}
	end := now + time.Second
	if n := pool.Evacuate(end); n != 0 || c.Connections(primary) != 1 {
		t.Errorf("%d transactions rolled back, %d connections; want none and that of the transaction", n, c.Connections(primary))
	}
	sent := c.Statements(primary)
	if a := pool.Execute(context.Background(), read("s2", 2)); a.Code != statement.Busy || a.Delivery != statement.NotSent || c.Statements(primary) != sent {
		t.Errorf("new statement: %+v, want busy and not sent", a)
	}
	next := write("s1", 2)
	next.Step, next.Transaction = statement.Next, opened.Transaction
	if a := pool.Execute(context.Background(), next); !a.OK() {
		t.Errorf("statement of the transaction in its time: %+v", a)
	}
	now = end
	sent = c.Statements(primary)
	commit := next
	commit.Step, commit.Body = statement.End, statement.Commit{}
	if a := pool.Execute(context.Background(), commit); a.Code != statement.Aborted || c.Statements(primary) != sent || c.Runs(first.ID) != 0 {
		t.Errorf("commit after its time: %+v, want aborted and nothing sent or kept", a)
	}
	if pool.Evacuate(end); c.Connections(primary) != 0 {
		t.Errorf("%d connections, want none", c.Connections(primary))
	}
	pool.Readmit()
	if a := pool.Execute(context.Background(), read("s2", 3)); !a.OK() {
		t.Errorf("statement after the end of the evacuation: %+v", a)
	}
}

// Guards against a transaction without a caller that stays open on an evacuated server.
func TestEvacuationRollsBackIdleTransactions(t *testing.T) {
	now := time.Second
	c, pool := start(t, primary, serverpool.Options{Boot: func() time.Duration { return now }})
	first := write("s1", 1)
	first.Step = statement.First
	if a := pool.Execute(context.Background(), first); !a.OK() {
		t.Fatalf("%+v", a)
	}
	now += time.Second
	if n := pool.Evacuate(now); n != 1 || c.Connections(primary) != 0 {
		t.Errorf("%d transactions rolled back, %d connections; want one and none", n, c.Connections(primary))
	}
}

// Guards against a command to an evacuated server when a caller rolls its transaction back after its time: the connection is
// closed at once.
func TestRollbackAfterTheTimeOfATransaction(t *testing.T) {
	now := time.Second
	c, pool := start(t, primary, serverpool.Options{Boot: func() time.Duration { return now }})
	first := write("s1", 1)
	first.Step = statement.First
	opened := pool.Execute(context.Background(), first)
	end := now + time.Second
	pool.Evacuate(end)
	now = end
	rollback := first
	rollback.Step, rollback.Body, rollback.Transaction = statement.End, statement.Rollback{}, opened.Transaction
	if a := pool.Execute(context.Background(), rollback); a.Code != statement.Aborted || c.Connections(primary) != 0 {
		t.Errorf("%+v, %d connections; want aborted and none", a, c.Connections(primary))
	}
}
