package daemon

import (
	"slices"
	"time"

	"tanagercross/internal/fleet/configuration"
	"tanagercross/internal/fleet/exchange"
	"tanagercross/internal/fleet/roster"
	"tanagercross/internal/organisation/key"
)

// laneHolders holds, by server, the listed members other than this one that tell that they hold a lane of it. Those of
// this place come first.
type laneHolders map[string]placed

type placed struct{ near, far []roster.Member }

// derive computes what requests read of the parts of a snapshot, as far as these parts changed.
func (s *snapshot) derive(before *snapshot, self, place string, now time.Time) {
	if s.configurationVersion != before.configurationVersion || !s.valuesUntil.IsZero() && !now.Before(s.valuesUntil) {
		s.values, s.valuesUntil = valuesAt(s.configuration, now)
	}
	if s.roster.Version() != before.roster.Version() || !sameStates(s.members, before.members) {
		s.holders = holdersOf(s.roster, s.members, self, place)
	}
}

// valuesAt returns the values in force at a time, and when the next exception ends; zero if none does.
func valuesAt(d configuration.Document, now time.Time) (configuration.Resolved, time.Time) {
	var until time.Time
	for _, e := range d.Exceptions {
		if e.Until != nil && now.Before(*e.Until) && (until.IsZero() || e.Until.Before(until)) {
			until = *e.Until
		}
	}
	return d.At(now).Resolve(), until
}

func sameStates(a, b []exchange.MemberState) bool {
	return slices.EqualFunc(a, b, func(a, b exchange.MemberState) bool {
		return a.Member == b.Member && a.Incarnation == b.Incarnation && a.Sequence == b.Sequence
	})
}

func holdersOf(r roster.Roster, states []exchange.MemberState, self, place string) laneHolders {
	holders := laneHolders{}
	for _, state := range states {
		m, listed := r.Member(state.Member)
		if !listed || state.Member == self {
			continue
		}
		for _, l := range state.Lanes {
			p := holders[l.Server]
			if m.Place == place {
				p.near = withMember(p.near, m)
			} else {
				p.far = withMember(p.far, m)
			}
			holders[l.Server] = p
		}
	}
	return holders
}

// withMember adds a member that may hold several lanes of a server. The states are in the order of the names.
func withMember(list []roster.Member, m roster.Member) []roster.Member {
	if n := len(list); n > 0 && list[n-1].Name == m.Name {
		return list
	}
	return append(list, m)
}

func organisationsOf(t key.Table) []string {
	var names []string
	for _, e := range t.Entries() {
		names = append(names, e.Organisation)
	}
	slices.Sort(names)
	return slices.Compact(names)
}
