// Package lease decides which instance holds a shard. Five members per shard, the committee, vote for one holder.
//
// A vote lasts Length and is for one incarnation of one candidate. A candidate holds the lease once a majority has voted
// for it in one round. Its lease counts from before the round was sent and is shorter than the votes by the drift
// allowance, so that it ends before the votes do. Voters keep nothing on disk. A voter that has just started, or that is
// new in a committee, abstains until every vote that it may have forgotten, or that an earlier committee may have given,
// has ended.
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
// Both parts are pure, with time as a parameter, and not safe for concurrent use. All times are of a monotonic clock.
package lease

import "time"

// Lengths of the protocol.
const (
	Length    = 3 * time.Second                    // of a vote
	Freshness = 4 * time.Second                    // age at which an instance stops to act on an old roster
	Abstain   = Freshness + Length                 // of a voter that may have forgotten votes
	Renewal   = time.Second                        // interval of rounds of a holder
	Valid     = Length - Length/10                 // of a lease, from before sending; 10% allow for drift of clocks
	Committee = 5                                  // voters of a shard
	Majority  = Committee/2 + 1                    // votes that make a lease
	BackOff   = time.Second                        // shortest wait of a candidate that lost a round
	Jitter    = time.Second + 500*time.Millisecond // added to it at random
	// RetryRefused is the wait after a round that voters refused, up to twice as long at random. It is short, so that a
	// home that is given back finds its successor before callers have waited for long.
	RetryRefused = 400 * time.Millisecond
)

// Shard numbers a shard of organisations.
type Shard uint16

// Ballot asks for votes, or gives them back.
type Ballot struct {
	Candidate   string
	Incarnation uint64 // of the candidate, with the epoch of the votes in its low bits
	Roster      uint64 // version of the roster that the candidate chose the committee from
	Shards      []Shard
	Release     bool
}

type vote struct {
	candidate   string
	incarnation uint64
	expires     time.Time
}

// Voter votes as a committee member.
type Voter struct {
	roster uint64
	joined map[Shard]time.Time
	votes  map[Shard]vote
}

// NewVoter returns a voter in no committee. A process that has just started joins all its committees anew.
func NewVoter() *Voter {
	return &Voter{joined: make(map[Shard]time.Time), votes: make(map[Shard]vote)}
}

// Join sets the shards whose committees the voter is in under a version of the roster. Older versions are ignored.
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

// Vote returns the shards that the voter votes for the candidate in, until Length from now. The caller has checked that
// the instance is fresh. A candidate that chose the committee from an older roster gets no vote.
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
		if !member || now.Sub(since) < Abstain {
			continue
		}
		old, ok := v.votes[s]
		same := old.candidate == b.Candidate && old.incarnation == b.Incarnation
		if ok && !same && now.Before(old.expires) {
			continue
		}
		v.votes[s] = vote{candidate: b.Candidate, incarnation: b.Incarnation, expires: now.Add(Length)}
		granted = append(granted, s)
	}
	return granted
}

func (v *Voter) release(b Ballot) {
	for _, s := range b.Shards {
		if old := v.votes[s]; old.candidate == b.Candidate && old.incarnation == b.Incarnation {
			delete(v.votes, s)
		}
	}
}
