// Package trace observes whether an HTTP call got as far as a connection. Without one nothing of the call was sent.
//
// # Usage
//
//	ctx, connection := trace.Connect(ctx)
//	if _, err := client.Do(request.WithContext(ctx)); err != nil && !connection.Obtained() {
//		return notSent(err)
//	}
package trace

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// Connection is the connection of one call. It is safe for concurrent use.
type Connection struct{ obtained atomic.Bool }

// Connect returns a context for one call and the observation of its connection.
func Connect(ctx context.Context) (context.Context, *Connection) {
	c := &Connection{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { c.obtained.Store(true) },
	}), c
}

// Obtained reports whether the call got a connection.
func (c *Connection) Obtained() bool { return c.obtained.Load() }
