// Package lease elects the instance that holds a shard. The voters of a shard are its committee of five members.
//
// A vote lasts VoteDuration and is for one incarnation of one candidate. A candidate holds the lease once a majority has
// voted for it in one round. The lease is counted from before the round was sent and is shorter than the votes by the
// allowance for clock drift, so that it ends before the votes do. Voters store nothing on disk. A voter that has just
// started, or that is new in a committee, abstains until all votes have ended that it may have given before its restart or
// that an earlier committee may have given.
//
// # Usage
//
// At a voter that is fresh:
//
//	granted := voter.Vote(now, lease.Ballot{Candidate: "i3", Incarnation: 7, Roster: 12, Shards: shards})
//
// At a candidate, each tick:
//
//	for _, round := range holder.Tick(now, rand.Int64N) {
//		// send round.Ballot with the roster's version to the committees of its shards; on each answer:
//		holder.Granted(time.Now(), round.Number, "i1", granted)
//		holder.Refused(time.Now(), round.Number, "i1", refused, rand.Int64N)
//	}
//	if since, ok := holder.Held(now, shard); ok {
//		// this instance is the home of the shard since then
//	}
//
// Voter and Holder do no I/O, take the time as a parameter and are not safe for concurrent use. All times are of a
// monotonic clock.
package lease

import "time"

// Durations and sizes of the protocol.
const (
	VoteDuration    = 3 * time.Second                    // how long a vote lasts
	MaxRosterAge    = 4 * time.Second                    // age at which an instance stops using a roster
	AbstainDuration = MaxRosterAge + VoteDuration        // how long a new or restarted voter gives no votes
	RenewalInterval = time.Second                        // interval between the rounds of a holder
	LeaseDuration   = VoteDuration - VoteDuration/10     // of a lease, from before sending; 10% less than a vote, for clock drift
	Committee       = 5                                  // voters of a shard
	Majority        = Committee/2 + 1                    // votes that a lease needs
	MinBackOff      = time.Second                        // shortest wait of a candidate that lost a round
	MaxJitter       = time.Second + 500*time.Millisecond // upper limit of the random time added to MinBackOff
	// MinRefusedRetry is the shortest wait after a round that voters refused; the longest is twice that, at random. It is
	// short so that a released shard gets its next holder before callers have waited for long.
	MinRefusedRetry = 400 * time.Millisecond
)

// Shard numbers a shard of organisations.
type Shard uint16

// Ballot requests votes for a candidate, or releases them.
type Ballot struct {
	Candidate   string
	Incarnation uint64 // of the candidate, with the epoch of the votes in its low bits
	Roster      uint64 // version of the roster that the candidate chose the committee from
	Shards      []Shard
	Release     bool
}

// vote is the vote of a voter for one shard.
type vote struct {
	candidate   string
	incarnation uint64
	expires     time.Time
}

// Voter gives the votes of one instance in the committees that it belongs to.
type Voter struct {
	roster uint64
	joined map[Shard]time.Time
	votes  map[Shard]vote
}

// NewVoter returns a voter that is in no committee. After a restart the instance abstains in all its committees.
func NewVoter() *Voter {
	return &Voter{joined: make(map[Shard]time.Time), votes: make(map[Shard]vote)}
}

// Join sets the shards whose committees the voter belongs to in a version of the roster. Older versions are ignored.
func (v *Voter) Join(now time.Time, roster uint64, shards []Shard) {
	if roster < v.roster {
		return
	}
	v.roster = roster
	joined := make(map[Shard]time.Time, len(shards))
	for _, s := range shards {
		since, ok := v.joined[s]
		if !ok {
			since = now
		}
		joined[s] = since
	}
	v.joined = joined
}

// Vote returns the shards for which the candidate gets the vote, until VoteDuration from now. For a release it deletes
// the candidate's votes and returns nil. The caller has checked that the roster of the voter is newer than MaxRosterAge.
// A candidate that chose the committee from an older roster than the voter's gets no vote.
func (v *Voter) Vote(now time.Time, b Ballot) []Shard {
	if b.Release {
		v.release(b)
		return nil
	}
	if b.Roster < v.roster {
		return nil
	}
	var granted []Shard
	for _, s := range b.Shards {
		since, member := v.joined[s]
		if !member || now.Sub(since) < AbstainDuration {
			continue
		}
		old, ok := v.votes[s]
		same := old.candidate == b.Candidate && old.incarnation == b.Incarnation
		if ok && !same && now.Before(old.expires) {
			continue
		}
		v.votes[s] = vote{candidate: b.Candidate, incarnation: b.Incarnation, expires: now.Add(VoteDuration)}
		granted = append(granted, s)
	}
	return granted
}

// release deletes the votes for the same candidate and incarnation as the ballot's; others stay.
func (v *Voter) release(b Ballot) {
	for _, s := range b.Shards {
		if old := v.votes[s]; old.candidate == b.Candidate && old.incarnation == b.Incarnation {
			delete(v.votes, s)
		}
	}
}
