// Package promotion decides when the primary of a server group must be replaced and which replica becomes the next
// primary. It does no I/O: the caller collects the evidence and the servers' reports, and carries the decision out.
//
// # Usage
//
//	switch promotion.Decide(evidence) {
//	case promotion.Replace:
//		if promotion.EnoughReports(reports, absent, syncReplicas, demotion) {
//			next, ok := promotion.ChoosePrimary(reports, place)
//		}
//	case promotion.Demote: // order the primary to become a replica, then choose from the reports
//	case promotion.Keep, promotion.Wait:
//	}
//
// Replacing a primary loses the commits that it acknowledged and the new primary has not received. A primary that any
// instance can reach is therefore kept.
package promotion

import (
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/replicaset"
	"tanagercross/internal/database/statement"
)

// Thresholds after which a primary is suspected of having failed, and its group is examined.
const (
	SuspectAfterSilence  = 300 * time.Millisecond // without any answer, while one is due
	SuspectAfterFailures = 2                      // consecutive failures
)

// Evidence is what an examination of a group found out about its primary.
type Evidence struct {
	Primary        string        // server id; empty if no primary is known
	Listed         bool          // the primary has an entry in the store
	Leaving        bool          // the primary is about to stop
	ReachedLocally bool          // the primary answered this instance
	ReachedByPeer  bool          // the primary answered another instance
	IsLeader       bool          // the primary's answer says that it leads
	PeerConsulted  bool          // another instance could be asked whether it reaches the primary
	LeaderlessFor  time.Duration // how long the group has been without a serving primary
}

// Decision is the result of an examination of a primary.
type Decision uint8

// Decisions.
const (
	Keep    Decision = iota // the primary serves
	Wait                    // the evidence does not suffice yet; examine the group again later
	Replace                 // the primary is unreachable or does not lead
	Demote                  // the primary serves but is about to stop: it is demoted before a replica is promoted
)

// minLeaderless is how long a group must be without a primary before a replica is promoted. A server that restarts
// reports its role within that time.
const minLeaderless = 700 * time.Millisecond

// Decide returns what to do about the primary of a group. A primary that neither this instance nor the consulted one
// reaches is replaced at once. If no other instance could be consulted, the fault may be on this instance's own network
// path, and a primary that is listed is replaced only after minLeaderless. So is one that answers but does not lead.
func Decide(e Evidence) Decision {
	reached := e.ReachedLocally || e.ReachedByPeer
	switch {
	case e.Primary == "" || reached && !e.IsLeader:
		if e.LeaderlessFor >= minLeaderless {
			return Replace
		}
		return Wait
	case reached && e.Leaving:
		return Demote
	case reached:
		return Keep
	case !e.PeerConsulted && e.Listed && e.LeaderlessFor < minLeaderless:
		return Wait
	}
	return Replace
}

// Report is what a server reported about itself during a change of primary.
type Report struct {
	Server  string // id
	Place   string
	Leaving bool // the server is about to stop
	Former  bool // the server is the primary that is replaced; it is chosen only if no other has received as much
	Paused  bool // the server receives nothing until it is resumed or promoted
	statement.Report
}

// WithPause returns the report with Paused set if the server holds the term of the pause or a newer one. A server that
// knows a newer term than that of the pause ignores the pause.
func (r Report) WithPause(term uint64) Report {
	r.Paused = r.Role == driver.Replica && r.HeldTerm >= term
	return r
}

// Demotion is the result of the command that makes a leaving primary a replica. The zero value means that the primary has
// not confirmed it and may still acknowledge commits.
type Demotion struct {
	Confirmed bool
	End       driver.Position // of the log; nothing after it was acknowledged
}

// Counted returns what the reports prove about the servers' logs. Unless the old primary confirmed its demotion, it may be running
// and acknowledge commits that a synchronous replica receives after its report, so that only the reports of paused replicas
// count.
func Counted(reports []Report, syncReplicas int, d Demotion) []replicaset.Report {
	var counted []replicaset.Report
	for _, r := range reports {
		if r.Paused || d.Confirmed || syncReplicas <= 0 {
			counted = append(counted, replicaset.Report{Server: r.Server, Received: r.Received})
		}
	}
	return counted
}

// EnoughReports reports whether a primary may be chosen from the reports: one replica has received the whole log of the demoted
// primary, or the members of the group whose reports do not count are so few that every acknowledged commit is in a report, or
// not expected back. Without synchronous replicas one report suffices, because no number of reports can exclude a loss; but
// after a demotion nothing but the whole log does, because the demoted primary still has it.
func EnoughReports(reports []Report, absent []replicaset.Absence, syncReplicas int, d Demotion) bool {
	if best, ok := ChoosePrimary(reports, ""); ok && d.Confirmed && best.Received.Compare(d.End) >= 0 {
		return true
	}
	counted := len(Counted(reports, syncReplicas, d))
	if syncReplicas <= 0 {
		return counted > 0 && !d.Confirmed
	}
	return counted > 0 && replicaset.Decide(absent, syncReplicas) != replicaset.Wait
}

// ChoosePrimary returns the server with the newest received log position. Among equal ones it prefers servers that are
// not about to stop, then others than the old primary, then servers in the given place, that of the old primary. It returns false without reports.
func ChoosePrimary(reports []Report, place string) (Report, bool) {
	var best Report
	found := false
	for _, r := range reports {
		c := r.Received.Compare(best.Received)
		if !found || c > 0 || c == 0 && r.isPreferredTo(best, place) {
			best, found = r, true
		}
	}
	return best, found
}

// isPreferredTo breaks the tie between two servers that have received the same log position.
func (r Report) isPreferredTo(other Report, place string) bool {
	if r.Leaving != other.Leaving {
		return other.Leaving
	}
	if r.Former != other.Former {
		return other.Former
	}
	return r.Place == place && other.Place != place
}

// NextTerm returns a term above the known one and all terms in the reports.
func NextTerm(reports []Report, known uint64) uint64 {
	for _, r := range reports {
		known = max(known, r.Term, r.Received.Term)
	}
	return known + 1
}

// FindNewPrimary returns a server other than the old primary that reports to be the primary, which means that the change
// has already happened.
func FindNewPrimary(reports []Report, old string) (Report, bool) {
	for _, r := range reports {
		if r.Role == driver.Primary && r.Server != old {
			return r, true
		}
	}
	return Report{}, false
}
