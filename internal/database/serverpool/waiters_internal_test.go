package serverpool

import (
	"testing"
	"time"

	"tanagercross/internal/database/statement"
	"tanagercross/internal/instance/clock"
)

// Guards against a panic with the lock of the pool held, which leaves all later callers without an answer, when a caller joins the
// urgent waiters after the pool was closed or evacuated with others among them.
func TestWaiterAfterAllWereWoken(t *testing.T) {
	for name, wakeAll := range map[string]func(*Pool){
		"closed": (*Pool).Close, "evacuated": func(p *Pool) { p.Evacuate(clock.Boot() + time.Hour) },
	} {
		p := New(statement.Target{Server: "a"}, nil, Options{Slots: 1, Connections: 1})
		p.PlanConnections(true, nil)
		join := func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.addWaiter(true)
		}
		join()
		wakeAll(p)
		func() {
			defer func() {
				if r := recover(); r != nil {
					t.Errorf("%s: panic: %v", name, r)
				}
			}()
			join()
		}()
	}
}
