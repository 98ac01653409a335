// Package roster holds the members of the fleet and ranks them by rendezvous hashing.
//
// # Usage
//
//	r := roster.New(7, members)
//	for _, m := range r.Rank("meals-1-a/0", "agreste") {
//		...
//	}
//	watchers := r.Watchers("meals-1", 3)
//
// A Roster is immutable. Every member that holds the same version computes the same ranks. Leaving members are left
// out of Rank and Watchers, because they take no new work. They stay in Committee and Majority: these must not depend
// on a flag that members learn at different times, or two members could count different majorities.
package roster

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/rotisserie/eris"
)

// maximumWitnesses bounds the cost of freshness without the store. With the entries of all members, one member of a
// fleet of 4,000 would send 33 KB/s; the budget is 12 KB/s.
const maximumWitnesses = 255

// Member is an instance of the fleet. The name is kept over restarts.
type Member struct {
	Name    string `json:"name"`
	Address string `json:"address"` // host:port for other instances
	Place   string `json:"place"`
	Leaving bool   `json:"leaving,omitempty"`
	// Power is the processing power of the machine in cores; 0 if it is not known.
	Power float64 `json:"power,omitempty"`
}

// Roster is an immutable list of members, ordered by name. The zero value is an empty roster of version 0.
type Roster struct {
	version   uint64
	members   []Member
	witnesses []Member
	removal   bool
	rankings  *rankings // of members; nil in the zero value
}

// New returns a roster. Of members with the same name the first is kept.
func New(version uint64, members []Member) Roster {
	sorted := slices.Clone(members)
	slices.SortStableFunc(sorted, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	sorted = slices.CompactFunc(sorted, func(a, b Member) bool { return a.Name == b.Name })
	r := Roster{version: version, members: sorted, witnesses: sorted, rankings: newRankings(sorted)}
	if len(sorted) > maximumWitnesses {
		r.witnesses = r.rank("witness", everyone)[:maximumWitnesses]
		slices.SortFunc(r.witnesses, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	}
	return r
}

// Version returns the version of the roster document.
func (r Roster) Version() uint64 { return r.version }

// Len returns the number of members.
func (r Roster) Len() int { return len(r.members) }

// Members returns the members in name order. The caller must not change the slice.
func (r Roster) Members() []Member { return r.members }

// Index returns the place of a member in name order.
func (r Roster) Index(name string) (int, bool) {
	return slices.BinarySearchFunc(r.members, name, func(m Member, n string) int { return cmp.Compare(m.Name, n) })
}

// Member returns a member by name.
func (r Roster) Member(name string) (Member, bool) {
	i, ok := r.Index(name)
	if !ok {
		return Member{}, false
	}
	return r.members[i], true
}

// Majority returns the smallest number of members that is more than half.
func (r Roster) Majority() int { return len(r.members)/2 + 1 }

// Witnesses returns the members whose entries decide freshness without the store, in name order: all members of a roster
// of up to 255, otherwise 255 of them chosen by rendezvous hashing. The caller must not change the slice. Leaving flags
// that members announce are not set in it.
func (r Roster) Witnesses() []Member { return r.witnesses }

// Quorum returns how many witnesses must hold a document before it can be in force, and how many an instance must have
// known the age of to be fresh without the store. Any two quorums of rosters that differ by one member have a common witness:
// without choice a majority is enough; with 255 chosen witnesses one may be exchanged for another, which takes one more.
func (r Roster) Quorum() int {
	if len(r.witnesses) < len(r.members) {
		return len(r.witnesses)/2 + 2
	}
	return r.Majority()
}

// WithLeaving returns a roster of the same version in which the named members are leaving.
func (r Roster) WithLeaving(leaving func(name string) bool) Roster {
	members := slices.Clone(r.members)
	for i := range members {
		members[i].Leaving = members[i].Leaving || leaving(members[i].Name)
	}
	return Roster{version: r.version, members: members, witnesses: r.witnesses, removal: r.removal, rankings: newRankings(members)}
}

// WithRemoval returns the roster marked as one that lacks a member of the version before.
func (r Roster) WithRemoval() Roster {
	r.removal = true
	return r
}

// Removal reports whether the version before had a member that this one lacks. Such a member may hold the version before
// until the freshness bound has passed, and is not among the members of this one.
func (r Roster) Removal() bool { return r.removal }

// Watchers returns up to n members that are not leaving for a group, spread over the places as evenly as possible.
func (r Roster) Watchers(group string, n int) []Member {
	return r.spread("watch/"+group, staying, n)
}

// Committee returns up to n voters for a shard, spread over the places. Leaving members are included.
func (r Roster) Committee(shard, n int) []Member {
	return r.spread(fmt.Sprintf("shard/%d", shard), everyone, n)
}

// Pollers returns up to n members that poll the store, spread over the places.
func (r Roster) Pollers(n int) []Member { return r.spread("poll", staying, n) }

// First returns the first n members of Rank without a preferred place.
func (r Roster) First(key string, n int) []Member {
	one := func(Member) string { return "" }
	return membersOf(r.top(key, staying, one, n)[""])
}

// top returns for each class of members the first n that are kept, in rank order. Ordering all members instead would
// take most of the time in a fleet of 4,000.
func (r Roster) top(key string, keep func(Member) bool, class func(Member) string, n int) map[string][]ranked {
	tops := map[string][]ranked{}
	for _, m := range r.members {
		if !keep(m) {
			continue
		}
		s, c := score(key, m.Name), class(m)
		list := tops[c]
		if len(list) == n && (n == 0 || s <= list[n-1].score) {
			continue
		}
		// Members come in name order, so that one with an equal score goes behind.
		at := len(list)
		for at > 0 && list[at-1].score < s {
			at--
		}
		tops[c] = slices.Insert(list, at, ranked{member: m, score: s})[:min(n, len(list)+1)]
	}
	return tops
}

func membersOf(list []ranked) []Member {
	members := make([]Member, len(list))
	for i := range list {
		members[i] = list[i].member
	}
	return members
}

// spread spreads n members over the places.
func (r Roster) spread(key string, keep func(Member) bool, n int) []Member {
	var all []ranked
	for _, list := range r.top(key, keep, func(m Member) string { return m.Place }, n) {
		all = append(all, list...)
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.Name, b.member.Name))
	})
	return spread(membersOf(all), n)
}

