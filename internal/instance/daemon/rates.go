package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"tanagercross/internal/fleet/lease"
	"tanagercross/internal/fleet/peer"
	"tanagercross/internal/fleet/roster"
	"tanagercross/internal/organisation/allotment"
)

const (
	shards      = 256
	leaseTick   = 100 * time.Millisecond
	voteTimeout = 900 * time.Millisecond
	// homesAsked is how many members are asked for tokens: the first by rank and its successor.
	homesAsked = 2
)

var errNoHome = eris.New("no home of the organisation answered")

// rates is the home side and the voters of this instance.
type rates struct {
	mu     sync.Mutex
	holder *lease.Holder
	voter  *lease.Voter
	homes  allotment.Homes
}

func shardOf(organisation string) lease.Shard {
	return lease.Shard(xxhash.Sum64String(organisation) % shards)
}

// homesOf ranks the members for the home of a shard.
func homesOf(r roster.Roster, s lease.Shard) []roster.Member { return r.Rank(shardKey(s), "") }

// runLeases keeps the leases of the shards whose home this instance should be.
func (d *Daemon) runLeases(ctx context.Context) {
	ticks, cancel := d.clock.Subscribe(leaseTick)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		view := d.fleet.view()
		if view.roster.Len() == 0 {
			continue
		}
		for _, round := range d.leaseRounds(view.roster) {
			d.sendRound(ctx, view.roster, round)
		}
	}
}

func (d *Daemon) leaseRounds(r roster.Roster) []lease.Round {
	d.rates.mu.Lock()
	defer d.rates.mu.Unlock()
	now := d.clock.Now()
	d.rates.holder.SetVoters(min(lease.Committee, r.Len()))
	d.rates.holder.Want(now, d.wantedShards(r))
	return d.rates.holder.Tick(now, rand.Int64N)
}

// wantedShards returns the shards for which this instance is the first live member by rank.
func (d *Daemon) wantedShards(r roster.Roster) []lease.Shard {
	if d.draining.Load() {
		return nil
	}
	var wanted []lease.Shard
	for s := range lease.Shard(shards) {
		for _, m := range homesOf(r, s) {
			if m.Name == d.settings.Name {
				wanted = append(wanted, s)
				break
			}
			if d.liveness.alive(m.Name) {
				break
			}
		}
	}
	return wanted
}

// sendRound asks the committees of a ballot's shards, with one call for each voter.
func (d *Daemon) sendRound(ctx context.Context, r roster.Roster, round lease.Round) {
	ballots := map[string][]lease.Shard{}
	for _, s := range round.Ballot.Shards {
		for _, m := range r.Committee(int(s), lease.Committee) {
			ballots[m.Name] = append(ballots[m.Name], s)
		}
	}
	for voter, asked := range ballots {
		ballot := round.Ballot
		ballot.Roster, ballot.Shards = r.Version(), asked
		d.spawn(func() { d.sendBallot(ctx, voter, round.Number, ballot) })
	}
}

func (d *Daemon) sendBallot(ctx context.Context, voter string, number uint64, b lease.Ballot) {
	var granted []lease.Shard
	if voter == d.settings.Name {
		granted = d.vote(b)
	} else {
		ctx, cancel := context.WithTimeout(ctx, voteTimeout)
		defer cancel()
		answer, err := d.client.Vote(ctx, d.addressOf(voter), wireBallot(b))
		if err != nil {
			return
		}
		granted = shardsOf(answer)
	}
	if b.Release {
		return
	}
	d.rates.mu.Lock()
	defer d.rates.mu.Unlock()
	d.rates.holder.Granted(d.clock.Now(), number, voter, granted)
}

