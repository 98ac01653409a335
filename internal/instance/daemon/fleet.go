package daemon

import (
	"sync"
	"sync/atomic"
	"time"

	"tanagercross/internal/fleet/configuration"
	"tanagercross/internal/fleet/document"
	"tanagercross/internal/fleet/exchange"
	"tanagercross/internal/fleet/roster"
	"tanagercross/internal/organisation/key"
	"tanagercross/internal/service/store"
)

// snapshot is what requests and loops read of the fleet's state without a lock. It is immutable.
type snapshot struct {
	deadline time.Time // the instance is fresh before this moment
	roster   roster.Roster
	ranking  *ranking
	members  []exchange.MemberState
	// rosterChange and membersChange say whether roster and members differ from those of another snapshot.
	rosterChange, membersChange uint64

	configuration        configuration.Document
	configurationVersion uint64
	keys                 key.Table
	keysVersion          uint64
	organisations        []string // that have had a key, sorted
	groups               []store.Group
	groupOf              map[string]string // by server
	groupsVersion        uint64

	values      configuration.Resolved // in force
	valuesUntil time.Time              // when the next exception ends; zero if none does
	holders     laneHolders
}

// fleet guards the exchange state and publishes snapshots of it.
type fleet struct {
	mu        sync.Mutex
	state     *exchange.State
	now       func() time.Time
	self      string // name of this instance
	place     string
	published atomic.Pointer[snapshot]
	// onChange is called with the lock held after each change of a document.
	onChange func(before, after *snapshot)
	onFault  func(err error)
}

func newFleet(p exchange.Params, place string, now func() time.Time) *fleet {
	f := &fleet{
		state: exchange.New(p, now()), now: now, self: p.Self, place: place,
		onChange: func(_, _ *snapshot) {}, onFault: func(error) {},
	}
	f.published.Store(&snapshot{values: configuration.Document{}.Resolve(), ranking: newRanking(roster.Roster{})})
	return f
}

// view returns the last snapshot.
func (f *fleet) view() *snapshot { return f.published.Load() }

// update changes the state and publishes the result.
func (f *fleet) update(change func(s *exchange.State, now time.Time)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	change(f.state, now)
	f.publish(now)
}

// read looks at the state without changing it.
func (f *fleet) read(look func(s *exchange.State)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	look(f.state)
}

func (f *fleet) publish(now time.Time) {
	before := f.published.Load()
	after := *before
	after.deadline = f.state.Deadline(now)
	if after.rosterChange = f.state.RosterChange(); after.rosterChange != before.rosterChange {
		after.roster = f.state.Roster()
		after.ranking = newRanking(after.roster)
	}
	if after.membersChange = f.state.MembersChange(); after.membersChange != before.membersChange {
		after.members = f.state.Members()
	}
	changed := f.decode(&after)
	after.derive(before, f.self, f.place, now)
	f.published.Store(&after)
	if changed || after.roster.Version() != before.roster.Version() {
		f.onChange(before, &after)
	}
}

// decode reads the documents whose versions changed. A document that cannot be read leaves the last one in use; the
// fault is reported.
func (f *fleet) decode(s *snapshot) bool {
	changed := false
	take := func(name string, held *uint64, read func(content []byte) error) {
		d := f.state.Documents().Get(name)
		if d.Version <= *held {
			return
		}
		if err := read(d.Content); err != nil {
			f.onFault(err)
			return
		}
		*held, changed = d.Version, true
	}
	take(document.Configuration, &s.configurationVersion, func(content []byte) (err error) {
		s.configuration, err = configuration.Parse(content)
		return err
	})
	take(document.Keys, &s.keysVersion, func(content []byte) (err error) {
		s.keys, err = key.ParseTable(content)
		s.organisations = organisationsOf(s.keys)
		return err
	})
	take(document.Groups, &s.groupsVersion, func(content []byte) (err error) {
		if s.groups, err = decodeGroups(content); err == nil {
			s.groupOf = groupsOf(s.groups)
			f.retainGroups(s.groups)
		}
		return err
	})
	return changed
}

// retainGroups drops what is known of groups that are not listed, which would otherwise be sent to peers for ever.
func (f *fleet) retainGroups(groups []store.Group) {
	listed := make(map[string]bool, len(groups))
	for _, g := range groups {
		listed[g.Name] = true
	}
	f.state.RetainGroups(func(name string) bool { return listed[name] })
}

func groupsOf(groups []store.Group) map[string]string {
	of := map[string]string{}
	for _, g := range groups {
		for _, s := range g.Servers {
			of[s.Name] = g.Name
		}
	}
	return of
}

// Fresh implements execution.Freshness.
func (f *fleet) Fresh(now time.Time) bool { return now.Before(f.view().deadline) }

// document returns the newest version held of a document.
func (f *fleet) document(name string) document.Document {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Documents().Get(name)
}
