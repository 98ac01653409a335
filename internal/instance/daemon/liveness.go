package daemon

import (
	"maps"
	"slices"
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
	checked  time.Time // of the last check besides the rounds of the exchange
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
		c.failures, c.last = 0, now
	} else {
		c.failures++
	}
	if before != (c.failures < silentAfter) {
		l.changes++
	}
	l.members[member] = c
}

// checkDue reports whether a member may be checked now, at most once in a period.
func (l *liveness) checkDue(member string, now time.Time, period time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.members[member]
	if now.Sub(c.checked) < period {
		return false
	}
	if l.members == nil {
		l.members = map[string]contact{}
	}
	c.checked = now
	l.members[member] = c
	return true
}

// suspects returns up to n members that do not count as alive and are due for a check, those checked longest ago first.
// Without it a member that is back would be found by the rounds of the exchange, in a large fleet after minutes.
func (l *liveness) suspects(n int, now time.Time, period time.Duration) []string {
	l.mu.Lock()
	var due []string
	for name, c := range l.members {
		if c.failures >= silentAfter && now.Sub(c.checked) >= period {
			due = append(due, name)
		}
	}
	slices.SortFunc(due, func(a, b string) int { return l.members[a].checked.Compare(l.members[b].checked) })
	due = due[:min(n, len(due))]
	for _, name := range due {
		c := l.members[name]
		c.checked = now
		l.members[name] = c
	}
	l.mu.Unlock()
	return due
}

// retain forgets the members that keep does not accept.
func (l *liveness) retain(keep func(member string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.members, func(name string, _ contact) bool { return !keep(name) })
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
