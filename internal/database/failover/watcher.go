package failover

import (
	"time"

	"tanagercross/internal/database/driver"
)

// Settings of a watcher.
type Settings struct {
	Holder string // instance name and incarnation; never used by another process or an earlier run
	Rank   int    // 0 acts first
	Random func() float64
}

// server is what the watcher knows of one server.
type server struct {
	name       string
	leaving    bool
	leavingAt  time.Time // since when
	status     driver.Status
	asked      time.Time // when the question behind status was sent
	answeredAt time.Time // zero if it never answered
	probedAt   time.Time
	waiting    bool // a probe has no answer yet
}

func (s *server) fresh(now time.Time) bool {
	return !s.answeredAt.IsZero() && now.Sub(s.answeredAt) < SilenceTimeout
}

// Watcher is the state machine of one group. It is not safe for concurrent use.
type Watcher struct {
	settings Settings
	servers  []*server

	term       uint64 // newest term with a known primary
	primary    string
	primaryAt  time.Time // when the primary became known, or the watcher started or resumed
	promised   uint64    // highest term promised by any server
	promisedAt time.Time
	quiet      time.Duration // how long the newest promise is left alone

	replicated uint64    // last replicated index that the primary reported
	stalledAt  time.Time // since when it has not moved although entries wait; zero if none wait

	evidence    []PeerEvidence
	evidenceAt  []time.Time
	reportedAt  time.Time
	suspicion   suspicion
	suspectAt   time.Time // since when there is enough evidence for a change; zero if there is not
	doubted     string
	doubtedAt   time.Time
	startDelay  time.Duration
	notBefore   time.Time // back-off
	attempt     *attempt
	lastHandled time.Time
}

// New returns a watcher of a group.
func New(s Settings, servers []driver.Server, now time.Time) *Watcher {
	w := &Watcher{settings: s, primaryAt: now, promisedAt: now, lastHandled: now}
	w.setServers(servers, now)
	return w
}

// Primary returns the newest known term and its primary.
func (w *Watcher) Primary() (uint64, string) { return w.term, w.primary }

// Handle takes one event and returns what is to be done.
func (w *Watcher) Handle(e Event, now time.Time) []Action {
	if now.Sub(w.lastHandled) > PauseThreshold {
		w.resume(now)
	}
	w.lastHandled = now
	var out []Action
	switch e := e.(type) {
	case ProbeResult:
		w.probed(e, now)
	case PeerEvidence:
		w.addEvidence(e, now)
	case PrimaryAnnounced:
		w.newPrimary(e.Term, e.Primary, now)
	case FenceResult:
		out = w.fenced(e, now)
	case PromoteResult:
		out = w.promotion(e, now)
	case MembershipChanged:
		w.settings.Rank = e.Rank
		w.setServers(e.Servers, now)
	case Restarted:
		w.settings.Holder = e.Holder
		w.resume(now)
	case Tick:
		out = w.probes(now)
	}
	return append(out, w.decide(now)...)
}

// resume forgets everything that silence during the pause could have distorted.
func (w *Watcher) resume(now time.Time) {
	w.attempt, w.evidence, w.evidenceAt = nil, nil, nil
	w.primaryAt, w.promisedAt, w.suspectAt, w.stalledAt = now, now, time.Time{}, time.Time{}
	for _, s := range w.servers {
		s.answeredAt, s.waiting = time.Time{}, false
	}
	w.backOff(now)
}

func (w *Watcher) setServers(list []driver.Server, now time.Time) {
	var next []*server
	for _, s := range list {
		known := w.find(s.Name)
		if known == nil {
			known = &server{name: s.Name}
		}
		if s.Leaving && !known.leaving {
			known.leavingAt = now
		}
		known.leaving = s.Leaving
		next = append(next, known)
	}
	if len(next) != len(w.servers) {
		w.attempt = nil // the majority of an attempt is that of one list
	}
	w.servers = next
}

func (w *Watcher) probes(now time.Time) []Action {
	var out []Action
	for _, s := range w.servers {
		age := now.Sub(s.probedAt)
		if age >= SilenceTimeout || (age >= ProbeInterval && !s.waiting) {
			s.probedAt, s.waiting = now, true
			out = append(out, Probe{Server: s.name})
		}
	}
	return out
}

func (w *Watcher) probed(e ProbeResult, now time.Time) {
	s := w.find(e.Server)
	if s == nil {
		return
	}
	s.waiting = false
	if !e.Failed {
		w.observe(s, e.Status, e.RequestedAt, now)
	}
}

// observe takes a status. One whose question is older than that of the known status changes nothing.
func (w *Watcher) observe(s *server, status driver.Status, asked, now time.Time) {
	if asked.Before(s.asked) {
		return
	}
	s.status, s.asked, s.answeredAt = status, asked, now
	w.promise(status.Term, now)
	switch {
	case status.Role == driver.Primary:
		w.newPrimary(status.Term, s.name, now)
	case status.Role == driver.Replica && status.Primary != "":
		w.newPrimary(status.Term, status.Primary, now)
	}
	if s.name == w.primary && status.Role == driver.Primary && status.Term == w.term {
		w.observeReplication(status, now)
	}
	if w.attempt != nil && w.promised > w.attempt.term {
		w.abandon(now)
	}
}

func (w *Watcher) observeReplication(status driver.Status, now time.Time) {
	switch {
	case status.Last.Index <= status.ReplicatedIndex:
		w.stalledAt = time.Time{}
	case w.stalledAt.IsZero() || status.ReplicatedIndex != w.replicated:
		w.stalledAt = now
	}
	w.replicated = status.ReplicatedIndex
}

func (w *Watcher) newPrimary(term uint64, primary string, now time.Time) {
	if term <= w.term || primary == "" {
		return
	}
	w.term, w.primary, w.primaryAt = term, primary, now
	w.replicated, w.stalledAt, w.suspectAt = 0, time.Time{}, time.Time{}
	w.promise(term, now)
	if w.attempt != nil && w.attempt.term <= term {
		w.attempt = nil
	}
}

// promise takes a promised term. The jitter keeps watchers of equal rank, which see a promise at the same time, from
// starting their next attempts together: without it the seeded model had write gaps of 6 s.
func (w *Watcher) promise(term uint64, now time.Time) {
	if term > w.promised {
		w.promised, w.promisedAt = term, now
		w.quiet = RivalAttemptTimeout + time.Duration(w.settings.Random()*float64(RetryJitter))
	}
}

func (w *Watcher) addEvidence(e PeerEvidence, now time.Time) {
	for i := range w.evidence {
		if w.evidence[i].From == e.From {
			w.evidence[i], w.evidenceAt[i] = e, now.Add(-e.Age)
			return
		}
	}
	w.evidence, w.evidenceAt = append(w.evidence, e), append(w.evidenceAt, now.Add(-e.Age))
}

func (w *Watcher) backOff(now time.Time) {
	jitter := time.Duration(w.settings.Random() * float64(RetryJitter))
	w.notBefore = now.Add(RetryBackOff + time.Duration(w.settings.Rank)*RankDelay + jitter)
}

func (w *Watcher) majority() int { return len(w.servers)/2 + 1 }

func (w *Watcher) find(name string) *server {
	for _, s := range w.servers {
		if s.name == name {
			return s
		}
	}
	return nil
}
