// Package relay implements the calls that entry instances make to each other, with connect-go over HTTP/2 without TLS:
// statements that run on a server connection of another instance, gossip, rate tokens, read indexes, probes of servers and
// requests to change the primary of a group.
//
// # Usage
//
//	server := relay.NewServer(relay.NewHandler(services, clock.Boot))
//	go server.Serve(listener)
//
//	client := relay.NewClient(clock.Boot)
//	answer := client.Execute(ctx, "10.1.0.27:7560", "meals-1-a", call)
//
// A failed call returns an *Error. Its field Sent is false if no connection was obtained; after any other failure the
// receiver may have handled the call. Messages hold ages instead of timestamps, because the clocks of two instances are not
// comparable.
package relay

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"tanagercross/internal/database/readindex"
	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/view"
	relayv1 "tanagercross/internal/genproto/relay/v1"
	"tanagercross/internal/genproto/relay/v1/relayv1connect"
	"tanagercross/internal/organisation/allotment"
	"tanagercross/internal/service/trace"
)

// Timeouts and size limits of calls.
const (
	gossipTimeout        = 500 * time.Millisecond
	takeTokensTimeout    = 300 * time.Millisecond
	readIndexTimeout     = 400 * time.Millisecond
	probeTimeout         = 900 * time.Millisecond
	changePrimaryTimeout = time.Second
	dialTimeout          = 400 * time.Millisecond
	idleTimeout          = 90 * time.Second
	readHeaderTimeout    = 5 * time.Second
	maximumStreams       = 1000
	maximumMessageBytes  = 16 << 20
	// responseMargin is added to the timeout of a statement for the transit of its response.
	responseMargin = 150 * time.Millisecond
)

// Error is the error type of the package.
type Error struct {
	Operation string
	Sent      bool // the receiver may have handled the call
	Err       error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("relay: %s: %v", e.Operation, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Gossip is the message that instances exchange periodically.
type Gossip struct {
	Sender  view.Presence
	Rates   map[string]float64 // demand of the sender's own callers by organisation, in operations per second
	State   view.State
	Steward bool // the sender coordinates its place
}

// Probe is the result of probing a server from another instance.
type Probe struct {
	Reached bool // the server answered the instance
	Primary bool // the server is a primary, by its report or, if it is too busy to report, by its row in the store
}

// PrimaryChange asks for a new primary of a group.
type PrimaryChange struct {
	Group   string
	Primary string // id of the server to replace; empty if none is known
	Planned bool   // the primary still serves and is replaced in an orderly way
}

// TokenRequest asks for tokens from the rate limit of an organisation.
type TokenRequest struct {
	From         string // name of the instance that asks
	Organisation string
	Wanted       int
	// ByClass names the classes of the tokens wanted; those that it does not name are of the lowest class.
	ByClass allotment.ByClass
	Lend    bool // the tokens are borrowed for callers of another place
}

// Services are the operations that an instance offers to others. A handler of NewHandler calls them concurrently.
type Services interface {
	// Execute runs a statement on a server.
	Execute(ctx context.Context, server string, c statement.Call) statement.Answer
	// Gossip merges the state of the sender and returns what the sender lacks.
	Gossip(ctx context.Context, e Gossip) view.State
	// TakeTokens grants tokens from the rate limit of an organisation.
	TakeTokens(ctx context.Context, t TokenRequest) allotment.Grant
	// ReadIndex returns a log position that a primary confirmed while it was the leader, and false if there is none.
	ReadIndex(ctx context.Context, server string) (readindex.Index, bool)
	// Probe reports whether the instance reaches a server.
	Probe(ctx context.Context, server string) Probe
	// ChangePrimary starts a change of primary. It returns without waiting for its end. If the instance knows another
	// leader than the server to replace, it does not accept the change and returns that leader.
	ChangePrimary(ctx context.Context, s PrimaryChange) (accepted bool, l view.Leader)
}

// NewServer returns an HTTP server for a handler that speaks HTTP/2 without TLS.
func NewServer(h http.Handler) *http.Server {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: h, Protocols: &protocols, ReadHeaderTimeout: readHeaderTimeout,
		HTTP2: &http.HTTP2Config{MaxConcurrentStreams: maximumStreams},
	}
}

// Client calls other instances. It is safe for concurrent use.
type Client struct {
	boot   func() time.Duration
	mu     sync.Mutex
	peers  map[string]*peer
	closed chan struct{}
	once   sync.Once
}

// peer holds the connections to one instance.
type peer struct {
	service   relayv1connect.RelayServiceClient
	transport *http.Transport
	detector  *detector
}

// NewClient returns a client. Connections are opened on demand. boot returns the time since the machine started.
func NewClient(boot func() time.Duration) *Client {
	c := &Client{boot: boot, peers: map[string]*peer{}, closed: make(chan struct{})}
	go c.detectSilence()
	return c
}

// Close stops the detection of silent instances and closes idle connections. Calls in flight go on.
func (c *Client) Close() {
	c.once.Do(func() { close(c.closed) })
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		p.transport.CloseIdleConnections()
	}
}

