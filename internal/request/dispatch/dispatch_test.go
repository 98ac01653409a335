package dispatch_test

import (
	"testing"
	"time"

	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/request/dispatch"
)

// Guards against reads that go far although a server is near, that stay with a server which is leaving, behind or full
// while another one is not, or that are sent to one twice.
func TestCandidate(t *testing.T) {
	servers := []catalog.Server{
		{ID: "a", Place: "agreste"}, {ID: "b", Place: "sertao"}, {ID: "c", Place: "litoral"}, {ID: "d", Place: "sertao", Leaving: true},
	}
	slow := func(ms int) dispatch.LoadReport {
		return dispatch.LoadReport{Latency: time.Duration(ms) * time.Millisecond}
	}
	behind, busy := dispatch.LoadReport{Behind: true}, dispatch.LoadReport{Busy: true}
	for _, c := range []struct {
		place, leader string
		tried         []string
		seen          map[string]dispatch.LoadReport
		want          string
	}{
		{"sertao", "a", nil, nil, "b"},
		{"agreste", "a", nil, nil, "a"},
		{"sertao", "a", []string{"b"}, nil, "a"},
		{"sertao", "a", []string{"b", "a"}, nil, "c"},
		{"sertao", "d", []string{"b"}, nil, "d"},
		{"elsewhere", "c", nil, nil, "c"},
		{"sertao", "a", []string{"a", "b", "c"}, nil, ""},
		{"sertao", "a", nil, map[string]dispatch.LoadReport{"b": behind}, "a"},
		{"sertao", "a", nil, map[string]dispatch.LoadReport{"b": behind, "a": slow(90)}, "c"},
		{"sertao", "a", nil, map[string]dispatch.LoadReport{"b": busy}, "a"},
		{"sertao", "a", nil, map[string]dispatch.LoadReport{"b": slow(40), "a": slow(45)}, "b"},
		{"sertao", "a", nil, map[string]dispatch.LoadReport{"b": slow(200), "a": slow(80), "c": slow(48)}, "c"},
		{"sertao", "a", nil, map[string]dispatch.LoadReport{"a": behind, "b": behind, "c": behind}, "b"},
	} {
		got, ok := dispatch.Candidate(servers, c.leader, c.place, c.tried, func(id string) dispatch.LoadReport { return c.seen[id] })
		if got.ID != c.want || ok != (c.want != "") {
			t.Errorf("%+v: %q %t", c, got.ID, ok)
		}
	}
}
