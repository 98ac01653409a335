package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"tanagercross/internal/session/outcome"
	"tanagercross/internal/tool/ledger"
)

// Caller sends single requests of the first organisation of its options, one at a time, in one session. Each has one
// attempt.
type Caller struct{ session *session }

// NewCaller returns a caller that records in a ledger.
func NewCaller(o Options, l *ledger.Ledger) (*Caller, error) {
	o.Attempts = 1
	r, err := newRun(o, l)
	if err != nil {
		return nil, err
	}
	return &Caller{newSession(r, r.options.Organisations[0], rand.New(rand.NewPCG(o.Seed, 0)))}, nil
}

// Close closes the connections.
func (c *Caller) Close() { c.session.run.client.CloseIdleConnections() }

// Session returns the name of the session.
func (c *Caller) Session() string { return c.session.name }

// Read reads the tags of the session, and reports the time until the answer and whether it was done.
func (c *Caller) Read(ctx context.Context, group string) (time.Duration, bool) {
	started := time.Now()
	done := c.session.read(ctx, group)
	return time.Since(started), done
}

// Write inserts a tag, and reports the time until the answer and whether it was done.
func (c *Caller) Write(ctx context.Context, group string) (time.Duration, bool) {
	started := time.Now()
	done := c.session.write(ctx, group)
	return time.Since(started), done
}

// Accepts reports whether the instance takes a read of a number of bytes. It is not known if the instance refuses the
// request for another reason than its size.
func (c *Caller) Accepts(ctx context.Context, group string, bytes int) (accepted, known bool) {
	sql := "SELECT 1 -- "
	sql += strings.Repeat("x", max(0, bytes-len(sql)))
	r := c.session.send(ctx, call{method: http.MethodPost, group: group, id: newID(), statement: statement("read", sql)})
	return r.done(), r.done() || r.Reason == outcome.RequestTooLarge
}
