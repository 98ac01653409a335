package peer

import (
	"math"
	"strings"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/fleet/document"
	"tanagercross/internal/fleet/exchange"
	"tanagercross/internal/fleet/freshness"
	peerv1 "tanagercross/internal/genproto/peer/v1"
)

// proposalPrefix marks a document of a message that carries a proposed change, or in an answer its confirmation.
const proposalPrefix = "proposal/"

func encodeRequest(m exchange.Message, now time.Time) (*peerv1.ExchangeRequest, error) {
	documents, err := encodeDocuments(m)
	return &peerv1.ExchangeRequest{
		From: m.From, Documents: documents, Members: encodeMembers(m.Members), Groups: encodeGroups(m.Groups, now),
		Incarnation: m.Incarnation, MemberDigest: m.MemberDigest, GroupDigest: m.GroupDigest,
		Bucket: uint32(m.Bucket), MemberBucketDigest: m.MemberBucketDigest, GroupBucketDigest: m.GroupBucketDigest,
	}, err
}

func decodeRequest(r *peerv1.ExchangeRequest, now time.Time) (exchange.Message, error) {
	m := exchange.Message{
		From: r.From, Incarnation: r.Incarnation, MemberDigest: r.MemberDigest, GroupDigest: r.GroupDigest,
		Bucket: int(r.Bucket), MemberBucketDigest: r.MemberBucketDigest, GroupBucketDigest: r.GroupBucketDigest,
		Members: decodeMembers(r.Members), Groups: decodeGroups(r.Groups, now),
	}
	return m, decodeDocuments(&m, r.Documents, func(content []byte) error {
		c, err := document.DecodeChange(content)
		m.Proposals = append(m.Proposals, c)
		return err
	})
}

func encodeResponse(m exchange.Message, now time.Time) (*peerv1.ExchangeResponse, error) {
	documents, err := encodeDocuments(m)
	r := &peerv1.ExchangeResponse{
		Documents: documents, Members: encodeMembers(m.Members), Groups: encodeGroups(m.Groups, now),
		Incarnation: m.Incarnation, MemberDigest: m.MemberDigest, GroupDigest: m.GroupDigest,
		RosterVersion: m.RosterVersion, PackedAges: m.PackedAges,
	}
	for _, a := range m.Ages {
		r.Ages = append(r.Ages, &peerv1.Age{Member: a.Member, Milliseconds: milliseconds(a.Age)})
	}
	return r, err
}

func decodeResponse(r *peerv1.ExchangeResponse, sent time.Time) (exchange.Message, error) {
	m := exchange.Message{
		Incarnation: r.Incarnation, MemberDigest: r.MemberDigest, GroupDigest: r.GroupDigest,
		RosterVersion: r.RosterVersion, PackedAges: r.PackedAges,
		Members: decodeMembers(r.Members), Groups: decodeGroups(r.Groups, sent),
	}
	for _, a := range r.Ages {
		m.Ages = append(m.Ages, freshness.Age{Member: a.Member, Age: duration(a.Milliseconds)})
	}
	return m, decodeDocuments(&m, r.Documents, func(content []byte) error {
		c, err := document.DecodeConfirmation(content)
		m.Confirmations = append(m.Confirmations, c)
		return err
	})
}

// milliseconds rounds up, so that no age is too low.
func milliseconds(d time.Duration) uint32 {
	ms := (max(d, 0) + time.Millisecond - 1) / time.Millisecond
	return uint32(min(ms, math.MaxUint32))
}

func duration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

func encodeDocuments(m exchange.Message) ([]*peerv1.Document, error) {
	var list []*peerv1.Document
	for _, v := range m.Versions {
		list = append(list, &peerv1.Document{Name: v.Name, Version: v.Version})
	}
	for _, d := range m.Documents {
		content, err := d.Encode()
		if err != nil {
			return nil, err
		}
		for _, have := range list {
			if have.Name == d.Name {
				have.Content = content
			}
		}
	}
	for _, c := range m.Proposals {
		content, err := c.Encode()
		if err != nil {
			return nil, err
		}
		list = append(list, &peerv1.Document{Name: proposalPrefix + c.Name, Version: c.Base + 1, Content: content})
	}
	for _, c := range m.Confirmations {
		content, err := c.Encode()
		if err != nil {
			return nil, err
		}
		list = append(list, &peerv1.Document{Name: proposalPrefix + c.Name, Content: content})
	}
	return list, nil
}

func decodeDocuments(m *exchange.Message, list []*peerv1.Document, proposal func(content []byte) error) error {
	for _, d := range list {
		if strings.HasPrefix(d.Name, proposalPrefix) {
			if err := proposal(d.Content); err != nil {
				return err
			}
			continue
		}
		m.Versions = append(m.Versions, document.Version{Name: d.Name, Version: d.Version})
		if len(d.Content) == 0 {
			continue
		}
		full, err := document.Decode(d.Content)
		if err != nil {
			return err
		}
		m.Documents = append(m.Documents, full)
	}
	return nil
}

func encodeMembers(states []exchange.MemberState) []*peerv1.MemberState {
	var list []*peerv1.MemberState
	for _, s := range states {
		m := &peerv1.MemberState{Member: s.Member, Incarnation: s.Incarnation, Sequence: s.Sequence, Leaving: s.Leaving}
		for _, l := range s.Lanes {
			m.Lanes = append(m.Lanes, &peerv1.Lane{Server: l.Server, Lane: uint32(l.Lane)})
		}
		for _, e := range s.Evidence {
			m.Evidence = append(m.Evidence, &peerv1.Evidence{Group: e.Group, Term: e.Term})
		}
		list = append(list, m)
	}
	return list
}

func decodeMembers(list []*peerv1.MemberState) []exchange.MemberState {
	var states []exchange.MemberState
	for _, m := range list {
		s := exchange.MemberState{Member: m.Member, Incarnation: m.Incarnation, Sequence: m.Sequence, Leaving: m.Leaving}
		for _, l := range m.Lanes {
			s.Lanes = append(s.Lanes, exchange.Lane{Server: l.Server, Lane: int(l.Lane)})
		}
		for _, e := range m.Evidence {
			s.Evidence = append(s.Evidence, exchange.Evidence{Group: e.Group, Term: e.Term})
		}
		states = append(states, s)
	}
	return states
}

func encodeGroups(states []exchange.GroupState, now time.Time) []*peerv1.GroupState {
	var list []*peerv1.GroupState
	for _, s := range states {
		g := &peerv1.GroupState{Group: s.Group, Term: s.Term, Primary: s.Primary}
		for _, p := range s.Servers {
			g.Servers = append(g.Servers, &peerv1.ServerPosition{
				Server: p.Server, Term: p.Position.Term, Index: p.Position.Index,
				AgeMilliseconds: milliseconds(now.Sub(p.Observed)),
			})
		}
		list = append(list, g)
	}
	return list
}

func decodeGroups(list []*peerv1.GroupState, now time.Time) []exchange.GroupState {
	var states []exchange.GroupState
	for _, g := range list {
		s := exchange.GroupState{Group: g.Group, Term: g.Term, Primary: g.Primary}
		for _, p := range g.Servers {
			s.Servers = append(s.Servers, exchange.ServerPosition{
				Server: p.Server, Position: driver.Position{Term: p.Term, Index: p.Index},
				Observed: now.Add(-duration(p.AgeMilliseconds)),
			})
		}
		states = append(states, s)
	}
	return states
}
