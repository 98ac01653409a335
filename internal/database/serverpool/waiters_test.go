package serverpool_test

import (
	"context"
	"testing"
	"time"

	"tanagercross/internal/database/serverpool"
	"tanagercross/internal/database/statement"
)

// Guards against a caller that waits beside an idle connection because the one that was woken for it was refused by the
// queue. The load: a transaction holds the only connection for 170 ms, and of two callers the first has a goal of 60 ms.
func TestRefusedCallerPassesTheConnectionOn(t *testing.T) {
	_, pool := start(t, primary, serverpool.Options{Slots: 2, Connections: 1, PriorityScheduling: true})
	end := commit(pool, "open")
	answers := make([]chan statement.Answer, 2)
	for n, goal := range []time.Duration{60 * time.Millisecond, 1500 * time.Millisecond} {
		answers[n] = make(chan statement.Answer, 1)
		c := read("waits", n+1).WithTimeout(2 * time.Second)
		c.Goal = goal
		go func() { answers[n] <- pool.Execute(context.Background(), c) }()
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(130 * time.Millisecond)
	if a := pool.Execute(t.Context(), end); !a.OK() {
		t.Fatalf("commit: %+v", a)
	}
	if a := <-answers[0]; a.Code != statement.Busy || a.Delivery != statement.NotSent {
		t.Errorf("caller whose goal has passed: %+v, want busy, not sent", a)
	}
	if a := <-answers[1]; !a.OK() {
		t.Errorf("caller with a goal of 1.5 s: %+v, want an answer from the connection that was returned", a)
	}
}
