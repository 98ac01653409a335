// Package exchange decides what an instance sends to whom, and merges what it gets.
//
// # Usage
//
//	s := exchange.New(exchange.Params{Self: "i-01", Incarnation: 7, Seed: seed}, start)
//	for _, peer := range s.Targets() {          // every Period
//		request := s.Request(peer, now)
//		answer, err := client.Exchange(ctx, address, request)
//		if err == nil && s.Answered(now, peer, answer, time.Now()) {
//			...                                 // the peer lacks documents: exchange once more with it
//		}
//	}
//	answer := s.Answer(request, now)            // at the peer
//	if s.PollDue(now) { ... s.Polled(before, versions) }
//
// In the steady state a request carries the versions of the documents and two digests, and an answer also the ages of
// the store and the witnesses and a few server positions. Documents are sent to a peer whose versions are older. States of members and groups are sent for a short
// time after a change, and in turn while the digests differ. A State is not safe for concurrent use.
package exchange

import (
	"math/rand/v2"
	"slices"
	"time"

	"tanagercross/internal/fleet/document"
	"tanagercross/internal/fleet/freshness"
	"tanagercross/internal/fleet/roster"
)

// Times and counts of the exchange.
const (
	Period         = 250 * time.Millisecond
	PeersPerPeriod = 2
)

// Params are what a State needs.
type Params struct {
	Self        string
	Incarnation uint64 // must grow with each restart, for example the start time in milliseconds
	Seed        uint64
	Check       document.Check // examines proposals; nil accepts all
}

// State is the exchange state of one instance.
type State struct {
	params       Params
	documents    document.Set
	ages         *freshness.Vector
	roster       roster.Roster
	members      table[MemberState]
	groups       table[GroupState]
	random       *rand.Rand
	round        []string
	peerVersions map[string][]document.Version // versions that peers were last known to hold
	bucket       int                           // last bucket asked about
	poll         poll
	view         view
	listed       func(group string) bool // nil before the first group list
	merged       map[string]bool         // groups that were merged since the last MergedGroups
}

// New returns the state of an instance that starts at a moment.
func New(p Params, start time.Time) *State {
	s := &State{
		params: p, ages: freshness.New(p.Self, start),
		random: rand.New(rand.NewPCG(p.Seed, p.Incarnation)), peerVersions: map[string][]document.Version{},
		merged: map[string]bool{},
	}
	s.setOwn(MemberState{Member: p.Self, Incarnation: p.Incarnation, Sequence: 1}, start)
	return s
}

// Documents returns the documents held.
func (s *State) Documents() *document.Set { return &s.documents }

// view is what follows from a version of the roster and the members' states.
type view struct {
	version uint64
	digest  uint64
	roster  roster.Roster
	polls   bool   // whether this member polls the store all the time
	change  uint64 // grows with each change of the roster or of a leaving flag
}

// current returns the view of now. It is kept, because ranking all members at each tick takes more time than the rest
// of the exchange in large rosters.
func (s *State) current() view {
	if s.view.version == s.roster.Version() && s.view.digest == s.members.digest {
		return s.view
	}
	v := view{version: s.roster.Version(), digest: s.members.digest}
	leaving := func(name string) bool { return s.members.entries[name].value.Leaving }
	if s.view.version == v.version && s.view.version > 0 && !slices.ContainsFunc(s.view.roster.Members(), func(m roster.Member) bool {
		listed, _ := s.roster.Member(m.Name)
		return m.Leaving != (listed.Leaving || leaving(m.Name))
	}) {
		// Lanes and evidence change far more often than leaving flags, and ranking the members costs the most.
		s.view.digest = v.digest
		return s.view
	}
	v.change = s.view.change + 1
	v.roster = s.roster.WithLeaving(leaving)
	v.polls = slices.ContainsFunc(v.roster.Pollers(pollers), func(m roster.Member) bool {
		return m.Name == s.params.Self
	})
	s.view = v
	return v
}

// Roster returns the roster held, with the leaving flags that the members announced.
func (s *State) Roster() roster.Roster { return s.current().roster }

// RosterChange returns a number that grows when Roster returns another roster than before.
func (s *State) RosterChange() uint64 { return s.current().change }

// MembersChange returns a number that differs when Members returns other states than before.
func (s *State) MembersChange() uint64 { return s.members.changes }

// Deadline returns the moment from which the instance is no longer fresh; see freshness.Vector.
func (s *State) Deadline(now time.Time) time.Time { return s.ages.Deadline(s.roster, now) }

// Fresh reports whether the instance may admit requests.
func (s *State) Fresh(now time.Time) bool { return s.ages.Fresh(s.roster, now) }

