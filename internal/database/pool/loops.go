package pool

import (
	"context"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/session/outcome"
)

// startLoops starts the ping loop and the maintenance loop of an acquired lane. They end with the lane's context.
func (l *lane) startLoops() {
	l.loops.Add(2)
	go func() {
		defer l.loops.Done()
		l.pingLoop()
	}()
	go func() {
		defer l.loops.Done()
		l.maintenanceLoop()
	}()
}

// pingLoop keeps the control connection alive. After a failed ping the lane is closed, because the server may have
// released its lock to another instance.
func (l *lane) pingLoop() {
	for sleep(l.ctx, l.pool.options.Ping) {
		sentAt := time.Now()
		ctx, cancel := context.WithTimeout(l.ctx, l.pool.options.PingTimeout)
		err := l.control.Ping(ctx)
		cancel()
		if l.ctx.Err() != nil {
			return
		}
		if err != nil {
			go l.handleLoss()
			return
		}
		l.mu.Lock()
		l.lastPing = sentAt
		l.mu.Unlock()
	}
}

// handleLoss closes the lane after a failed ping and reports it to OnLaneLost.
func (l *lane) handleLoss() {
	l.close(outcome.LaneUnavailable)
	l.pool.options.OnLaneLost(LaneID{Server: l.server.Name, Lane: l.number})
}

// maintenanceLoop opens and closes idle connections and ends expired transactions until the lane is closed.
func (l *lane) maintenanceLoop() {
	l.openMinIdle()
	for sleep(l.ctx, l.pool.options.MaintenanceInterval) {
		l.closeExpiredIdle(time.Now())
		l.openMinIdle()
		l.pool.expireTransactions(time.Now())
	}
}

// closeExpiredIdle closes connections that were idle for IdleTimeout or longer, except for the MinIdle most recent ones.
// l.idle is ordered by the time since which a connection is idle.
func (l *lane) closeExpiredIdle(now time.Time) {
	var expired []driver.Conn
	l.mu.Lock()
	for len(l.idle) > l.pool.options.MinIdle && now.Sub(l.idle[0].idleSince) >= l.pool.options.IdleTimeout {
		expired = append(expired, l.idle[0].conn)
		l.idle = l.idle[1:]
	}
	l.mu.Unlock()
	for _, c := range expired {
		l.closeConn(c)
	}
}

// openMinIdle opens connections until MinIdle are idle, because opening one takes longer than most statements. It stops
// when all permits are in use or a connection cannot be opened.
func (l *lane) openMinIdle() {
	for l.ctx.Err() == nil && l.permits.TryAcquire(1) {
		l.mu.Lock()
		stop := l.closed || len(l.idle) >= l.pool.options.MinIdle || l.openConns >= l.maxConns
		if !stop {
			l.openConns++
		}
		l.mu.Unlock()
		if stop {
			l.permits.Release(1)
			return
		}
		ctx, cancel := context.WithTimeout(l.ctx, l.pool.options.PingTimeout)
		c, err := l.openConn(ctx)
		cancel()
		if err != nil {
			return
		}
		l.addIdle(c)
		l.permits.Release(1)
	}
}
