package serverpool_test

import (
	"context"
	"testing"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/serverpool"
	"tanagercross/internal/database/statement"
)

// Guards against a replica that stands still and is asked again by each read, and against reads that it can serve being
// refused.
func TestReplicaThatStandsStillIsNotAskedAgain(t *testing.T) {
	now := time.Second
	c, pool := start(t, replica, serverpool.Options{Boot: func() time.Duration { return now }})
	c.Lag(replica, time.Hour)
	behind := read("s1", 1)
	behind.Scope, behind.After = statement.Replica, driver.Position{Term: 1, Index: 5}
	ask := func() statement.Delivery {
		a := pool.Execute(context.Background(), behind)
		if a.Code != statement.Behind {
			t.Fatalf("got %+v, want behind", a)
		}
		return a.Delivery
	}
	if got := ask(); got != statement.Answered {
		t.Errorf("first read: delivery %d, want an answer of the server", got)
	}
	now += 20 * time.Millisecond
	if got := ask(); got != statement.NotSent {
		t.Errorf("20 ms later: delivery %d, want none", got)
	}
	served := read("s1", 2)
	served.Scope = statement.Replica
	if a := pool.Execute(context.Background(), served); !a.OK() {
		t.Errorf("a read without a position: %+v", a)
	}
	now += 2 * time.Second
	if got := ask(); got != statement.Answered {
		t.Errorf("2 s later: delivery %d, want an answer of the server", got)
	}
	now += 400 * time.Millisecond
	if got := ask(); got != statement.NotSent {
		t.Errorf("400 ms after a replica stood still for 2 s: delivery %d, want none", got)
	}
}
