package serverpool

import (
	"time"

	"tanagercross/internal/database/statement"
)

// Evacuate makes the pool refuse new statements, also those that wait, and close its idle connections. Open transactions may go on until end; then
// they are rolled back by closing their connections, so that nothing more is sent to the server. The owner of the pool
// calls it regularly while the server is evacuated. It returns the number of transactions that it rolled back.
func (p *Pool) Evacuate(end time.Duration) int {
	over := p.options.Boot() >= end
	p.mu.Lock()
	p.evacuatedUntil = max(1, end)
	p.closeIdle()
	p.wakeAllWaiters()
	open := map[uint64]*transaction{}
	if over {
		for id, t := range p.transactions {
			open[id] = t
		}
	}
	p.mu.Unlock()
	p.pacer.refuseWaiters()
	if a, ok := p.admission.(priorityAdmission); ok {
		a.scheduler.RefuseNewWork()
	}
	rolledBack := 0
	for id, t := range open {
		if !t.mu.TryLock() {
			continue // a statement runs; the next call finds it answered
		}
		if !t.finished {
			p.finish(id, t, false)
			rolledBack++
		}
		t.mu.Unlock()
	}
	return rolledBack
}

// Readmit ends an evacuation, with a slow start if there was one.
func (p *Pool) Readmit() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.evacuatedUntil > 0 {
		p.BeginSlowStart("evacuation", false)
	}
	p.evacuatedUntil = 0
}

// evacuated reports whether new statements are refused.
func (p *Pool) evacuated() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.evacuatedUntil > 0
}

// endEvacuated ends a transaction, and returns the refusal of its statement, if the server is evacuated and the time of open
// transactions is over. The caller holds t.mu.
func (p *Pool) endEvacuated(id uint64, t *transaction) (statement.Answer, bool) {
	p.mu.Lock()
	over := p.evacuatedUntil > 0 && p.options.Boot() >= p.evacuatedUntil
	p.mu.Unlock()
	if over {
		p.finish(id, t, false)
	}
	return statement.Refused(statement.Aborted, "the server is evacuated"), over
}

// refuseEvacuated returns the refusal of a new statement at an evacuated server.
func refuseEvacuated() statement.Answer {
	return statement.Refused(statement.Busy, "the server is evacuated")
}
