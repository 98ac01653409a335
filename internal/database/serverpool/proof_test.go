package serverpool_test

import (
	"context"
	"testing"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/serverpool"
	"tanagercross/internal/database/statement"
	"tanagercross/internal/instance/clock"
	"tanagercross/internal/standin/cluster"
)

// doubtful makes the answers of the first connection that it opens unproven, as after a repetition.
type doubtful struct {
	statement.Dialer
	opened   int
	closed   bool // the first connection
	together bool // another connection was opened before the first one was closed
	reusable bool
	strays   int
	refused  bool
	idle     bool           // statements of callers are answered outside of a transaction
	inside   bool           // statements of callers are answered inside a transaction
	every    bool           // all connections are like the first one
	code     statement.Code // of the answers to statements of callers on that connection
}

func (d *doubtful) Dial(ctx context.Context, t statement.Target) (statement.Conn, driver.Position, error) {
	conn, position, err := d.Dialer.Dial(ctx, t)
	if d.opened == 1 && !d.closed {
		d.together = true
	}
	d.opened++
	if err != nil || d.opened > 1 && !d.every {
		return conn, position, err
	}
	return doubtfulConn{conn, d}, position, nil
}

type doubtfulConn struct {
	statement.Conn
	dialer *doubtful
}

func (c doubtfulConn) Run(deadline time.Time, commands ...statement.Command) ([]statement.Answer, error) {
	answers, err := c.Conn.Run(deadline, commands...)
	for n := range answers {
		answers[n].Proven = false
		if _, ok := commands[n].(statement.Forward); ok {
			answers[n].Code = c.dialer.code
			if c.dialer.idle {
				answers[n].State = statement.Idle
			}
			if c.dialer.inside {
				answers[n].State = statement.InTransaction
			}
		}
	}
	return answers, err
}

func (c doubtfulConn) Reusable() bool { return c.dialer.reusable }

func (c doubtfulConn) Close() {
	c.dialer.closed = true
	c.Conn.Close()
}

func (c doubtfulConn) Refused() bool { return c.dialer.refused }

func (c doubtfulConn) Strays() int { return c.dialer.strays }

func (c doubtfulConn) ProvesOpening(driver.Position) bool { return false }

// startDoubtful returns a pool for the primary of a cluster, whose first connection proves nothing.
func startDoubtful(t *testing.T, d *doubtful) (*cluster.Cluster, *serverpool.Pool) {
	t.Helper()
	return startDoubtfulWith(t, d, 1)
}

func startDoubtfulWith(t *testing.T, d *doubtful, connections int) (*cluster.Cluster, *serverpool.Pool) {
	t.Helper()
	c := cluster.New(clock.Boot)
	c.AddGroup("meals", "agreste", "sertao")
	d.Dialer = c.Dialer("i1")
	pool := serverpool.New(statement.Target{Server: primary, Group: "meals", Address: primary}, d, serverpool.Options{Connections: connections})
	t.Cleanup(func() {
		pool.Close()
		for _, f := range c.Faults() {
			t.Error(f)
		}
	})
	return c, pool
}

// Guards against a write that is sent although the commands that set its session values, or open its transaction, may have
// failed.
func TestWriteNeedsProvenSetup(t *testing.T) {
	first := write("s1", 1)
	first.Step, first.Values = statement.First, nil
	for name, c := range map[string]statement.Call{"single": write("s1", 1), "first of a transaction": first} {
		t.Run(name, func(t *testing.T) {
			d := &doubtful{reusable: true}
			_, pool := startDoubtful(t, d)
			if a := pool.Execute(context.Background(), c); !a.OK() || d.opened != 2 {
				t.Errorf("got %+v after %d connections, want success on the second one", a, d.opened)
			}
			if d.together {
				t.Error("two connections were open at once, beyond the limit of 1")
			}
			if connections, _, _, _ := pool.Counts(); connections != 1 || pool.Replacements().Unproven != 1 {
				t.Errorf("%d connections are counted, %+v, want 1 and 1", connections, pool.Replacements())
			}
		})
	}
}

// Guards against reads with the session values of another session, or outside of their transaction, at a server that repeats
// answers, and against a connection for each such read at a server that does not.
func TestReadsNeedProofAtAServerThatRepeatsAnswers(t *testing.T) {
	first := read("s1", 1)
	first.Step, first.Values = statement.First, nil
	for name, c := range map[string]statement.Call{"single": read("s1", 1), "first of a transaction": first} {
		for strays, opened := range []int{1, 2} {
			d := &doubtful{reusable: true, strays: strays}
			_, pool := startDoubtful(t, d)
			if a := pool.Execute(context.Background(), c); !a.OK() || d.opened != opened {
				t.Errorf("%s, %d strays: %+v after %d connections, want success on number %d", name, strays, a, d.opened, opened)
			}
		}
	}
}

// Guards against a promise that nothing was kept, given for a write whose answer may be the repetition of an earlier error.
func TestUnprovenErrorPromisesNothing(t *testing.T) {
	_, pool := startDoubtful(t, &doubtful{reusable: true, code: statement.Busy})
	c := write("s1", 1)
	c.Values = nil // no commands before the write
	if a := pool.Execute(context.Background(), c); a.Delivery != statement.Unanswered {
		t.Errorf("got %+v, want unanswered", a)
	}
}

