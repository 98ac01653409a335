package serverpool_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tanagercross/internal/database/statement"
)

// Guards against a rollback that is sent to an evacuated server after the time of its transaction, because the statement
// waited in vain for a slot until then.
func TestTimeOfTransactionEndsInQueue(t *testing.T) {
	var now atomic.Int64
	d := &hookDialer{}
	pool, next, end := openEvacuated(t, d, &now)
	var rollbacks atomic.Int64
	const others = 16 // more than run at the same time
	var running atomic.Int64
	var done sync.WaitGroup
	leave := make(chan bool)
	pool.Readmit()
	d.before = func(commands []statement.Command) {
		for _, c := range commands {
			if f, ok := c.(statement.Forward); ok && f.ID != next.ID {
				running.Add(1)
				<-leave
			}
		}
		if slices.ContainsFunc(commands, func(c statement.Command) bool { _, ok := c.(statement.CloseTransaction); return ok }) {
			rollbacks.Add(1)
		}
	}
	for n := range others {
		done.Go(func() { pool.Execute(context.Background(), read(fmt.Sprintf("other%d", n), 1)) })
	}
	for last := int64(-1); last <= 0 || last != running.Load(); time.Sleep(50 * time.Millisecond) {
		last = running.Load()
	}
	before := rollbacks.Load()
	pool.Evacuate(time.Duration(end))
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	time.AfterFunc(30*time.Millisecond, func() { now.Store(end) })
	a := pool.Execute(ctx, next)
	if a.Code != statement.Aborted || rollbacks.Load() != before {
		t.Errorf("%+v, %d rollbacks; want aborted and none", a, rollbacks.Load()-before)
	}
	close(leave)
	done.Wait()
}