// spread takes in each round the first member of every place, in rank order, until n are taken.
func spread(members []Member, n int) []Member {
	taken := make([]Member, 0, max(0, min(n, len(members))))
	rest := members
	for len(taken) < n && len(rest) > 0 {
		var left []Member
		round := map[string]bool{}
		for _, m := range rest {
			if round[m.Place] || len(taken) == n {
				left = append(left, m)
				continue
			}
			round[m.Place] = true
			taken = append(taken, m)
		}
		rest = left
	}
	return taken
}

type content struct {
	Members []Member `json:"members"`
	Removal bool     `json:"removal,omitempty"`
}

// Encode returns the content of the roster document.
func (r Roster) Encode() ([]byte, error) {
	data, err := json.Marshal(content{Members: r.members, Removal: r.removal})
	return data, eris.Wrap(err, "encode roster")
}

// Decode reads the content of a roster document of a version.
func Decode(version uint64, data []byte) (Roster, error) {
	var c content
	if err := json.Unmarshal(data, &c); err != nil {
		return Roster{}, eris.Wrap(err, "decode roster")
	}
	r := New(version, c.Members)
	r.removal = c.Removal
	return r, nil
}

// CheckChange returns an error if more than one member was added or removed. Majorities of rosters that differ by one
// member always have a common member; freshness in majority mode relies on this while a roster change spreads.
func CheckChange(before, after Roster) error {
	changed := 0
	for _, m := range before.members {
		if _, ok := after.Index(m.Name); !ok {
			changed++
		}
	}
	if changed > 0 && !after.removal {
		return eris.New("a roster that lacks a member of the version before is marked as a removal")
	}
	for _, m := range after.members {
		if _, ok := before.Index(m.Name); !ok {
			changed++
		}
	}
	if before.Len() > 0 && changed > 1 {
		return eris.Errorf("a roster change adds or removes at most one member, got %d", changed)
	}
	if after.Len() == 0 {
		return eris.New("a roster has at least one member")
	}
	return nil
}
