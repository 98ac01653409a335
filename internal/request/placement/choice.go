package placement

import (
	"slices"
	"time"

	"tanagercross/internal/fleet/catalog"
)

// usualServers is the number of servers up to which a choice allocates nothing. Groups have three servers.
const usualServers = 16

// Question describes a call for which a server is to be chosen.
type Question struct {
	Servers  []catalog.Server // that may run the call
	Leader   string           // id of the server that leads the group, "" if none is known
	Place    string           // of this instance
	Tried    []string         // ids of servers that are not to be chosen again
	Priority uint8
}

// option is a server that may be chosen.
type option struct {
	server   catalog.Server
	expected Expectation
	total    time.Duration
	noise    time.Duration
	weight   float64
}

// Choose returns a server for a call that any of the servers may run, or false if all were tried. A server that is
// leaving is used only if it leads. Random returns numbers from 0 up to, but not including, 1.
func (e *Estimates) Choose(now time.Duration, q Question, random func() float64) (catalog.Server, bool) {
	var room [usualServers]option
	options := e.options(room[:0], now, q)
	if len(options) == 0 {
		return catalog.Server{}, false
	}
	weigh(options)
	first := draw(options, -1, random())
	second := draw(options, first, random())
	if second < 0 {
		return options[first].server, true
	}
	return options[better(options, first, second, random())].server, true
}

// options returns the servers that may be chosen, with their expected times.
func (e *Estimates) options(list []option, now time.Duration, q Question) []option {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range q.Servers {
		if slices.Contains(q.Tried, s.ID) || s.Leaving && s.ID != q.Leader {
			continue
		}
		x := e.expected(now, s, q.Place, priorityIndex(q.Priority))
		if s.ID == q.Leader {
			x.Price = e.price(now, s.ID)
		}
		list = append(list, option{server: s, expected: x, total: x.Total()})
	}
	return list
}

// weigh sets the weights with which servers are drawn: the capacity, less the more the expected time exceeds the lowest
// one. A server whose excess is larger than the uncertainty gets none.
func weigh(options []option) {
	lowest, utilisation := options[0].total, 0.0
	for i := range options {
		lowest = min(lowest, options[i].total)
		utilisation = max(utilisation, options[i].expected.Utilisation)
	}
	usual := usualWork(options)
	for i := range options {
		o := &options[i]
		o.noise = o.expected.uncertainty(utilisation)
		excess := float64(o.total-lowest) / float64(o.noise)
		work := usual
		if o.expected.measured {
			work = o.expected.work
		}
		capacity := float64(max(1, o.server.Slots)) / float64(max(time.Microsecond, work))
		o.weight = capacity * max(0, 1-excess)
	}
}

// usualWork returns the mean work of a statement at the servers where it is known. It is assumed for the others.
func usualWork(options []option) time.Duration {
	var sum, count time.Duration
	for i := range options {
		if x := &options[i].expected; x.measured {
			sum, count = sum+x.work, count+1
		}
	}
	if count == 0 {
		return assumedService
	}
	return sum / count
}

// draw returns the index of a server drawn by weight, leaving one out, or -1 if no other has a weight.
func draw(options []option, without int, random float64) int {
	total := 0.0
	for i, o := range options {
		if i != without {
			total += o.weight
		}
	}
	chosen := -1
	rest := random * total
	for i, o := range options {
		if i == without || o.weight <= 0 {
			continue
		}
		chosen = i
		if rest -= o.weight; rest < 0 {
			break
		}
	}
	return chosen
}

// better returns the one of two drawn servers that is used. At equal expected times that is the first one, so that shares
// follow the weights. The lower expected time decides with a probability that grows to 1 at a difference as large as the
// uncertainty.
func better(options []option, first, second int, random float64) int {
	if options[first].total <= options[second].total {
		return first
	}
	noise := max(options[first].noise, options[second].noise)
	difference := float64(options[first].total-options[second].total) / float64(noise)
	if random < difference {
		return second
	}
	return first
}
