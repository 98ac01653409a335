package entry

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/instance/clock"
)

// coldBurst is the burst of a cold server in seconds of its rate. A larger one would let a second's worth of statements
// arrive on top of a second of the rate.
const coldBurst = 0.1

// coldHolderShare is the part of a cold server's rate that its first holder uses. Two instances may both rank themselves first
// while their exchanges are late, and together exceed the rate by a tenth at most. One alone still uses over half of it.
const coldHolderShare = 0.55

// coldServers limits the statements to cold servers that this instance is the first holder of. The zero value is ready for
// use.
type coldServers struct {
	mu       sync.Mutex
	limiters map[string]*rate.Limiter // by server
}

// limiter returns the limiter of a server, with the rate that its group has now.
func (c *coldServers) limiter(server string, perSecond float64, now time.Time) *rate.Limiter {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.limiters[server]
	if l == nil {
		if c.limiters == nil {
			c.limiters = map[string]*rate.Limiter{}
		}
		l = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*coldBurst)))
		c.limiters[server] = l
	}
	if l.Limit() != rate.Limit(perSecond) {
		l.SetLimitAt(now, rate.Limit(perSecond))
		l.SetBurstAt(now, max(1, int(perSecond*coldBurst)))
	}
	return l
}

// retain drops the limiters of servers that are not cold any more.
func (c *coldServers) retain(cold func(server string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for server := range c.limiters {
		if !cold(server) {
			delete(c.limiters, server)
		}
	}
}

// coldRate returns the rate at which this instance may send to a server that is cold, and false if nothing limits it.
func (g *pools) coldRate(s catalog.Server) (float64, bool) {
	group, _ := g.n.table.Configuration().Group(s.Group)
	return group.ColdRate * coldHolderShare, group.ColdRate > 0 && g.n.table.Cold(g.n.boot(), s.ID)
}

// admitCold decides on a statement for a server that may be cold. New statements are refused above the rate and at other
// instances than the first holder. Those of an open transaction wait for their turn, at most for half of their timeout, which
// leaves less to new ones.
func (g *pools) admitCold(ctx context.Context, s catalog.Server, c statement.Call) (statement.Answer, bool) {
	perSecond, cold := g.coldRate(s)
	if !cold {
		return statement.Answer{}, true
	}
	now := g.n.boot()
	l := g.cold.limiter(s.ID, perSecond, coldTime(now))
	if c.Step == statement.Next || c.Step == statement.End {
		turn := l.ReserveN(coldTime(now), 1)
		clock.Sleep(ctx, min(turn.DelayFrom(coldTime(now)), c.Timeout/2))
		return statement.Answer{}, true
	}
	if m, ok := g.n.table.FirstHolder(now, s.ID, s.Place); !ok || m.Name != g.n.settings.Name {
		return statement.Refused(statement.Busy, "the server is cold and another instance sends to it"), false
	}
	if !l.AllowN(coldTime(now), 1) {
		return statement.Refused(statement.Busy, "the server is cold and its rate is used up"), false
	}
	return statement.Answer{}, true
}

// coldTime returns a reading of the instance's clock in the form that limiters take.
func coldTime(now time.Duration) time.Time { return time.Unix(0, int64(now)) }
