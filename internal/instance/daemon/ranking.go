package daemon

import (
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"tanagercross/internal/fleet/lease"
	"tanagercross/internal/fleet/roster"
)

const (
	shards = 256
	// homesRanked is how many members are kept for the home of a shard. All are ranked again if none of them is alive.
	homesRanked = 8
)

// ranking holds who is home and voter of each shard under one roster. It is computed at the first use and kept, because
// ranking 4,000 members for each shard at each tick would take several cores.
type ranking struct {
	roster roster.Roster
	once   sync.Once
	homes  [shards][]roster.Member
	voters [shards][]roster.Member
}

func newRanking(r roster.Roster) *ranking { return &ranking{roster: r} }

func (k *ranking) compute() {
	for s := range lease.Shard(shards) {
		k.homes[s] = k.roster.First(shardKey(s), homesRanked)
		k.voters[s] = k.roster.Committee(int(s), lease.Committee)
	}
}

// home returns the members that keep accepts in the order in which they should be home of a shard, at most n.
func (k *ranking) home(s lease.Shard, n int, keep func(name string) bool) []roster.Member {
	k.once.Do(k.compute)
	var first []roster.Member
	add := func(members []roster.Member) {
		for _, m := range members {
			if len(first) < n && keep(m.Name) {
				first = append(first, m)
			}
		}
	}
	add(k.homes[s])
	if len(first) == 0 && k.roster.Len() > homesRanked {
		add(k.roster.Rank(shardKey(s), ""))
	}
	return first
}

// committee returns the voters of a shard.
func (k *ranking) committee(s lease.Shard) []roster.Member {
	k.once.Do(k.compute)
	return k.voters[s]
}

// committees returns the shards that a member is a voter of.
func (k *ranking) committees(name string) []lease.Shard {
	var member []lease.Shard
	for s := range lease.Shard(shards) {
		if slices.ContainsFunc(k.committee(s), func(m roster.Member) bool { return m.Name == name }) {
			member = append(member, s)
		}
	}
	return member
}

func shardOf(organisation string) lease.Shard {
	return lease.Shard(xxhash.Sum64String(organisation) % shards)
}

func shardKey(s lease.Shard) string { return "shard/" + strconv.Itoa(int(s)) }
