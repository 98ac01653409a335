package allotment

import (
	"context"
	"sync"
	"time"

	"tanagercross/internal/session/outcome"
)

// Taker asks the home of an organisation for tokens. An error means that no home answered.
type Taker interface {
	Take(ctx context.Context, organisation string, wanted, unused int) (Grant, error)
}

// SettingsOf returns the settings in force for an organisation.
type SettingsOf func(organisation string) Settings

// upkeep is the longest time between checks of callers that wait.
const upkeep = 20 * time.Millisecond

type member struct {
	entry   *Entry
	callers map[Ticket]chan answer // buffered
	pumping bool
}

// answer ends the wait of a caller. Without a reason it holds a token that is valid until a time.
type answer struct {
	reason outcome.Reason
	until  time.Time
}

// Limiter takes tokens for callers of this instance.
type Limiter struct {
	taker    Taker
	settings SettingsOf
	options  Options

	mu      sync.Mutex
	members map[string]*member
	swept   time.Time
}

// NewLimiter returns a limiter without tokens.
func NewLimiter(t Taker, s SettingsOf, o Options) *Limiter {
	return &Limiter{taker: t, settings: s, options: o.WithDefaults(), members: make(map[string]*member)}
}

// Take takes one token, or returns rate_exceeded or rate_home_unavailable. A token whose validity has ended when the
// caller gets it, because the process was paused, is dropped and another one is taken.
func (l *Limiter) Take(ctx context.Context, organisation string) outcome.Reason {
	for {
		a := l.take(ctx, organisation)
		if a.reason != "" || l.options.Now().Before(a.until) {
			return a.reason
		}
	}
}

func (l *Limiter) take(ctx context.Context, organisation string) answer {
	l.mu.Lock()
	now := l.options.Now()
	l.sweep(now)
	m := l.members[organisation]
	if m == nil {
		m = &member{entry: NewEntry(l.options), callers: make(map[Ticket]chan answer)}
		l.members[organisation] = m
	}
	ticket, reason := m.entry.Ask(now)
	immediate := answer{reason: reason, until: m.entry.Until()}
	var wait chan answer
	if ticket != 0 {
		wait = make(chan answer, 1)
		m.callers[ticket] = wait
	}
	if !m.pumping {
		m.pumping = true
		go l.pump(organisation, m)
	}
	l.mu.Unlock()
	if ticket == 0 {
		return immediate
	}
	select {
	case a := <-wait:
		return a
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	m.entry.Cancel(ticket)
	delete(m.callers, ticket)
	return answer{reason: m.entry.reason()}
}

// pump makes the calls of one organisation until there is nothing to call or wait for.
func (l *Limiter) pump(organisation string, m *member) {
	for {
		s := l.settings(organisation)
		l.mu.Lock()
		now := l.options.Now()
		for _, r := range m.entry.Expire(now) {
			m.answer(r.Ticket, answer{reason: r.Reason})
		}
		call, ok := m.entry.Next(now, s)
		wake := m.entry.Wake()
		if !ok && wake.IsZero() {
			m.pumping = false
			l.mu.Unlock()
			return
		}
		l.mu.Unlock()
		if !ok {
			time.Sleep(max(time.Millisecond, min(upkeep, wake.Sub(now))))
			continue
		}
		l.call(organisation, m, call, s)
	}
}

func (l *Limiter) call(organisation string, m *member, c Call, s Settings) {
	ctx, cancel := context.WithTimeout(context.Background(), l.options.Timeout)
	defer cancel()
	grant, err := l.taker.Take(ctx, organisation, c.Wanted, c.Unused)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		m.entry.Fail(l.options.Now())
		return
	}
	for _, t := range m.entry.Receive(l.options.Now(), c, grant, s) {
		m.answer(t, answer{until: m.entry.Until()})
	}
}

func (m *member) answer(t Ticket, a answer) {
	if c := m.callers[t]; c != nil {
		c <- a
		delete(m.callers, t)
	}
}

// sweep forgets organisations without traffic.
func (l *Limiter) sweep(now time.Time) {
	if now.Sub(l.swept) < l.options.Idle {
		return
	}
	l.swept = now
	for name, m := range l.members {
		if !m.pumping && m.entry.Idle(now) {
			delete(l.members, name)
		}
	}
}
