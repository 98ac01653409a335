// Package placement chooses the server for a statement by the time that it is expected to take there.
//
// # Usage
//
//	var estimates placement.Estimates
//	server, ok := estimates.Choose(now, placement.Question{Servers: servers, Leader: leader, Place: place}, rand.Float64)
//	estimates.Sent(now, server.ID, priority)
//	estimates.Answered(now, server.ID, placement.Attempt{Answer: answer, Took: took})
//
// The expected time at a server is the transit time, the service time and the expected wait for the priority, which the
// holder of the server reports with each answer. Statements that were sent since the report count as queued. A server
// that was behind or refused a statement gets a penalty. A read that a replica may serve also pays a price for the room of
// the leader, which grows with the leader's utilisation.
//
// Many instances may hold the same report. Choose therefore draws two servers with probabilities that follow capacity and
// expected time, and takes the better one with a probability that grows with the difference. A difference that is large
// against the uncertainty of the reports always decides.
//
// Without a recent report the latency of the last statements takes its place. The package does no I/O; time and randomness
// are parameters.
package placement

import (
	"sync"
	"time"

	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/catalog"
)

const (
	// reportLifetime is how long a report of the holder is used. After that a queue says nothing about the present.
	reportLifetime    = 2 * time.Second
	maxReportLifetime = 5 * time.Second // with a long wait
	// latencyLifetime is how long a latency without a report is used.
	latencyLifetime = time.Second
	// baseLifetime is how long transit and service time are used together with reports. They change less than waits.
	baseLifetime = 10 * time.Second
	// maxWait is the longest wait that is kept. No caller waits for as long.
	maxWait = time.Minute
	// maxUtilisation is the highest utilisation that is kept. The price of a leader reaches its bound long before.
	maxUtilisation = 100
	// maxSlots is the largest number of slots of a server's row, and maxQueued is above the length of any queue.
	maxSlots  = 1 << 16
	maxQueued = 1 << 20
	// transitWindow is the period over which the lowest duration counts as transit. Two of them are kept.
	transitWindow = 5 * time.Second
	// Weights of a new value in moving averages.
	latencyWeight     = 0.25
	utilisationWeight = 0.2
	intervalWeight    = 0.2
	// behindLifetime is how long a replica that lacked a required position counts as behind, and busyLifetime how long a
	// server counts as busy after it refused or did not answer a statement.
	behindLifetime = 800 * time.Millisecond
	busyLifetime   = 200 * time.Millisecond
	// sentCapacity is the number of statements that are remembered as sent since the report.
	sentCapacity = 64
)

// Estimates holds what an instance knows of the servers. The zero value is empty. It is safe for concurrent use.
type Estimates struct {
	mu      sync.Mutex
	servers map[string]*record
}

// record is what is known of one server.
type record struct {
	load        statement.Load
	received    time.Duration // receipt of the load
	reported    bool          // a load was received
	interval    time.Duration // moving average of the time between reports
	utilisation float64       // moving average of running and queued statements against slots
	perQueued   time.Duration // wait for each queued statement in the last report with a queue
	queuedAt    time.Duration // receipt of that report

	latency    time.Duration // moving average of durations without the reported wait
	lastAnswer time.Duration // when the server last ran a statement
	lowest     [2]time.Duration
	window     time.Duration // start of the window of lowest[0]

	behindUntil time.Duration
	busyUntil   time.Duration

	sent     [sentCapacity]sentStatement // ring, newest before next
	next     int
	lastSent time.Duration
	everSent bool
}

// sentStatement is a statement that was sent to a server.
type sentStatement struct {
	at       time.Duration
	priority uint8
	valid    bool
}

// Attempt is the end of a statement's attempt at a server.
type Attempt struct {
	Answer   statement.Answer
	Took     time.Duration
	LoadOnly bool // the duration says nothing about a read, as for writes and further statements of transactions
}

// priorityIndex returns the index of a priority in statement.Load.Wait.
func priorityIndex(priority uint8) int { return min(int(priority), statement.Priorities-1) }

// record returns the record of a server, which it creates at the first use. The caller holds the lock.
func (e *Estimates) record(server string) *record {
	r := e.servers[server]
	if r == nil {
		if e.servers == nil {
			e.servers = map[string]*record{}
		}
		r = &record{}
		e.servers[server] = r
	}
	return r
}

// Sent records that a statement is sent to a server.
func (e *Estimates) Sent(now time.Duration, server string, priority uint8) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.record(server)
	r.sent[r.next] = sentStatement{at: now, priority: priority, valid: true}
	r.next = (r.next + 1) % sentCapacity
	r.lastSent, r.everSent = now, true
}

