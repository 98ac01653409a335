package dispatch

import (
	"slices"
	"sync"
	"time"

	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/catalog"
)

const (
	// nearLatency and farLatency stand for servers that were not used lately.
	nearLatency = 10 * time.Millisecond
	farLatency  = 50 * time.Millisecond
	// latencyShare is the part of a measured latency in the smoothed one.
	latencyWeight = 0.25
	// latencyFor is how long a smoothed latency counts after the last answer.
	latencyLifetime = time.Second
	// behindFor is how long a replica that lacked a position is passed over, and busyFor one that was full.
	behindLifetime = 800 * time.Millisecond
	busyLifetime   = 200 * time.Millisecond
	// Costs of a server that was behind or full; it is still used if no other one is left.
	behindPenalty = 10 * time.Second
	busyPenalty   = 300 * time.Millisecond
)

// LoadReport is what an instance has lately seen of a server.
type LoadReport struct {
	Latency time.Duration // smoothed; 0 if not known
	Behind  bool
	Busy    bool
}

// cost orders servers for a read.
func (s LoadReport) cost(near bool) time.Duration {
	c := s.Latency
	switch {
	case c > 0:
	case near:
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

// Candidate returns the server for a read that any server may serve: the one that is expected to answer first. Without
// other knowledge that is one in the own place. A server that is leaving is used only if it leads.
func Candidate(servers []catalog.Server, leader, place string, tried []string, sight func(server string) LoadReport) (catalog.Server, bool) {
	var best catalog.Server
	var least time.Duration
	found := false
	for _, s := range servers {
		if slices.Contains(tried, s.ID) || s.Leaving && s.ID != leader {
			continue
		}
		c := sight(s.ID).cost(s.Place == place)
		if !found || c < least || c == least && s.ID == leader {
			best, least, found = s, c, true
		}
	}
	return best, found
}

// loadReports keeps what was seen of servers. It is safe for concurrent use.
type loadReports struct {
	mu      sync.Mutex
	servers map[string]observation
}

type observation struct {
	latency     time.Duration
	lastAnswer  time.Duration
	behindUntil time.Duration // until then
	busyUntil   time.Duration
}

func (s *loadReports) report(now time.Duration, server string) LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.servers[server]
	sight := LoadReport{Behind: now < v.behindUntil, Busy: now < v.busyUntil}
	if now-v.lastAnswer < latencyLifetime {
		sight.Latency = v.latency
	}
	return sight
}

// note takes the end of an attempt.
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

// retain forgets servers that are gone.
func (s *loadReports) retain(servers catalog.Servers) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.servers {
		if _, ok := servers.Server(id); !ok {
			delete(s.servers, id)
		}
	}
}
