// Package intake bounds the memory that the clients of a process make it hold. It decides without I/O and takes the time as
// a parameter.
//
// # Usage
//
//	budget := intake.NewBudget(memory / 4)
//	a := budget.Open(func() { _ = conn.Close() })
//	defer a.Close()
//	if !a.Acquire(time.Now, 4<<20) { ... }   // refuse
//	a.SetRunning(time.Now(), true)           // from now on it is not evicted
//	a.Resize(time.Now(), len(answer))        // never waits, and evicts what holds most
//
// An account stands for one connection. Acquire is for bytes that need not be taken in yet, Resize for bytes that are held
// already. What does not fit waits in order of arrival. An account is evicted by its close function if the budget is exceeded:
// the one with the largest product of bytes and time since its last step, so that a stalled client is closed before one that
// has just begun.
package intake

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"
)

// minimumHold is the time for which an account may hold a reservation while others wait. A line of 1 MiB takes it over a
// connection of 8 Mbit/s.
const minimumHold = time.Second

// Budget is the number of bytes that all accounts together may hold. It is safe for concurrent use. Create it with NewBudget.
type Budget struct {
	mu       sync.Mutex
	limit    int64
	held     int64
	leaving  int64 // held by accounts that are evicted and not closed yet
	holders  map[*Account]struct{}
	waiting  list.List // of *Ticket
	evicted  int
	refusals int
	exceeded atomic.Bool
}

// Counts are the figures of a budget.
type Counts struct {
	Limit, Held       int64 // bytes
	Leaving           int64 // bytes held by accounts that are evicted and not closed yet
	Waiting           int   // reservations
	Evicted, Refusals int   // since the start
}

// Account is what one connection holds. It is safe for concurrent use.
type Account struct {
	budget  *Budget
	evict   func()
	held    int64
	since   time.Time // last step
	running bool
	evicted bool
}

// Ticket is a reservation that waits.
type Ticket struct {
	account *Account
	bytes   int64
	granted chan struct{}
	element *list.Element // nil when it no longer waits
}

// Granted returns a channel that is closed when the reservation is granted.
func (t *Ticket) Granted() <-chan struct{} { return t.granted }

// NewBudget returns a budget of a number of bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit, holders: map[*Account]struct{}{}}
}

// Open returns an account that holds nothing. The function closes the connection of the account. It is called at most once,
// under the lock of the budget, and must not block.
func (b *Budget) Open(evict func()) *Account { return &Account{budget: b, evict: evict} }

// Counts returns the figures of the budget.
func (b *Budget) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Counts{Limit: b.limit, Held: b.held, Leaving: b.leaving, Waiting: b.waiting.Len(), Evicted: b.evicted, Refusals: b.refusals}
}

// Exceeded reports whether more than the budget is held, which lasts until evicted accounts are closed. It takes no lock.
func (b *Budget) Exceeded() bool { return b.exceeded.Load() }

// Reserve adds bytes to an account and returns nil, or a ticket if they do not fit yet. No more than the whole budget is
// reserved at once.
func (a *Account) Reserve(now time.Time, bytes int64) *Ticket {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	bytes = min(bytes, b.limit)
	if b.waiting.Len() == 0 && b.held+bytes <= b.limit {
		b.change(a, now, bytes)
		return nil
	}
	t := &Ticket{account: a, bytes: bytes, granted: make(chan struct{})}
	t.element = b.waiting.PushBack(t)
	return t
}

// Cancel ends the wait of a reservation and reports whether it was not granted.
func (a *Account) Cancel(t *Ticket) bool {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.element == nil {
		return false
	}
	b.refusals++
	b.remove(t)
	return true
}

// Resize sets the bytes of an account. If the budget is exceeded then, accounts are evicted until the rest fits.
func (a *Account) Resize(now time.Time, bytes int64) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if bytes == a.held {
		return
	}
	b.change(a, now, bytes-a.held)
	b.makeRoom(now, 0, 0)
	b.grant(now)
}

// SetRunning says whether the connection runs a statement. Such a connection is not evicted, because its client would not
// learn the outcome. It returns false if the account is evicted already: the statement must not run then.
func (a *Account) SetRunning(now time.Time, running bool) bool {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.running, a.since = running, now
	return !a.evicted
}

// Evicted reports whether the account was evicted.
func (a *Account) Evicted() bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.evicted
}

// Close releases what the account holds. The account must not be used after it.
func (a *Account) Close(now time.Time) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.change(a, now, -a.held)
	b.grant(now)
}

// Evict makes room for the first reservation that waits, if accounts have held their bytes for longer than minimumHold.
func (b *Budget) Evict(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	front := b.waiting.Front()
	if front == nil {
		return
	}
	b.makeRoom(now, front.Value.(*Ticket).bytes, minimumHold)
}

// makeRoom evicts accounts until a number of bytes fits, or until none is left that has held its bytes for at least a time.
func (b *Budget) makeRoom(now time.Time, bytes int64, atLeast time.Duration) {
	for b.held-b.leaving+bytes > b.limit {
		if !b.evictOne(now, atLeast) {
			return
		}
	}
}

// change adds bytes to an account.
func (b *Budget) change(a *Account, now time.Time, bytes int64) {
	a.since = now
	a.held += bytes
	b.held += bytes
	if exceeded := b.held > b.limit; exceeded != b.exceeded.Load() {
		b.exceeded.Store(exceeded)
	}
	if a.evicted {
		b.leaving += bytes
	}
	if a.held > 0 {
		b.holders[a] = struct{}{}
		return
	}
	delete(b.holders, a)
}

// grant grants the reservations that fit, in order of arrival.
func (b *Budget) grant(now time.Time) {
	for front := b.waiting.Front(); front != nil; front = b.waiting.Front() {
		t := front.Value.(*Ticket)
		if b.held+t.bytes > b.limit {
			return
		}
		b.remove(t)
		b.change(t.account, now, t.bytes)
		close(t.granted)
	}
}

func (b *Budget) remove(t *Ticket) {
	b.waiting.Remove(t.element)
	t.element = nil
}

// evictOne evicts the account with the largest product of bytes and time, of those that have held them for at least a time.
// It reports whether there was one.
func (b *Budget) evictOne(now time.Time, atLeast time.Duration) bool {
	var worst *Account
	most := -1.0
	for a := range b.holders {
		held := now.Sub(a.since)
		if a.running || a.evicted || held < atLeast {
			continue
		}
		// One millisecond is added, so that bytes decide between accounts of the same moment.
		if score := float64(a.held) * (held + time.Millisecond).Seconds(); score > most {
			worst, most = a, score
		}
	}
	if worst == nil {
		return false
	}
	worst.evicted = true
	b.leaving += worst.held
	b.evicted++
	worst.evict()
	return true
}
