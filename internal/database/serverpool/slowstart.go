package serverpool

import (
	"context"
	"slices"
	"sync"
	"time"

	"tanagercross/internal/database/serverqueue"
	"tanagercross/internal/database/slowstart"
	"tanagercross/internal/database/statement"
)

// SlowStart is the state of a slow start, as it is reported when it begins, when the window has changed by half, and at its
// end.
type SlowStart struct {
	Server string
	Cause  string
	Window int
	Slots  int
	Began  bool // this is the first report
	Ended  bool
	Took   time.Duration // since the beginning
}

// pacer holds the window of a slow start and those who wait for it. Without a slow start it limits nothing.
type pacer struct {
	mu        sync.Mutex
	window    slowstart.Window
	cause     string
	began     time.Duration
	reported  int // window of the last report
	running   int
	waiters   []*waiter         // oldest first
	starts    uint64            // slow starts so far
	grants    uint64            // turns in this slow start
	lastGrant map[string]uint64 // number of the last turn of each organisation
	reference [4]reference      // by kind, where no usual latency is known
}

// reference is the mean latency while the window was 1.
type reference struct {
	answers int
	sum     time.Duration
}

// waiter is a statement that waits for a turn. The turn is set when the channel is closed.
type waiter struct {
	granted      chan struct{}
	turn         turn
	refused      bool // set when the channel is closed
	organisation string
}

// turn is the permission to open a connection and to run one statement. The zero value is not limited.
type turn struct {
	paced bool
	epoch uint64
	start uint64        // number of the slow start
	leave func()        // takes the statement off the count of the priority queue; may be nil
	sent  time.Duration // when the connection was there
}

// BeginSlowStart limits what runs at the server and widens the limit by its answers. takeOver means that another holder may
// have begun it.
func (p *Pool) BeginSlowStart(cause string, takeOver bool) {
	w := slowstart.Begin(p.options.Slots)
	if takeOver {
		w = slowstart.TakeOver(p.options.Slots)
	}
	g := &p.pacer
	g.mu.Lock()
	defer g.mu.Unlock()
	w = w.After(g.window)
	g.window, g.cause, g.began, g.reported = w, cause, p.options.Boot(), 0
	g.reference, g.running, g.grants, g.lastGrant = [4]reference{}, 0, 0, map[string]uint64{}
	g.starts++
	if a, ok := p.admission.(priorityAdmission); ok {
		a.scheduler.BeginWindow(g.limit())
	}
	g.wake()
	p.reportSlowStartLocked()
}

// Window returns the window of a slow start, or false if there is none.
func (p *Pool) Window() (int, bool) {
	p.pacer.mu.Lock()
	defer p.pacer.mu.Unlock()
	return p.pacer.window.Size(), !p.pacer.window.Ended()
}

// acquireTurn waits for a slot of the server and, during a slow start, for room in its window. The priority queue limits
// new work to the window itself, so that its order decides. Otherwise the turn is taken before the slot: callers that wait
// for the window would hold slots that open transactions need.
func (p *Pool) acquireTurn(ctx context.Context, c statement.Call, r serverqueue.Request) (ticket, turn, *statement.Answer) {
	_, limited := p.admission.(priorityAdmission)
	for {
		var t turn
		if !limited {
			var ok bool
			if t, ok = p.awaitTurn(ctx, c.Organisation); !ok && p.evacuated() {
				refusal := refuseEvacuated()
				return nil, turn{}, &refusal
			} else if !ok {
				refusal := statement.Refused(statement.Busy, "queue: slow start")
				return nil, turn{}, &refusal
			}
		}
		ticket, err := p.admission.acquire(ctx, r, c.Session)
		if err != nil {
			p.abandonTurn(t, nil)
			refusal := p.admission.refusal(err)
			return nil, turn{}, &refusal
		}
		if limited {
			t = p.pacer.turnOf(ticket)
		}
		if p.evacuated() {
			p.abandonTurn(t, nil)
			ticket.Release()
			refusal := refuseEvacuated()
			return nil, turn{}, &refusal
		}
		if !p.pacer.outdated(t) {
			return ticket, t, nil
		}
		p.abandonTurn(t, nil)
		ticket.Withdraw()
	}
}

