package peer

import (
	"time"

	peerv1 "tanagercross/internal/genproto/peer/v1"
)

func integers[T, F int | uint32](from []F) []T {
	to := make([]T, 0, len(from))
	for _, n := range from {
		to = append(to, T(n))
	}
	return to
}

func encodeBallot(b Ballot) *peerv1.VoteRequest {
	return &peerv1.VoteRequest{
		Candidate: b.Candidate, Incarnation: b.Incarnation, RosterVersion: b.RosterVersion,
		Shards: integers[uint32](b.Shards), Release: b.Release,
	}
}

func decodeBallot(r *peerv1.VoteRequest) Ballot {
	return Ballot{
		Candidate: r.Candidate, Incarnation: r.Incarnation, RosterVersion: r.RosterVersion,
		Shards: integers[int](r.Shards), Release: r.Release,
	}
}

func encodeTakes(from string, takes []Take) *peerv1.TakeRequest {
	r := &peerv1.TakeRequest{From: from}
	for _, t := range takes {
		r.Takes = append(r.Takes, &peerv1.Take{
			Organisation: t.Organisation, Wanted: uint32(max(t.Wanted, 0)), Unused: uint32(max(t.Unused, 0)),
		})
	}
	return r
}

func decodeTakes(r *peerv1.TakeRequest) []Take {
	takes := make([]Take, 0, len(r.Takes))
	for _, t := range r.Takes {
		takes = append(takes, Take{Organisation: t.Organisation, Wanted: int(t.Wanted), Unused: int(t.Unused)})
	}
	return takes
}

func encodeGrants(grants []Grant) *peerv1.TakeResponse {
	r := &peerv1.TakeResponse{}
	for _, g := range grants {
		r.Grants = append(r.Grants, &peerv1.Grant{
			Organisation: g.Organisation, Granted: uint32(max(g.Granted, 0)), NotHome: g.NotHome,
			RetryAfterMilliseconds: milliseconds(g.RetryAfter),
		})
	}
	return r
}

func decodeGrants(r *peerv1.TakeResponse) []Grant {
	grants := make([]Grant, 0, len(r.Grants))
	for _, g := range r.Grants {
		grants = append(grants, Grant{
			Organisation: g.Organisation, Granted: int(g.Granted), NotHome: g.NotHome,
			RetryAfter: time.Duration(g.RetryAfterMilliseconds) * time.Millisecond,
		})
	}
	return grants
}
