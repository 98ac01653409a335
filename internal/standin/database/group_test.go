package database_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/postgres"
	"tanagercross/internal/standin/database"
)

const (
	coop    = "sertao_coop"
	timeout = 5 * time.Second
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// group is three servers, of which the first is primary of term 1.
type group struct {
	t       *testing.T
	configs []database.Config
	servers []*database.Server
}

// nextPort starts at random, so that test processes on one machine rarely try the same ports.
var nextPort atomic.Int32

func init() { nextPort.Store(12000 + rand.Int32N(15000)) }

// address returns a free address below the kernel's ephemeral range: with an ephemeral port, an outgoing connection took
// the port of a killed server and its restart failed (address already in use).
func address(t *testing.T) string {
	for range 100 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort.Add(1)))
		if err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
	t.Fatal("no free port")
	return ""
}

func newGroup(t *testing.T) *group {
	g := &group{t: t, servers: make([]*database.Server, 3)}
	for i, name := range []string{"a", "b", "c"} {
		g.configs = append(g.configs, database.Config{
			Name: name, Address: address(t), ReplicationAddress: address(t), Directory: t.TempDir(), InitialPrimary: i == 0,
		})
	}
	for i := range g.configs {
		for j, other := range g.configs {
			if i != j {
				g.configs[i].Peers = append(g.configs[i].Peers, database.Peer{Name: other.Name, Address: other.ReplicationAddress})
			}
		}
		g.start(i)
	}
	t.Cleanup(func() {
		for _, s := range g.servers {
			s.Kill()
		}
	})
	return g
}

func (g *group) start(i int) {
	s, err := database.Start(context.Background(), g.configs[i])
	if err != nil {
		g.t.Fatal(err)
	}
	g.servers[i] = s
}

func (g *group) connect(i int) driver.Conn {
	c, err := postgres.Connector{}.Connect(context.Background(), driver.Server{Name: g.configs[i].Name, Address: g.configs[i].Address})
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(c.Close)
	return c
}

func (g *group) write(c driver.Conn, id, sql string) driver.Position {
	g.t.Helper()
	status, err := c.Status(context.Background())
	if err != nil {
		g.t.Fatal(err)
	}
	r, err := c.Write(context.Background(), coop, status.Term, driver.Record{RequestID: id, Fingerprint: id}, driver.Statement{SQL: sql})
	if err != nil {
		g.t.Fatal(err)
	}
	return r.Position
}

func (g *group) await(c driver.Conn, p driver.Position) {
	g.t.Helper()
	if err := c.Await(context.Background(), p, timeout); err != nil {
		g.t.Fatal(err)
	}
}

func (g *group) until(what string, condition func() bool) {
	g.t.Helper()
	for deadline := time.Now().Add(timeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			for _, s := range g.servers {
				g.t.Logf("%+v", s.Status())
			}
			g.t.Fatalf("timeout: %s", what)
		}
	}
}

func (g *group) meals(i int, want ...string) {
	g.t.Helper()
	rows, err := g.servers[i].Dump(coop, "SELECT name FROM meal ORDER BY name")
	if err != nil {
		g.t.Fatal(err)
	}
	var got []string
	for _, row := range rows {
		got = append(got, row...)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		g.t.Fatalf("server %d: %s", i, diff)
	}
}

// change fences the servers for a term and promotes the most advanced of them, as a watcher does. It returns the new
// primary.
func (g *group) change(term uint64, servers ...int) int {
	g.t.Helper()
	best, last := -1, driver.Position{}
	for _, i := range servers {
		status, err := g.connect(i).Fence(context.Background(), term, "watcher")
		if err != nil {
			g.t.Fatal(err)
		}
		if best < 0 || status.Last.Compare(last) > 0 {
			best, last = i, status.Last
		}
	}
	if _, err := g.connect(best).Promote(context.Background(), term, "watcher"); err != nil {
		g.t.Fatal(err)
	}
	return best
}

func wantKind(t *testing.T, err error, want driver.Kind) {
	t.Helper()
	if err == nil || driver.KindOf(err) != want {
		t.Fatalf("error %v, want kind %s", err, want)
	}
}

// Guards against the loss of acknowledged entries when the primary's process dies, and against a restarted primary that
// cannot lead on in its term.
func TestKillKeepsAcknowledged(t *testing.T) {
	g := newGroup(t)
	c := g.connect(0)
	g.write(c, "1", "CREATE TABLE meal (name TEXT)")
	g.await(c, g.write(c, "2", "INSERT INTO meal VALUES ('beans')"))
	g.servers[0].Kill()
	g.start(0)
	g.meals(0, "beans")
	c = g.connect(0)
	g.await(c, g.write(c, "3", "INSERT INTO meal VALUES ('rice')"))
	last := g.servers[0].Status().Last
	for i := range g.servers {
		g.until("entries on all servers", func() bool { return g.servers[i].Status().Last == last })
		g.meals(i, "beans", "rice")
	}
}