// vote answers a ballot. An instance that is not fresh may hold an old roster and does not vote.
func (d *Daemon) vote(b lease.Ballot) []lease.Shard {
	now := d.clock.Now()
	view := d.fleet.view()
	if !d.fleet.Fresh(now) || view.roster.Version() != b.Roster {
		return nil
	}
	d.rates.mu.Lock()
	defer d.rates.mu.Unlock()
	d.rates.voter.Join(now, view.roster.Version(), d.committees(view.roster))
	return d.rates.voter.Vote(now, b)
}

// committees returns the shards whose committees this instance is in. They change with the roster only.
func (d *Daemon) committees(r roster.Roster) []lease.Shard {
	if d.committeeVersion == r.Version() {
		return d.committeeShards
	}
	var member []lease.Shard
	for s := range lease.Shard(shards) {
		voters := r.Committee(int(s), lease.Committee)
		if slices.ContainsFunc(voters, func(m roster.Member) bool { return m.Name == d.settings.Name }) {
			member = append(member, s)
		}
	}
	d.committeeVersion, d.committeeShards = r.Version(), member
	return member
}

func wireBallot(b lease.Ballot) peer.Ballot {
	wire := peer.Ballot{
		Candidate: b.Candidate, Incarnation: b.Incarnation, RosterVersion: b.Roster, Release: b.Release,
	}
	for _, s := range b.Shards {
		wire.Shards = append(wire.Shards, int(s))
	}
	return wire
}

func shardsOf(numbers []int) []lease.Shard {
	list := make([]lease.Shard, 0, len(numbers))
	for _, n := range numbers {
		list = append(list, lease.Shard(n))
	}
	return list
}

// grant takes tokens of an organisation if this instance is its home.
func (d *Daemon) grant(organisation string, wanted int) allotment.Grant {
	now := d.clock.Now()
	d.rates.mu.Lock()
	since, held := d.rates.holder.Held(now, shardOf(organisation))
	d.rates.mu.Unlock()
	if !held || !d.fleet.Fresh(now) {
		return allotment.Grant{NotHome: true}
	}
	g := d.rates.homes.Grant(now, since, organisation, d.rateOf(organisation), wanted)
	// The lease is checked again, because the process may have been paused before the tokens were taken.
	d.rates.mu.Lock()
	_, held = d.rates.holder.Held(d.clock.Now(), shardOf(organisation))
	d.rates.mu.Unlock()
	if !held {
		return allotment.Grant{NotHome: true}
	}
	return g
}

// rateOf returns the rate and burst in force for an organisation.
func (d *Daemon) rateOf(organisation string) allotment.Settings {
	v := d.valuesOf(organisation)
	return allotment.Settings{Rate: float64(v.RatePerSecond), Burst: float64(v.Burst)}
}

// Take implements allotment.Taker: it asks the home of an organisation, then its successor.
func (d *Daemon) Take(ctx context.Context, organisation string, wanted, unused int) (allotment.Grant, error) {
	asked := 0
	for _, m := range homesOf(d.fleet.view().roster, shardOf(organisation)) {
		if m.Name != d.settings.Name && !d.liveness.alive(m.Name) {
			continue
		}
		if asked++; asked > homesAsked {
			break
		}
		if g, err := d.takeFrom(ctx, m, organisation, wanted, unused); err == nil && !g.NotHome {
			return g, nil
		}
	}
	return allotment.Grant{NotHome: true}, errNoHome
}

func (d *Daemon) takeFrom(
	ctx context.Context, m roster.Member, organisation string, wanted, unused int,
) (allotment.Grant, error) {
	if m.Name == d.settings.Name {
		return d.grant(organisation, wanted), nil
	}
	take := peer.Take{Organisation: organisation, Wanted: wanted, Unused: unused}
	grants, err := d.client.Take(ctx, m.Address, d.settings.Name, []peer.Take{take})
	if err != nil || len(grants) != 1 {
		return allotment.Grant{NotHome: true}, err
	}
	g := grants[0]
	return allotment.Grant{Granted: g.Granted, NotHome: g.NotHome, RetryAfter: g.RetryAfter}, nil
}
