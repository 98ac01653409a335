package serverpool_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/serverpool"
	"tanagercross/internal/database/statement"
	"tanagercross/internal/instance/clock"
	"tanagercross/internal/standin/cluster"
)

// setupDialer opens connections whose session values are refused with a code, or get no answer if it is empty.
type setupDialer struct {
	statement.Dialer
	code statement.Code
}

type setupConn struct {
	statement.Conn
	code statement.Code
}

func (d setupDialer) Dial(ctx context.Context, t statement.Target) (statement.Conn, driver.Position, error) {
	c, p, err := d.Dialer.Dial(ctx, t)
	return setupConn{c, d.code}, p, err
}

func (c setupConn) Run(deadline time.Time, commands ...statement.Command) ([]statement.Answer, error) {
	if _, ok := commands[0].(statement.SetValue); !ok {
		return c.Conn.Run(deadline, commands...)
	}
	if c.code == "" {
		return nil, errors.New("no answer")
	}
	return []statement.Answer{{Delivery: statement.Answered, Code: c.code}}, nil
}

// Guards against a server that refuses or does not answer the setup of connections and keeps its window, and against a window
// that is reduced because a server does not lead or lags, or because of a faulty statement.
func TestSetupInASlowStart(t *testing.T) {
	for code, want := range map[statement.Code]int{
		statement.Busy: 2, statement.TooMany: 2, statement.Timeout: 2, "": 2,
		statement.ReadOnly: 4, statement.Behind: 4, statement.Malformed: 4,
	} {
		for _, step := range []statement.Step{statement.Single, statement.First} {
			c := cluster.New(clock.Boot)
			c.AddGroup("meals", "agreste", "sertao")
			pool := serverpool.New(statement.Target{Server: primary, Group: "meals", Address: primary}, setupDialer{c.Dialer("i1"), code},
				serverpool.Options{Slots: 16, SlowStart: true})
			pool.BeginSlowStart("start", true)
			r := write("s", 1)
			r.Step = step
			if a := pool.Execute(t.Context(), r); a.Delivery != statement.NotSent {
				t.Errorf("%q: %+v, want not sent", code, a)
			}
			if w, _ := pool.Window(); w != want {
				t.Errorf("%q at step %d: window %d, want %d", code, step, w, want)
			}
			pool.Close()
		}
	}
}

// Guards against statements from before a new slow start that hold its window.
func TestStatementsOfAnEarlierSlowStart(t *testing.T) {
	for _, priority := range []bool{false, true} {
		pool, _ := slowStarting(t, priority, 300*time.Millisecond)
		pool.BeginSlowStart("start", false)
		earlier := make(chan statement.Answer)
		go func() { earlier <- pool.Execute(context.Background(), of("a", 1, 1)) }()
		time.Sleep(100 * time.Millisecond)
		pool.BeginSlowStart("return", false)
		before := time.Now()
		// The opening of its transaction and the read itself take 300 ms each.
		if a := pool.Execute(t.Context(), of("b", 1, 1)); !a.OK() || time.Since(before) > 850*time.Millisecond {
			t.Errorf("priorities %t: %+v after %v, want no wait for the statement of the earlier slow start", priority, a, time.Since(before))
		}
		<-earlier
	}
}
