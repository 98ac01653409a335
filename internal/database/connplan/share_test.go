package connplan

import (
	"testing"
	"time"
)

// Guards against less urgent calls that get no opening, or more than one in twenty, while urgent ones use all others.
func TestShareOfOpenings(t *testing.T) {
	const most = 100
	p := New(Options{Slots: slots})
	state := State{Limit: limit, Idle: func() []Idle { return nil }}
	urgent, less := Request{Organisation: "urgent"}, Request{Organisation: "less", Priority: 2, Waited: true}
	urgent.Waited = true
	now := time.Duration(0)
	uses := make([]Use, slots-1)
	for n := range uses {
		uses[n] = p.Begin(now, urgent)
	}
	got := 0
	for n := range most * lessUrgentShare {
		now += openingTime
		i := n % len(uses)
		p.Return(now, p.End(now, uses[i], true))
		uses[i] = p.Begin(now, urgent)
		if p.OwesLessUrgent(now, limit) {
			p.Promise(now)
			if _, ok := p.Decide(now, urgent, state).(Await); !ok {
				t.Fatalf("an urgent call takes the promised opening")
			}
		}
		if _, ok := p.Decide(now, less, state).(Open); ok {
			got++
			p.Return(now, p.End(now, p.Begin(now, less), true))
		}
	}
	if got < most*9/10 || got > most*11/10 {
		t.Errorf("%d of %d openings for less urgent calls, want one in %d", got, most*lessUrgentShare, lessUrgentShare)
	}
}

// Guards against an opening that stays promised to a call which does not come, and one that is promised to a call which may
// not have another connection.
func TestPromiseOfAnOpeningEnds(t *testing.T) {
	p := New(Options{Slots: 1})
	state := State{Limit: limit, Idle: func() []Idle { return nil }}
	urgent, less := Request{Organisation: "urgent", Waited: true}, Request{Organisation: "less", Priority: 1, Waited: true}
	for range lessUrgentShare {
		use := p.Begin(0, urgent)
		p.Decide(0, less, state)
		p.Return(0, p.End(0, use, true))
	}
	if !p.OwesLessUrgent(0, limit) || p.OwesLessUrgent(0, 0) {
		t.Error("want an opening owed, unless all connections are in use")
	}
	p.Promise(0)
	if _, ok := p.Decide(PromiseLimit-1, urgent, state).(Await); !ok {
		t.Error("an urgent call takes the promised opening")
	}
	if _, ok := p.Decide(PromiseLimit, urgent, state).(Open); !ok {
		t.Error("an urgent call does not get the opening after the time of the promise")
	}
}
