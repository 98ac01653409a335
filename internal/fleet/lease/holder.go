package lease

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Random returns a number from 0 up to, but not including, its argument.
type Random func(int64) int64

// Round is one ballot to send to the committees of its shards. Answers to one that is not releasing go to Granted.
type Round struct {
	Number uint64
	Ballot Ballot
}

// epochBits are the low bits of a ballot's incarnation that count how often a shard's votes were released. A release that
// arrives late would otherwise take back votes that were given again since.
const epochBits = 16

type candidacy struct {
	round  uint64 // the last one; 0 if none is open
	sent   time.Time
	voters []string // that granted the last round
	denied []string // voters that refused it
	next   time.Time
	since  time.Time
	until  time.Time
	wins   bool // the last round had a majority
}

// Holder asks for the leases of the shards that its instance should hold. A Holder belongs to one incarnation.
type Holder struct {
	candidate   string
	incarnation uint64
	shards      map[Shard]*candidacy
	epochs      map[Shard]uint64
	newest      uint64 // newest epoch of any shard
	// retry is when refused shards are asked for again, all of them in one round.
	retry    time.Time
	rounds   uint64
	released []Round
	majority int
	voters   int
}

// NewHolder returns a holder that wants no shard. The incarnation must differ from those of earlier processes of the
// candidate in its low 48 bits.
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

// Want sets the shards to hold. Those that are not wanted any more are given up at once.
func (h *Holder) Want(now time.Time, shards []Shard) {
	for _, s := range shards {
		if h.shards[s] == nil {
			h.shards[s] = &candidacy{next: now}
		}
	}
	for _, s := range slices.Sorted(maps.Keys(h.shards)) {
		if !slices.Contains(shards, s) {
			delete(h.shards, s)
			h.release(s)
		}
	}
}

// release gives the votes of a shard back and begins a new epoch, in which votes do not count as the same.
func (h *Holder) release(s Shard) {
	h.giveBack(s, h.ballot(h.epochs[s]))
	h.epochs[s] = (h.epochs[s] + 1) % (1 << epochBits)
	if h.newest = max(h.newest, h.epochs[s]); h.epochs[s] == 0 {
		h.newest = 0
	}
}

// giveBack adds a shard to the release of its epoch, so that the shards of an epoch are released in one round.
func (h *Holder) giveBack(s Shard, b Ballot) {
	for i := range h.released {
		if r := &h.released[i].Ballot; r.Incarnation == b.Incarnation {
			r.Shards = append(r.Shards, s)
			return
		}
	}
	b.Release, b.Shards = true, []Shard{s}
	h.released = append(h.released, Round{Ballot: b})
}

func (h *Holder) ballot(epoch uint64) Ballot {
	return Ballot{Candidate: h.candidate, Incarnation: h.incarnation<<epochBits | epoch}
}

// Tick returns the rounds to send now. The caller sets the version of the roster that it chooses the committees from.
// Votes of a round that was lost are released, so that two candidates cannot split a committee for good.
func (h *Holder) Tick(now time.Time, random Random) []Round {
	started := make(map[uint64]*Round)
	if !h.anyDue(now) {
		return h.pending(started)
	}
	backOff := BackOff + time.Duration(random(int64(Jitter)))
	for _, s := range slices.Sorted(maps.Keys(h.shards)) {
		c := h.shards[s]
		// A lease that is due soon is renewed with the others: one round in place of many.
		if now.Before(c.next) && !(c.wins && now.Add(Renewal/2).After(c.next)) {
			continue
		}
		if c.round != 0 && !c.wins && !now.Before(c.until) {
			h.release(s)
			c.round, c.next = 0, now.Add(backOff)
			continue
		}
		if c.round == 0 {
			// No vote is out, so that the shard may go on in the newest epoch and share its rounds.
			h.epochs[s] = h.newest
		}
		epoch := h.epochs[s]
		r := started[epoch]
		if r == nil {
			h.rounds++
			r = &Round{Number: h.rounds, Ballot: h.ballot(epoch)}
			started[epoch] = r
		}
		r.Ballot.Shards = append(r.Ballot.Shards, s)
		c.round, c.sent, c.next = r.Number, now, now.Add(Renewal)
		c.voters, c.denied, c.wins = c.voters[:0], c.denied[:0], false
	}
	return h.pending(started)
}

func (h *Holder) anyDue(now time.Time) bool {
	for _, c := range h.shards {
		if !now.Before(c.next) {
			return true
		}
	}
	return false
}

// pending returns the releases and the started rounds in order.
func (h *Holder) pending(started map[uint64]*Round) []Round {
	rounds := h.released
	h.released = nil
	for _, r := range started {
		rounds = append(rounds, *r)
	}
	slices.SortFunc(rounds, func(a, b Round) int { return cmp.Compare(a.Number, b.Number) })
	return rounds
}

// Granted takes a voter's answer to a round. Only members of the committees that the round was sent to may be given.
// Answers to an earlier round, or to one that was given up, do not count.
func (h *Holder) Granted(now time.Time, round uint64, voter string, shards []Shard) {
	for _, s := range shards {
		c := h.shards[s]
		if c == nil || c.round != round || slices.Contains(c.voters, voter) {
			continue
		}
		c.voters = append(c.voters, voter)
		until := c.sent.Add(Valid)
		if len(c.voters) < h.majority || !now.Before(until) {
			continue
		}
		c.wins = true
		if !now.Before(c.until) {
			// The lease had ended in between, so that another instance may have held it.
			c.since = now
		}
		c.until = until
	}
}

// Refused takes a voter's refusal of shards of a round. A round that can no longer win is given up at once.
func (h *Holder) Refused(now time.Time, round uint64, voter string, shards []Shard, random Random) {
	if !now.Before(h.retry) {
		h.retry = now.Add(RetryRefused + time.Duration(random(int64(RetryRefused))))
	}
	for _, s := range shards {
		c := h.shards[s]
		if c == nil || c.round != round || c.wins || now.Before(c.until) || slices.Contains(c.denied, voter) {
			continue
		}
		c.denied = append(c.denied, voter)
		if h.voters-len(c.denied) < h.majority {
			h.release(s)
			c.round, c.next = 0, h.retry
		}
	}
}

// Held returns since when the shard has been held without a break, and whether it is held now. It must be asked before
// and after work, because the process may have been paused in between.
func (h *Holder) Held(now time.Time, s Shard) (time.Time, bool) {
	c := h.shards[s]
	if c == nil || !now.Before(c.until) {
		return time.Time{}, false
	}
	return c.since, true
}
