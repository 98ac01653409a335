// Package relay connects entry instances to each other with connect-go over HTTP/2 without TLS.
//
// # Usage
//
//	server := relay.NewServer(relay.NewHandler(services, clock.Boot))
//	go server.Serve(listener)
//
//	client := relay.NewClient(clock.Boot)
//	answer := client.Execute(ctx, "10.1.0.27:7560", "meals-1-a", call)
//
// Execute returns fate NotSent if no connection was obtained or the receiver says so, and Lost for any other failure.
// Ages are sent instead of moments, because clocks of two instances are not compared.
package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
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

// Limits of calls.
const (
	exchangeTimeout     = 500 * time.Millisecond
	takeTimeout         = 300 * time.Millisecond
	headTimeout         = 400 * time.Millisecond
	probeTimeout        = 900 * time.Millisecond
	succeedTimeout      = time.Second
	dialTimeout         = 400 * time.Millisecond
	idleTimeout         = 90 * time.Second
	readHeaderTimeout   = 5 * time.Second
	maximumStreams      = 1000
	maximumMessageBytes = 16 << 20
	// answerMargin is added to a statement's time for the way of the answer.
	answerMargin = 150 * time.Millisecond
)

// Error is the error type of the package.
type Error struct {
	Operation string
	Sent      bool // the receiver may have handled the call
	Refused   bool // nothing listens at the address
	Err       error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("relay: %s: %v", e.Operation, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Exchange is what one instance tells another.
type Exchange struct {
	Sender  view.Presence
	Rates   map[string]float64 // the sender's own demand by organisation
	Beliefs view.State
	Steward bool // the sender acts for its place
}

// Probe is what an instance sees of a server.
type Probe struct {
	Reached bool
	Primary bool
}

// Succession asks for a new primary of a group.
type Succession struct {
	Group   string
	Primary string // id of the server to replace; empty if none is known
	Planned bool   // the primary still serves
}

// Tokens asks for tokens of an organisation's rate.
type Tokens struct {
	From         string // instance
	Organisation string
	Wanted       int
	Lend         bool // for callers of another place
}

// Services is what an instance offers to others.
type Services interface {
	Execute(ctx context.Context, server string, c statement.Call) statement.Answer
	Exchange(ctx context.Context, e Exchange) view.State
	Take(ctx context.Context, t Tokens) allotment.Grant
	Head(ctx context.Context, server string) (readindex.Index, bool)
	Probe(ctx context.Context, server string) Probe
	Succeed(ctx context.Context, s Succession) (accepted bool, l view.Leader)
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

// peer is one instance with its connection.
type peer struct {
	service   relayv1connect.RelayServiceClient
	transport *http.Transport
	silence   *silence
}

// NewClient returns a client without connections.
func NewClient(boot func() time.Duration) *Client {
	c := &Client{boot: boot, peers: map[string]*peer{}, closed: make(chan struct{})}
	go c.watch()
	return c
}

// Close closes idle connections.
func (c *Client) Close() {
	c.once.Do(func() { close(c.closed) })
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		p.transport.CloseIdleConnections()
	}
}

func (c *Client) peer(address string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[address]
	if !ok {
		var protocols http.Protocols
		protocols.SetUnencryptedHTTP2(true)
		p = &peer{silence: newSilence(c.boot)}
		p.transport = &http.Transport{Protocols: &protocols, IdleConnTimeout: idleTimeout, DialContext: p.silence.dial}
		// Messages are small, and compressing them costs more than it saves.
		p.service = relayv1connect.NewRelayServiceClient(&http.Client{Transport: p.transport}, "http://"+address,
			connect.WithAcceptCompression("gzip", nil, nil), connect.WithReadMaxBytes(maximumMessageBytes))
		c.peers[address] = p
	}
	return p
}

type method[I, O any] func(context.Context, *connect.Request[I]) (*connect.Response[O], error)

func call[I, O any](ctx context.Context, operation string, m method[I, O], in *I, limit time.Duration) (*O, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ctx, connection := trace.Connect(ctx)
	response, err := m(ctx, connect.NewRequest(in))
	if err != nil {
		return nil, &Error{Operation: operation, Sent: connection.Obtained(), Refused: errors.Is(err, syscall.ECONNREFUSED), Err: eris.Wrap(err, "call")}
	}
	return response.Msg, nil
}

// watchedCall makes a call that ends early if the instance stays silent.
func watchedCall[I, O any](ctx context.Context, operation string, p *peer, m method[I, O], in *I, limit time.Duration) (*O, error) {
	ctx, end := p.silence.begin(ctx)
	out, err := call(ctx, operation, m, in, limit)
	end(err == nil)
	return out, err
}

// Execute runs a statement on a server through the instance at an address.
func (c *Client) Execute(ctx context.Context, address, server string, s statement.Call) (statement.Answer, error) {
	in, err := encodeCall(server, s)
	if err != nil {
		return statement.Answer{}, &Error{Operation: "execute", Err: err}
	}
	p := c.peer(address)
	out, err := watchedCall(ctx, "execute", p, p.service.Execute, in, s.Timeout+answerMargin)
	if err != nil {
		return statement.Answer{}, err
	}
	return decodeAnswer(out), nil
}

// Exchange tells an instance what this one knows and returns what it knows.
func (c *Client) Exchange(ctx context.Context, address string, e Exchange) (view.State, error) {
	sent := c.boot()
	in := &relayv1.ExchangeRequest{
		Sender: encodePresence(e.Sender, sent), Rates: encodeRates(e.Rates), Beliefs: encodeBeliefs(e.Beliefs, sent),
		Steward: e.Steward,
	}
	p := c.peer(address)
	out, err := watchedCall(ctx, "exchange", p, p.service.Exchange, in, exchangeTimeout)
	if err != nil {
		return view.State{}, err
	}
	// Ages count from the answer's departure, which is not before the request was sent.
	return decodeBeliefs(out.Beliefs, sent), nil
}

// Take asks an instance for rate tokens.
func (c *Client) Take(ctx context.Context, address string, t Tokens) (allotment.Grant, error) {
	in := &relayv1.TakeRequest{From: t.From, Organisation: t.Organisation, Wanted: uint32(max(0, t.Wanted)), Lend: t.Lend}
	p := c.peer(address)
	out, err := watchedCall(ctx, "take", p, p.service.Take, in, takeTimeout)
	if err != nil {
		return allotment.Grant{}, err
	}
	return allotment.Grant{Granted: int(out.Granted), RetryAfter: time.Duration(out.RetryMilliseconds) * time.Millisecond}, nil
}

// Head asks the instance that uses a primary for a position that the primary confirmed.
func (c *Client) Head(ctx context.Context, address, server string) (readindex.Index, bool, error) {
	sent := c.boot()
	p := c.peer(address)
	out, err := watchedCall(ctx, "head", p, p.service.Head, &relayv1.HeadRequest{Server: server}, headTimeout)
	if err != nil || !out.Proved {
		return readindex.Index{}, false, err
	}
	age := time.Duration(out.AgeMilliseconds) * time.Millisecond
	return readindex.Index{Position: decodePosition(out.Position), RequestedAt: sent - age}, true, nil
}

// Probe asks an instance whether it reaches a server.
func (c *Client) Probe(ctx context.Context, address, server string) (Probe, error) {
	p := c.peer(address)
	out, err := watchedCall(ctx, "probe", p, p.service.Probe, &relayv1.ProbeRequest{Server: server}, probeTimeout)
	if err != nil {
		return Probe{}, err
	}
	return Probe{Reached: out.Reached, Primary: out.Primary}, nil
}

// Succeed asks an instance to replace a primary.
func (c *Client) Succeed(ctx context.Context, address string, s Succession) (bool, view.Leader, error) {
	in := &relayv1.SucceedRequest{Group: s.Group, Primary: s.Primary, Planned: s.Planned}
	p := c.peer(address)
	out, err := watchedCall(ctx, "succeed", p, p.service.Succeed, in, succeedTimeout)
	if err != nil {
		return false, view.Leader{}, err
	}
	return out.Accepted, decodeLeader(out.Leader), nil
}
