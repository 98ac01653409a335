package lease

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Random returns a random number in [0, n) for its argument n, like rand.Int64N.
type Random func(int64) int64

// Round is a ballot to send to the committees of its shards. Unless it is a release, the answers go to Holder.Granted and
// Holder.Refused.
type Round struct {
	Number uint64
	Ballot Ballot
}

// epochBits is the number of low bits of a ballot's incarnation that hold the epoch, which changes when votes are
// released. Without it, a release that arrives late would delete votes that were given again since.
const epochBits = 16

// candidacy is the state of one wanted shard.
type candidacy struct {
	round       uint64 // number of the last round; 0 if no votes are out
	sentAt      time.Time
	grantedBy   []string // voters that granted the last round
	refusedBy   []string // voters that refused the last round
	nextRoundAt time.Time
	heldSince   time.Time
	expires     time.Time
	won         bool // the last round had a majority
}

// Holder acquires and renews the leases of the shards that its instance should hold, for one incarnation of the instance.
type Holder struct {
	candidate   string
	incarnation uint64
	shards      map[Shard]*candidacy
	epochs      map[Shard]uint64
	newestEpoch uint64 // newest epoch of any shard
	// retryAt is when votes for the refused shards are requested again, for all of them in one round.
	retryAt         time.Time
	lastRound       uint64
	pendingReleases []Round
	majority        int
	voters          int
}

// NewHolder returns a holder without wanted shards. The low 48 bits of the incarnation must differ from those of earlier
// processes of the candidate.
func NewHolder(candidate string, incarnation uint64) *Holder {
	return &Holder{
		candidate: candidate, incarnation: incarnation,
		shards: make(map[Shard]*candidacy), epochs: make(map[Shard]uint64), majority: Majority, voters: Committee,
	}
}

// SetVoters sets the number of voters of each committee, for rosters with fewer members than Committee. Voters that are
// new under a roster abstain, so that the number may change with the roster.
func (h *Holder) SetVoters(n int) {
	h.voters = min(max(n, 1), Committee)
	h.majority = h.voters/2 + 1
}

// Want sets the shards to hold. The votes of shards that are no longer wanted are released with the next Tick.
func (h *Holder) Want(now time.Time, shards []Shard) {
	for _, s := range shards {
		if h.shards[s] == nil {
			h.shards[s] = &candidacy{nextRoundAt: now}
		}
	}
	for _, s := range slices.Sorted(maps.Keys(h.shards)) {
		if !slices.Contains(shards, s) {
			delete(h.shards, s)
			h.release(s)
		}
	}
}

// release queues the release of a shard's votes and begins a new epoch, in which voters treat the candidate as another one.
func (h *Holder) release(s Shard) {
	h.addRelease(s, h.ballot(h.epochs[s]))
	h.epochs[s] = (h.epochs[s] + 1) % (1 << epochBits)
	if h.newestEpoch = max(h.newestEpoch, h.epochs[s]); h.epochs[s] == 0 {
		h.newestEpoch = 0
	}
}

// addRelease adds a shard to the release of its epoch, so that all shards of an epoch are released in one round.
func (h *Holder) addRelease(s Shard, b Ballot) {
	for i := range h.pendingReleases {
		if r := &h.pendingReleases[i].Ballot; r.Incarnation == b.Incarnation {
			r.Shards = append(r.Shards, s)
			return
		}
	}
	b.Release, b.Shards = true, []Shard{s}
	h.pendingReleases = append(h.pendingReleases, Round{Ballot: b})
}

// ballot returns a ballot of this candidate without shards, in an epoch.
func (h *Holder) ballot(epoch uint64) Ballot {
	return Ballot{Candidate: h.candidate, Incarnation: h.incarnation<<epochBits | epoch}
}

