// Package peer connects instances to each other with connect-go over HTTP/2 without TLS.
//
// # Usage
//
//	server := peer.NewServer(peer.NewHandler(secret, services))
//	go server.Serve(listener)
//
//	client := peer.NewClient(secret, nil)
//	defer client.Close()
//	answer, err := client.Exchange(ctx, "10.0.0.7:7400", request)
//	reply := client.Perform(ctx, "10.0.0.7:7400", "meals-1-a", op)
//
// Perform returns no error: a call that failed becomes an outcome. It is "not run" only if the request got no
// connection, was refused before it ran, or has no lasting effect (Read, Lookup, Begin). Any other failure leaves the
// outcome unknown.
//
// Every call is authenticated by a MAC under the fleet secret over a timestamp and the method. Bodies are not covered:
// the secret keeps strangers out, it does not protect against someone who can alter traffic between instances.
package peer

import (
	"context"
	"net/http"
	"time"

	"tanagercross/internal/database/operation"
	"tanagercross/internal/fleet/exchange"
)

// Limits of calls.
const (
	exchangeTimeout = time.Second
	voteTimeout     = time.Second
	takeTimeout     = 500 * time.Millisecond
	performTimeout  = 30 * time.Second // if the caller's context has no deadline
	dialTimeout     = time.Second
	idleTimeout     = 90 * time.Second
	// A connection without traffic is pinged, so that one to a frozen or unreachable instance is replaced.
	pingAfter           = 2 * time.Second
	pingTimeout         = 2 * time.Second
	readHeaderTimeout   = 5 * time.Second
	maximumMessageBytes = 32 << 20
	maximumStreams      = 1000
)

// Ballot asks a committee member for leases of shards, or releases them.
type Ballot struct {
	Candidate     string
	Incarnation   uint64
	RosterVersion uint64
	Shards        []int
	Release       bool
}

// Take asks for rate tokens of an organisation.
type Take struct {
	Organisation string
	Wanted       int
	Unused       int // tokens of the last batch that were not spent; for sizing only
}

// Grant answers a Take.
type Grant struct {
	Organisation string
	Granted      int
	NotHome      bool
	RetryAfter   time.Duration
}

// Services is what an instance offers to others.
type Services interface {
	// Exchange merges a request and returns the answer.
	Exchange(ctx context.Context, request exchange.Message) exchange.Message
	// Perform runs an operation through a lane that the instance holds.
	Perform(ctx context.Context, server string, op operation.Operation) operation.Reply
	// Vote returns the shards that are granted.
	Vote(ctx context.Context, b Ballot) []int
	// Take returns a grant for each organisation asked for.
	Take(ctx context.Context, from string, takes []Take) []Grant
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

func newTransport(dial Dial) *http.Transport {
	if dial == nil {
		dial = dialer.DialContext
	}
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		Protocols: &protocols, IdleConnTimeout: idleTimeout, DialContext: dial,
		HTTP2: &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
}
