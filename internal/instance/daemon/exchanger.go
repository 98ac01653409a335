package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"tanagercross/internal/fleet/document"
	"tanagercross/internal/fleet/exchange"
	"tanagercross/internal/service/store"
)

// Times of the fleet loops.
const (
	exchangeTimeout = 1500 * time.Millisecond // two round trips between regions and a pause of the peer
	pollTick        = 100 * time.Millisecond
	pollTimeout     = 2 * time.Second
	groupListPeriod = time.Second
	// A member that does not answer is asked again each suspectPeriod, suspectsPerPeriod of them with each exchange.
	suspectPeriod     = time.Second
	suspectsPerPeriod = 2
)

// runExchange exchanges state with peers until the context ends.
func (d *Daemon) runExchange(ctx context.Context) {
	for range d.ticks(ctx, exchange.Period) {
		var targets []string
		d.fleet.update(func(s *exchange.State, _ time.Time) { targets = s.Targets() })
		for _, peer := range append(targets, d.liveness.suspects(suspectsPerPeriod, d.clock.Now(), suspectPeriod)...) {
			d.spawn(func() { d.exchangeWith(ctx, peer) })
		}
	}
}

// exchangeWith exchanges state with one member, and once more if the member lacks documents.
func (d *Daemon) exchangeWith(ctx context.Context, peer string) {
	again, err := d.exchangeOnce(ctx, peer, func(s *exchange.State, now time.Time) exchange.Message {
		return s.Request(peer, now)
	}, nil)
	if err == nil && again {
		_, _ = d.exchangeOnce(ctx, peer, func(s *exchange.State, now time.Time) exchange.Message {
			return s.Request(peer, now)
		}, nil)
	}
}

// exchangeOnce sends one request and merges its answer. It reports whether the peer lacks documents.
func (d *Daemon) exchangeOnce(
	ctx context.Context, peer string,
	request func(*exchange.State, time.Time) exchange.Message, answered func(sent time.Time, m exchange.Message),
) (again bool, err error) {
	return d.exchangeAt(ctx, peer, "", request, answered)
}

// exchangeAt is exchangeOnce with an address for a member that the held roster does not list.
func (d *Daemon) exchangeAt(
	ctx context.Context, peer, address string,
	request func(*exchange.State, time.Time) exchange.Message, answered func(sent time.Time, m exchange.Message),
) (again bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	if listed := d.addressOf(peer); listed != "" {
		address = listed
	}
	if address == "" {
		return false, errNoAddress
	}
	var message exchange.Message
	var sent time.Time
	d.fleet.update(func(s *exchange.State, now time.Time) { message, sent = request(s, now), now })
	answer, err := d.client.Exchange(ctx, address, message)
	d.liveness.record(peer, err == nil, d.clock.Now())
	if err != nil {
		return false, err
	}
	d.fleet.update(func(s *exchange.State, now time.Time) { again = s.Answered(sent, peer, answer, now) })
	if answered != nil {
		answered(sent, answer)
	}
	return again, nil
}

// broadcast exchanges at once with all members of a small fleet, or with some of a large one.
func (d *Daemon) broadcast(ctx context.Context) {
	members := slices.Clone(d.fleet.view().roster.Members())
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for _, m := range members[:min(len(members), broadcastPeers)] {
		if m.Name != d.settings.Name {
			d.spawn(func() { d.exchangeWith(ctx, m.Name) })
		}
	}
}

// runPoll reads the store when it is this instance's turn.
func (d *Daemon) runPoll(ctx context.Context) {
	var listed time.Time
	for range d.ticks(ctx, pollTick) {
		due := false
		d.fleet.update(func(s *exchange.State, now time.Time) {
			if due = s.PollDue(now); due {
				s.Polling(now)
			}
		})
		if !due {
			continue
		}
		err := d.poll(ctx)
		if err != nil {
			d.fleet.update(func(s *exchange.State, _ time.Time) { s.PollFailed() })
			d.log.Debug("poll of the store failed", "error", err.Error())
			continue
		}
		if now := d.clock.Now(); now.Sub(listed) >= groupListPeriod {
			listed = now
			d.refreshGroups(ctx)
			d.ensureConfiguration(ctx)
			d.fillHistory(ctx)
		}
	}
}

// poll reads the versions of the documents, then the documents that are newer than those held.
func (d *Daemon) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	before := d.clock.Now()
	names := document.Names()
	keys := make([]string, 0, len(names))
	for _, n := range names {
		keys = append(keys, document.VersionKey(n))
	}
	rows, err := d.store.Read(ctx, keys...)
	if err != nil {
		return err
	}
	versions := make([]document.Version, 0, len(rows))
	for i, row := range rows {
		versions = append(versions, document.Version{Name: names[i], Version: row.Version})
	}
	var outdated []string
	d.fleet.update(func(s *exchange.State, _ time.Time) { outdated = s.Outdated(versions) })
	if err := d.fetch(ctx, outdated); err != nil {
		return err
	}
	d.fleet.update(func(s *exchange.State, _ time.Time) { s.Polled(before, versions) })
	d.polled.Store(true)
	return nil
}

// fetch reads documents from the store and merges them.
func (d *Daemon) fetch(ctx context.Context, names []string) error {
	if len(names) == 0 {
		return nil
	}
	keys := make([]string, 0, len(names))
	for _, n := range names {
		keys = append(keys, document.Key(n))
	}
	rows, err := d.store.Read(ctx, keys...)
	if err != nil {
		return err
	}
	for i, row := range rows {
		if err := d.mergeRow(names[i], row); err != nil {
			return err
		}
	}
	return nil
}

func (d *Daemon) mergeRow(name string, row store.Row) error {
	doc, err := document.FromRow(name, row)
	if err != nil {
		return err
	}
	d.fleet.update(func(s *exchange.State, now time.Time) { s.MergeDocument(doc, now) })
	return nil
}
