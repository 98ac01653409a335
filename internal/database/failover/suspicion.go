package failover

import (
	"time"

	"tanagercross/internal/database/driver"
)

// suspicion is the reason for a change of primary.
type suspicion string

const (
	none       suspicion = ""
	missing    suspicion = "missing"    // the group has no known primary
	silent     suspicion = "silent"     // it does not answer
	stalled    suspicion = "stalled"    // it answers, but does not replicate
	demoted    suspicion = "demoted"    // it says itself that it is not primary of the term
	superseded suspicion = "superseded" // a majority promised a newer term that has no primary
	stray      suspicion = "stray"      // a server is fenced for a term without primary and takes no entries
	leaving    suspicion = "leaving"    // the list says that it leaves
)

// doubt remembers a primary that seems not to answer or replicate. It starts earlier and lasts longer than suspicion: a
// primary that a rival attempt has fenced no longer looks stalled, and as the most advanced server it would be promoted
// again although it is cut off.
func (w *Watcher) doubt(now time.Time) {
	p := w.find(w.primary)
	if p == nil {
		return
	}
	stalling := !w.stalledAt.IsZero() && now.Sub(w.stalledAt) >= SilenceTimeout
	if stalling || w.isSilent(p, now) || w.cutOff(SilenceTimeout, now) {
		w.doubted, w.doubtedAt = p.name, now
	}
}

// doubts reports whether a server is the last choice for a new term.
func (w *Watcher) doubts(server string, now time.Time) bool {
	return server == w.doubted && now.Sub(w.doubtedAt) < SuspicionTTL
}

// suspect returns what this watcher finds wrong with the primary.
func (w *Watcher) suspect(now time.Time) suspicion {
	if w.primary == "" {
		if now.Sub(w.primaryAt) >= SilenceTimeout {
			return missing
		}
		return none
	}
	p := w.find(w.primary)
	if p == nil { // the list no longer has it
		return missing
	}
	if w.isSilent(p, now) {
		return silent
	}
	if p.fresh(now) && p.asked.After(w.primaryAt) && (p.status.Role != driver.Primary || p.status.Term != w.term) {
		return demoted
	}
	if w.ahead() >= w.majority() {
		return superseded
	}
	if (!w.stalledAt.IsZero() && now.Sub(w.stalledAt) >= StallTimeout) || w.cutOff(StallTimeout, now) {
		return stalled
	}
	if w.ahead() > 0 && now.Sub(w.promisedAt) >= OrphanedFenceTimeout {
		return stray
	}
	if p.leaving && now.Sub(p.leavingAt) >= LeavingGracePeriod {
		return leaving
	}
	return none
}

// isSilent reports whether the primary has been silent too long since it last answered or became known.
func (w *Watcher) isSilent(p *server, now time.Time) bool {
	last := p.answeredAt
	if last.Before(w.primaryAt) {
		last = w.primaryAt
	}
	return now.Sub(last) >= SilenceTimeout
}

// ahead returns how many servers promised a term above that of the primary.
func (w *Watcher) ahead() int {
	n := 0
	for _, s := range w.servers {
		if s.status.Term > w.term {
			n++
		}
	}
	return n
}

// cutOff reports whether so many replicas have heard nothing from the primary that it cannot reach a majority. It finds
// a cut between the servers when there are no writes that would stall.
func (w *Watcher) cutOff(limit time.Duration, now time.Time) bool {
	n := 0
	for _, s := range w.servers {
		if s.name != w.primary && w.noContact(s, limit, now) {
			n++
		}
	}
	return n > 0 && len(w.servers)-n < w.majority()
}

// noContact reports whether a replica says that it has heard nothing from the primary for the time.
func (w *Watcher) noContact(s *server, limit time.Duration, now time.Time) bool {
	return s.fresh(now) && s.asked.After(w.primaryAt) && s.status.Role == driver.Replica && s.status.Term == w.term &&
		s.status.PrimaryContact >= limit
}

// confirmed reports whether a second source agrees with the suspicion.
func (w *Watcher) confirmed(why suspicion, now time.Time) bool {
	switch why {
	case missing, superseded, stray, demoted, leaving:
		return true // servers or the list say it themselves
	}
	for i, e := range w.evidence {
		if e.Term >= w.term && now.Sub(w.evidenceAt[i]) < EvidenceTTL {
			return true
		}
	}
	for _, s := range w.servers {
		if s.name != w.primary && s.fresh(now) && (w.noContact(s, SilenceTimeout, now) || s.status.Term > w.term) {
			return true
		}
	}
	return false
}

// decide starts, continues or ends what the state calls for.
func (w *Watcher) decide(now time.Time) []Action {
	if w.attempt != nil {
		return w.proceed(now)
	}
	w.doubt(now)
	var out []Action
	why := w.suspect(now)
	if (why == missing || why == silent || why == stalled) && now.Sub(w.reportedAt) >= EvidenceReportInterval {
		w.reportedAt = now
		out = append(out, ReportEvidence{Term: w.term})
	}
	if why == none || !w.confirmed(why, now) || !w.canFence(why, now) {
		w.suspicion, w.suspectAt = none, time.Time{}
		return out
	}
	if w.suspectAt.IsZero() || w.suspicion != why {
		jitter := float64(w.settings.Rank) * w.settings.Random() * float64(RankJitter)
		w.suspicion, w.suspectAt = why, now
		w.startDelay = time.Duration(w.settings.Rank)*RankDelay + time.Duration(jitter)
	}
	if now.Sub(w.suspectAt) < w.startDelay || now.Before(w.notBefore) {
		return out
	}
	if w.promised > w.term && now.Sub(w.promisedAt) < w.quiet+time.Duration(w.settings.Rank)*RankDelay {
		return out
	}
	return append(out, w.start(now)...)
}

// canFence reports whether a majority answers, so that a fence does not take a working server away for nothing. To
// replace a leaving primary, a majority without it must answer, and one of them must stay.
func (w *Watcher) canFence(why suspicion, now time.Time) bool {
	n, staying := 0, false
	for _, s := range w.servers {
		if s.fresh(now) && (why != leaving || s.name != w.primary) {
			n++
			staying = staying || !s.leaving
		}
	}
	return n >= w.majority() && (why != leaving || staying)
}
