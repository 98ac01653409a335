package roster

import (
	"cmp"
	"iter"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	// muchPower is the share of the power of the place's most powerful member from which a member counts as powerful.
	muchPower = 0.5
	// keptRanks is how many members of a ranking are kept. Statements go to the first three that are alive.
	keptRanks = 8
	// maxKeptRankings bounds the rankings that are kept: two for each server or group in use.
	maxKeptRankings = 16_384
)

type ranked struct {
	member Member
	score  uint64
}

// score hashes key and member separated by a zero byte, which names do not contain.
func score(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(member)
	return d.Sum64()
}

// rank orders the members that are kept by falling score, and by name if scores are equal.
func (r Roster) rank(key string, keep func(Member) bool) []Member {
	scored := make([]ranked, 0, len(r.members))
	for _, m := range r.members {
		if keep(m) {
			scored = append(scored, ranked{member: m, score: score(key, m.Name)})
		}
	}
	slices.SortStableFunc(scored, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	return membersOf(scored)
}

func staying(m Member) bool { return !m.Leaving }

func everyone(Member) bool { return true }

// Rank orders the members that are not leaving for a key: those of the preferred place first, then the others. An
// empty place means no preference.
func (r Roster) Rank(key, place string) []Member {
	members := r.rank(key, staying)
	if place != "" {
		slices.SortStableFunc(members, func(a, b Member) int {
			return cmp.Compare(distance(a, place), distance(b, place))
		})
	}
	return members
}

func distance(m Member, place string) int {
	if m.Place == place {
		return 0
	}
	return 1
}

// RankByPower yields members in the order of Rank, but within a place those with much processing power come before the
// others. Work that one member does for many belongs on these. The first members of each ranking are kept, so that a
// caller that stops at them ranks the roster once for each key.
func (r Roster) RankByPower(key, place string) iter.Seq[Member] {
	return func(yield func(Member) bool) {
		first := r.rankings.first(key, place)
		for _, m := range first {
			if !yield(m) {
				return
			}
		}
		if len(first) < keptRanks {
			return
		}
		for _, m := range r.rankings.rank(key, place)[len(first):] {
			if !yield(m) {
				return
			}
		}
	}
}

// PlaceByPower returns the members of a place in the order of RankByPower. The caller must not change the slice.
func (r Roster) PlaceByPower(key, place string) []Member { return r.rankings.inPlace(key, place) }

// rankingKey identifies a ranking.
type rankingKey struct{ key, place string }

// rankings keeps the rankings of a list of members, which depend on nothing else. A nil pointer ranks no member.
type rankings struct {
	members []Member
	power   map[string]float64 // of the most powerful member, by place

	mu     sync.Mutex
	firsts map[rankingKey][]Member
	places map[rankingKey][]Member
}

func newRankings(members []Member) *rankings {
	c := &rankings{members: members, power: map[string]float64{}}
	for _, m := range members {
		c.power[m.Place] = max(c.power[m.Place], m.Power)
	}
	return c
}

// compare orders two members for a place: nearer ones first, then powerful ones, then by falling score, then by name.
func (c *rankings) compare(place string, a, b ranked) int {
	return cmp.Or(
		cmp.Compare(distance(a.member, place), distance(b.member, place)),
		cmp.Compare(c.weak(a.member), c.weak(b.member)),
		cmp.Compare(b.score, a.score),
		cmp.Compare(a.member.Name, b.member.Name),
	)
}

func (c *rankings) weak(m Member) int {
	if m.Power < c.power[m.Place]*muchPower {
		return 1
	}
	return 0
}

// rank returns all members that are not leaving in rank order.
func (c *rankings) rank(key, place string) []Member {
	var scored []ranked
	for _, m := range c.members {
		if !m.Leaving {
			scored = append(scored, ranked{member: m, score: score(key, m.Name)})
		}
	}
	slices.SortFunc(scored, func(a, b ranked) int { return c.compare(place, a, b) })
	return membersOf(scored)
}

// first returns the first keptRanks members in rank order, or all if there are fewer.
func (c *rankings) first(key, place string) []Member {
	if c == nil {
		return nil
	}
	return c.kept(&c.firsts, rankingKey{key, place}, func() []Member { return c.top(key, place) })
}

// inPlace returns the members of a place that are not leaving, in rank order.
func (c *rankings) inPlace(key, place string) []Member {
	if c == nil {
		return nil
	}
	return c.kept(&c.places, rankingKey{key, place}, func() []Member {
		return slices.DeleteFunc(c.rank(key, place), func(m Member) bool { return m.Place != place })
	})
}

// kept returns the ranking of a key, and computes it if it is not kept yet.
func (c *rankings) kept(in *map[rankingKey][]Member, k rankingKey, compute func() []Member) []Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	list, ok := (*in)[k]
	if ok {
		return list
	}
	list = compute()
	if *in == nil || len(*in) >= maxKeptRankings {
		*in = map[rankingKey][]Member{}
	}
	(*in)[k] = list
	return list
}

// top selects the first keptRanks members without ordering the others.
func (c *rankings) top(key, place string) []Member {
	list := make([]ranked, 0, keptRanks+1)
	for _, m := range c.members {
		if m.Leaving {
			continue
		}
		candidate := ranked{member: m, score: score(key, m.Name)}
		if len(list) == keptRanks && c.compare(place, candidate, list[keptRanks-1]) > 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(list, candidate, func(a, b ranked) int { return c.compare(place, a, b) })
		list = slices.Insert(list, at, candidate)[:min(keptRanks, len(list)+1)]
	}
	return membersOf(list)
}
