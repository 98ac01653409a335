package intake

import "time"

const (
	acquireTimeout = 2 * time.Second
	evictionPeriod = 100 * time.Millisecond
)

// Acquire adds bytes to an account, waits at most acquireTimeout for room, and reports whether there was room. While it waits,
// the client must not be read from. The function returns the current time.
func (a *Account) Acquire(now func() time.Time, bytes int64) bool {
	ticket := a.Reserve(now(), bytes)
	if ticket == nil {
		return true
	}
	ticker := time.NewTicker(evictionPeriod)
	defer ticker.Stop()
	end := time.NewTimer(acquireTimeout)
	defer end.Stop()
	for {
		select {
		case <-ticket.Granted():
			return true
		case <-ticker.C:
			a.budget.Evict(now())
		case <-end.C:
			return !a.Cancel(ticket)
		}
	}
}
