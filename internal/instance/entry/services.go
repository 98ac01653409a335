package entry

import (
	"context"
	"errors"
	"net/http"

	"tanagercross/internal/database/readindex"
	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/relay"
	"tanagercross/internal/fleet/view"
	"tanagercross/internal/organisation/allotment"
	"tanagercross/internal/service/recovery"
)

// services handles the calls of other instances.
type services struct{ n *Node }

// Execute implements relay.Services.
func (s *services) Execute(ctx context.Context, server string, c statement.Call) (a statement.Answer) {
	defer recovery.Catch(func(p recovery.Panic) {
		s.n.observer.Panicked("relayed statement", p)
		a = statement.NoAnswer("internal error")
	})
	if c.Timeout > 0 && s.n.endsWithin(c.Timeout) {
		return refuseAtStop(c)
	}
	return s.n.pools.execute(ctx, server, c)
}

// relayedMemoryShare is the part of the machine's memory for long statements of other instances.
const relayedMemoryShare = 8

// limitRelayed bounds what other instances send, if the memory of the machine is known.
func (n *Node) limitRelayed(h http.Handler, memoryBytes int64) http.Handler {
	if memoryBytes == 0 {
		return h
	}
	return relay.Limit(h, memoryBytes/relayedMemoryShare, func() {
		n.observer.metrics.CallerCutOff("relayed_memory")
		n.log.Warn("relayed statement refused", "reason", "memory")
	})
}

// refuseAtStop refuses a statement that could not be answered before the process ends. The sender then tries another
// instance, unless the statement continues a transaction that is open here.
func refuseAtStop(c statement.Call) statement.Answer {
	if c.Step == statement.Next || c.Step == statement.End {
		return statement.Refused(statement.Aborted, "the instance stops")
	}
	return statement.Refused(statement.WrongServer, "the instance stops")
}

// Gossip implements relay.Services.
func (s *services) Gossip(_ context.Context, x relay.Gossip) view.State {
	n := s.n
	now := n.boot()
	n.table.MergePresence(x.Sender)
	n.table.ClearSuspicion(now, x.Sender.Name)
	if x.Sender.Place == n.settings.Place {
		n.rates.reported(x.Sender.Name, x.Rates, now)
		n.rates.checkEarlierDemand(x.State.Demands)
	} else if x.Steward {
		n.rates.calledBy(x.Sender)
	}
	n.table.Merge(now, x.State)
	return n.table.Delta(now, x.State, x.Sender.Place)
}

// TakeTokens implements relay.Services.
func (s *services) TakeTokens(ctx context.Context, t relay.TokenRequest) allotment.Grant {
	if t.Lend {
		g, _ := s.n.rates.grantLocal(t.Organisation, t.ByClass)
		return g
	}
	s.n.table.ClearSuspicion(s.n.boot(), t.From)
	return s.n.rates.grantOrBorrow(ctx, t.Organisation, t.ByClass)
}

// ReadIndex implements relay.Services.
func (s *services) ReadIndex(ctx context.Context, server string) (readindex.Index, bool) {
	return s.n.pools.leaderPosition(ctx, server)
}

// Probe implements relay.Services.
func (s *services) Probe(ctx context.Context, server string) relay.Probe {
	return s.n.failover.probe(ctx, server)
}

// ChangePrimary implements relay.Services.
func (s *services) ChangePrimary(ctx context.Context, x relay.PrimaryChange) (bool, view.Leader) {
	return s.n.failover.startChange(ctx, x)
}

// maybeHandled reports whether a call that failed may have been handled by the other instance.
func maybeHandled(err error) bool {
	var e *relay.Error
	return !errors.As(err, &e) || e.Sent
}

// firstOrganisation returns the name of a configured organisation, or "-" if there is none. Connections that serve no
// caller, such as those for status reports, are opened in its name.
func (n *Node) firstOrganisation() string {
	if o, ok := n.table.Configuration().FirstOrganisation(); ok {
		return o.Name
	}
	return "-"
}
