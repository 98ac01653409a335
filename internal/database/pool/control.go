package pool

import (
	"context"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/session/outcome"
)

func (l *lane) start() {
	l.loops.Add(2)
	go func() {
		defer l.loops.Done()
		l.pingLoop()
	}()
	go func() {
		defer l.loops.Done()
		l.upkeepLoop()
	}()
}

// pingLoop keeps the control connection alive. Its loss means that the server may have given the lane away.
func (l *lane) pingLoop() {
	for sleep(l.ctx, l.pool.options.Ping) {
		sent := time.Now()
		ctx, cancel := context.WithTimeout(l.ctx, l.pool.options.PingTimeout)
		err := l.control.Ping(ctx)
		cancel()
		if l.ctx.Err() != nil {
			return
		}
		if err != nil {
			go l.lose()
			return
		}
		l.mu.Lock()
		l.pinged = sent
		l.mu.Unlock()
	}
}

func (l *lane) lose() {
	l.close(outcome.LaneUnavailable)
	l.pool.options.OnLaneLost(LaneID{Server: l.server.Name, Lane: l.number})
}

func (l *lane) upkeepLoop() {
	l.warm()
	for sleep(l.ctx, l.pool.options.MaintenanceInterval) {
		l.prune(time.Now())
		l.warm()
		l.pool.expireTransactions(time.Now())
	}
}

// prune closes connections that were idle for too long, beyond those kept ready. The oldest are first in the list.
func (l *lane) prune(now time.Time) {
	var old []driver.Conn
	l.mu.Lock()
	for len(l.idle) > l.pool.options.MinIdle && now.Sub(l.idle[0].since) >= l.pool.options.IdleTimeout {
		old = append(old, l.idle[0].conn)
		l.idle = l.idle[1:]
	}
	l.mu.Unlock()
	for _, c := range old {
		l.discard(c)
	}
}

// warm opens connections until enough are idle, because opening one takes longer than most statements.
func (l *lane) warm() {
	for l.ctx.Err() == nil && l.permits.TryAcquire(1) {
		l.mu.Lock()
		enough := l.closed || len(l.idle) >= l.pool.options.MinIdle || l.open >= l.data
		if !enough {
			l.open++
		}
		l.mu.Unlock()
		if enough {
			l.permits.Release(1)
			return
		}
		ctx, cancel := context.WithTimeout(l.ctx, l.pool.options.PingTimeout)
		c, err := l.connect(ctx)
		cancel()
		if err != nil {
			return
		}
		l.keep(c)
		l.permits.Release(1)
	}
}
