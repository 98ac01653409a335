package pool

import (
	"testing"
	"time"

	"tanagercross/internal/database/operation"
)

// Guards against a usage report that miscounts open transactions, running or queued operations, so that the gauges show
// a full pool as idle.
func TestUsage(t *testing.T) {
	s := newFakeServer()
	entered, unblock := blockCall(s, "read")
	p := newPoolWithLane(t, s, Options{MaintenanceInterval: time.Millisecond, MinIdle: 2}, 10, 1)
	begin(t, p, "a", "s", "")
	replies := make(chan operation.Reply, 2)
	perform := func() { replies <- p.Perform(t.Context(), server, operation.Read{Organisation: "a"}) }
	go perform()
	<-entered
	go perform()
	var u Usage
	for u.Queued == 0 || u.Oldest < time.Millisecond || u.Idle < 2 {
		u = p.Usage()[0]
	}
	oldest := u.Oldest
	u.Oldest = 0
	if want := (Usage{Server: server, Lanes: 1, Connections: 5, Idle: 2, InFlight: 1, Queued: 1, Transactions: 1}); u != want || oldest > time.Minute {
		t.Errorf("usage %+v, oldest %v, want %+v", u, oldest, want)
	}
	unblock()
	want(t, <-replies, done)
	want(t, <-replies, done)
}