// peer returns the peer at an address and creates it on first use.
func (c *Client) peer(address string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[address]
	if !ok {
		var protocols http.Protocols
		protocols.SetUnencryptedHTTP2(true)
		p = &peer{detector: newDetector(c.boot)}
		p.transport = &http.Transport{Protocols: &protocols, IdleConnTimeout: idleTimeout, DialContext: p.detector.dial}
		// Messages are small, and compressing them costs more than it saves.
		p.service = relayv1connect.NewRelayServiceClient(&http.Client{Transport: p.transport}, "http://"+address,
			connect.WithAcceptCompression("gzip", nil, nil), connect.WithReadMaxBytes(maximumMessageBytes))
		c.peers[address] = p
	}
	return p
}

// method is an RPC method of the generated client.
type method[I, O any] func(context.Context, *connect.Request[I]) (*connect.Response[O], error)

// call makes a call and returns its failure as *Error.
func call[I, O any](ctx context.Context, operation string, m method[I, O], in *I, timeout time.Duration) (*O, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ctx, connection := trace.Connect(ctx)
	response, err := m(ctx, connect.NewRequest(in))
	if err != nil {
		return nil, &Error{Operation: operation, Sent: connection.Obtained(), Err: eris.Wrap(err, "call")}
	}
	return response.Msg, nil
}

// monitoredCall makes a call that is cancelled before its timeout if the instance does not answer a liveness probe.
func monitoredCall[I, O any](ctx context.Context, operation string, p *peer, m method[I, O], in *I, timeout time.Duration) (*O, error) {
	ctx, end := p.detector.begin(ctx)
	out, err := call(ctx, operation, m, in, timeout)
	end(err == nil)
	return out, err
}

// Execute runs a statement on a server through the instance at an address. It fails without a call for statements that are
// never forwarded.
func (c *Client) Execute(ctx context.Context, address, server string, s statement.Call) (statement.Answer, error) {
	in, err := encodeCall(server, s)
	if err != nil {
		return statement.Answer{}, &Error{Operation: "execute", Err: err}
	}
	p := c.peer(address)
	out, err := monitoredCall(ctx, "execute", p, p.service.Execute, in, s.Timeout+responseMargin)
	if err != nil {
		return statement.Answer{}, err
	}
	return decodeAnswer(out), nil
}

// Gossip sends this instance's state to another instance and returns the state in the response.
func (c *Client) Gossip(ctx context.Context, address string, e Gossip) (view.State, error) {
	sent := c.boot()
	in := &relayv1.ExchangeRequest{
		Sender: encodePresence(e.Sender, sent), Rates: encodeRates(e.Rates), Beliefs: encodeState(e.State, sent),
		Steward: e.Steward,
	}
	p := c.peer(address)
	out, err := monitoredCall(ctx, "exchange", p, p.service.Exchange, in, gossipTimeout)
	if err != nil {
		return view.State{}, err
	}
	// Ages count from the departure of the response. Subtracting them from the time at which the request was sent, which
	// is earlier, never makes the state look fresher than it is.
	return decodeState(out.Beliefs, sent), nil
}

// TakeTokens asks an instance for rate tokens. If it fails, tokens may have been granted and are lost.
func (c *Client) TakeTokens(ctx context.Context, address string, t TokenRequest) (allotment.Grant, error) {
	in := &relayv1.TakeRequest{From: t.From, Organisation: t.Organisation, Wanted: uint32(max(0, t.Wanted)), Lend: t.Lend, WantedByPriority: encodeByClass(t.ByClass)}
	p := c.peer(address)
	out, err := monitoredCall(ctx, "take", p, p.service.Take, in, takeTokensTimeout)
	if err != nil {
		return allotment.Grant{}, err
	}
	return allotment.Grant{
		Granted: int(out.Granted), NotHome: out.NotHome, RetryAfter: time.Duration(out.RetryMilliseconds) * time.Millisecond,
	}, nil
}

// ReadIndex asks the instance that is connected to a primary for a log position that the primary confirmed while it was the
// leader. It returns false if the instance has none.
func (c *Client) ReadIndex(ctx context.Context, address, server string) (readindex.Index, bool, error) {
	sent := c.boot()
	p := c.peer(address)
	out, err := monitoredCall(ctx, "head", p, p.service.Head, &relayv1.HeadRequest{Server: server}, readIndexTimeout)
	if err != nil || !out.Proved {
		return readindex.Index{}, false, err
	}
	age := time.Duration(out.AgeMilliseconds) * time.Millisecond
	return readindex.Index{Position: decodePosition(out.Position), RequestedAt: sent - age}, true, nil
}

// Probe asks an instance whether it reaches a server and whether that server is a primary.
func (c *Client) Probe(ctx context.Context, address, server string) (Probe, error) {
	p := c.peer(address)
	out, err := monitoredCall(ctx, "probe", p, p.service.Probe, &relayv1.ProbeRequest{Server: server}, probeTimeout)
	if err != nil {
		return Probe{}, err
	}
	return Probe{Reached: out.Reached, Primary: out.Primary}, nil
}

// ChangePrimary asks an instance to replace the primary of a group. It returns whether the instance accepted the change and,
// if it knows another leader, that leader.
func (c *Client) ChangePrimary(ctx context.Context, address string, s PrimaryChange) (bool, view.Leader, error) {
	in := &relayv1.SucceedRequest{Group: s.Group, Primary: s.Primary, Planned: s.Planned}
	p := c.peer(address)
	out, err := monitoredCall(ctx, "succeed", p, p.service.Succeed, in, changePrimaryTimeout)
	if err != nil {
		return false, view.Leader{}, err
	}
	return out.Accepted, decodeLeader(out.Leader), nil
}
