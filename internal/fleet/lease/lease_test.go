package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const step = 20 * time.Millisecond

// node is a candidate or a voter. Each has its own clock.
type node struct {
	clock       float64 // seconds of its clock per second
	paused      time.Time
	incarnation uint64
	voter       *Voter
	holder      *Holder
}

// message is a ballot on its way to a voter, or the answer on its way back.
type message struct {
	arrivesAt   time.Time
	from        int // candidate
	to          int // voter
	ballot      Ballot
	incarnation uint64 // of the candidate's process
	round       uint64
	granted     []Shard
	answer      bool
}

// Guards against two holders of one shard at the same time. Three candidates compete while voters and candidates restart
// and pause, messages are lost, delayed and answered after a release, the committee changes, and clocks drift by up to
// 4%. The test also checks that the shard is held for most of the time.
func TestOneHolderOverSeeds(t *testing.T) {
	const voters, candidates, length = 7, 3, 60 * time.Second
	held, changes := 0, 0
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 7))
		rarity, slow := 1+int(seed%4), 3+int(seed%5)*8 // runs differ in how often faults come
		start := time.Unix(0, 0)
		nodes := make([]*node, voters+candidates)
		for i := range nodes {
			nodes[i] = &node{clock: 0.96 + 0.08*random.Float64(), voter: NewVoter(), holder: NewHolder(fmt.Sprint(i), 1), incarnation: 1}
		}
		local := func(n *node, now time.Time) time.Time {
			return start.Add(time.Duration(float64(now.Sub(start)) * n.clock))
		}
		roster, committee := uint64(1), random.Perm(voters)[:Committee]
		known := make([]uint64, len(nodes)) // roster version, learned late
		rosters := map[uint64][]int{1: committee}
		var messages []message
		var previous int
		for now := start; now.Before(start.Add(length)); now = now.Add(step) {
			if random.IntN(500*rarity) == 0 && now.After(start.Add(20*time.Second)) {
				// One member is replaced at a time; a change is in force everywhere within the freshness bound.
				roster++
				committee = append([]int(nil), committee...)
				committee[random.IntN(Committee)] = random.IntN(voters)
				rosters[roster] = committee
			}
			for i, n := range nodes {
				if random.IntN(1500*rarity) == 0 {
					n.paused = now.Add(time.Duration(random.IntN(6000)) * time.Millisecond)
				}
				if now.Before(n.paused) {
					continue
				}
				if known[i] < roster {
					known[i] = roster
					if contains(committee, i) {
						n.voter.Join(local(n, now), roster, []Shard{1})
					} else {
						n.voter.Join(local(n, now), roster, nil)
					}
				}
				if random.IntN(2000*rarity) == 0 {
					n.incarnation++
					n.voter, n.holder = NewVoter(), NewHolder(fmt.Sprint(i), n.incarnation)
					known[i] = 0
				}
				if i < voters {
					continue
				}
				if random.IntN(400*rarity) == 0 {
					n.holder.Want(local(n, now), nil)
				} else {
					n.holder.Want(local(n, now), []Shard{1})
				}
				for _, r := range n.holder.Tick(local(n, now), random.Int64N) {
					r.Ballot.Roster = known[i]
					for _, to := range rosters[known[i]] {
						l := message{arrivesAt: delay(random, slow, now), from: i, to: to, ballot: r.Ballot, round: r.Number}
						l.incarnation = n.incarnation
						messages = append(messages, l)
					}
				}
			}
			kept := messages[:0]
			for _, l := range messages {
				target := nodes[l.to]
				if l.answer {
					target = nodes[l.from]
				}
				if now.Before(l.arrivesAt) || now.Before(target.paused) {
					kept = append(kept, l)
					continue
				}
				if random.IntN(20) == 0 {
					continue
				}
				if !l.answer {
					l.granted = target.voter.Vote(local(target, now), l.ballot)
					l.answer, l.arrivesAt = true, delay(random, slow, now)
					kept = append(kept, l)
					continue
				}
				if target.incarnation == l.incarnation {
					target.holder.Granted(local(target, now), l.round, fmt.Sprint(l.to), l.granted)
					if len(l.granted) == 0 {
						target.holder.Refused(local(target, now), l.round, fmt.Sprint(l.to), l.ballot.Shards, random.Int64N)
					}
				}
			}
			messages = kept
			holder, count := -1, 0
			for i := voters; i < len(nodes); i++ {
				if _, ok := nodes[i].holder.Held(local(nodes[i], now), 1); ok {
					holder = i
					count++
				}
			}
			if count > 1 {
				t.Fatalf("seed %d: %d holders after %v", seed, count, now.Sub(start))
			}
			held += count
			if holder >= 0 && holder != previous {
				changes++
				previous = holder
			}
		}
	}
	share := float64(held) / float64(200*length/step)
	t.Logf("held %.2f of the time, %d changes of holder", share, changes)
	if share < 0.5 || changes < 400 {
		t.Errorf("held %.2f of the time, %d changes of holder", share, changes)
	}
}

