package exchange

import (
	"slices"
	"time"

	"tanagercross/internal/fleet/document"
	"tanagercross/internal/fleet/freshness"
)

// Request returns the message for a peer, with the documents that the peer is known to lack.
func (s *State) Request(peer string, now time.Time) Message {
	m := s.message()
	if known, ok := s.peerVersions[peer]; ok {
		m.Documents = s.documents.NewerThan(known)
	}
	s.bucket = (s.bucket + 1) % buckets
	m.Bucket = s.bucket
	m.MemberBucketDigest, m.GroupBucketDigest = s.members.buckets[s.bucket], s.groups.buckets[s.bucket]
	m.Members = s.memberStates(s.members.rumours(now))
	m.Groups = s.groupStates(s.groups.rumours(now))
	return m
}

// Propose returns a request that also carries a proposed change.
func (s *State) Propose(peer string, c document.Change, now time.Time) Message {
	m := s.Request(peer, now)
	m.Proposals = append(m.Proposals, c)
	return m
}

func (s *State) message() Message {
	return Message{
		From: s.params.Self, Incarnation: s.params.Incarnation, Versions: s.documents.Versions(),
		MemberDigest: s.members.digest, GroupDigest: s.groups.digest,
	}
}

// Answer merges a request and returns the answer to it.
func (s *State) Answer(request Message, now time.Time) Message {
	s.merge(request, now)
	s.peerVersions[request.From] = request.Versions
	m := s.message()
	m.Documents = s.documents.NewerThan(request.Versions)
	m.Members = s.memberStates(s.members.missing(request.MemberDigest, request.Bucket, request.MemberBucketDigest, now))
	m.Groups = s.groupStates(s.groups.missing(request.GroupDigest, request.Bucket, request.GroupBucketDigest, now))
	m.Groups = append(m.Groups, s.positions(m.Groups)...)
	s.addAges(&m, now)
	for _, c := range request.Proposals {
		m.Confirmations = append(m.Confirmations, s.documents.Confirm(c, s.params.Check))
	}
	return m
}

// Answered merges an answer to a request that was made at the moment sent. It reports whether the peer lacks
// documents, which the next request to it carries.
func (s *State) Answered(sent time.Time, peer string, answer Message, now time.Time) bool {
	s.merge(answer, now)
	s.peerVersions[peer] = answer.Versions
	// The ages stand for documents: they count only once all documents that the peer held are merged.
	if s.documents.Covers(answer.Versions) {
		s.ages.Merge(sent, s.unpackAges(answer))
		s.ages.Establish(s.roster)
	}
	return len(s.documents.NewerThan(answer.Versions)) > 0
}

func (s *State) merge(m Message, now time.Time) {
	for _, d := range m.Documents {
		s.MergeDocument(d, now)
	}
	for _, member := range m.Members {
		s.mergeMember(member, now)
	}
	for _, g := range m.Groups {
		s.MergeGroup(g, now)
	}
}

func (s *State) memberStates(names []string) []MemberState {
	states := make([]MemberState, 0, len(names))
	for _, n := range names {
		states = append(states, s.members.entries[n].value)
	}
	return states
}

func (s *State) groupStates(names []string) []GroupState {
	states := make([]GroupState, 0, len(names))
	for _, n := range names {
		states = append(states, s.groups.entries[n].value)
	}
	return states
}

// positions returns groups in turn that are not already in the message, up to a number of server positions. Requests
// carry none: positions flow with answers, as ages do.
func (s *State) positions(sent []GroupState) []GroupState {
	var states []GroupState
	count := 0
	for range s.groups.names {
		if count >= positionsPerSend {
			break
		}
		g := s.groups.entries[s.groups.turn(1)[0]].value
		if slices.ContainsFunc(sent, func(o GroupState) bool { return o.Group == g.Group }) {
			continue
		}
		count += max(1, len(g.Servers))
		states = append(states, g)
	}
	return states
}

// addAges adds the store's age and the ages of the witnesses. The latter are sent all the time: majority mode would
// otherwise start with an empty vector, and filling it takes longer than the store entry stays young.
func (s *State) addAges(m *Message, now time.Time) {
	if age, known := s.ages.Age(freshness.StoreName, now); known {
		m.Ages = []freshness.Age{{Member: freshness.StoreName, Age: age}}
	}
	m.RosterVersion = s.roster.Version()
	m.PackedAges = make([]byte, len(s.roster.Witnesses()))
	for i, member := range s.roster.Witnesses() {
		m.PackedAges[i] = ageUnknown
		if age, known := s.ages.Age(member.Name, now); known {
			m.PackedAges[i] = packAge(age)
		}
	}
}

func (s *State) unpackAges(m Message) []freshness.Age {
	ages := append(make([]freshness.Age, 0, len(m.Ages)+len(m.PackedAges)), m.Ages...)
	if m.RosterVersion != s.roster.Version() {
		return ages
	}
	for i, member := range s.roster.Witnesses() {
		if i < len(m.PackedAges) && m.PackedAges[i] != ageUnknown {
			age := time.Duration(m.PackedAges[i]) * ageUnit
			ages = append(ages, freshness.Age{Member: member.Name, Age: age})
		}
	}
	return ages
}
