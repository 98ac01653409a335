package failover

import (
	"time"

	"tanagercross/internal/database/driver"
)

// changeReason is the reason for a change of primary.
type changeReason string

const (
	noReason       changeReason = ""
	primaryUnknown changeReason = "missing"    // the group has no known primary
	silent         changeReason = "silent"     // the primary does not answer
	stalled        changeReason = "stalled"    // the primary answers, but does not replicate
	demoted        changeReason = "demoted"    // the primary reports that it is not primary of the term
	superseded     changeReason = "superseded" // a majority promised a newer term that has no primary
	orphanedFence  changeReason = "stray"      // a server is fenced for a term without a primary and accepts no entries
	leaving        changeReason = "leaving"    // the server list marks the primary as leaving
)

// updateSuspectedPrimary records a primary that seems not to answer or replicate, so that it is not a preferred server
// in the next attempt. The suspicion starts earlier and lasts longer than a reason for a change: a primary that a rival
// attempt has fenced no longer looks stalled, and as the most advanced server it would be promoted again although it is
// cut off.
func (w *Watcher) updateSuspectedPrimary(now time.Time) {
	p := w.findServer(w.primary)
	if p == nil {
		return
	}
	replicationStalled := !w.stalledSince.IsZero() && now.Sub(w.stalledSince) >= SilenceTimeout
	if replicationStalled || w.isSilent(p, now) || w.primaryIsolated(SilenceTimeout, now) {
		w.suspectedPrimary, w.suspectedAt = p.name, now
	}
}

// isSuspected reports whether a server was suspected as primary within SuspicionTTL.
func (w *Watcher) isSuspected(server string, now time.Time) bool {
	return server == w.suspectedPrimary && now.Sub(w.suspectedAt) < SuspicionTTL
}

// reasonForChange returns why the primary should be replaced, judged by this watcher's observations alone.
func (w *Watcher) reasonForChange(now time.Time) changeReason {
	if w.primary == "" {
		if now.Sub(w.primarySince) >= SilenceTimeout {
			return primaryUnknown
		}
		return noReason
	}
	p := w.findServer(w.primary)
	if p == nil { // removed from the server list
		return primaryUnknown
	}
	if w.isSilent(p, now) {
		return silent
	}
	if p.answeredRecently(now) && p.requestedAt.After(w.primarySince) && (p.status.Role != driver.Primary || p.status.Term != w.term) {
		return demoted
	}
	if w.countAboveTerm() >= w.majority() {
		return superseded
	}
	if (!w.stalledSince.IsZero() && now.Sub(w.stalledSince) >= StallTimeout) || w.primaryIsolated(StallTimeout, now) {
		return stalled
	}
	if w.countAboveTerm() > 0 && now.Sub(w.promisedAt) >= OrphanedFenceTimeout {
		return orphanedFence
	}
	if p.leaving && now.Sub(p.leavingSince) >= LeavingGracePeriod {
		return leaving
	}
	return noReason
}

// isSilent reports whether SilenceTimeout has passed since the primary last answered or became known.
func (w *Watcher) isSilent(p *server, now time.Time) bool {
	last := p.answeredAt
	if last.Before(w.primarySince) {
		last = w.primarySince
	}
	return now.Sub(last) >= SilenceTimeout
}

// countAboveTerm returns how many servers promised a term above that of the primary.
func (w *Watcher) countAboveTerm() int {
	n := 0
	for _, s := range w.servers {
		if s.status.Term > w.term {
			n++
		}
	}
	return n
}

// primaryIsolated reports whether so many replicas lack contact with the primary that it cannot reach a majority. It
// detects a network partition between the servers when there are no writes that would stall.
func (w *Watcher) primaryIsolated(limit time.Duration, now time.Time) bool {
	n := 0
	for _, s := range w.servers {
		if s.name != w.primary && w.lacksPrimaryContact(s, limit, now) {
			n++
		}
	}
	return n > 0 && len(w.servers)-n < w.majority()
}

// lacksPrimaryContact reports whether a replica's recent status says that it received nothing from the primary of the
// current term for the limit.
func (w *Watcher) lacksPrimaryContact(s *server, limit time.Duration, now time.Time) bool {
	return s.answeredRecently(now) && s.requestedAt.After(w.primarySince) && s.status.Role == driver.Replica && s.status.Term == w.term &&
		s.status.PrimaryContact >= limit
}

// isConfirmed reports whether a source other than this watcher's own probes of the primary confirms the reason: evidence
// from another watcher, or the status of a replica.
func (w *Watcher) isConfirmed(reason changeReason, now time.Time) bool {
	switch reason {
	case primaryUnknown, superseded, orphanedFence, demoted, leaving:
		return true // based on reports of the servers or on the server list
	}
	for i, e := range w.evidence {
		if e.Term >= w.term && now.Sub(w.evidenceObservedAt[i]) < EvidenceTTL {
			return true
		}
	}
	for _, s := range w.servers {
		if s.name != w.primary && s.answeredRecently(now) && (w.lacksPrimaryContact(s, SilenceTimeout, now) || s.status.Term > w.term) {
			return true
		}
	}
	return false
}

// nextActions runs after every event. It continues a running attempt; otherwise it reports evidence and starts an
// attempt once there is a confirmed reason and the delay by rank, the back-off and rival attempts have passed.
func (w *Watcher) nextActions(now time.Time) []Action {
	if w.attempt != nil {
		return w.continueAttempt(now)
	}
	w.updateSuspectedPrimary(now)
	var out []Action
	reason := w.reasonForChange(now)
	if (reason == primaryUnknown || reason == silent || reason == stalled) && now.Sub(w.evidenceReportedAt) >= EvidenceReportInterval {
		w.evidenceReportedAt = now
		out = append(out, ReportEvidence{Term: w.term})
	}
	if reason == noReason || !w.isConfirmed(reason, now) || !w.canFence(reason, now) {
		w.changeReason, w.reasonSince = noReason, time.Time{}
		return out
	}
	if w.reasonSince.IsZero() || w.changeReason != reason {
		jitter := float64(w.settings.Rank) * w.settings.Random() * float64(RankJitter)
		w.changeReason, w.reasonSince = reason, now
		w.startDelay = time.Duration(w.settings.Rank)*RankDelay + time.Duration(jitter)
	}
	if now.Sub(w.reasonSince) < w.startDelay || now.Before(w.notBefore) {
		return out
	}
	if w.promised > w.term && now.Sub(w.promisedAt) < w.rivalAttemptTimeout+time.Duration(w.settings.Rank)*RankDelay {
		return out
	}
	return append(out, w.startAttempt(now)...)
}

// canFence reports whether a majority answers: without one, an attempt cannot succeed and the fence would only stop
// working servers. To replace a leaving primary, a majority must answer without it, and one of these servers must not
// be leaving.
func (w *Watcher) canFence(reason changeReason, now time.Time) bool {
	n, staying := 0, false
	for _, s := range w.servers {
		if s.answeredRecently(now) && (reason != leaving || s.name != w.primary) {
			n++
			staying = staying || !s.leaving
		}
	}
	return n >= w.majority() && (reason != leaving || staying)
}