// limit returns the limit of new work for the priority queue, 0 for none. The caller holds g.mu.
func (g *pacer) limit() int {
	if g.window.Ended() {
		return 0
	}
	return g.window.Size()
}

// awaitTurn waits until the window has room. It returns false if the context ends or the server is evacuated before, or if as many callers of the
// organisation wait as its queue may have.
func (p *Pool) awaitTurn(ctx context.Context, organisation string) (turn, bool) {
	g := &p.pacer
	g.mu.Lock()
	if g.window.Ended() || len(g.waiters) == 0 && g.running < g.window.Size() {
		defer g.mu.Unlock()
		return g.grant(organisation), true
	}
	if g.waiting(organisation) >= maxQueued {
		g.mu.Unlock()
		return turn{}, false
	}
	w := &waiter{granted: make(chan struct{}), organisation: organisation}
	g.waiters = append(g.waiters, w)
	g.mu.Unlock()
	select {
	case <-w.granted:
		return w.turn, !w.refused
	case <-ctx.Done():
		g.cancel(w)
		return turn{}, false
	}
}

// waiting returns how many callers of an organisation wait. The caller holds g.mu.
func (g *pacer) waiting(organisation string) int {
	n := 0
	for _, w := range g.waiters {
		if w.organisation == organisation {
			n++
		}
	}
	return n
}

// turnOf returns the turn of a statement that the priority queue has started.
func (g *pacer) turnOf(t ticket) turn {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.grant("")
	if l, ok := t.(interface{ Leave() }); ok {
		r.leave = l.Leave
	}
	return r
}

// outdated reports whether a slow start has begun since a turn was granted.
func (g *pacer) outdated(t turn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.window.Ended() && (!t.paced || t.start != g.starts)
}

// grant returns the permission for the next statement. The caller holds g.mu.
func (g *pacer) grant(organisation string) turn {
	if g.window.Ended() {
		return turn{}
	}
	g.running++
	g.grants++
	g.lastGrant[organisation] = g.grants
	return turn{paced: true, epoch: g.window.Epoch(), start: g.starts}
}

// cancel removes a waiter that gave up. A turn that it was granted meanwhile goes to the next one.
func (g *pacer) cancel(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n := slices.Index(g.waiters, w); n >= 0 {
		g.waiters = slices.Delete(g.waiters, n, n+1)
		return
	}
	g.giveBack(w.turn)
	g.wake()
}

// giveBack ends the count of a turn. The caller holds g.mu.
func (g *pacer) giveBack(t turn) {
	if t.paced && t.start == g.starts {
		g.running--
	}
}

// refuseWaiters refuses all callers that wait.
func (g *pacer) refuseWaiters() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, w := range g.waiters {
		w.refused = true
		close(w.granted)
	}
	g.waiters = nil
}

// wake grants turns to as many waiters as the window has room for, next to the organisation whose last turn is the longest
// ago. The caller holds g.mu.
func (g *pacer) wake() {
	for len(g.waiters) > 0 && (g.window.Ended() || g.running < g.window.Size()) {
		next := 0
		for n, w := range g.waiters {
			if g.lastGrant[w.organisation] < g.lastGrant[g.waiters[next].organisation] {
				next = n
			}
		}
		w := g.waiters[next]
		g.waiters = slices.Delete(g.waiters, next, next+1)
		w.turn = g.grant(w.organisation)
		close(w.granted)
	}
}

// abandonTurn ends a turn for which no connection was found. A connection that could not be opened is a failure.
func (p *Pool) abandonTurn(t turn, err error) {
	p.finishTurn(t, func(w slowstart.Window) slowstart.Window {
		if err != nil {
			return w.WithFailure(t.epoch)
		}
		return w
	})
}

