// Package promotion decides when the primary of a group is to be replaced and which server takes over. It does no I/O.
//
// # Usage
//
//	switch promotion.Decide(evidence) {
//	case promotion.Replace:
//		if promotion.EnoughReports(reports, replicas, syncReplicas, demoted) {
//			next, ok := promotion.ChoosePrimary(reports, place)
//		}
//	case promotion.Keep, promotion.Wait:
//	}
//
// A change of primary loses what the old primary acknowledged and the next one has not received, so a primary that others
// reach is kept.
package promotion

import (
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/statement"
)

// Limits of evidence.
const (
	// SuspectAfterSilence is how long a server answers nothing before it is examined.
	SuspectAfterSilence = 300 * time.Millisecond
	// SuspectAfterFailures is how many failures in a row make a server suspect.
	SuspectAfterFailures = 2
)

// Evidence is what is known of a group whose primary is in doubt.
type Evidence struct {
	Primary        string // id; empty if none is known
	Listed         bool   // the primary has an entry in the store
	Leaving        bool   // the primary is about to stop
	ReachedLocally bool   // this instance got an answer from it
	ReachedByPeer  bool   // another instance got an answer from it
	IsLeader       bool   // the answer says that it leads
	PeerConsulted  bool   // another instance could be asked
	LeaderlessFor  time.Duration
}

// Decision is what to do about a primary.
type Decision uint8

// Verdicts.
const (
	Keep    Decision = iota
	Wait             // more evidence is needed
	Replace          // the primary is gone
	Demote           // the primary serves, but leaves: it gives up the lead first
)

// leaderlessBefore is how long a group has no primary before one is made. A server that restarts reports its role within
// that time.
const leaderlessBefore = 700 * time.Millisecond

// Decide decides what to do.
func Decide(e Evidence) Decision {
	reached := e.ReachedLocally || e.ReachedByPeer
	switch {
	case e.Primary == "" || reached && !e.IsLeader:
		if e.LeaderlessFor >= leaderlessBefore {
			return Replace
		}
		return Wait
	case reached && e.Leaving:
		return Demote
	case reached:
		return Keep
	case !e.PeerConsulted && e.Listed && e.LeaderlessFor < leaderlessBefore:
		return Wait
	}
	return Replace
}

// Report is a server's answer during a change of primary.
type Report struct {
	Server  string
	Place   string
	Leaving bool
	statement.Report
}

// RequiredReports returns how many of a group's replicas must report before one is chosen. With synchronous replicas a commit is
// known to be on that many of them, so that the others may be missing.
func RequiredReports(replicas, syncReplicas int) int {
	if syncReplicas <= 0 {
		return 1
	}
	return max(1, replicas-syncReplicas+1)
}

// EnoughReports reports whether the reports show a server that has all acknowledged commits: enough replicas report, or one
// has all that the relieved primary had. The replicas are those of the group, listed or missing.
func EnoughReports(reports []Report, replicas, syncReplicas int, relieved driver.Position) bool {
	if best, ok := ChoosePrimary(reports, ""); ok && relieved.Term > 0 && best.Received.Compare(relieved) >= 0 {
		return true
	}
	return len(reports) >= RequiredReports(replicas, syncReplicas)
}

// ChoosePrimary returns the server that received the most; of equal ones it prefers those that stay, then those in the place of
// the old primary.
func ChoosePrimary(reports []Report, place string) (Report, bool) {
	var best Report
	found := false
	for _, r := range reports {
		c := r.Received.Compare(best.Received)
		if !found || c > 0 || c == 0 && r.preferred(best, place) {
			best, found = r, true
		}
	}
	return best, found
}

func (r Report) preferred(other Report, place string) bool {
	if r.Leaving != other.Leaving {
		return other.Leaving
	}
	return r.Place == place && other.Place != place
}

// NextTerm returns a term above all that the servers know.
func NextTerm(reports []Report, known uint64) uint64 {
	for _, r := range reports {
		known = max(known, r.Term, r.Received.Term)
	}
	return known + 1
}

// FindNewPrimary returns the server that already leads in a term above the old one.
func FindNewPrimary(reports []Report, old string) (Report, bool) {
	for _, r := range reports {
		if r.Role == driver.Primary && r.Server != old {
			return r, true
		}
	}
	return Report{}, false
}