// Guards against a half-written entry being applied, and against a primary that lost its tail leading on in its term.
func TestTornTail(t *testing.T) {
	g := newGroup(t)
	c := g.connect(0)
	g.write(c, "1", "CREATE TABLE meal (name TEXT)")
	g.write(c, "2", "INSERT INTO meal VALUES ('beans')")
	g.await(c, g.write(c, "3", "INSERT INTO meal VALUES ('rice')"))
	g.servers[0].Kill()
	path := filepath.Join(g.configs[0].Directory, "log")
	info, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.Truncate(path, info.Size()-3); err != nil {
		t.Fatal(err)
	}
	g.start(0)
	g.meals(0, "beans")
	if role := g.servers[0].Status().Role; role != driver.Fenced {
		t.Fatalf("role %s", role)
	}
	g.change(2, 1, 2)
	g.until("the lost entry comes back", func() bool { return g.servers[0].Status().Last.Term == 2 })
	g.meals(0, "beans", "rice")
}

// Guards against writes, and commits of open transactions, at a server that promised a higher term.
func TestFencedRefusesWrites(t *testing.T) {
	g := newGroup(t)
	ctx := context.Background()
	c, open := g.connect(0), g.connect(0)
	g.await(c, g.write(c, "1", "CREATE TABLE meal (name TEXT)"))
	if err := open.Begin(ctx, coop, 1); err != nil {
		t.Fatal(err)
	}
	if _, err := open.Run(ctx, driver.Statement{SQL: "INSERT INTO meal VALUES ('late')"}); err != nil {
		t.Fatal(err)
	}
	status, err := c.Fence(ctx, 2, "watcher")
	if err != nil || status.Role != driver.Fenced || status.Term != 2 {
		t.Fatalf("%+v, %v", status, err)
	}
	_, err = open.Commit(ctx, driver.Record{RequestID: "2"})
	wantKind(t, err, driver.NotPrimary)
	_, err = c.Write(ctx, coop, 1, driver.Record{RequestID: "3"}, driver.Statement{SQL: "INSERT INTO meal VALUES ('x')"})
	wantKind(t, err, driver.NotPrimary)
	if !c.Clean() || !open.Clean() {
		t.Fatal("a refused write left its connection unclean")
	}
	_, err = c.Fence(ctx, 2, "other")
	wantKind(t, err, driver.StaleTerm)
	_, err = c.Promote(ctx, 2, "other")
	wantKind(t, err, driver.StaleTerm)
	wantKind(t, c.Await(ctx, driver.Position{Term: 1, Index: 1}, time.Second), driver.NotPrimary)
	g.meals(0)
}

// Guards the conclusion "not run" from a record that is absent at a newer primary: work that was open or waiting when a
// server stopped being primary must not commit after the server was promoted again.
func TestOpenWorkEndsWithTheRole(t *testing.T) {
	g := newGroup(t)
	ctx := context.Background()
	c, writer, reader, waiting := g.connect(0), g.connect(0), g.connect(0), g.connect(0)
	g.await(c, g.write(c, "1", "CREATE TABLE meal (name TEXT)"))
	for i, open := range []driver.Conn{writer, reader} {
		if err := open.Begin(ctx, coop, 1); err != nil {
			t.Fatal(err)
		}
		if _, err := open.Run(ctx, driver.Statement{SQL: []string{"INSERT INTO meal VALUES ('open')", "SELECT 1"}[i]}); err != nil {
			t.Fatal(err)
		}
	}
	late := make(chan error, 1)
	go func() {
		_, err := waiting.Write(ctx, coop, 1, driver.Record{RequestID: "4"}, driver.Statement{SQL: "INSERT INTO meal VALUES ('late')"})
		late <- err
	}()
	time.Sleep(50 * time.Millisecond) // the write waits for the open one
	g.change(2, 1, 2)
	g.until("the old primary follows", func() bool { return g.servers[0].Status().Last.Term == 2 })
	g.change(3, 0, 1)
	g.until("the first primary leads again", func() bool { return g.servers[0].Status().Role == driver.Primary })
	wantKind(t, <-late, driver.NotPrimary)
	for i, open := range []driver.Conn{writer, reader} {
		if _, err := open.Commit(ctx, driver.Record{RequestID: fmt.Sprint(2 + i)}); err == nil {
			t.Errorf("transaction %d committed after a change of primary", i)
		}
	}
	_, err := c.Write(ctx, coop, 1, driver.Record{RequestID: "5"}, driver.Statement{SQL: "INSERT INTO meal VALUES ('old term')"})
	wantKind(t, err, driver.NotPrimary)
	wantKind(t, c.Begin(ctx, coop, 1), driver.NotPrimary)
	g.meals(0)
}