// Guards against the reuse of a connection whose session values are not certain, because the read after them had no proof.
func TestUnprovenSetupIsNotReused(t *testing.T) {
	d := &doubtful{reusable: true}
	_, pool := startDoubtful(t, d)
	for n := range 2 {
		if a := pool.Execute(context.Background(), read("s1", n)); !a.OK() {
			t.Errorf("read %d: %+v", n, a)
		}
	}
	if d.opened != 2 {
		t.Errorf("%d connections, want 2", d.opened)
	}
}

// Guards against a write that is sent although the connection that takes the place of another one proves nothing either.
func TestUnprovenReplacementIsNotUsed(t *testing.T) {
	c, pool := startDoubtful(t, &doubtful{reusable: true, every: true})
	if a := pool.Execute(context.Background(), write("s1", 1)); a.Delivery != statement.NotSent || a.Code != statement.Aborted || c.Runs("s1/1") != 0 {
		t.Errorf("got %+v and %d runs, want aborted and none", a, c.Runs("s1/1"))
	}
}

// Guards against a transaction that goes on after an error that may be the repetition of an earlier one.
func TestUnprovenErrorEndsTheTransaction(t *testing.T) {
	_, pool := startDoubtful(t, &doubtful{reusable: true, code: statement.Busy})
	c := read("s1", 1)
	c.Step, c.Values = statement.First, nil
	a := pool.Execute(context.Background(), c)
	if _, transactions, _, _ := pool.Counts(); a.Delivery != statement.Unanswered || transactions != 0 {
		t.Errorf("got %+v and %d open transactions, want unanswered and none", a, transactions)
	}
}

// Guards against a write that is acknowledged although it ran inside a transaction, which ends without a commit.
func TestWriteInsideATransactionIsNotAcknowledged(t *testing.T) {
	_, pool := startDoubtful(t, &doubtful{reusable: true, inside: true})
	c := write("s1", 1)
	c.Values = nil
	if a := pool.Execute(context.Background(), c); a.Delivery != statement.Unanswered {
		t.Errorf("got %+v, want unanswered", a)
	}
}

// Guards against connections that are replaced although another idle one gives the proof, or has carried no error.
func TestConnectionIsChosenByWhatItProves(t *testing.T) {
	plain := write("s1", 1)
	plain.Values = nil
	for name, test := range map[string]struct {
		dialer doubtful
		call   statement.Call
	}{
		"proof":    {doubtful{reusable: true}, write("s1", 1)},
		"no error": {doubtful{reusable: true, refused: true}, plain},
	} {
		t.Run(name, func(t *testing.T) {
			d := &test.dialer
			_, pool := startDoubtfulWith(t, d, 2)
			first := read("s2", 1)
			first.Step, first.Values = statement.First, nil
			opened := pool.Execute(context.Background(), first)
			other := read("s3", 1)
			other.Values = nil
			pool.Execute(context.Background(), other)
			end := first
			end.Step, end.Body, end.Transaction = statement.End, statement.Rollback{}, opened.Transaction
			pool.Execute(context.Background(), end) // the doubtful connection is released last
			if a := pool.Execute(context.Background(), test.call); !a.OK() || d.opened != 2 {
				t.Errorf("got %+v after %d connections, want success on the second one", a, d.opened)
			}
		})
	}
}

// Guards against a read index from an answer that may be older than its request, and against a quiet server, whose position
// does not grow, that gives no read index at all.
func TestReadIndexAtAServerThatRepeatsAnswers(t *testing.T) {
	for strays, opened := range []int{1, 2} {
		d := &doubtful{reusable: true, strays: strays}
		_, pool := startDoubtful(t, d)
		for range 3 {
			if p, ok := pool.ReadIndex(context.Background(), 0, "coop"); !ok {
				t.Errorf("%d strays: no read index, %+v", strays, p)
			}
		}
		if d.opened != opened {
			t.Errorf("%d strays: %d connections, want %d", strays, d.opened, opened)
		}
	}
}

// Guards against a read outside of the transaction in which it was to show that the server leads, taken for a read at the
// leader.
func TestLeaderReadOutsideOfItsTransaction(t *testing.T) {
	_, pool := startDoubtful(t, &doubtful{reusable: true, idle: true})
	c := read("s1", 1)
	c.Values = nil
	if a := pool.Execute(context.Background(), c); a.Delivery != statement.Unanswered {
		t.Errorf("got %+v, want unanswered", a)
	}
	if p, ok := pool.LastReadIndex(); ok {
		t.Errorf("got the read index %+v", p)
	}
}

// Guards against a write whose clean refusal cannot be told from the repetition of one before on its connection.
func TestWriteNeedsAConnectionWithoutErrors(t *testing.T) {
	d := &doubtful{reusable: true, refused: true}
	_, pool := startDoubtful(t, d)
	c := write("s1", 1)
	c.Values = nil
	if a := pool.Execute(context.Background(), c); !a.OK() || d.opened != 2 {
		t.Errorf("got %+v after %d connections, want success on the second one", a, d.opened)
	}
}

// Guards against the reuse of a connection on which an answer may still arrive.
func TestConnectionOutOfStepIsClosed(t *testing.T) {
	d := &doubtful{}
	_, pool := startDoubtful(t, d)
	for n := range 2 {
		c := read("s1", n)
		c.Values = nil // no commands before the read that would have to be proven
		if a := pool.Execute(context.Background(), c); !a.OK() {
			t.Errorf("read %d: %+v", n, a)
		}
	}
	if got := pool.Replacements().OutOfStep; d.opened != 2 || got != 1 {
		t.Errorf("%d connections were opened, %d out of step, want 2 and 1", d.opened, got)
	}
}
