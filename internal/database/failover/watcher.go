package failover

import (
	"time"

	"tanagercross/internal/database/driver"
)

// Settings of a watcher.
type Settings struct {
	Holder string         // instance name and incarnation; never used by another process or an earlier run
	Rank   int            // order among the group's watchers: rank 0 acts first
	Random func() float64 // returns numbers in [0,1) for jitter
}

// server is the watcher's latest knowledge of one server.
type server struct {
	name         string
	leaving      bool
	leavingSince time.Time
	status       driver.Status
	requestedAt  time.Time // when the request that returned status was sent
	answeredAt   time.Time // zero if it never answered
	probedAt     time.Time
	probePending bool // a probe has no answer yet
}

// answeredRecently reports whether the server answered within SilenceTimeout.
func (s *server) answeredRecently(now time.Time) bool {
	return !s.answeredAt.IsZero() && now.Sub(s.answeredAt) < SilenceTimeout
}

// Watcher is the state machine of one group. It is not safe for concurrent use.
type Watcher struct {
	settings Settings
	servers  []*server

	term                uint64 // newest term with a known primary
	primary             string
	primarySince        time.Time // when the primary became known, or the watcher started or resumed
	promised            uint64    // highest term promised by any server
	promisedAt          time.Time
	rivalAttemptTimeout time.Duration // how long an attempt in the newest promised term gets to finish

	replicatedIndex uint64    // last replicated index that the primary reported
	stalledSince    time.Time // since when it has not advanced although entries await replication; zero if none do

	evidence           []PeerEvidence
	evidenceObservedAt []time.Time
	evidenceReportedAt time.Time
	changeReason       changeReason
	reasonSince        time.Time // since when changeReason is confirmed; zero if there is none
	suspectedPrimary   string
	suspectedAt        time.Time
	startDelay         time.Duration
	notBefore          time.Time // end of the back-off
	attempt            *attempt
	lastEventAt        time.Time
}

// New returns a watcher of a group with the given servers.
func New(s Settings, servers []driver.Server, now time.Time) *Watcher {
	w := &Watcher{settings: s, primarySince: now, promisedAt: now, lastEventAt: now}
	w.setServers(servers, now)
	return w
}

// Primary returns the newest known term and its primary.
func (w *Watcher) Primary() (uint64, string) { return w.term, w.primary }

// Handle processes one event and returns the actions to carry out.
func (w *Watcher) Handle(e Event, now time.Time) []Action {
	if now.Sub(w.lastEventAt) > PauseThreshold {
		w.discardObservations(now)
	}
	w.lastEventAt = now
	var out []Action
	switch e := e.(type) {
	case ProbeResult:
		w.probed(e, now)
	case PeerEvidence:
		w.addEvidence(e, now)
	case PrimaryAnnounced:
		w.setPrimary(e.Term, e.Primary, now)
	case FenceResult:
		out = w.fenced(e, now)
	case PromoteResult:
		out = w.promoted(e, now)
	case MembershipChanged:
		w.settings.Rank = e.Rank
		w.setServers(e.Servers, now)
	case Restarted:
		w.settings.Holder = e.Holder
		w.discardObservations(now)
	case Tick:
		out = w.dueProbes(now)
	}
	return append(out, w.nextActions(now)...)
}

// discardObservations resets all state that a pause of this watcher could have distorted, and backs off.
func (w *Watcher) discardObservations(now time.Time) {
	w.attempt, w.evidence, w.evidenceObservedAt = nil, nil, nil
	w.primarySince, w.promisedAt, w.reasonSince, w.stalledSince = now, now, time.Time{}, time.Time{}
	for _, s := range w.servers {
		s.answeredAt, s.probePending = time.Time{}, false
	}
	w.backOff(now)
}

// setServers replaces the list of servers and keeps what is known of those that stay.
func (w *Watcher) setServers(list []driver.Server, now time.Time) {
	var next []*server
	for _, s := range list {
		known := w.findServer(s.Name)
		if known == nil {
			known = &server{name: s.Name}
		}
		if s.Leaving && !known.leaving {
			known.leavingSince = now
		}
		known.leaving = s.Leaving
		next = append(next, known)
	}
	if len(next) != len(w.servers) {
		w.attempt = nil // the majority of an attempt depends on the size of the list
	}
	w.servers = next
}

