package connplan

import "time"

// Use is a connection in use by a call.
type Use struct {
	organisation string
	lessUrgent   bool
	since        time.Duration
}

// Take records that a call uses a connection from now on, and counts the call in the demand of its organisation.
func (p *Plan) Take(now time.Duration, r Request) Use {
	p.arrived(now, r)
	p.organisation(r.Organisation).busy++
	if !r.Urgent() {
		p.busyLess++
	}
	return Use{organisation: r.Organisation, lessUrgent: !r.Urgent(), since: now}
}

// Return records that a call no longer uses its connection.
func (p *Plan) Return(now time.Duration, u Use) {
	o := p.organisation(u.organisation)
	o.busy--
	if u.lessUrgent {
		p.busyLess--
	}
	o.use = average(o.use, now-u.since)
}

// Begin records that a connection is being opened for a call.
func (p *Plan) Begin(now time.Duration, r Request) Use {
	p.openings++
	p.share.opened(r)
	p.organisation(r.Organisation).opening++
	return p.Take(now, r)
}

// End records that an opening has ended. If it succeeded, the call uses the connection from now on; otherwise the use has
// ended.
func (p *Plan) End(now time.Duration, u Use, opened bool) Use {
	o := p.organisation(u.organisation)
	p.openings--
	o.opening--
	if !opened {
		o.busy--
		if u.lessUrgent {
			p.busyLess--
		}
		return Use{}
	}
	p.opening = average(p.opening, now-u.since)
	u.since = now
	return u
}

// Waiting records that a call begins (1) or ends (-1) to wait for a connection of its own organisation.
func (p *Plan) Waiting(r Request, change int) { p.organisation(r.Organisation).waiting += change }

// average returns an exponentially weighted average of durations, of which the first one counts in full.
func average(old, d time.Duration) time.Duration {
	if old == 0 {
		return max(1, d)
	}
	return old + time.Duration(durationWeight*float64(d-old))
}
