package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"tanagercross/internal/fleet/lease"
	"tanagercross/internal/fleet/peer"
	"tanagercross/internal/fleet/roster"
	"tanagercross/internal/organisation/allotment"
)

const (
	leaseTick   = 100 * time.Millisecond
	voteTimeout = 900 * time.Millisecond
	// homesAsked is how many members are asked for tokens: the first by rank and its successor.
	homesAsked = 2
	// takeTimeout leaves time to ask the successor within the time of one take.
	takeTimeout = 300 * time.Millisecond
	// homeCheck bounds a check of a home that others may have found silent. Two checks end before its votes do.
	homeCheck = 600 * time.Millisecond
)

var errNoHome = eris.New("no home of the organisation answered")

// rates is the home side and the voters of this instance.
type rates struct {
	mu     sync.Mutex
	holder *lease.Holder
	voter  *lease.Voter
	homes  allotment.Homes
	// handedOver ends all candidacies for good.
	handedOver bool
}

// runLeases keeps the leases of the shards whose home this instance should be.
func (d *Daemon) runLeases(ctx context.Context) {
	for range d.ticks(ctx, leaseTick) {
		view := d.fleet.view()
		if view.roster.Len() == 0 {
			continue
		}
		if d.draining.Load() {
			return // handOverHomes gives the leases back
		}
		for _, round := range d.leaseRounds(view, d.wantedShards(view), false) {
			d.sendRound(ctx, view, round)
		}
	}
}

// leaseRounds returns the ballots to send now. The last call is final: nothing is wanted any more.
func (d *Daemon) leaseRounds(v *snapshot, wanted []lease.Shard, last bool) []lease.Round {
	d.rates.mu.Lock()
	defer d.rates.mu.Unlock()
	if d.rates.handedOver {
		return nil
	}
	d.rates.handedOver = last
	now := d.clock.Now()
	d.rates.holder.SetVoters(min(lease.Committee, v.roster.Len()))
	d.rates.holder.Want(now, wanted)
	return d.rates.holder.Tick(now, rand.Int64N)
}

// handOverHomes gives all leases back and waits for the voters' answers, so that the successors are elected at once.
// It comes before the other members learn that the instance is leaving: a successor that asks while the votes are still
// given loses its round and waits up to 2.5 s.
func (d *Daemon) handOverHomes(ctx context.Context) {
	view := d.fleet.view()
	var sent sync.WaitGroup
	for _, round := range d.leaseRounds(view, nil, true) {
		for voter, ballot := range ballots(view, round) {
			sent.Go(func() { d.sendBallot(ctx, voter, round.Number, ballot) })
		}
	}
	sent.Wait()
}

// wantedShards returns the shards for which this instance is the first live member by rank.
func (d *Daemon) wantedShards(v *snapshot) []lease.Shard {
	self := func(name string) bool { return name == d.settings.Name || d.liveness.alive(name) }
	var wanted []lease.Shard
	for s := range lease.Shard(shards) {
		if first := v.ranking.home(s, 1, self); len(first) > 0 && first[0].Name == d.settings.Name {
			wanted = append(wanted, s)
		}
	}
	return wanted
}

// sendRound asks the committees of a ballot's shards, with one call for each voter.
func (d *Daemon) sendRound(ctx context.Context, v *snapshot, round lease.Round) {
	for voter, ballot := range ballots(v, round) {
		d.spawn(func() { d.sendBallot(ctx, voter, round.Number, ballot) })
	}
}

// ballots returns the part of a round for each voter.
func ballots(v *snapshot, round lease.Round) map[string]lease.Ballot {
	parts := map[string]lease.Ballot{}
	for _, s := range round.Ballot.Shards {
		for _, m := range v.ranking.committee(s) {
			part, ok := parts[m.Name]
			if !ok {
				part = round.Ballot
				part.Roster, part.Shards = v.roster.Version(), nil
			}
			part.Shards = append(part.Shards, s)
			parts[m.Name] = part
		}
	}
	return parts
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
	now := d.clock.Now()
	d.rates.holder.Granted(now, number, voter, granted)
	refused := slices.DeleteFunc(slices.Clone(b.Shards), func(s lease.Shard) bool { return slices.Contains(granted, s) })
	d.rates.holder.Refused(now, number, voter, refused, rand.Int64N)
}

// vote answers a ballot. An instance that is not fresh may hold an old roster and does not vote. Votes are given back
// at any time.
func (d *Daemon) vote(b lease.Ballot) []lease.Shard {
	view := d.fleet.view()
	if !b.Release && view.roster.Version() != b.Roster {
		return nil
	}
	committees := view.ranking.committees(d.settings.Name)
	d.rates.mu.Lock()
	defer d.rates.mu.Unlock()
	now := d.clock.Now()
	if !b.Release && !d.fleet.Fresh(now) {
		return nil
	}
	d.rates.voter.Join(now, view.roster.Version(), committees)
	return d.rates.voter.Vote(now, b)
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
	if !held {
		d.checkHome(shardOf(organisation))
	}
	if !held || !d.fleet.Fresh(now) {
		return allotment.Grant{NotHome: true}
	}
	g := d.rates.homes.Grant(now, since, organisation, d.rateOf(organisation), wanted)
	// Both are checked again, because the process may have been paused before the tokens were taken.
	d.rates.mu.Lock()
	now = d.clock.Now()
	_, held = d.rates.holder.Held(now, shardOf(organisation))
	d.rates.mu.Unlock()
	if !held || !d.fleet.Fresh(now) {
		return allotment.Grant{NotHome: true}
	}
	return g
}

// checkHome exchanges with the home of a shard. An instance that is asked for tokens in place of the home must find out
// soon whether the home is alive: in a large fleet its own exchange comes to each member only once in minutes.
func (d *Daemon) checkHome(s lease.Shard) {
	alive := func(name string) bool { return name == d.settings.Name || d.liveness.alive(name) }
	first := d.fleet.view().ranking.home(s, 1, alive)
	if len(first) == 0 || first[0].Name == d.settings.Name || !d.liveness.checkDue(first[0].Name, d.clock.Now(), homeCheck) {
		return
	}
	d.spawn(func() {
		ctx, cancel := context.WithTimeout(context.Background(), homeCheck)
		defer cancel()
		d.exchangeWith(ctx, first[0].Name)
	})
}

// rateOf returns the rate and burst in force for an organisation.
func (d *Daemon) rateOf(organisation string) allotment.Settings {
	v := d.valuesOf(organisation)
	return allotment.Settings{Rate: float64(v.RatePerSecond), Burst: float64(v.Burst)}
}

// Take implements allotment.Taker: it asks the home of an organisation, then its successor.
func (d *Daemon) Take(ctx context.Context, organisation string, wanted, unused int) (allotment.Grant, error) {
	asked := func(name string) bool { return name == d.settings.Name || d.liveness.alive(name) }
	for _, m := range d.fleet.view().ranking.home(shardOf(organisation), homesAsked, asked) {
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
	if ctx.Err() != nil {
		return allotment.Grant{NotHome: true}, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	grants, err := d.client.Take(ctx, m.Address, d.settings.Name, []peer.Take{take})
	d.liveness.record(m.Name, err == nil, d.clock.Now())
	if err != nil || len(grants) != 1 {
		return allotment.Grant{NotHome: true}, err
	}
	g := grants[0]
	return allotment.Grant{Granted: g.Granted, NotHome: g.NotHome, RetryAfter: g.RetryAfter}, nil
}
