package daemon

import (
	"sync"
	"time"
)

// silentAfter is the number of calls in a row that a member must fail to count as not alive.
const silentAfter = 2

// liveness counts the failed calls to each member. It only speeds up decisions: nothing relies on it for safety.
type liveness struct {
	mu      sync.Mutex
	members map[string]contact
	changes uint64
}

type contact struct {
	failures int
	last     time.Time // of the last answer
}

func (l *liveness) record(member string, answered bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.members == nil {
		l.members = map[string]contact{}
	}
	c := l.members[member]
	before := c.failures < silentAfter
	if answered {
		c = contact{last: now}
	} else {
		c.failures++
	}
	if before != (c.failures < silentAfter) {
		l.changes++
	}
	l.members[member] = c
}

// change returns a number that grows when a member comes to count as alive or as not alive.
func (l *liveness) change() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changes
}

func (l *liveness) alive(member string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.members[member].failures < silentAfter
}

// silence returns how long a member has not answered, and false if it never did.
func (l *liveness) silence(member string, now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.members[member]
	if !ok || c.last.IsZero() {
		return 0, false
	}
	return now.Sub(c.last), true
}