// Answered records the answer of an attempt with the load that it carries.
func (e *Estimates) Answered(now time.Duration, server string, a Attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.record(server)
	if a.Answer.Load != nil {
		r.setLoad(now, *a.Answer.Load)
	}
	if !a.LoadOnly {
		r.setLatency(now, a)
	}
	code := a.Answer.Code
	unreachable := code == statement.WrongServer && a.Answer.Delivery == statement.NotSent
	switch {
	case a.Answer.OK():
		r.behindUntil = 0
	case code == statement.Behind:
		r.behindUntil = now + behindLifetime
	case code == statement.TooMany, code == statement.Busy, unreachable, a.Answer.Delivery == statement.Unanswered:
		r.busyUntil = now + busyLifetime
	}
}

// setLoad keeps a report. Its figures come from another instance, so that they are limited before they are summed.
func (r *record) setLoad(now time.Duration, l statement.Load) {
	for p, wait := range l.Wait {
		l.Wait[p] = min(max(0, wait), maxWait)
	}
	l.Running, l.Queued, l.Slots = max(0, l.Running), min(max(0, l.Queued), maxQueued), min(max(1, l.Slots), maxSlots)
	utilisation := min(maxUtilisation, (float64(l.Running)+float64(l.Queued))/float64(l.Slots))
	since := now - r.received
	switch {
	case !r.hasReport(now):
		r.utilisation, r.interval = utilisation, 0
	case r.interval == 0:
		r.interval = since
	default:
		r.interval += time.Duration(intervalWeight * float64(since-r.interval))
	}
	if wait := l.Wait[statement.Priorities-1]; l.Queued > 0 && wait > 0 {
		// A new statement also waits for the end of a running one.
		r.perQueued, r.queuedAt = wait/time.Duration(l.Queued+1), now
	}
	r.utilisation += utilisationWeight * (utilisation - r.utilisation)
	r.load, r.received, r.reported = l, now, true
}

// setLatency updates transit and service time. While there are reports, only answers count that report no wait: a report
// tells the wait of the next statement and not that of the one that was answered, which would count as service.
func (r *record) setLatency(now time.Duration, a Attempt) {
	if !a.Answer.OK() || r.hasReport(now) && (a.Answer.Load == nil || r.load.Wait[statement.Priorities-1] > 0) {
		return
	}
	if !r.hasLatency(now) {
		r.latency = a.Took
	}
	r.latency += time.Duration(latencyWeight * float64(a.Took-r.latency))
	r.lastAnswer = now
	if now-r.window >= transitWindow || r.lowest[0] == 0 {
		r.lowest[1], r.lowest[0], r.window = r.lowest[0], a.Took, now
	}
	r.lowest[0] = min(r.lowest[0], a.Took)
}

// hasLatency reports whether the latency is recent enough to be used. With reports the wait is known apart, so that the
// rest holds for longer.
func (r *record) hasLatency(now time.Duration) bool {
	lifetime := latencyLifetime
	if r.hasReport(now) {
		lifetime = baseLifetime
	}
	return r.lastAnswer > 0 && now-r.lastAnswer < lifetime
}

// hasReport reports whether the load is recent enough to be used. A queue lasts at least for the wait that was reported,
// and a server with a longer one gives no answer, and so no report, before that.
func (r *record) hasReport(now time.Duration) bool {
	return r.reported && now-r.received < max(reportLifetime, min(maxReportLifetime, r.load.Wait[statement.Priorities-1]))
}

// Retain drops what is known of servers that are not in the list.
func (e *Estimates) Retain(servers catalog.Servers) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id := range e.servers {
		if _, ok := servers.Server(id); !ok {
			delete(e.servers, id)
		}
	}
}

// Report is the newest report of a server as this instance knows it.
type Report struct {
	Server string
	Wait   time.Duration // expected wait for the priority that was asked for
	Age    time.Duration // time since the receipt
	Known  bool          // there is a report; without one the other fields are zero
	Idle   time.Duration // time since this instance last sent a statement to the server
}

// Report returns the newest report of a server, whatever its age.
func (e *Estimates) Report(now time.Duration, server string, priority uint8) Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.servers[server]
	if r == nil || !r.reported {
		return Report{Server: server}
	}
	report := Report{Server: server, Wait: r.load.Wait[priorityIndex(priority)], Age: now - r.received, Known: true, Idle: now - r.received}
	if r.everSent {
		report.Idle = now - r.lastSent
	}
	return report
}