// MergeDocument takes a document over if it is newer. A roster that cannot be read is not taken over.
func (s *State) MergeDocument(d document.Document, now time.Time) bool {
	if d.Name != document.Roster {
		return s.documents.Merge(d)
	}
	r, err := roster.Decode(d.Version, d.Content)
	if err != nil || !s.documents.Merge(d) {
		return false
	}
	_, before := s.roster.Index(s.params.Self)
	if _, after := r.Index(s.params.Self); after && !before && s.roster.Version() > 0 {
		s.ages.Join(now)
	}
	s.roster, s.round = r, nil
	s.ages.Retain(r)
	listed := func(name string) bool { _, ok := r.Index(name); return ok || name == s.params.Self }
	s.members.retain(listed)
	for name := range s.peerVersions {
		if !listed(name) {
			delete(s.peerVersions, name)
		}
	}
	return true
}

// SetOwn changes the instance's own small state. Member, Incarnation and Sequence are filled in.
func (s *State) SetOwn(m MemberState, now time.Time) {
	m.Member, m.Incarnation = s.params.Self, s.params.Incarnation
	m.Sequence = s.members.entries[s.params.Self].value.Sequence + 1
	s.setOwn(m, now)
}

func (s *State) setOwn(m MemberState, now time.Time) { s.members.set(m.Member, m, m.hash(), now) }

// Member returns the newest known state of a member.
func (s *State) Member(name string) (MemberState, bool) {
	e, ok := s.members.entries[name]
	return e.value, ok
}

// Members returns the newest known states in name order.
func (s *State) Members() []MemberState {
	states := make([]MemberState, 0, len(s.members.names))
	for _, n := range s.members.names {
		states = append(states, s.members.entries[n].value)
	}
	return states
}

func (s *State) mergeMember(m MemberState, now time.Time) {
	old, known := s.members.entries[m.Member]
	if m.Member == s.params.Self || known && !m.newerThan(old.value) {
		return
	}
	// A member that left the roster must not come back through peers with an older roster.
	if _, listed := s.roster.Index(m.Member); !listed && s.roster.Version() > 0 {
		return
	}
	s.members.set(m.Member, m, m.hash(), now)
}

// Reporters returns the members whose evidence names the primary of a group's term, in name order.
func (s *State) Reporters(group string, term uint64) []string {
	var names []string
	for _, m := range s.Members() {
		for _, e := range m.Evidence {
			if e.Group == group && e.Term == term {
				names = append(names, m.Member)
				break
			}
		}
	}
	return names
}

// MergeGroup merges what a probe, a reply or a peer reported about a group.
func (s *State) MergeGroup(g GroupState, now time.Time) {
	if s.listed != nil && !s.listed(g.Group) {
		return
	}
	merged := s.groups.entries[g.Group].value
	merged.Group = g.Group
	merged = merged.merge(g)
	s.groups.set(g.Group, merged, merged.hash(), now)
	s.merged[g.Group] = true
}

// RetainGroups drops the groups that the platform no longer lists, and keeps out what peers with an older list report of
// them.
func (s *State) RetainGroups(keep func(group string) bool) {
	s.listed = keep
	s.groups.retain(keep)
}

// Group returns the newest known state of a group.
func (s *State) Group(name string) (GroupState, bool) {
	e, ok := s.groups.entries[name]
	return e.value, ok
}

// MergedGroups returns the states of the groups that were merged since the last call.
func (s *State) MergedGroups() []GroupState {
	states := make([]GroupState, 0, len(s.merged))
	for name := range s.merged {
		if g, ok := s.Group(name); ok {
			states = append(states, g)
		}
	}
	clear(s.merged)
	return states
}

// Groups returns the states of all groups.
func (s *State) Groups() []GroupState { return s.groupStates(s.groups.names) }

// Targets returns the next peers to exchange with. Every other member comes up once in a shuffled round.
func (s *State) Targets() []string {
	var targets []string
	for len(targets) < PeersPerPeriod && s.roster.Len() > 1 {
		if len(s.round) == 0 {
			s.refill()
		}
		if len(s.round) == 0 || len(targets) > 0 && s.round[0] == targets[0] {
			break
		}
		targets = append(targets, s.round[0])
		s.round = s.round[1:]
	}
	return targets
}

func (s *State) refill() {
	for _, m := range s.roster.Members() {
		if m.Name != s.params.Self {
			s.round = append(s.round, m.Name)
		}
	}
	s.random.Shuffle(len(s.round), func(i, j int) { s.round[i], s.round[j] = s.round[j], s.round[i] })
}
