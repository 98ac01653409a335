package placement

import (
	"time"

	"tanagercross/internal/fleet/catalog"
)

const (
	// nearLatency and farLatency are assumed for servers in this place and in others that have no recent latency.
	nearLatency = 10 * time.Millisecond
	farLatency  = 50 * time.Millisecond
	// assumedService is the service time of a statement as long as no queue and no spread of durations shows another.
	assumedService = 5 * time.Millisecond
	// Penalties are added to the expected time of a server that is behind or busy. It is still used if no better one is
	// left.
	behindPenalty = 10 * time.Second
	busyPenalty   = 300 * time.Millisecond
	// leaderPrice is the price of a read at a leader whose slots are all taken and that has no queue. At a utilisation of
	// two thirds it exceeds the way to another region and back.
	leaderPrice = 100 * time.Millisecond
	// maxPrice bounds the price, so that a leader is still preferred to a replica that is behind.
	maxPrice = 5 * time.Second
	// noiseFloor is the difference of expected times that fluctuates at low load.
	noiseFloor = 15 * time.Millisecond
	// noisePerAge is the uncertainty of a wait at a full server for each unit of the report's age, or of the interval
	// between reports if that is longer. With less, all instances correct the same difference several times before a
	// report shows the effect, and the load moves from server to server.
	noisePerAge = 2
	// calmUtilisation is the utilisation below which no queue is expected, so that the age of a report adds no
	// uncertainty.
	calmUtilisation = 0.5
)

// Expectation is the expected time of a call at a server.
type Expectation struct {
	Transit     time.Duration // to the server and back
	Service     time.Duration
	Wait        time.Duration // in the queue, with the statements that were sent since the report
	Penalty     time.Duration // for a server that is behind or busy
	Price       time.Duration // of the leader's room, for calls that a replica may run
	Age         time.Duration // of the report
	Utilisation float64       // of the server's slots, 0 if there is no report
	Reported    bool          // the wait is that of a report
	interval    time.Duration // between reports
	// work is the time for which a statement occupies a slot; measured says that it is known.
	work     time.Duration
	measured bool
}

// Total returns the expected time including penalties and price.
func (x Expectation) Total() time.Duration {
	return x.Transit + x.Service + x.Wait + x.Penalty + x.Price
}

// Expected returns the expected time of a call of a priority at a server for an instance of a place, without a price.
func (e *Estimates) Expected(now time.Duration, s catalog.Server, place string, priority uint8) Expectation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.expected(now, s, place, priorityIndex(priority))
}

// expected is Expected for callers that hold the lock.
func (e *Estimates) expected(now time.Duration, s catalog.Server, place string, priority int) Expectation {
	r := e.servers[s.ID]
	if r == nil {
		r = &record{}
	}
	x := Expectation{Reported: r.hasReport(now)}
	x.Transit, x.Service = r.base(now, s.Place == place)
	x.work, x.measured = r.work(now, x)
	since := now - latencyLifetime
	if x.Reported {
		x.Age, x.interval, x.Utilisation, x.Wait = now-r.received, r.interval, r.utilisation, r.load.Wait[priority]
		// The report left the holder before the statements of the last half of the way arrived there.
		since = r.received - x.Transit
	}
	x.Wait += time.Duration(r.sentSince(since, priority)) * x.work / time.Duration(max(1, s.Slots))
	if now < r.behindUntil {
		x.Penalty += behindPenalty
	}
	if now < r.busyUntil {
		x.Penalty += busyPenalty
	}
	return x
}

// base returns the transit and the service time of a server.
func (r *record) base(now time.Duration, samePlace bool) (transit, service time.Duration) {
	if !r.hasLatency(now) {
		if samePlace {
			return nearLatency - assumedService, assumedService
		}
		return farLatency - assumedService, assumedService
	}
	lowest := r.lowest[0]
	if r.lowest[1] > 0 {
		lowest = min(lowest, r.lowest[1])
	}
	transit = min(r.latency, max(0, lowest-assumedService))
	return transit, r.latency - transit
}

// work returns the time for which a statement occupies a slot, and whether it is known from a queue or from durations.
func (r *record) work(now time.Duration, x Expectation) (work time.Duration, measured bool) {
	if r.perQueued > 0 && now-r.queuedAt < baseLifetime {
		return r.perQueued * time.Duration(max(1, r.load.Slots)), true
	}
	return x.Service, r.hasLatency(now)
}

// sentSince counts the statements of a priority or a higher one that were sent after a moment.
func (r *record) sentSince(moment time.Duration, priority int) int {
	count := 0
	for n := range sentCapacity {
		s := &r.sent[(r.next-1-n+sentCapacity)%sentCapacity]
		if !s.valid || s.at <= moment {
			break
		}
		if priorityIndex(s.priority) <= priority {
			count++
		}
	}
	return count
}

// price returns what a call that a replica may run pays for the room of a leader.
func (e *Estimates) price(now time.Duration, leader string) time.Duration {
	r := e.servers[leader]
	if r == nil || !r.hasReport(now) {
		return 0
	}
	u := r.utilisation
	return min(maxPrice, time.Duration(u*u*float64(leaderPrice))+r.load.Wait[0])
}

// uncertainty returns the difference of expected times that decides between a server and another one, given the highest
// utilisation among the servers. A server without a report is as uncertain as one with the oldest usable report. A penalty
// follows from an answer to this instance and is certain.
func (x Expectation) uncertainty(utilisation float64) time.Duration {
	if x.Penalty > 0 {
		return noiseFloor
	}
	age := max(x.Age, x.interval) + x.Transit/2
	if !x.Reported {
		age = reportLifetime
	}
	strain := min(1, max(0, (utilisation-calmUtilisation)/(1-calmUtilisation)))
	noise := noiseFloor + time.Duration(noisePerAge*strain*float64(age))
	if x.Price > 0 {
		// The price is a decision and not an estimate. It must move reads away also where reports are old.
		noise = min(noise, noiseFloor+x.Price/2)
	}
	return noise
}
