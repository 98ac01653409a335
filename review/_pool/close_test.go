package serverpool_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/serverpool"
	"tanagercross/internal/database/statement"
	"tanagercross/internal/instance/clock"
	"tanagercross/internal/standin/cluster"
)

// pausedServer takes 300 ms to open a connection, and 700 ms for each Run once it is busy, unless the connection is closed.
type pausedServer struct {
	statement.Dialer
	busy atomic.Bool
}

type pausedConn struct {
	statement.Conn
	server *pausedServer
	close  context.CancelFunc
	closed <-chan struct{}
}

func (d *pausedServer) Dial(ctx context.Context, t statement.Target) (statement.Conn, driver.Position, error) {
	time.Sleep(300 * time.Millisecond)
	c, p, err := d.Dialer.Dial(ctx, t)
	closed, cancel := context.WithCancel(context.Background())
	return pausedConn{c, d, cancel, closed.Done()}, p, err
}

func (c pausedConn) Run(deadline time.Time, commands ...statement.Command) ([]statement.Answer, error) {
	if c.server.busy.Load() {
		select {
		case <-c.closed:
			return nil, errors.New("closed")
		case <-time.After(700 * time.Millisecond):
		}
	}
	return c.Conn.Run(deadline, commands...)
}

func (c pausedConn) Close() {
	c.close()
	c.Conn.Close()
}

// Guards against a panic with the lock of the pool held, if the time of a caller that waits for a connection of its
// organisation ends right after the pool was closed while another caller waited.
func TestTimeEndsAfterClose(t *testing.T) {
	c := cluster.New(clock.Boot)
	c.AddGroup("meals", "agreste", "sertao")
	server := &pausedServer{Dialer: c.Dialer("i1")}
	pool := serverpool.New(statement.Target{Server: primary, Group: "meals", Address: primary}, server, serverpool.Options{Slots: 4, Connections: 1})
	pool.PlanConnections(true, nil)
	for n := range 5 { // short uses, compared with an opening
		if a := pool.Execute(t.Context(), of("a", 0, n)); !a.OK() {
			t.Fatalf("%+v, want success", a)
		}
	}
	server.busy.Store(true)
	go pool.Execute(context.Background(), of("a", 0, 6)) // runs
	time.Sleep(50 * time.Millisecond)
	go pool.Execute(context.Background(), of("b", 0, 7)) // waits for any connection
	time.Sleep(20 * time.Millisecond)
	// Three wait for the connection of their organisation. The end of the running statement wakes the first one.
	go pool.Execute(context.Background(), of("a", 0, 8))
	time.Sleep(10 * time.Millisecond)
	panicked := make(chan any, 1)
	go func() {
		defer func() { panicked <- recover() }()
		r := of("a", 0, 9)
		r.Timeout = 120 * time.Millisecond
		pool.Execute(context.Background(), r)
	}()
	third := make(chan statement.Answer, 1)
	go func() { third <- pool.Execute(context.Background(), of("a", 0, 10)) }()
	time.Sleep(40 * time.Millisecond)
	pool.Close()
	if p := <-panicked; p != nil {
		t.Errorf("panic: %v", p)
	}
	select {
	case <-third:
	case <-time.After(5 * time.Second):
		t.Error("the third caller, whose timeout is 1 s, has no answer after 5 s")
	}
}
