package database_test

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"tanagercross/internal/standin/database"
)

func single(t *testing.T, c database.Config) (*database.Server, func() *pgconn.PgConn) {
	c.Name, c.Address, c.ReplicationAddress = "a", "127.0.0.1:0", "127.0.0.1:0"
	c.Directory, c.InitialPrimary = t.TempDir(), true
	s, err := database.Start(context.Background(), c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Kill)
	return s, func() *pgconn.PgConn {
		p, err := pgconn.Connect(context.Background(), "postgres://u@"+s.Addr()+"/d?sslmode=disable")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { p.Close(context.Background()) })
		return p
	}
}

// Guards against a silent lane holder that keeps its lock.
func TestIdleSessionTimeout(t *testing.T) {
	_, dial := single(t, database.Config{})
	holder, other := dial(), dial()
	lock := func(p *pgconn.PgConn, sql string) string {
		results, err := p.Exec(context.Background(), sql+"SELECT pg_try_advisory_lock(1)").ReadAll()
		if err != nil {
			t.Fatal(err)
		}
		return string(results[len(results)-1].Rows[0][0])
	}
	if lock(holder, "SET idle_session_timeout = 100;") != "t" || lock(other, "") != "f" {
		t.Fatal("lock not exclusive")
	}
	for deadline := time.Now().Add(timeout); lock(other, "") != "t"; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("lock not released")
		}
	}
	_, err := holder.Exec(context.Background(), "SELECT 1").ReadAll()
	if err == nil {
		t.Fatal("idle session still answers")
	}
}

// Guards against more statements at a time than slots, and against a graceful stop that cuts a running statement.
func TestSlotsAndStop(t *testing.T) {
	const service = 200 * time.Millisecond
	s, dial := single(t, database.Config{Slots: 1, ServiceTime: service})
	start := time.Now()
	answers := make(chan error, 2)
	for range 2 {
		p := dial()
		go func() {
			_, err := p.Exec(context.Background(), "SET organisation = 'x'; SELECT 1").ReadAll()
			answers <- err
		}()
	}
	time.Sleep(service / 2)
	s.Stop()
	for range 2 {
		if err := <-answers; err != nil {
			t.Error(err)
		}
	}
	if took := time.Since(start); took < 2*service {
		t.Errorf("two statements in one slot took %s", took)
	}
}

// Guards against a transaction that goes on after an error, and against a prepared statement without its columns.
func TestTransactionAndPrepare(t *testing.T) {
	s, dial := single(t, database.Config{})
	p, ctx := dial(), context.Background()
	if err := p.Exec(ctx, "SET organisation = 'x'; CREATE TABLE meal (name TEXT)").Close(); err != nil {
		t.Fatal(err)
	}
	if p.Exec(ctx, "BEGIN; INSERT INTO meal VALUES ('a;--b'); SELECT broken").Close() == nil || p.TxStatus() != 'E' {
		t.Fatalf("status %c", p.TxStatus())
	}
	r := p.ExecParams(ctx, "COMMIT", nil, nil, nil, nil).Read()
	if r.Err != nil || r.CommandTag.String() != "ROLLBACK" || p.TxStatus() != 'I' {
		t.Fatalf("%+v", r)
	}
	d, err := p.Prepare(ctx, "q", "SELECT name FROM meal WHERE name = $1", nil)
	if err != nil || len(d.Fields) != 1 || len(d.ParamOIDs) != 1 {
		t.Fatalf("%+v, %v", d, err)
	}
	if r := p.ExecPrepared(ctx, "q", [][]byte{[]byte("a;--b")}, nil, nil).Read(); r.Err != nil || len(r.Rows) != 0 {
		t.Fatalf("%+v", r)
	}
	if last := s.Status().Last.Index; last != 2 || p.ParameterStatus("group_position") != "1/2" {
		t.Fatalf("last index %d, reported %s", last, p.ParameterStatus("group_position"))
	}
}
