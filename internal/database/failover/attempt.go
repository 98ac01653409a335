package failover

import (
	"time"

	"tanagercross/internal/database/driver"
)

// attempt is one change of primary. Its term is never used again by this holder.
type attempt struct {
	term      uint64
	startedAt time.Time
	fenced    []driver.Status // what the servers reported after they accepted the fence
	target    string          // the one server that this holder promotes in the term; empty while fencing
	stepAt    time.Time       // start of the current step
}

// start fences all servers with a term above every term seen.
func (w *Watcher) start(now time.Time) []Action {
	term := max(w.promised, w.term) + 1
	for _, s := range w.servers {
		term = max(term, s.status.Last.Term+1)
	}
	w.promise(term, now)
	w.attempt = &attempt{term: term, startedAt: now, stepAt: now}
	out := make([]Action, 0, len(w.servers))
	for _, s := range w.servers {
		out = append(out, Fence{Server: s.name, Term: term, Holder: w.settings.Holder})
	}
	return out
}

func (w *Watcher) fenced(e FenceResult, now time.Time) []Action {
	a, s := w.attempt, w.find(e.Server)
	if s == nil {
		return nil
	}
	if e.Kind != "" {
		if e.Kind == driver.StaleTerm && a != nil && a.term == e.Term {
			w.promise(e.Status.Term, now)
			w.abandon(now)
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
	w.observe(s, e.Status, a.startedAt, now)
	return w.choose(now)
}

// choose promotes a server if it may. A server qualifies if it is at least as advanced as a majority of fenced servers,
// itself included. The most advanced of the preferred ones is taken. A doubted primary and leaving servers are
// taken only if nothing better was fenced within PreferredServerWait.
func (w *Watcher) choose(now time.Time) []Action {
	a := w.attempt
	var best *driver.Status
	bestPreferred := false
	for i := range a.fenced {
		c := &a.fenced[i]
		if a.covered(*c) < w.majority() {
			continue
		}
		s := w.find(c.Server)
		preferred := s != nil && !s.leaving && !w.doubts(c.Server, now)
		if best == nil || (preferred && !bestPreferred) ||
			(preferred == bestPreferred && c.Last.Compare(best.Last) > 0) {
			best, bestPreferred = c, preferred
		}
	}
	if best == nil || (!bestPreferred && len(a.fenced) < len(w.servers) && now.Sub(a.startedAt) < PreferredServerWait) {
		return nil
	}
	a.target, a.stepAt = best.Server, now
	return []Action{Promote{Server: a.target, Term: a.term, Holder: w.settings.Holder}}
}

// covered returns how many fenced servers are not ahead of c.
func (a *attempt) covered(c driver.Status) int {
	n := 0
	for _, f := range a.fenced {
		if f.Last.Compare(c.Last) <= 0 {
			n++
		}
	}
	return n
}

func (w *Watcher) promotion(e PromoteResult, now time.Time) []Action {
	if e.Kind == "" && e.Status.Role == driver.Primary && e.Status.Term == e.Term {
		if s := w.find(e.Server); s != nil && e.Term > w.term {
			w.newPrimary(e.Term, e.Server, now)
			w.orderly(now)
			return []Action{AnnouncePrimary{Term: e.Term, Primary: e.Server}}
		}
		return nil
	}
	if a := w.attempt; a != nil && a.term == e.Term && a.target == e.Server {
		w.abandon(now) // the answer may be lost: another server is only promoted in a new term
	}
	return nil
}

// proceed ends an attempt that takes too long.
func (w *Watcher) proceed(now time.Time) []Action {
	a := w.attempt
	if now.Sub(a.stepAt) >= AttemptStepTimeout {
		w.abandon(now)
		return nil
	}
	if a.target == "" {
		return w.choose(now)
	}
	return nil
}

func (w *Watcher) abandon(now time.Time) {
	w.attempt, w.suspectAt = nil, time.Time{}
	w.backOff(now)
}

// orderly delays the next attempt if the new primary is leaving too.
func (w *Watcher) orderly(now time.Time) {
	if p := w.find(w.primary); p != nil && p.leaving {
		w.notBefore = now.Add(LeavingRetryInterval)
	}
}
