package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"tanagercross/internal/database/operation"
	"tanagercross/internal/fleet/exchange"
	"tanagercross/internal/genproto/peer/v1/peerv1connect"
	"tanagercross/internal/service/trace"
	"tanagercross/internal/session/outcome"
)

var dialer = net.Dialer{Timeout: dialTimeout}

// Kind classifies errors by what the caller may conclude.
type Kind string

// Kinds of errors. Only Lost leaves open whether the peer handled the call.
const (
	NotSent Kind = "not_sent" // no connection; the peer has not seen the call
	Denied  Kind = "denied"   // the peer refused the call before it ran
	Lost    Kind = "lost"     // the answer was lost
)

// Error is the error type of the package.
type Error struct {
	Operation string
	Kind      Kind
	Err       error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("peer: %s: %s: %v", e.Operation, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of a peer error, and Lost for any other error, the careful assumption.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Lost
}

// Client calls other instances. It keeps one HTTP/2 connection per address and is safe for concurrent use.
type Client struct {
	http  *http.Client
	auth  authenticator
	mu    sync.Mutex
	peers map[string]peerv1connect.PeerServiceClient
}

// Dial opens a connection to an instance.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client that authenticates its calls with the fleet secret. A nil dial is plain TCP.
func NewClient(secret []byte, dial Dial) *Client {
	return &Client{
		http: &http.Client{Transport: newTransport(dial)}, auth: authenticator{secret: secret, now: time.Now},
		peers: map[string]peerv1connect.PeerServiceClient{},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Retain forgets the addresses that are not kept, for members that left the roster.
func (c *Client) Retain(keep func(address string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address := range c.peers {
		if !keep(address) {
			delete(c.peers, address)
		}
	}
}

func (c *Client) peer(address string) peerv1connect.PeerServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[address]
	if !ok {
		// Messages are small, and compressing them costs more than it saves.
		p = peerv1connect.NewPeerServiceClient(c.http, "http://"+address, connect.WithInterceptors(c.auth),
			connect.WithAcceptCompression("gzip", nil, nil), connect.WithReadMaxBytes(maximumMessageBytes))
		c.peers[address] = p
	}
	return p
}

type method[I, O any] func(context.Context, *connect.Request[I]) (*connect.Response[O], error)

// call makes one call and classifies its error. A request is known not to have been sent if no connection was
// obtained for it.
func call[I, O any](ctx context.Context, operation string, m method[I, O], in *I, limit time.Duration) (*O, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ctx, connection := trace.Connect(ctx)
	response, err := m(ctx, connect.NewRequest(in))
	if err == nil {
		return response.Msg, nil
	}
	kind := Lost
	switch {
	case !connection.Obtained():
		kind = NotSent
	case connect.IsWireError(err) && refused(connect.CodeOf(err)):
		kind = Denied
	}
	return nil, &Error{Operation: operation, Kind: kind, Err: eris.Wrap(err, "call")}
}

// refused reports whether the handler of this package answers with the code only before it runs anything.
func refused(c connect.Code) bool {
	return c == connect.CodeUnauthenticated || c == connect.CodeInvalidArgument
}

// Exchange exchanges state with the instance at an address (host:port).
func (c *Client) Exchange(ctx context.Context, address string, m exchange.Message) (exchange.Message, error) {
	sent := time.Now()
	in, err := encodeRequest(m, sent)
	if err != nil {
		return exchange.Message{}, &Error{Operation: "exchange", Kind: NotSent, Err: err}
	}
	out, err := call(ctx, "exchange", c.peer(address).Exchange, in, exchangeTimeout)
	if err != nil {
		return exchange.Message{}, err
	}
	answer, err := decodeResponse(out, sent)
	if err != nil {
		return exchange.Message{}, &Error{Operation: "exchange", Kind: Lost, Err: err}
	}
	return answer, nil
}

// Vote asks a committee member for leases.
func (c *Client) Vote(ctx context.Context, address string, b Ballot) ([]int, error) {
	out, err := call(ctx, "vote", c.peer(address).Vote, encodeBallot(b), voteTimeout)
	if err != nil {
		return nil, err
	}
	return integers[int](out.Granted), nil
}

// Take asks the home of organisations for rate tokens.
func (c *Client) Take(ctx context.Context, address, from string, takes []Take) ([]Grant, error) {
	out, err := call(ctx, "take", c.peer(address).Take, encodeTakes(from, takes), takeTimeout)
	if err != nil {
		return nil, err
	}
	return decodeGrants(out), nil
}

// Perform runs an operation on a server through a lane held by the instance at an address.
func (c *Client) Perform(ctx context.Context, address, server string, op operation.Operation) operation.Reply {
	in, err := encodeOperation(server, op)
	if err != nil {
		return operation.Reply{Verdict: outcome.NotRun(outcome.RequestInvalid).WithMessage(err.Error())}
	}
	out, err := call(ctx, "perform", c.peer(address).Perform, in, performTimeout)
	if err != nil {
		return operation.Reply{Verdict: verdict(ctx, op, err)}
	}
	reply := decodeReply(out)
	switch reply.Verdict.Outcome {
	case outcome.Done, outcome.NotRunOutcome, outcome.Unknown:
		return reply
	}
	return operation.Reply{Verdict: lost(ctx, op, "the answer names no known outcome")}
}

// verdict turns a failed call into an outcome.
func verdict(ctx context.Context, op operation.Operation, err error) outcome.Verdict {
	switch KindOf(err) {
	case NotSent:
		if ctx.Err() != nil {
			return outcome.NotRun(outcome.DeadlineExceeded).WithMessage(err.Error())
		}
		return outcome.NotRun(outcome.LaneUnavailable).WithMessage(err.Error())
	case Denied:
		return outcome.NotRun(outcome.LaneUnavailable).WithMessage(err.Error())
	}
	return lost(ctx, op, err.Error())
}

// lost is the verdict of an operation whose answer was lost. A read or a lookup changes nothing, and a transaction that
// was begun without an answer is rolled back when idle. A statement in a transaction must not be repeated.
func lost(ctx context.Context, op operation.Operation, message string) outcome.Verdict {
	switch op.(type) {
	case operation.Read, operation.Lookup, operation.Begin:
		if ctx.Err() != nil {
			return outcome.NotRun(outcome.DeadlineExceeded).WithMessage(message)
		}
		return outcome.NotRun(outcome.LaneUnavailable).WithMessage(message)
	}
	return outcome.NotKnown(outcome.AnswerLost).WithMessage(message)
}
