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
	callers map[Ticket]chan outcome.Reason // buffered
	pumping bool
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

// Take takes one token, or returns rate_exceeded or rate_home_unavailable.
func (l *Limiter) Take(ctx context.Context, organisation string) outcome.Reason {
	l.mu.Lock()
	now := time.Now()
	l.sweep(now)
	m := l.members[organisation]
	if m == nil {
		m = &member{entry: NewEntry(l.options), callers: make(map[Ticket]chan outcome.Reason)}
		l.members[organisation] = m
	}
	ticket, reason := m.entry.Ask(now)
	var answer chan outcome.Reason
	if ticket != 0 {
		answer = make(chan outcome.Reason, 1)
		m.callers[ticket] = answer
	}
	if !m.pumping {
		m.pumping = true
		go l.pump(organisation, m)
	}
	l.mu.Unlock()
	if ticket == 0 {
		return reason
	}
	select {
	case reason = <-answer:
		return reason
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	m.entry.Cancel(ticket)
	delete(m.callers, ticket)
	return m.entry.reason()
}

// pump makes the calls of one organisation until there is nothing to call or wait for.
func (l *Limiter) pump(organisation string, m *member) {
	for {
		s := l.settings(organisation)
		l.mu.Lock()
		now := time.Now()
		for _, r := range m.entry.Expire(now) {
			m.answer(r.Ticket, r.Reason)
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
			time.Sleep(max(time.Millisecond, min(upkeep, time.Until(wake))))
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
		m.entry.Fail(time.Now())
		return
	}
	for _, t := range m.entry.Receive(time.Now(), c, grant, s) {
		m.answer(t, "")
	}
}

func (m *member) answer(t Ticket, r outcome.Reason) {
	if c := m.callers[t]; c != nil {
		c <- r
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
