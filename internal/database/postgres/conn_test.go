package postgres_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/postgres"
	"tanagercross/internal/standin/database"
)

const organisation = "sertao_coop"

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startServer starts a stand-in database server that is primary of term 1. It is killed at the end of the test.
func startServer(t *testing.T, c database.Config) *database.Server {
	c.Name, c.Address, c.ReplicationAddress = "a", "127.0.0.1:0", "127.0.0.1:0"
	c.Directory, c.InitialPrimary = t.TempDir(), true
	s, err := database.Start(context.Background(), c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Kill)
	return s
}

// connect opens a connection that is closed at the end of the test.
func connect(t *testing.T, s *database.Server) driver.Conn {
	t.Helper()
	c, err := postgres.Connector{}.Connect(context.Background(), driver.Server{Name: "a", Address: s.Addr()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// write runs a write in term 1. The SQL text is also the fingerprint.
func write(c driver.Conn, id, sql string) (driver.Result, error) {
	return c.Write(context.Background(), organisation, 1, driver.Record{RequestID: id, Fingerprint: sql}, driver.Statement{SQL: sql})
}

func mustWrite(t *testing.T, c driver.Conn, id, sql string) driver.Result {
	t.Helper()
	r, err := write(c, id, sql)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func wantKind(t *testing.T, err error, want driver.Kind) {
	t.Helper()
	if err == nil || driver.KindOf(err) != want {
		t.Fatalf("error %v, want kind %s", err, want)
	}
}

// wantRowCount checks the number of rows of the table meal on the server, without a connection.
func wantRowCount(t *testing.T, s *database.Server, want string) {
	t.Helper()
	rows, err := s.Dump(organisation, "SELECT count(*) FROM meal")
	if err != nil || rows[0][0] != want {
		t.Fatalf("%v rows, %v; want %s", rows, err, want)
	}
}

// Guards against reporting a write as failed, or running it a second time, after the answer to its commit was lost.
func TestDroppedCommitAnswer(t *testing.T) {
	s := startServer(t, database.Config{})
	c := connect(t, s)
	mustWrite(t, c, "1", "CREATE TABLE meal (name TEXT)")
	s.DropNextCommitAnswer()
	const insert = "INSERT INTO meal VALUES ('beans') RETURNING name"
	_, err := write(c, "2", insert)
	wantKind(t, err, driver.ResponseLost)
	if c.Clean() {
		t.Fatal("a connection with a lost answer reports that it is clean")
	}
	c = connect(t, s)
	state, err := c.LookupRecord(context.Background(), organisation, "2")
	if err != nil || !state.Found || state.Fingerprint != insert || state.Position.Index == 0 {
		t.Fatalf("%+v, %v", state, err)
	}
	r := mustWrite(t, c, "2", insert)
	if !r.Replayed || r.RowsAffected != 1 || *r.Rows[0][0] != "beans" {
		t.Fatalf("%+v", r)
	}
	wantRowCount(t, s, "1")
}

// Guards against a request id that runs twice, or returns its result to another request.
func TestDuplicateAndReusedID(t *testing.T) {
	s := startServer(t, database.Config{})
	c := connect(t, s)
	ctx := context.Background()
	if state, err := c.LookupRecord(ctx, organisation, "1"); err != nil || state.Found {
		t.Fatalf("%+v, %v", state, err)
	}
	mustWrite(t, c, "1", "CREATE TABLE meal (name TEXT)")
	mustWrite(t, c, "2", "INSERT INTO meal VALUES ('beans')")
	if r := mustWrite(t, c, "2", "INSERT INTO meal VALUES ('beans')"); !r.Replayed {
		t.Fatalf("%+v", r)
	}
	_, err := write(c, "2", "INSERT INTO meal VALUES ('rice')")
	wantKind(t, err, driver.RequestIDConflict)
	if err := c.Begin(ctx, organisation, 1); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Run(ctx, driver.Statement{SQL: "INSERT INTO meal VALUES ('rice')"}); err != nil {
		t.Fatal(err)
	}
	_, err = c.Commit(ctx, driver.Record{RequestID: "2", Fingerprint: "other"})
	wantKind(t, err, driver.RequestIDConflict)
	mustWrite(t, c, "3", "INSERT INTO meal SELECT '"+strings.Repeat("x", 20<<10)+"'")
	large := mustWrite(t, c, "4", "UPDATE meal SET name = name RETURNING name")
	if large = mustWrite(t, c, "4", "UPDATE meal SET name = name RETURNING name"); !large.Truncated || large.RowsAffected != 2 {
		t.Fatalf("%+v", large)
	}
	if !c.Clean() {
		t.Fatal("connection is not clean after refused and replayed writes")
	}
	wantRowCount(t, s, "2")
}

// Guards against the wrong error kind for calls that have no effect, and against a connection that stays in a failed
// transaction.
func TestRefusals(t *testing.T) {
	s := startServer(t, database.Config{ConnectionLimit: 2, LockTimeout: 50 * time.Millisecond})
	ctx := context.Background()
	c, other := connect(t, s), connect(t, s)
	_, err := postgres.Connector{}.Connect(ctx, driver.Server{Address: s.Addr()})
	wantKind(t, err, driver.TooManyConnections)
	mustWrite(t, c, "1", "CREATE TABLE meal (name TEXT UNIQUE)")
	mustWrite(t, c, "2", "INSERT INTO meal VALUES ('beans')")
	_, err = write(c, "3", "INSERT INTO meal VALUES ('beans')")
	wantKind(t, err, driver.StatementRejected)
	for _, sql := range []string{"SET organisation = 'x'", "/**/ COMMIT", "SELECT group_fence(9, 'me')", "INSERT INTO absent VALUES (1)"} {
		_, err = write(c, "4", sql)
		wantKind(t, err, driver.StatementRejected)
	}
	for _, sql := range []string{"DELETE FROM meal", "WITH x AS (SELECT 1) DELETE FROM meal"} {
		_, err = c.Read(ctx, organisation, driver.Position{}, driver.Statement{SQL: sql})
		wantKind(t, err, driver.StatementRejected)
	}
	if err := other.Begin(ctx, organisation, 1); err != nil {
		t.Fatal(err)
	}
	if _, err := other.Run(ctx, driver.Statement{SQL: "DELETE FROM meal"}); err != nil {
		t.Fatal(err)
	}
	_, err = write(c, "5", "INSERT INTO meal VALUES ('rice')")
	wantKind(t, err, driver.Busy)
	r, err := c.Read(ctx, organisation, driver.Position{}, driver.Statement{SQL: "SELECT name FROM meal"})
	if err != nil || len(r.Rows) != 1 || !c.Clean() {
		t.Fatalf("read during an uncommitted delete: %+v, %v; want 1 row and a clean connection", r, err)
	}
	other.Close()
	mustWrite(t, c, "5", "INSERT INTO meal VALUES ('rice')")
	wantRowCount(t, s, "2")
	canceled, cancel := context.WithCancel(ctx)
	cancel()
	_, err = c.Read(canceled, organisation, driver.Position{}, driver.Statement{SQL: "SELECT 1"})
	wantKind(t, err, driver.Unreachable)
}

// Guards against a late answer that is taken for the answer to a later call, after a deadline or between concurrent
// connections.
func TestLateAnswer(t *testing.T) {
	s := startServer(t, database.Config{})
	c := connect(t, s)
	mustWrite(t, c, "1", "CREATE TABLE meal (name TEXT)")
	s.SetClientCut(database.Cut{Outbound: true})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := c.Read(ctx, organisation, driver.Position{}, driver.Statement{SQL: "SELECT 'late'"})
	wantKind(t, err, driver.ResponseLost)
	s.SetClientCut(database.Cut{})
	_, err = c.Read(context.Background(), organisation, driver.Position{}, driver.Statement{SQL: "SELECT 'next'"})
	wantKind(t, err, driver.Unreachable)
	var callers sync.WaitGroup
	for i := range 8 {
		c := connect(t, s)
		callers.Go(func() {
			for j := range 20 {
				want := fmt.Sprintf("%d-%d", i, j)
				r, err := c.Read(context.Background(), organisation, driver.Position{}, driver.Statement{SQL: "SELECT $1", Arguments: []*string{&want}})
				if err != nil || len(r.Rows) != 1 || *r.Rows[0][0] != want {
					t.Errorf("%+v, %v; want %s", r, err, want)
				}
			}
		})
	}
	callers.Wait()
}

// Guards against two connections that hold the same lane, and against a reset that does not release the lock.
func TestLane(t *testing.T) {
	s := startServer(t, database.Config{})
	ctx := context.Background()
	c, other := connect(t, s), connect(t, s)
	for _, step := range []struct {
		conn driver.Conn
		want bool
	}{{c, true}, {other, false}} {
		if ok, err := step.conn.TryLane(ctx, 1); err != nil || ok != step.want {
			t.Fatalf("%v, %v; want %v", ok, err, step.want)
		}
	}
	if err := c.Ping(ctx); err != nil {
		t.Fatal(err)
	}
	if err := c.Reset(ctx); err != nil {
		t.Fatal(err)
	}
	if ok, err := other.TryLane(ctx, 1); err != nil || !ok {
		t.Fatalf("%v, %v", ok, err)
	}
	s.Stop()
	wantKind(t, c.Ping(ctx), driver.Unreachable)
}

// Guards against records that are never deleted, against the deletion of records that a retry may still need, and
// against a deletion that writes to the log although no record is old enough.
func TestRemoveRecords(t *testing.T) {
	s := startServer(t, database.Config{})
	c := connect(t, s)
	remove := func(before string, limit int) int64 {
		t.Helper()
		n, err := c.RemoveRecords(context.Background(), organisation, before, limit)
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	if n := remove("9", 10); n != 0 {
		t.Errorf("%d records removed from a missing table", n)
	}
	mustWrite(t, c, "00", "CREATE TABLE t (a text)")
	for _, id := range []string{"01", "02", "03", "04"} {
		mustWrite(t, c, id, "INSERT INTO t VALUES ('"+id+"')")
	}
	if first, second := remove("03", 2), remove("03", 2); first != 2 || second != 1 {
		t.Errorf("batches of %d and %d records removed, want 2 and 1", first, second)
	}
	last := s.Status().Last
	if n := remove("03", 2); n != 0 || s.Status().Last != last {
		t.Errorf("%d records removed, position %s; want 0 and unchanged position %s", n, s.Status().Last, last)
	}
	for id, found := range map[string]bool{"02": false, "03": true, "04": true} {
		if state, err := c.LookupRecord(context.Background(), organisation, id); err != nil || state.Found != found {
			t.Errorf("record %s: found %v, error %v", id, state.Found, err)
		}
	}
}