// Guards against an old primary that keeps its unreplicated branch when it returns.
func TestDivergentBranchTruncated(t *testing.T) {
	g := newGroup(t)
	c := g.connect(0)
	g.await(c, g.write(c, "1", "CREATE TABLE meal (name TEXT)"))
	g.until("replicas hold the table", func() bool {
		return g.servers[1].Status().Last == g.servers[0].Status().Last && g.servers[2].Status().Last == g.servers[0].Status().Last
	})
	for _, peer := range []string{"b", "c"} {
		g.servers[0].SetPeerCut(peer, database.Cut{Inbound: true, Outbound: true})
	}
	lost := g.write(c, "2", "INSERT INTO meal VALUES ('abandoned')")
	wantKind(t, c.Await(context.Background(), lost, 200*time.Millisecond), driver.NotReplicated)
	g.until("replicas report the silence", func() bool { return g.servers[1].Status().PrimaryContact > 250*time.Millisecond })
	d := g.connect(g.change(2, 1, 2))
	kept := g.write(d, "3", "INSERT INTO meal VALUES ('kept')")
	g.await(d, kept)
	g.meals(0, "abandoned")
	// The first fenced server is promoted on a tie, so only the other replica can tell about the new term.
	g.servers[0].SetPeerCut("c", database.Cut{})
	g.until("old primary steps down", func() bool { return g.servers[0].Status().Role == driver.Replica })
	g.servers[0].SetPeerCut("b", database.Cut{})
	g.until("old primary catches up", func() bool { return g.servers[0].Status().Last == kept })
	g.meals(0, "kept")
}

// Guards against an acknowledgement by a primary whose replicas receive but cannot confirm.
func TestAwaitFalseWhenReplicasCut(t *testing.T) {
	g := newGroup(t)
	c := g.connect(0)
	for _, peer := range []string{"b", "c"} {
		g.servers[0].SetPeerCut(peer, database.Cut{Inbound: true})
	}
	p := g.write(c, "1", "CREATE TABLE meal (name TEXT)")
	g.until("replicas hold the entry", func() bool { return g.servers[1].Status().Last == p })
	wantKind(t, c.Await(context.Background(), p, 200*time.Millisecond), driver.NotReplicated)
	g.servers[0].SetPeerCut("b", database.Cut{})
	g.await(c, p)
}

// Guards against a lagging replica that answers below the caller's position.
func TestReadBehind(t *testing.T) {
	g := newGroup(t)
	g.servers[2].SetLag(300 * time.Millisecond)
	c, replica := g.connect(0), g.connect(2)
	p := g.write(c, "1", "CREATE TABLE meal (name TEXT)")
	g.await(c, p)
	read := driver.Statement{SQL: "SELECT count(*) AS n FROM meal"}
	_, err := replica.Read(context.Background(), coop, p, read)
	wantKind(t, err, driver.Behind)
	if !replica.Clean() {
		t.Fatal("connection not clean")
	}
	g.until("replica catches up", func() bool { return g.servers[2].Status().Last == p })
	r, err := replica.Read(context.Background(), coop, p, read)
	if err != nil || *r.Rows[0][0] != "0" || r.Position != p {
		t.Fatalf("%+v, %v", r, err)
	}
}

// Guards against a frozen server that answers, or leads on, after its replacement.
func TestFreezeAndReplace(t *testing.T) {
	g := newGroup(t)
	c := g.connect(0)
	g.await(c, g.write(c, "1", "CREATE TABLE meal (name TEXT)"))
	g.until("replicas hold the table", func() bool { return g.servers[1].Status().Last == g.servers[0].Status().Last })
	g.servers[0].Freeze()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := c.Write(ctx, coop, 1, driver.Record{RequestID: "2"}, driver.Statement{SQL: "INSERT INTO meal VALUES ('x')"})
	wantKind(t, err, driver.ResponseLost)
	g.change(2, 1, 2)
	g.servers[0].Thaw()
	g.until("old primary follows", func() bool { return g.servers[0].Status().Last.Term == 2 })
	g.meals(0)
}
