package relay

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	relayv1 "tanagercross/internal/genproto/relay/v1"
)

// Limits of silence. A connection may stop carrying data without being closed; idle connections are not examined, because
// bytes between regions are paid.
const (
	silenceTick = 60 * time.Millisecond
	// askAfter is how long calls may be unanswered before the instance is asked whether it is there.
	askAfter = 350 * time.Millisecond
	// askWait is how long it may take to answer that. A round trip between regions is 40 ms.
	askWait = 300 * time.Millisecond
)

// errSilent is why calls to a silent instance fail.
var errSilent = errors.New("the instance does not answer")

// silence watches the calls that are under way to one instance.
type silence struct {
	boot func() time.Duration

	mu       sync.Mutex
	calls    map[*underway]struct{}
	answered time.Duration
	asking   bool
	conns    map[net.Conn]struct{}
}

type underway struct {
	sent   time.Duration
	cancel context.CancelCauseFunc
}

func newSilence(boot func() time.Duration) *silence {
	return &silence{boot: boot, calls: map[*underway]struct{}{}, conns: map[net.Conn]struct{}{}}
}

// begin notes a call and returns the context that ends if the instance stays silent, and the function that notes the end.
func (s *silence) begin(ctx context.Context) (context.Context, func(answered bool)) {
	ctx, cancel := context.WithCancelCause(ctx)
	u := &underway{sent: s.boot(), cancel: cancel}
	s.mu.Lock()
	s.calls[u] = struct{}{}
	s.mu.Unlock()
	return ctx, func(answered bool) {
		cancel(nil)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.calls, u)
		if answered {
			s.answered = s.boot()
		}
	}
}

// silent returns for how long calls have been under way without any answer.
func (s *silence) silent() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.boot()
	var longest time.Duration
	for u := range s.calls {
		longest = max(longest, now-max(u.sent, s.answered))
	}
	return longest
}

// start reports whether the instance is to be asked now.
func (s *silence) start() bool {
	if s.silent() < askAfter {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.asking {
		return false
	}
	s.asking = true
	return true
}

// finish ends all calls and connections if the instance has not answered.
func (s *silence) finish(answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asking = false
	if answered {
		s.answered = s.boot()
		return
	}
	for u := range s.calls {
		u.cancel(errSilent)
	}
	for conn := range s.conns {
		_ = conn.Close()
	}
	clear(s.conns)
}

// watched is a connection that leaves the list when it is closed.
type watched struct {
	net.Conn
	silence *silence
}

func (w *watched) Close() error {
	w.silence.mu.Lock()
	delete(w.silence.conns, w.Conn)
	w.silence.mu.Unlock()
	return w.Conn.Close()
}

func (s *silence) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.conns[conn] = struct{}{}
	s.mu.Unlock()
	return &watched{Conn: conn, silence: s}, nil
}

// watch asks instances that are silent whether they are there, until the client is closed.
func (c *Client) watch() {
	ticker := time.NewTicker(silenceTick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-c.closed:
			return
		}
		c.mu.Lock()
		for _, p := range c.peers {
			if p.silence.start() {
				go c.ask(p)
			}
		}
		c.mu.Unlock()
	}
}

// ask makes a call that is answered at once. It bypasses the count of calls under way.
func (c *Client) ask(p *peer) {
	ctx, cancel := context.WithTimeout(context.Background(), askWait)
	defer cancel()
	_, err := call(ctx, "ask", p.service.Probe, &relayv1.ProbeRequest{}, askWait)
	p.silence.finish(err == nil)
}