// dueProbes returns a probe for each server whose last one is ProbeInterval old. A probe without an answer is repeated
// only after SilenceTimeout.
func (w *Watcher) dueProbes(now time.Time) []Action {
	var out []Action
	for _, s := range w.servers {
		age := now.Sub(s.probedAt)
		if age >= SilenceTimeout || (age >= ProbeInterval && !s.probePending) {
			s.probedAt, s.probePending = now, true
			out = append(out, Probe{Server: s.name})
		}
	}
	return out
}

// probed handles the result of a probe.
func (w *Watcher) probed(e ProbeResult, now time.Time) {
	s := w.findServer(e.Server)
	if s == nil {
		return
	}
	s.probePending = false
	if !e.Failed {
		w.observeStatus(s, e.Status, e.RequestedAt, now)
	}
}

// observeStatus records a status that was requested at requestedAt. A status requested before the known one is ignored.
// An attempt ends if the status shows a higher promised term.
func (w *Watcher) observeStatus(s *server, status driver.Status, requestedAt, now time.Time) {
	if requestedAt.Before(s.requestedAt) {
		return
	}
	s.status, s.requestedAt, s.answeredAt = status, requestedAt, now
	w.observePromisedTerm(status.Term, now)
	switch {
	case status.Role == driver.Primary:
		w.setPrimary(status.Term, s.name, now)
	case status.Role == driver.Replica && status.Primary != "":
		w.setPrimary(status.Term, status.Primary, now)
	}
	if s.name == w.primary && status.Role == driver.Primary && status.Term == w.term {
		w.observeReplication(status, now)
	}
	if w.attempt != nil && w.promised > w.attempt.term {
		w.abortAttempt(now)
	}
}

// observeReplication tracks since when the primary's replicated index has not advanced while entries await replication.
func (w *Watcher) observeReplication(status driver.Status, now time.Time) {
	switch {
	case status.Last.Index <= status.ReplicatedIndex:
		w.stalledSince = time.Time{}
	case w.stalledSince.IsZero() || status.ReplicatedIndex != w.replicatedIndex:
		w.stalledSince = now
	}
	w.replicatedIndex = status.ReplicatedIndex
}

// setPrimary records the primary of a newer term and drops an attempt in that term or an older one.
func (w *Watcher) setPrimary(term uint64, primary string, now time.Time) {
	if term <= w.term || primary == "" {
		return
	}
	w.term, w.primary, w.primarySince = term, primary, now
	w.replicatedIndex, w.stalledSince, w.reasonSince = 0, time.Time{}, time.Time{}
	w.observePromisedTerm(term, now)
	if w.attempt != nil && w.attempt.term <= term {
		w.attempt = nil
	}
}

// observePromisedTerm records a term that a server promised. The jitter keeps watchers of equal rank, which observe a
// promise at the same time, from starting their next attempts together: without it the simulation had write gaps of 6 s.
func (w *Watcher) observePromisedTerm(term uint64, now time.Time) {
	if term > w.promised {
		w.promised, w.promisedAt = term, now
		w.rivalAttemptTimeout = RivalAttemptTimeout + time.Duration(w.settings.Random()*float64(RetryJitter))
	}
}

// addEvidence records evidence and replaces earlier evidence of the same watcher.
func (w *Watcher) addEvidence(e PeerEvidence, now time.Time) {
	for i := range w.evidence {
		if w.evidence[i].From == e.From {
			w.evidence[i], w.evidenceObservedAt[i] = e, now.Add(-e.Age)
			return
		}
	}
	w.evidence, w.evidenceObservedAt = append(w.evidence, e), append(w.evidenceObservedAt, now.Add(-e.Age))
}

// backOff delays the next attempt by RetryBackOff, a delay by rank and jitter.
func (w *Watcher) backOff(now time.Time) {
	jitter := time.Duration(w.settings.Random() * float64(RetryJitter))
	w.notBefore = now.Add(RetryBackOff + time.Duration(w.settings.Rank)*RankDelay + jitter)
}

func (w *Watcher) majority() int { return len(w.servers)/2 + 1 }

func (w *Watcher) findServer(name string) *server {
	for _, s := range w.servers {
		if s.name == name {
			return s
		}
	}
	return nil
}
