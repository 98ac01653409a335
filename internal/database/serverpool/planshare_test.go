package serverpool_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"tanagercross/internal/database/serverpool"
	"tanagercross/internal/database/statement"
	"tanagercross/internal/instance/clock"
	"tanagercross/internal/standin/cluster"
)

// Guards against less urgent calls that never open a connection while urgent openings hold all but one. The load: 12 urgent
// callers of different organisations share four connections, so that most of their calls open one.
func TestLessUrgentCallsOpenConnectionsBesideUrgentOnes(t *testing.T) {
	c := cluster.New(clock.Boot)
	c.AddGroup("meals", "agreste", "sertao")
	pool := serverpool.New(statement.Target{Server: primary, Group: "meals", Address: primary}, slowDialer{c.Dialer("i1"), 5 * time.Millisecond},
		serverpool.Options{Slots: 2, Connections: 4})
	t.Cleanup(pool.Close)
	pool.PlanConnections(true, nil)
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for n := range 12 {
		callers.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				pool.Execute(context.Background(), of(fmt.Sprint("urgent", n), 0, i).WithTimeout(2*time.Second))
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	for n := range 5 {
		if a := pool.Execute(context.Background(), of(fmt.Sprint("less", n), 1+uint8(n%2), n).WithTimeout(2*time.Second)); !a.OK() {
			t.Errorf("less urgent call %d: %+v, want an answer", n, a)
		}
	}
	cancel()
	callers.Wait()
}
