package serverpool_test

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/serverpool"
	"tanagercross/internal/database/statement"
	"tanagercross/internal/standin/cluster"
)

// hookDialer calls a function before each group of commands that its connections send.
type hookDialer struct {
	statement.Dialer
	before func(commands []statement.Command)
}

func (d *hookDialer) Dial(ctx context.Context, t statement.Target) (statement.Conn, driver.Position, error) {
	c, p, err := d.Dialer.Dial(ctx, t)
	if err != nil {
		return nil, p, err
	}
	return hookConn{c, d}, p, nil
}

type hookConn struct {
	statement.Conn
	d *hookDialer
}

func (c hookConn) Run(deadline time.Time, commands ...statement.Command) ([]statement.Answer, error) {
	c.d.before(commands)
	return c.Conn.Run(deadline, commands...)
}

// openEvacuated returns a pool of one slot with an open transaction, whose server is evacuated for transactions until the
// returned end of the clock.
func openEvacuated(t *testing.T, d *hookDialer, now *atomic.Int64) (pool *serverpool.Pool, next statement.Call, end int64) {
	t.Helper()
	c := cluster.New(func() time.Duration { return time.Duration(now.Load()) })
	c.AddGroup("meals", "agreste", "sertao")
	d.Dialer, d.before = c.Dialer("i1"), func([]statement.Command) {}
	now.Store(int64(time.Second))
	boot := func() time.Duration { return time.Duration(now.Load()) }
	pool = serverpool.New(statement.Target{Server: primary, Group: "meals", Address: primary}, d, serverpool.Options{Boot: boot, Slots: 1})
	t.Cleanup(pool.Close)
	first := write("s1", 1)
	first.Step = statement.First
	opened := pool.Execute(context.Background(), first)
	if !opened.OK() {
		t.Fatalf("%+v", opened)
	}
	next = write("s1", 2)
	next.Step, next.Transaction = statement.Next, opened.Transaction
	end = now.Load() + int64(time.Second)
	pool.Evacuate(time.Duration(end))
	return pool, next, end
}

// Guards against a statement, and against a rollback of an expired commit, that is sent to an evacuated server after the time
// of its transaction, because the setup of the connection lasted until then.
func TestTimeOfTransactionEndsDuringSetup(t *testing.T) {
	for name, expired := range map[string]bool{"statement": false, "expired commit": true} {
		var now atomic.Int64
		d := &hookDialer{}
		pool, next, end := openEvacuated(t, d, &now)
		next.Values = []statement.Value{{Name: "owner", Value: "another"}}
		if expired {
			next.Step, next.Body, next.Timeout = statement.End, statement.Commit{}, 900*time.Millisecond
		}
		late := 0
		d.before = func(commands []statement.Command) {
			if now.Load() >= end {
				late++
			}
			if slices.ContainsFunc(commands, func(c statement.Command) bool { _, ok := c.(statement.SetValue); return ok }) {
				now.Store(end)
			}
		}
		if a := pool.Execute(context.Background(), next); a.Code != statement.Aborted || late != 0 || now.Load() != end {
			t.Errorf("%s: %+v, %d groups of commands after the time, clock %d of %d; want aborted and none", name, a, late, now.Load(), end)
		}
	}
}
