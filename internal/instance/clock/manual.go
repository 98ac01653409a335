package clock

import (
	"sync"
	"time"
)

// Manual is a clock that moves only by Advance. The zero value starts at the zero time.
type Manual struct {
	mu   sync.Mutex
	now  time.Time
	subs map[*subscription]struct{}
}

type subscription struct {
	period time.Duration
	next   time.Time
	out    chan time.Time
}

// NewManual returns a manual clock that starts at a time.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now implements Clock.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Subscribe implements Clock.
func (m *Manual) Subscribe(period time.Duration) (<-chan time.Time, func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &subscription{period: period, next: m.now.Add(period), out: make(chan time.Time, 1)}
	if m.subs == nil {
		m.subs = make(map[*subscription]struct{})
	}
	m.subs[s] = struct{}{}
	return s.out, func() { m.cancel(s) }
}

func (m *Manual) cancel(s *subscription) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.subs[s]; !ok {
		return
	}
	delete(m.subs, s)
	close(s.out)
}

// Advance moves the clock and sends one tick to each subscriber whose period has passed.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	for s := range m.subs {
		if m.now.Before(s.next) {
			continue
		}
		s.next = m.now.Add(s.period)
		select {
		case s.out <- m.now:
		default:
		}
	}
}
