package serverpool

import (
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/statement"
)

// Limits of the pause before a replica that was behind is asked again.
const (
	minLagPause = 30 * time.Millisecond
	maxLagPause = 500 * time.Millisecond
)

// lag is what is known of a replica that lacked a position which a read required. Asking again before the replica has moved
// costs a slot of the server, and a connection: the same refusal twice cannot be told from its repetition.
type lag struct {
	known    bool
	position driver.Position // of the replica when it refused
	since    time.Duration   // first refusal at this position
	until    time.Duration   // end of the pause
}

// withAnswer returns what is known after a further answer of the replica. The pause grows with the time for which the
// replica has stood still.
func (l lag) withAnswer(now time.Duration, a statement.Answer) lag {
	if l.known && a.Position.Compare(l.position) > 0 {
		l = lag{}
	}
	if a.Code != statement.Behind {
		return l
	}
	if !l.known {
		l = lag{known: true, position: a.Position, since: now}
	}
	l.until = now + min(maxLagPause, max(minLagPause, (now-l.since)/2))
	return l
}

// lacks reports whether the replica is known to lack a position.
func (l lag) lacks(now time.Duration, p driver.Position) bool {
	return l.known && now < l.until && p.Compare(l.position) > 0
}

// refuseBehind returns the refusal of a call that requires a position which the replica is known to lack, and false for any
// other call.
func (p *Pool) refuseBehind(c statement.Call) (statement.Answer, bool) {
	if c.Scope != statement.Replica || c.After == (driver.Position{}) {
		return statement.Answer{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.lag.lacks(p.options.Boot(), c.After) {
		return statement.Answer{}, false
	}
	a := statement.Refused(statement.Behind, "the replica was at "+p.lag.position.String()+" a moment ago")
	a.Position = p.lag.position
	return a, true
}
