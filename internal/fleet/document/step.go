package document

import (
	"time"

	"tanagercross/internal/service/store"
)

func (p *Procedure) onTick(now time.Time) []Action {
	switch p.phase {
	case proposing, settling:
		if p.phase == proposing && now.Sub(p.started) > proposalLimit {
			return p.finish(Result{Status: Abandoned, Message: "no majority confirmed the proposal in time"})
		}
		return append(p.propose(now), p.advance(now)...)
	case writing:
		return p.write(now)
	case fetching:
		return p.fetch(now)
	case spreading:
		return append(p.push(now), p.settle(now)...)
	}
	return nil
}

func (p *Procedure) propose(now time.Time) []Action {
	if p.phase != proposing || now.Sub(p.lastSend) < resendPeriod {
		return nil
	}
	p.lastSend = now
	var actions []Action
	for _, m := range p.members() {
		if !p.confirmed[m.Name] {
			actions = append(actions, ProposeAction{Member: m.Name, Change: p.change})
		}
	}
	return actions
}

func (p *Procedure) onConfirmed(e Confirmed, now time.Time) []Action {
	c := e.Confirmation
	if p.phase != proposing || c.ChangeID != p.change.ID {
		return nil
	}
	switch {
	case c.Version > p.change.Base:
		p.phase = fetching // another change was first; the store names it
		return p.fetch(now)
	case c.Version < p.change.Base:
		return nil // asked again once the member has the base
	case c.Refusal != "":
		return p.finish(Result{Status: Refused, Member: e.Member, Message: c.Refusal})
	}
	p.confirmed[e.Member] = true
	return p.advance(now)
}

// advance starts the write once enough members have confirmed.
func (p *Procedure) advance(now time.Time) []Action {
	confirmed := func(m string) bool { return p.confirmed[m] }
	if !p.enough(confirmed) {
		return nil
	}
	if p.majority.IsZero() {
		p.majority = now
	}
	wait := proposalGrace
	if p.every(confirmed) {
		wait = 0
	}
	if p.change.Name == Roster && p.change.Base > 0 {
		// Rosters two changes apart may have majorities without a common member.
		wait = inForceWait
		p.phase = settling
	}
	if now.Sub(p.majority) < wait {
		return nil
	}
	p.phase = writing
	return p.write(now)
}

func (p *Procedure) write(now time.Time) []Action {
	if !p.lastTry.IsZero() && now.Sub(p.lastTry) < resendPeriod {
		return nil
	}
	if !p.unclear && !p.majority.IsZero() && now.Sub(p.majority) > proposalLimit+inForceWait {
		if p.unwritten > 0 {
			return nil // a slow store may still take the write, so that "not written" would be a guess
		}
		return p.finish(Result{Status: Abandoned, Message: "the store did not take the change in time; nothing was written"})
	}
	action, err := commit(p.document, p.params.Roster.Version())
	if err != nil {
		return p.finish(Result{Status: Abandoned, Message: err.Error()})
	}
	p.lastTry = now
	p.unwritten++
	return []Action{action}
}

func (p *Procedure) onWritten(e Written, now time.Time) []Action {
	p.unwritten--
	if p.phase != writing {
		return nil
	}
	switch e.Kind {
	case "":
		return p.spread(now)
	case store.Conflict, store.Unknown:
		p.unclear = p.unclear || e.Kind == store.Unknown
		p.phase = fetching
		p.lastTry = time.Time{}
		return p.fetch(now)
	case store.Invalid, store.Missing:
		if !p.unclear {
			return p.finish(Result{Status: Abandoned, Message: "the store refused the change as invalid"})
		}
	}
	return nil
}

func (p *Procedure) fetch(now time.Time) []Action {
	if !p.lastTry.IsZero() && now.Sub(p.lastTry) < resendPeriod {
		return nil
	}
	p.lastTry = now
	return []Action{FetchAction{Name: p.change.Name}}
}

