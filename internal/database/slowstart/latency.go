package slowstart

import (
	"sync"
	"time"
)

// Kind is a kind of work whose latencies are comparable.
type Kind uint8

// Kinds of work.
const (
	Read Kind = iota
	Write
	Commit
	Opening // of a connection
	kinds
)

// latencyWeight is the weight of a new latency in the moving average.
const latencyWeight = 0.05

// Latencies holds the mean latencies of the servers of one group, by kind of work. Servers in a slow start are not recorded,
// so that theirs are those from before it. The zero value is empty. It is safe for concurrent use.
type Latencies struct {
	mu      sync.Mutex
	servers map[string]*[kinds]time.Duration
}

// Record adds a latency of a server.
func (l *Latencies) Record(server string, k Kind, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	means := l.servers[server]
	if means == nil {
		if l.servers == nil {
			l.servers = map[string]*[kinds]time.Duration{}
		}
		means = &[kinds]time.Duration{}
		l.servers[server] = means
	}
	if means[k] == 0 {
		means[k] = took
	}
	means[k] += time.Duration(latencyWeight * float64(took-means[k]))
}

// Usual returns the usual latency for a server: the mean of the other servers of its group, or its own from before the slow
// start if no other is known. It is 0 if none is known.
func (l *Latencies) Usual(server string, k Kind) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	var sum time.Duration
	others := 0
	for id, means := range l.servers {
		if id != server && means[k] > 0 {
			sum += means[k]
			others++
		}
	}
	if others > 0 {
		return sum / time.Duration(others)
	}
	if own := l.servers[server]; own != nil {
		return own[k]
	}
	return 0
}
