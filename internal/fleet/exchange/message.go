package exchange

import (
	"slices"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/fleet/document"
	"tanagercross/internal/fleet/freshness"
)

// Lane is a lane that a member holds.
type Lane struct {
	Server string
	Lane   int
}

// Evidence is a watcher's finding that the primary of a term does not answer or does not replicate.
type Evidence struct {
	Group string
	Term  uint64
}

// MemberState is the small state of a member, ordered by incarnation, then by sequence.
type MemberState struct {
	Member      string
	Incarnation uint64
	Sequence    uint64
	Leaving     bool
	Lanes       []Lane
	Evidence    []Evidence
}

func (m MemberState) newerThan(o MemberState) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	return m.Sequence > o.Sequence
}

// ServerPosition is a server's position as of Observed, the moment of the probe or reply that showed it. A position
// taken from a peer is a hint: the connection that serves a read checks the position again.
type ServerPosition struct {
	Server   string
	Position driver.Position
	Observed time.Time
}

// GroupState is the newest known term of a group with the positions of its servers.
type GroupState struct {
	Group   string
	Term    uint64
	Primary string
	Servers []ServerPosition
}

// Message is a request or an answer of the exchange.
type Message struct {
	From        string
	Incarnation uint64
	// Versions are the documents that the sender holds; Documents are those that the receiver lacks.
	Versions  []document.Version
	Documents []document.Document
	// Ages is set in answers only. PackedAges holds the witnesses' ages in name order, by the roster of RosterVersion.
	Ages          []freshness.Age
	RosterVersion uint64
	PackedAges    []byte

	MemberDigest uint64
	GroupDigest  uint64
	// Bucket is set in requests only: the bucket of both tables that the sender asks about, with its digests.
	Bucket             int
	MemberBucketDigest uint64
	GroupBucketDigest  uint64
	Members            []MemberState
	Groups             []GroupState

	Proposals     []document.Change
	Confirmations []document.Confirmation
}

// Units of packed ages.
const (
	ageUnit    = 16 * time.Millisecond
	ageUnknown = 255
)

func packAge(age time.Duration) byte {
	units := (age + ageUnit - 1) / ageUnit
	if units >= ageUnknown {
		return ageUnknown
	}
	return byte(units)
}

// merge returns the union of two states of a group: newest term, then the freshest position of each server.
func (g GroupState) merge(o GroupState) GroupState {
	if o.Term > g.Term || o.Term == g.Term && g.Primary == "" {
		g.Term, g.Primary = o.Term, o.Primary
	}
	servers := slices.Clone(g.Servers)
	for _, s := range o.Servers {
		i := slices.IndexFunc(servers, func(have ServerPosition) bool { return have.Server == s.Server })
		switch {
		case i < 0:
			servers = append(servers, s)
		case s.Observed.After(servers[i].Observed):
			servers[i] = s
		}
	}
	g.Servers = servers
	return g
}
