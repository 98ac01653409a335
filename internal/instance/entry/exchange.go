package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"tanagercross/internal/database/readindex"
	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/relay"
	"tanagercross/internal/fleet/roster"
	"tanagercross/internal/fleet/view"
	"tanagercross/internal/instance/clock"
	"tanagercross/internal/organisation/allotment"
)

// Pace of the exchange of beliefs.
const (
	exchangeTick = 300 * time.Millisecond
	joinTick     = 40 * time.Millisecond // until the first answer
	// farPeriod is the pace between the stewards of two places; bytes between regions are paid.
	farPeriod = 900 * time.Millisecond
	// missedAfter is the silence after which the steward calls an instance that reports to it otherwise.
	missedAfter = 700 * time.Millisecond
	// returnPeriod is the pace at which silent better-placed stewards are asked whether they are back.
	returnPeriod = time.Second
	// joinWait is how long a new instance waits for the others before it acts on its own.
	joinWait = 1500 * time.Millisecond
)

// exchanges tells other instances what this one knows. The instances of a place talk to one of them, the steward, which
// reads the store for them, keeps the rates of the place, and talks to the stewards of the other places.
type exchanges struct {
	n       *Node
	started time.Duration

	mu         sync.Mutex
	acting     bool // this instance is the steward of its place
	since      time.Duration
	heard      bool // an exchange with an instance of the place succeeded
	known      map[string]view.State
	asked      map[string]asking
	inProgress map[string]bool
}

// asking is when an instance was called for the first and the last time.
type asking struct{ first, last time.Duration }

func newExchanges(n *Node) *exchanges {
	return &exchanges{
		n: n, started: n.boot(), known: map[string]view.State{}, asked: map[string]asking{},
		inProgress: map[string]bool{},
	}
}

func (e *exchanges) steward() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.acting
}

// began returns the moment from which this instance has been the steward without a break.
func (e *exchanges) began() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.since
}

// joined reports whether the instance has heard the others or has waited for them long enough.
func (e *exchanges) joined() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.heard || e.n.boot()-e.started > joinWait
}

func (e *exchanges) run(ctx context.Context) {
	for {
		e.tick()
		pause := exchangeTick
		if !e.joined() {
			pause = joinTick
		}
		if !clock.Sleep(ctx, pause) {
			return
		}
	}
}

// tick chooses the steward of the place and talks to those whose turn it is.
func (e *exchanges) tick() {
	n, now := e.n, e.n.boot()
	_, _, members := n.table.ReadTimes()
	if members == 0 && now-e.started < joinWait {
		return // no other instance is known yet
	}
	n.rates.tick(now)
	var ask []roster.Member
	chosen := n.settings.Name
	for _, m := range n.table.Coordinators(n.settings.Place) {
		if m.Name == n.settings.Name {
			break
		}
		if !e.failing(now, m.Name) {
			ask, chosen = append(ask, m), m.Name
			break
		}
		if e.due(now, m.Name, returnPeriod) {
			ask = append(ask, m)
		}
	}
	acting := chosen == n.settings.Name && !n.table.Self().Leaving
	e.act(now, acting)
	if acting {
		ask = append(append(ask, e.near(now)...), e.far(now)...)
	}
	for _, m := range ask {
		e.start(m, acting)
	}
}

// failing reports whether the last calls to an instance of the place brought no answer.
func (e *exchanges) failing(now time.Duration, name string) bool {
	return e.n.table.Suspected(now, name) || e.silentFor(now, name) > view.AliveTimeout
}

// silentFor returns for how long calls to an instance have not been answered.
func (e *exchanges) silentFor(now time.Duration, name string) time.Duration {
	e.mu.Lock()
	a, asked := e.asked[name]
	e.mu.Unlock()
	if !asked {
		return 0
	}
	return now - max(a.first, e.n.table.LastSeen(name))
}

// due reports whether an instance was not called within a period.
func (e *exchanges) due(now time.Duration, name string, period time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	a, asked := e.asked[name]
	return !asked || now-a.last >= period
}

func (e *exchanges) act(now time.Duration, acting bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if acting == e.acting {
		return
	}
	e.acting, e.since = acting, now
	if acting {
		e.n.rates.takeOver(now)
	}
	e.n.log.Info("steward of the place", "acting", acting)
}

// near returns the instances of the place that do not report to this steward: they may be down, or follow another one
// because they do not know of this instance yet.
func (e *exchanges) near(now time.Duration) []roster.Member {
	var list []roster.Member
	for _, m := range e.n.table.Coordinators(e.n.settings.Place) {
		if m.Name != e.n.settings.Name && now-e.n.table.LastSeen(m.Name) > missedAfter && e.due(now, m.Name, returnPeriod) {
			list = append(list, m)
		}
	}
	return list
}

// far returns the stewards of other places whose turn it is. Of two stewards that are due, the one of the lower place
// asks, so that one exchange serves both.
func (e *exchanges) far(now time.Duration) []roster.Member {
	var list []roster.Member
	for _, place := range e.n.table.Places() {
		if place == e.n.settings.Place {
			continue
		}
		period := farPeriod
		if place < e.n.settings.Place {
			period = 3 * farPeriod
		}
		for _, m := range e.n.table.Coordinators(place) {
			if e.n.table.Suspected(now, m.Name) {
				continue
			}
			if e.due(now, m.Name, period) && (place > e.n.settings.Place || now-e.n.table.LastSeen(m.Name) > period) {
				list = append(list, m)
			}
			break
		}
	}
	return list
}