// reportSetup reduces the window if the server refused the setup of a connection or did not answer it. ReadOnly and Behind say
// nothing about its load, and the codes of a faulty statement are due to its caller.
func (p *Pool) reportSetup(t turn, refusal statement.Answer) {
	switch refusal.Code {
	case statement.ReadOnly, statement.Behind, statement.NoStatement, statement.Failed, statement.Malformed, statement.TooLarge,
		statement.Unauthorized, statement.NoDatabase:
		return
	}
	g := &p.pacer
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.paced && !g.window.Ended() {
		g.window = g.window.WithFailure(t.epoch)
		if a, ok := p.admission.(priorityAdmission); ok {
			a.scheduler.SetWindow(g.limit())
		}
		p.reportSlowStartLocked()
	}
}

// endTurn ends a turn with the answer to its statement.
func (p *Pool) endTurn(t turn, c statement.Call, a statement.Answer) {
	took := p.options.Boot() - t.sent
	kind := slowstart.Read
	if c.Writes() {
		kind = slowstart.Write
	}
	failed := a.Delivery == statement.Unanswered || a.Delivery == statement.Answered && (a.Code == statement.Busy || a.Code == statement.TooMany)
	answered := a.OK()
	if !t.paced {
		if answered && p.options.SlowStart && p.options.Latencies != nil {
			p.options.Latencies.Record(p.target.Server, kind, took)
		}
		return
	}
	p.finishTurn(t, func(w slowstart.Window) slowstart.Window {
		switch {
		case failed:
			return w.WithFailure(t.epoch)
		case answered:
			return w.WithAnswer(t.epoch, p.pacer.ratio(p.usual(kind), kind, took))
		}
		return w
	})
}

// usual returns the usual latency of a kind of statement at this server, 0 if it is not known.
func (p *Pool) usual(k slowstart.Kind) time.Duration {
	if p.options.Latencies == nil {
		return 0
	}
	return p.options.Latencies.Usual(p.target.Server, k)
}

// ratio returns the ratio of a latency to the usual one, or to that of the window 1 if none is known. The caller holds g.mu.
func (g *pacer) ratio(usual time.Duration, k slowstart.Kind, took time.Duration) float64 {
	r := &g.reference[k]
	if g.window.Size() == 1 {
		r.answers++
		r.sum += took
	}
	if usual == 0 && r.answers > 0 {
		usual = r.sum / time.Duration(r.answers)
	}
	if usual <= 0 {
		return 1
	}
	return float64(took) / float64(usual)
}

// finishTurn applies the result of a turn to the window and lets others go on.
func (p *Pool) finishTurn(t turn, apply func(slowstart.Window) slowstart.Window) {
	if t.leave != nil {
		defer t.leave()
	}
	if !t.paced {
		return
	}
	g := &p.pacer
	g.mu.Lock()
	defer g.mu.Unlock()
	g.giveBack(t)
	if !g.window.Ended() {
		g.window = apply(g.window)
		if a, ok := p.admission.(priorityAdmission); ok {
			a.scheduler.SetWindow(g.limit())
		}
		p.reportSlowStartLocked()
	}
	g.wake()
}

// reportSlowStartLocked reports the beginning and the end of a slow start, and a window that is at least half larger or
// smaller than that of the last report. The caller holds p.pacer.mu.
func (p *Pool) reportSlowStartLocked() {
	g := &p.pacer
	size := g.window.Size()
	if !g.window.Ended() && 2*size < 3*g.reported && 2*size > g.reported {
		return
	}
	began := g.reported == 0
	g.reported = size
	if p.options.OnSlowStart != nil {
		p.options.OnSlowStart(SlowStart{
			Server: p.target.Server, Cause: g.cause, Window: size, Slots: p.options.Slots, Began: began, Ended: g.window.Ended(),
			Took: p.options.Boot() - g.began,
		})
	}
}