func contains(committee []int, i int) bool {
	for _, c := range committee {
		if c == i {
			return true
		}
	}
	return false
}

// delay returns when a message that is sent now arrives: on average one in slow messages is delayed by up to 5 s more.
func delay(random *rand.Rand, slow int, now time.Time) time.Time {
	d := time.Duration(random.IntN(60)) * time.Millisecond
	if random.IntN(slow) == 0 {
		d += time.Duration(random.IntN(5000)) * time.Millisecond
	}
	return now.Add(d)
}

// Guards against a voter that votes before earlier votes have ended, for a second incarnation, or for an old roster.
func TestVoterAbstains(t *testing.T) {
	at := func(d time.Duration) time.Time { return time.Unix(0, 0).Add(d) }
	v := NewVoter()
	v.Join(at(0), 2, []Shard{1})
	b := Ballot{Candidate: "a", Incarnation: 1, Roster: 2, Shards: []Shard{1, 2}}
	if len(v.Vote(at(AbstainDuration-1), b)) != 0 || len(v.Vote(at(AbstainDuration), b)) != 1 {
		t.Error("vote after a start")
	}
	v.Join(at(AbstainDuration), 3, []Shard{1, 2})
	if len(v.Vote(at(AbstainDuration), b)) != 0 {
		t.Error("vote for an older roster")
	}
	b.Roster = 3
	if granted := v.Vote(at(AbstainDuration), b); len(granted) != 1 || granted[0] != 1 {
		t.Errorf("vote in a new committee: %v", granted)
	}
	restarted := b
	restarted.Incarnation = 2
	if len(v.Vote(at(AbstainDuration+VoteDuration-1), restarted)) != 0 || len(v.Vote(at(AbstainDuration+VoteDuration), restarted)) != 1 {
		t.Error("vote for a second incarnation before the first vote ended")
	}
	b.Release = true
	v.Vote(at(AbstainDuration+VoteDuration), b)
	b.Release = false
	if len(v.Vote(at(AbstainDuration+VoteDuration), b)) != 0 {
		t.Error("a late release of an older incarnation gave the vote back")
	}
}

// Guards against a lease that is counted from the answer instead of from before sending, that lasts longer than the votes
// of voters whose clocks are faster by the drift allowance, or that counts a voter twice.
func TestLeaseEndsBeforeVotes(t *testing.T) {
	at := func(d time.Duration) time.Time { return time.Unix(0, 0).Add(d) }
	h := NewHolder("a", 1)
	h.Want(at(0), []Shard{1})
	round := h.Tick(at(0), rand.Int64N)[0].Number
	for _, voter := range []string{"1", "1", "1", "2"} {
		h.Granted(at(time.Second), round, voter, []Shard{1})
	}
	if _, held := h.Held(at(time.Second), 1); held {
		t.Error("two voters made a lease")
	}
	h.Granted(at(time.Second), round, "3", []Shard{1})
	since, held := h.Held(at(VoteDuration*9/10-1), 1)
	if _, late := h.Held(at(VoteDuration*9/10), 1); !held || late || !since.Equal(at(time.Second)) {
		t.Errorf("held %v since %v, after the end %v", held, since, late)
	}
	h.Granted(at(VoteDuration), round, "4", []Shard{1})
	if _, held := h.Held(at(VoteDuration), 1); held {
		t.Error("a late answer made a lease that had ended")
	}
}
