package dispatch

import (
	"slices"
	"sync"
	"time"

	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/catalog"
)

const (
	// nearLatency and farLatency are assumed for servers in this place and in others that have no recent latency.
	nearLatency = 10 * time.Millisecond
	farLatency  = 50 * time.Millisecond
	// latencyWeight is the weight of a new latency in the moving average.
	latencyWeight = 0.25
	// latencyLifetime is how long an average latency is used after the last answer.
	latencyLifetime = time.Second
	// behindLifetime is how long a replica that lacked a required position counts as behind, and busyLifetime how long a
	// server counts as busy after it refused or did not answer a statement.
	behindLifetime = 800 * time.Millisecond
	busyLifetime   = 200 * time.Millisecond
	// Penalties are added to the expected latency of a server that is behind or busy. It is still used if no better one
	// is left.
	behindPenalty = 10 * time.Second
	busyPenalty   = 300 * time.Millisecond
)

// LoadReport is the recent state of a server as observed by this instance.
type LoadReport struct {
	Latency time.Duration // moving average; 0 if no recent one is known
	Behind  bool          // it lacked a required position
	Busy    bool          // it refused a statement for lack of capacity, or did not answer
}

// cost returns the expected latency of a read, including penalties. Reads go to the server with the lowest cost.
func (s LoadReport) cost(samePlace bool) time.Duration {
	c := s.Latency
	switch {
	case c > 0:
	case samePlace:
		c = nearLatency
	default:
		c = farLatency
	}
	if s.Behind {
		c += behindPenalty
	}
	if s.Busy {
		c += busyPenalty
	}
	return c
}

// Candidate returns the server with the lowest cost for a read that any server may run, or false if all were tried. At
// equal cost it prefers the leader. Without load reports a server in the given place is chosen. A server that is leaving
// is used only if it leads.
func Candidate(servers []catalog.Server, leader, place string, tried []string, loadReport func(server string) LoadReport) (catalog.Server, bool) {
	var best catalog.Server
	var lowest time.Duration
	found := false
	for _, s := range servers {
		if slices.Contains(tried, s.ID) || s.Leaving && s.ID != leader {
			continue
		}
		c := loadReport(s.ID).cost(s.Place == place)
		if !found || c < lowest || c == lowest && s.ID == leader {
			best, lowest, found = s, c, true
		}
	}
	return best, found
}

// loadReports holds the observations of all servers. The zero value is empty. It is safe for concurrent use.
type loadReports struct {
	mu      sync.Mutex
	servers map[string]observation
}

// observation is the state of one server from which its load report is made.
type observation struct {
	latency     time.Duration // moving average
	lastAnswer  time.Duration // when the server last ran a statement
	behindUntil time.Duration
	busyUntil   time.Duration
}

// report returns the load report of a server, which is zero if nothing recent is known.
func (s *loadReports) report(now time.Duration, server string) LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.servers[server]
	loadReport := LoadReport{Behind: now < v.behindUntil, Busy: now < v.busyUntil}
	if now-v.lastAnswer < latencyLifetime {
		loadReport.Latency = v.latency
	}
	return loadReport
}

// record updates the observation of a server with the answer and the duration of an attempt.
func (s *loadReports) record(now time.Duration, server string, a statement.Answer, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.servers == nil {
		s.servers = map[string]observation{}
	}
	v := s.servers[server]
	switch {
	case a.OK():
		if now-v.lastAnswer >= latencyLifetime {
			v.latency = took
		}
		v.latency += time.Duration(latencyWeight * float64(took-v.latency))
		v.lastAnswer, v.behindUntil = now, 0
	case a.Code == statement.Behind:
		v.behindUntil = now + behindLifetime
	case a.Code == statement.TooMany, a.Code == statement.Busy, a.Delivery == statement.Unanswered:
		v.busyUntil = now + busyLifetime
	}
	s.servers[server] = v
}

// retain drops the observations of servers that are not in the list.
func (s *loadReports) retain(servers catalog.Servers) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.servers {
		if _, ok := servers.Server(id); !ok {
			delete(s.servers, id)
		}
	}
}
