package connplan

import "time"

const (
	// lessUrgentShare is the part of the openings that less urgent calls get while urgent ones use all others, as a divisor.
	lessUrgentShare = 20
	// PromiseLimit bounds the time for which an opening is kept for a less urgent call that has been woken for it. It may
	// have to wait for a slot, or be refused.
	PromiseLimit = 100 * time.Millisecond
)

// share counts the urgent openings while a less urgent call waits for one.
type share struct {
	denied        bool // a less urgent call waits since the last opening of one
	urgent        int  // openings since then
	promisedUntil time.Duration
}

// opened counts an opening of a call.
func (s *share) opened(r Request) {
	switch {
	case !r.Urgent():
		*s = share{}
	case s.denied:
		s.urgent++
	}
}

// OwesLessUrgent reports whether the next opening is due to a less urgent call that waits for one, and none is promised.
func (p *Plan) OwesLessUrgent(now time.Duration, limit int) bool {
	return p.share.denied && p.share.urgent >= lessUrgentShare-1 && now >= p.share.promisedUntil &&
		p.busyLess < limit-p.reserved(limit)
}

// Promise keeps an opening for a less urgent call for at most PromiseLimit. The caller wakes one that waits.
func (p *Plan) Promise(now time.Duration) { p.share.promisedUntil = now + PromiseLimit }