// start exchanges with an instance unless a call to it is under way.
func (e *exchanges) start(m roster.Member, steward bool) {
	e.mu.Lock()
	if e.inProgress[m.Name] {
		e.mu.Unlock()
		return
	}
	e.inProgress[m.Name] = true
	a, asked := e.asked[m.Name]
	a.last = e.n.boot()
	if !asked {
		a.first = a.last
	}
	e.asked[m.Name] = a
	e.mu.Unlock()
	go func() {
		e.exchange(m, steward)
		e.mu.Lock()
		delete(e.inProgress, m.Name)
		e.mu.Unlock()
	}()
}

func (e *exchanges) exchange(m roster.Member, steward bool) {
	n := e.n
	now := n.boot()
	e.mu.Lock()
	has, ok := e.known[m.Name]
	e.mu.Unlock()
	if !ok {
		has = n.table.Versions() // sends no documents
	}
	message := relay.Exchange{
		Sender: n.table.Presence(now), Rates: n.rates.own(), Beliefs: n.table.Delta(now, has, m.Place), Steward: steward,
	}
	answer, err := n.client.Exchange(context.Background(), m.Address, message)
	now = n.boot()
	if err != nil {
		n.table.Suspect(now, m.Name)
		if stopped(err) {
			n.table.MarkStopped(m.Name)
		}
		n.observer.peerLost(m.Name, err)
		return
	}
	n.observer.peerFound(m.Name)
	if n.table.LastSeen(m.Name) == 0 {
		n.table.MergePresence(view.Presence{Name: m.Name, Address: m.Address, Place: m.Place, LastSeen: 1})
	}
	if m.Place == n.settings.Place {
		n.rates.learn(answer.Demands)
	}
	n.table.Merge(now, answer) // the answer may say that the instance leaves
	n.table.ClearSuspicion(now, m.Name)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.known[m.Name] = answer
	if m.Place == n.settings.Place {
		e.heard = true
	}
}

// announce tells the steward and the stewards of other places at once what has changed.
func (e *exchanges) announce() {
	now := e.n.boot()
	for _, place := range e.n.table.Places() {
		for _, m := range e.n.table.Coordinators(place) {
			if m.Name == e.n.settings.Name || e.n.table.Suspected(now, m.Name) {
				continue
			}
			go e.exchange(m, e.steward())
			break
		}
	}
}

// spread tells all instances of the place at once what has changed, if this instance is the steward.
func (e *exchanges) spread() {
	if !e.steward() {
		return
	}
	now := e.n.boot()
	for _, m := range e.n.table.Coordinators(e.n.settings.Place) {
		if m.Name != e.n.settings.Name && now-e.n.table.LastSeen(m.Name) < view.AliveTimeout {
			go e.exchange(m, true)
		}
	}
}

// services answers the calls of other instances.
type services struct{ n *Node }

// Execute implements relay.Services.
func (s *services) Execute(ctx context.Context, server string, c statement.Call) statement.Answer {
	return s.n.gates.execute(ctx, server, c)
}

// Exchange implements relay.Services.
func (s *services) Exchange(_ context.Context, x relay.Exchange) view.State {
	n := s.n
	now := n.boot()
	n.table.MergePresence(x.Sender)
	n.table.ClearSuspicion(now, x.Sender.Name)
	if x.Sender.Place == n.settings.Place {
		n.rates.heard(x.Sender.Name, x.Rates, now)
		n.rates.learn(x.Beliefs.Demands)
	}
	n.table.Merge(now, x.Beliefs)
	return n.table.Delta(now, x.Beliefs, x.Sender.Place)
}

// Take implements relay.Services.
func (s *services) Take(ctx context.Context, t relay.Tokens) allotment.Grant {
	if t.Lend {
		g, _ := s.n.rates.hand(t.Organisation, t.Wanted)
		return g
	}
	s.n.table.ClearSuspicion(s.n.boot(), t.From)
	return s.n.rates.supply(ctx, t.Organisation, t.Wanted)
}

// Head implements relay.Services.
func (s *services) Head(ctx context.Context, server string) (readindex.Index, bool) {
	return s.n.gates.head(ctx, server)
}

// Probe implements relay.Services.
func (s *services) Probe(ctx context.Context, server string) relay.Probe {
	return s.n.guard.probe(ctx, server)
}

// Succeed implements relay.Services.
func (s *services) Succeed(ctx context.Context, x relay.Succession) (bool, view.Leader) {
	return s.n.guard.requested(ctx, x)
}

// sent reports whether a failed call may have been handled.
func sent(err error) bool {
	var e *relay.Error
	return !errors.As(err, &e) || e.Sent
}

// stopped reports whether a failed call shows that the process of the instance does not run.
func stopped(err error) bool {
	var e *relay.Error
	return errors.As(err, &e) && e.Refused
}

// anyOrganisation names an organisation for connections that serve no caller.
func (n *Node) anyOrganisation() string {
	if o, ok := n.table.Configuration().First(); ok {
		return o.Name
	}
	return "-"
}
