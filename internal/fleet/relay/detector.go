package relay

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	relayv1 "tanagercross/internal/genproto/relay/v1"
)

// Detection of instances that accept connections and do not answer. A connection may stop carrying data without being
// closed. Idle connections are not probed, because traffic between regions is paid for.
const (
	silenceCheckInterval = 60 * time.Millisecond
	// livenessProbeAfter is how long all calls to an instance may be unanswered before it is probed.
	livenessProbeAfter = 350 * time.Millisecond
	// livenessProbeTimeout is the time limit of that probe. A round trip between regions takes 40 ms.
	livenessProbeTimeout = 300 * time.Millisecond
)

// errSilent is the cancellation cause of calls to an instance that left a liveness probe unanswered.
var errSilent = errors.New("the instance does not answer")

// detector tracks the calls in flight and the connections to one instance and detects that the instance does not answer.
// It is safe for concurrent use.
type detector struct {
	boot func() time.Duration // time since the machine started

	mu       sync.Mutex
	calls    map[*inFlightCall]struct{}
	answered time.Duration         // time of the last answer
	probing  bool                  // a liveness probe is in flight
	conns    map[net.Conn]struct{} // open connections
}

// inFlightCall is a call without an answer yet.
type inFlightCall struct {
	sent   time.Duration
	cancel context.CancelCauseFunc
}

func newDetector(boot func() time.Duration) *detector {
	return &detector{boot: boot, calls: map[*inFlightCall]struct{}{}, conns: map[net.Conn]struct{}{}}
}

// begin registers a call. It returns the context to use for the call, which is cancelled if the instance does not answer a
// liveness probe, and a function to be called at the end of the call with whether the instance answered it.
func (s *detector) begin(ctx context.Context) (context.Context, func(answered bool)) {
	ctx, cancel := context.WithCancelCause(ctx)
	u := &inFlightCall{sent: s.boot(), cancel: cancel}
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

// unansweredFor returns how long the oldest call in flight has waited since it was sent or since the last answer of the
// instance to any call, whichever is later. It returns 0 if no call is in flight.
func (s *detector) unansweredFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.boot()
	var longest time.Duration
	for u := range s.calls {
		longest = max(longest, now-max(u.sent, s.answered))
	}
	return longest
}

// startProbe reports whether a liveness probe is due, and marks it as in flight. The caller sends it and then calls
// finishProbe.
func (s *detector) startProbe() bool {
	if s.unansweredFor() < livenessProbeAfter {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.probing {
		return false
	}
	s.probing = true
	return true
}

// finishProbe takes the result of a liveness probe. If the instance did not answer, it cancels all calls in flight and
// closes all connections, so that later calls dial again.
func (s *detector) finishProbe(answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probing = false
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

// trackedConn is a connection that removes itself from its detector when it is closed.
type trackedConn struct {
	net.Conn
	detector *detector
}

// Close implements net.Conn.
func (w *trackedConn) Close() error {
	w.detector.mu.Lock()
	delete(w.detector.conns, w.Conn)
	w.detector.mu.Unlock()
	return w.Conn.Close()
}

// dial opens a connection and registers it. It is the dial function of the HTTP transport.
func (s *detector) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.conns[conn] = struct{}{}
	s.mu.Unlock()
	return &trackedConn{Conn: conn, detector: s}, nil
}

// detectSilence starts liveness probes of instances that leave calls unanswered, until the client is closed.
func (c *Client) detectSilence() {
	ticker := time.NewTicker(silenceCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-c.closed:
			return
		}
		c.mu.Lock()
		for _, p := range c.peers {
			if p.detector.startProbe() {
				go c.probeLiveness(p)
			}
		}
		c.mu.Unlock()
	}
}

// probeLiveness sends a Probe call that names no server, which a running instance answers at once. The call is not
// registered with the detector.
func (c *Client) probeLiveness(p *peer) {
	ctx, cancel := context.WithTimeout(context.Background(), livenessProbeTimeout)
	defer cancel()
	_, err := call(ctx, "ask", p.service.Probe, &relayv1.ProbeRequest{}, livenessProbeTimeout)
	p.detector.finishProbe(err == nil)
}