// Tick returns the rounds to send now. The caller sets the version of the roster that it chooses the committees from.
// The votes of a lost round are released, so that two candidates cannot split the votes of a committee forever.
func (h *Holder) Tick(now time.Time, random Random) []Round {
	started := make(map[uint64]*Round)
	if !h.anyDue(now) {
		return h.takePending(started)
	}
	backOff := MinBackOff + time.Duration(random(int64(MaxJitter)))
	for _, s := range slices.Sorted(maps.Keys(h.shards)) {
		c := h.shards[s]
		// A lease that is due soon is renewed with the others, so that one round serves many shards.
		if now.Before(c.nextRoundAt) && !(c.won && now.Add(RenewalInterval/2).After(c.nextRoundAt)) {
			continue
		}
		if c.round != 0 && !c.won && !now.Before(c.expires) {
			h.release(s)
			c.round, c.nextRoundAt = 0, now.Add(backOff)
			continue
		}
		if c.round == 0 {
			// No vote is out, so the shard can move to the newest epoch and share its rounds.
			h.epochs[s] = h.newestEpoch
		}
		epoch := h.epochs[s]
		r := started[epoch]
		if r == nil {
			h.lastRound++
			r = &Round{Number: h.lastRound, Ballot: h.ballot(epoch)}
			started[epoch] = r
		}
		r.Ballot.Shards = append(r.Ballot.Shards, s)
		c.round, c.sentAt, c.nextRoundAt = r.Number, now, now.Add(RenewalInterval)
		c.grantedBy, c.refusedBy, c.won = c.grantedBy[:0], c.refusedBy[:0], false
	}
	return h.takePending(started)
}

// anyDue reports whether a round of some shard is due.
func (h *Holder) anyDue(now time.Time) bool {
	for _, c := range h.shards {
		if !now.Before(c.nextRoundAt) {
			return true
		}
	}
	return false
}

// takePending returns the queued releases, which have number 0, followed by the started rounds in order of their numbers.
func (h *Holder) takePending(started map[uint64]*Round) []Round {
	rounds := h.pendingReleases
	h.pendingReleases = nil
	for _, r := range started {
		rounds = append(rounds, *r)
	}
	slices.SortFunc(rounds, func(a, b Round) int { return cmp.Compare(a.Number, b.Number) })
	return rounds
}

// Granted takes the votes of a voter for shards of a round. The voter must be a member of the committees that the round
// was sent to. Answers to an earlier round, or to one that was given up, are ignored.
func (h *Holder) Granted(now time.Time, round uint64, voter string, shards []Shard) {
	for _, s := range shards {
		c := h.shards[s]
		if c == nil || c.round != round || slices.Contains(c.grantedBy, voter) {
			continue
		}
		c.grantedBy = append(c.grantedBy, voter)
		expires := c.sentAt.Add(LeaseDuration)
		if len(c.grantedBy) < h.majority || !now.Before(expires) {
			continue
		}
		c.won = true
		if !now.Before(c.expires) {
			// The previous lease has ended, so another instance may have held the shard meanwhile.
			c.heldSince = now
		}
		c.expires = expires
	}
}

// Refused takes a voter's refusal of shards of a round. A round that can no longer get a majority is given up at once.
func (h *Holder) Refused(now time.Time, round uint64, voter string, shards []Shard, random Random) {
	if !now.Before(h.retryAt) {
		h.retryAt = now.Add(MinRefusedRetry + time.Duration(random(int64(MinRefusedRetry))))
	}
	for _, s := range shards {
		c := h.shards[s]
		if c == nil || c.round != round || c.won || now.Before(c.expires) || slices.Contains(c.refusedBy, voter) {
			continue
		}
		c.refusedBy = append(c.refusedBy, voter)
		if h.voters-len(c.refusedBy) < h.majority {
			h.release(s)
			c.round, c.nextRoundAt = 0, h.retryAt
		}
	}
}

// Held returns since when the shard has been held without interruption, and whether it is held at now. It must be called
// both before and after work that needs the lease, because the process may have been paused in between.
func (h *Holder) Held(now time.Time, s Shard) (time.Time, bool) {
	c := h.shards[s]
	if c == nil || !now.Before(c.expires) {
		return time.Time{}, false
	}
	return c.heldSince, true
}
