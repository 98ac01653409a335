package failover

import (
	"time"

	"tanagercross/internal/database/driver"
)

// attempt is one change of primary: it fences the servers for a new term, then promotes one of them. A holder uses a
// term for one attempt only.
type attempt struct {
	term          uint64
	startedAt     time.Time
	fenced        []driver.Status // statuses that the servers returned with the accepted fence
	target        string          // the only server that this holder promotes in the term; empty while fencing
	stepStartedAt time.Time       // start of the current step: fencing or promotion
}

// startAttempt begins a change of primary: it fences all servers for a term above every term seen so far.
func (w *Watcher) startAttempt(now time.Time) []Action {
	term := max(w.promised, w.term) + 1
	for _, s := range w.servers {
		term = max(term, s.status.Last.Term+1)
	}
	w.observePromisedTerm(term, now)
	w.attempt = &attempt{term: term, startedAt: now, stepStartedAt: now}
	out := make([]Action, 0, len(w.servers))
	for _, s := range w.servers {
		out = append(out, Fence{Server: s.name, Term: term, Holder: w.settings.Holder})
	}
	return out
}

// fenced handles the result of a Fence action. A refusal because of a higher promised term ends the attempt. Results of
// an earlier attempt or another holder, and repeated ones, are ignored.
func (w *Watcher) fenced(e FenceResult, now time.Time) []Action {
	a, s := w.attempt, w.findServer(e.Server)
	if s == nil {
		return nil
	}
	if e.Kind != "" {
		if e.Kind == driver.StaleTerm && a != nil && a.term == e.Term {
			w.observePromisedTerm(e.Status.Term, now)
			w.abortAttempt(now)
		}
		return nil
	}
	if a == nil || a.term != e.Term || e.Status.Term != a.term || e.Status.Holder != w.settings.Holder || a.target != "" {
		return nil
	}
	for _, f := range a.fenced {
		if f.Server == e.Server {
			return nil
		}
	}
	a.fenced = append(a.fenced, e.Status)
	w.observeStatus(s, e.Status, a.startedAt, now)
	return w.choosePromotionTarget(now)
}

// choosePromotionTarget returns a Promote action once a server qualifies. A server qualifies if its log is at least as
// advanced as those of a majority of the group, itself included, among the fenced servers. Of these, the most advanced
// preferred server is chosen. A suspected primary and leaving servers are not preferred: they are chosen only if all
// servers are fenced or PreferredServerWait has passed.
func (w *Watcher) choosePromotionTarget(now time.Time) []Action {
	a := w.attempt
	var best *driver.Status
	bestPreferred := false
	for i := range a.fenced {
		c := &a.fenced[i]
		if a.countNotAhead(*c) < w.majority() {
			continue
		}
		s := w.findServer(c.Server)
		preferred := s != nil && !s.leaving && !w.isSuspected(c.Server, now)
		if best == nil || (preferred && !bestPreferred) ||
			(preferred == bestPreferred && c.Last.Compare(best.Last) > 0) {
			best, bestPreferred = c, preferred
		}
	}
	if best == nil || (!bestPreferred && len(a.fenced) < len(w.servers) && now.Sub(a.startedAt) < PreferredServerWait) {
		return nil
	}
	a.target, a.stepStartedAt = best.Server, now
	return []Action{Promote{Server: a.target, Term: a.term, Holder: w.settings.Holder}}
}

// countNotAhead returns how many fenced servers, c included, have a log that is not ahead of that of c.
func (a *attempt) countNotAhead(c driver.Status) int {
	n := 0
	for _, f := range a.fenced {
		if f.Last.Compare(c.Last) <= 0 {
			n++
		}
	}
	return n
}

// promoted handles the result of a Promote action: it announces the new primary, or ends the attempt on a failure.
func (w *Watcher) promoted(e PromoteResult, now time.Time) []Action {
	if e.Kind == "" && e.Status.Role == driver.Primary && e.Status.Term == e.Term {
		if s := w.findServer(e.Server); s != nil && e.Term > w.term {
			w.setPrimary(e.Term, e.Server, now)
			w.delayIfPrimaryLeaves(now)
			return []Action{AnnouncePrimary{Term: e.Term, Primary: e.Server}}
		}
		return nil
	}
	if a := w.attempt; a != nil && a.term == e.Term && a.target == e.Server {
		// The server may have been promoted although the answer was lost: another server needs a new term.
		w.abortAttempt(now)
	}
	return nil
}

// continueAttempt aborts an attempt whose current step exceeds AttemptStepTimeout. During fencing it retries the choice
// of a server, because servers that are not preferred become eligible after PreferredServerWait.
func (w *Watcher) continueAttempt(now time.Time) []Action {
	a := w.attempt
	if now.Sub(a.stepStartedAt) >= AttemptStepTimeout {
		w.abortAttempt(now)
		return nil
	}
	if a.target == "" {
		return w.choosePromotionTarget(now)
	}
	return nil
}

// abortAttempt ends the attempt. The next one starts after the back-off and a new delay by rank.
func (w *Watcher) abortAttempt(now time.Time) {
	w.attempt, w.reasonSince = nil, time.Time{}
	w.backOff(now)
}

// delayIfPrimaryLeaves delays the next attempt by LeavingRetryInterval if the new primary is leaving too.
func (w *Watcher) delayIfPrimaryLeaves(now time.Time) {
	if p := w.findServer(w.primary); p != nil && p.leaving {
		w.notBefore = now.Add(LeavingRetryInterval)
	}
}
