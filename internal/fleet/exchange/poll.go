package exchange

import (
	"time"

	"tanagercross/internal/fleet/document"
	"tanagercross/internal/fleet/freshness"
	"tanagercross/internal/fleet/roster"
)

// Times of polling the store.
const (
	pollers    = 3
	pollPeriod = 500 * time.Millisecond
	pollAfter  = 1500 * time.Millisecond
	pollJitter = time.Second
	// The longest time between attempts of an instance that is not a poller is pollBackoff, or in large rosters
	// pollSpacing for each member, so that during an outage all of them together ask about ten times a second.
	pollBackoff = 8 * time.Second
	pollSpacing = 100 * time.Millisecond
)

// poll is when the store was last asked, and how long an instance that is not a poller waits.
type poll struct {
	last     time.Time
	failures int
	jitter   time.Duration
}

// PollDue reports whether to ask the store now. Three members ask every 500 ms; the others only when the store entry
// is old, after a random time, and less often while the store does not answer, so that its load does not grow with the
// fleet even during an outage. An instance that holds no roster asks as a poller does.
func (s *State) PollDue(now time.Time) bool {
	since := now.Sub(s.poll.last)
	if !s.poll.last.IsZero() && since < pollPeriod {
		return false
	}
	if s.polls() {
		return true
	}
	if s.poll.jitter == 0 {
		s.poll.jitter = time.Duration(s.random.Int64N(int64(pollJitter))) + 1
	}
	age, known := s.ages.Age(freshness.StoreName, now)
	if known && age < pollAfter+s.poll.jitter {
		if age < pollAfter {
			s.poll.failures = 0 // a peer has reached the store
		}
		return false
	}
	limit := max(pollBackoff, time.Duration(s.roster.Len())*pollSpacing)
	backoff := min(pollPeriod<<min(s.poll.failures, 12), limit)
	return s.poll.last.IsZero() || since >= backoff+s.poll.jitter
}

func (s *State) polls() bool { return s.roster.Len() == 0 || s.current().polls }

// Polling records that the store is asked now.
func (s *State) Polling(now time.Time) { s.poll.last, s.poll.jitter = now, 0 }

// Outdated returns the documents whose versions in the store are newer than those held, to be read in full.
func (s *State) Outdated(versions []document.Version) []string {
	var names []string
	for _, v := range versions {
		if v.Version > s.documents.Get(v.Name).Version {
			names = append(names, v.Name)
		}
	}
	return names
}

// Polled records that all documents of the store as of the moment before the read have been merged. It does nothing
// if a version is newer than the one held.
func (s *State) Polled(before time.Time, versions []document.Version) {
	s.poll.failures = 0
	if s.documents.Covers(versions) {
		s.ages.Store(before)
	}
}

// PollFailed records that the store did not answer.
func (s *State) PollFailed() { s.poll.failures++ }

// Pollers returns the members that poll the store all the time.
func Pollers(r roster.Roster) []roster.Member { return r.Pollers(pollers) }

// StoreAge returns the age of the store entry, also in a long outage; it is false if there is none.
func (s *State) StoreAge(now time.Time) (time.Duration, bool) {
	return s.ages.KnownAge(freshness.StoreName, now)
}