// onFetched settles who made the version that the change wanted to make.
func (p *Procedure) onFetched(e Fetched, now time.Time) []Action {
	if p.phase != fetching {
		return nil
	}
	version := p.change.Base + 1
	if e.Document.Version < version {
		// An unclear write may still arrive. Repeating it is safe: only one of both can meet the condition. If the
		// roster has changed meanwhile, the first write can no longer meet it either.
		if e.RosterVersion != p.params.Roster.Version() && p.change.Name != Roster {
			return p.finish(Result{Status: Abandoned, Message: "the roster changed before the change was written"})
		}
		p.phase = writing
		return p.write(now)
	}
	origin, known := e.Document.origin(version)
	switch {
	case !known:
		return p.finish(Result{Status: Undetermined, Message: "the document no longer names the change"})
	case origin.ChangeID != p.change.ID:
		return p.finish(Result{Status: Conflict, Winner: origin})
	}
	p.document = e.Document // the change itself or a later one that includes it
	return p.spread(now)
}

func (p *Procedure) spread(now time.Time) []Action {
	p.phase = spreading
	p.lastSend = time.Time{}
	return p.push(now)
}

// push sends the document to all members again and again, because a member that held it may have been restarted.
func (p *Procedure) push(now time.Time) []Action {
	if !p.lastSend.IsZero() && now.Sub(p.lastSend) < resendPeriod {
		return nil
	}
	p.lastSend = now
	var actions []Action
	for _, m := range p.members() {
		actions = append(actions, PushAction{Member: m.Name, Document: p.document})
	}
	return actions
}

func (p *Procedure) onHeld(e Held, now time.Time) []Action {
	if p.phase != spreading {
		return nil
	}
	holds, current := false, p.change.Name == Roster
	for _, v := range e.Versions {
		holds = holds || v.Name == p.change.Name && v.Version >= p.change.Base+1
		current = current || v.Name == Roster && v.Version >= p.params.Roster.Version()
	}
	h, known := p.held[e.Member]
	switch {
	case !holds || !current && p.params.Roster.Version() > 0:
		delete(p.held, e.Member)
	case !known || h.incarnation != e.Incarnation:
		p.held[e.Member] = holding{incarnation: e.Incarnation, from: now, to: e.Sent}
	case e.Sent.After(h.to):
		h.to = e.Sent
		p.held[e.Member] = h
	}
	majorityAt, everyAt := p.majorityAt, p.everyAt
	actions := p.settle(now)
	moved := !p.majorityAt.Equal(majorityAt) || !p.everyAt.Equal(everyAt)
	if p.phase == spreading && moved {
		// The second round shows that the members held the document at the same moment.
		p.lastSend = time.Time{}
		actions = append(actions, p.push(now)...)
	}
	return actions
}

// settle ends the procedure once a majority held the document at the same moment, and either every member did or the
// freshness bound has passed since. Answers to a first round alone do not prove this: a member may have been
// restarted, and have forgotten the document, before the last one answered.
func (p *Procedure) settle(now time.Time) []Action {
	p.majorityAt = p.moment(p.majorityAt, now, p.enough)
	p.everyAt = p.moment(p.everyAt, now, p.every)
	shortcut := p.params.RosterSettled && p.change.Name != Roster
	if shortcut && p.together(p.everyAt, p.every) ||
		now.Sub(p.majorityAt) >= inForceWait && p.together(p.majorityAt, p.enough) {
		return p.finish(Result{Status: InForce, Version: p.document.Version})
	}
	return nil
}

// moment returns the moment from which a quorum may be shown to have held the document together: the old one while a
// quorum of the same processes goes back to it, otherwise now if there is a quorum at all.
func (p *Procedure) moment(old, now time.Time, quorum func(func(string) bool) bool) time.Time {
	known := func(m string) bool { _, ok := p.held[m]; return ok }
	since := func(m string) bool {
		h, ok := p.held[m]
		return ok && !h.from.After(old)
	}
	switch {
	case !quorum(known):
		return time.Time{}
	case old.IsZero() || !quorum(since):
		return now
	}
	return old
}

// together reports whether a quorum is known to have held the document at a moment.
func (p *Procedure) together(at time.Time, quorum func(func(string) bool) bool) bool {
	return !at.IsZero() && quorum(func(m string) bool {
		h, ok := p.held[m]
		return ok && !h.from.After(at) && !h.to.Before(at)
	})
}
