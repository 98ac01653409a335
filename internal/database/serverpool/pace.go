package serverpool

import (
	"context"
	"sync"
	"time"

	"tanagercross/internal/database/pace"
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
	window    pace.Window
	cause     string
	began     time.Duration
	reported  int // window of the last report
	running   int
	waiters   []chan struct{} // oldest first
	reference [4]reference    // by kind, where no usual latency is known
}

// reference is the mean latency while the window was 1.
type reference struct {
	answers int
	sum     time.Duration
}

// turn is the permission to open a connection and to run one statement. The zero value is not limited.
type turn struct {
	paced bool
	epoch uint64
	sent  time.Duration // when the connection was there
}

// BeginSlowStart limits what runs at the server and widens the limit by its answers. takeOver means that another holder may
// have begun it.
func (p *Pool) BeginSlowStart(cause string, takeOver bool) {
	w := pace.Begin(p.options.Slots)
	if takeOver {
		w = pace.TakeOver(p.options.Slots)
	}
	g := &p.pacer
	g.mu.Lock()
	defer g.mu.Unlock()
	g.window, g.cause, g.began, g.reported = w, cause, p.options.Boot(), 0
	g.reference = [4]reference{}
	p.reportSlowStartLocked()
}

// Window returns the window of a slow start, or false if there is none.
func (p *Pool) Window() (int, bool) {
	p.pacer.mu.Lock()
	defer p.pacer.mu.Unlock()
	return p.pacer.window.Size(), !p.pacer.window.Ended()
}

// awaitTurn waits until the window has room. It returns false if the context ends before.
func (p *Pool) awaitTurn(ctx context.Context) (turn, bool) {
	g := &p.pacer
	g.mu.Lock()
	for !g.window.Ended() && g.running >= g.window.Size() {
		wait := make(chan struct{})
		g.waiters = append(g.waiters, wait)
		g.mu.Unlock()
		select {
		case <-wait:
			g.mu.Lock()
		case <-ctx.Done():
			g.mu.Lock()
			g.cancelWait(wait)
			g.mu.Unlock()
			return turn{}, false
		}
	}
	defer g.mu.Unlock()
	if g.window.Ended() {
		return turn{}, true
	}
	g.running++
	return turn{paced: true, epoch: g.window.Epoch()}, true
}

// cancelWait removes a waiter. If it was woken already, the next one is woken instead. The caller holds g.mu.
func (g *pacer) cancelWait(wait chan struct{}) {
	for n, w := range g.waiters {
		if w == wait {
			g.waiters = append(g.waiters[:n:n], g.waiters[n+1:]...)
			return
		}
	}
	g.wake()
}

// wake lets as many waiters go on as the window has room for. The caller holds g.mu.
func (g *pacer) wake() {
	room := g.window.Size() - g.running
	if g.window.Ended() {
		room = len(g.waiters)
	}
	for ; room > 0 && len(g.waiters) > 0; room-- {
		close(g.waiters[0])
		g.waiters = g.waiters[1:]
	}
}

// abandonTurn ends a turn for which no connection was found. A connection that could not be opened is a failure.
func (p *Pool) abandonTurn(t turn, err error) {
	p.finishTurn(t, func(w pace.Window) pace.Window {
		if err != nil {
			return w.WithFailure(t.epoch)
		}
		return w
	})
}

// endTurn ends a turn with the answer to its statement.
func (p *Pool) endTurn(t turn, c statement.Call, a statement.Answer) {
	took := p.options.Boot() - t.sent
	kind := pace.Read
	if c.Writes() {
		kind = pace.Write
	}
	failed := a.Delivery == statement.Unanswered || a.Delivery == statement.Answered && (a.Code == statement.Busy || a.Code == statement.TooMany)
	answered := a.OK()
	if !t.paced {
		if answered && p.options.SlowStart && p.options.Latencies != nil {
			p.options.Latencies.Record(p.target.Server, kind, took)
		}
		return
	}
	p.finishTurn(t, func(w pace.Window) pace.Window {
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
func (p *Pool) usual(k pace.Kind) time.Duration {
	if p.options.Latencies == nil {
		return 0
	}
	return p.options.Latencies.Usual(p.target.Server, k)
}

// ratio returns the ratio of a latency to the usual one, or to that of the window 1 if none is known. The caller holds g.mu.
func (g *pacer) ratio(usual time.Duration, k pace.Kind, took time.Duration) float64 {
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
func (p *Pool) finishTurn(t turn, apply func(pace.Window) pace.Window) {
	if !t.paced {
		return
	}
	g := &p.pacer
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if !g.window.Ended() {
		g.window = apply(g.window)
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
