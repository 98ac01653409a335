package relay

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	relayv1 "tanagercross/internal/genproto/relay/v1"
	"tanagercross/internal/genproto/relay/v1/relayv1connect"
)

// NewHandler returns an HTTP handler that serves the RPCs of RelayService by s. boot returns the time since the machine
// started.
func NewHandler(s Services, boot func() time.Duration) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(relayv1connect.NewRelayServiceHandler(&handler{services: s, boot: boot}, connect.WithReadMaxBytes(maximumMessageBytes)))
	return mux
}

// handler implements relayv1connect.RelayServiceHandler: it decodes messages and calls the services.
type handler struct {
	services Services
	boot     func() time.Duration
}

// Execute runs a statement. It fails with CodeInvalidArgument if the request cannot be decoded.
func (h *handler) Execute(ctx context.Context, r *connect.Request[relayv1.ExecuteRequest]) (*connect.Response[relayv1.ExecuteResponse], error) {
	c, err := decodeCall(r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewResponse(encodeAnswer(h.services.Execute(ctx, r.Msg.Server, c))), nil
}

// Exchange merges the state of the sender and returns what the sender lacks.
func (h *handler) Exchange(ctx context.Context, r *connect.Request[relayv1.ExchangeRequest]) (*connect.Response[relayv1.ExchangeResponse], error) {
	received := h.boot()
	e := Gossip{
		Sender: decodePresence(r.Msg.Sender, received), Rates: decodeRates(r.Msg.Rates),
		// The time in transit of the request is unknown, so the ages in it may be too low. Nothing that relies on a
		// proven age is taken from it.
		State: decodeState(r.Msg.Beliefs, received), Steward: r.Msg.Steward,
	}
	b := h.services.Gossip(ctx, e)
	return connect.NewResponse(&relayv1.ExchangeResponse{Beliefs: encodeState(b, h.boot())}), nil
}

// Take grants rate tokens.
func (h *handler) Take(ctx context.Context, r *connect.Request[relayv1.TakeRequest]) (*connect.Response[relayv1.TakeResponse], error) {
	g := h.services.TakeTokens(ctx, TokenRequest{
		From: r.Msg.From, Organisation: r.Msg.Organisation, Wanted: int(r.Msg.Wanted), Lend: r.Msg.Lend,
		ByClass: decodeByClass(r.Msg.WantedByPriority, int(r.Msg.Wanted)),
	})
	return connect.NewResponse(&relayv1.TakeResponse{
		Granted: uint32(max(0, g.Granted)), RetryMilliseconds: uint32(g.RetryAfter.Milliseconds()), NotHome: g.NotHome,
	}), nil
}

// Head returns a log position that a primary confirmed while it was the leader. Proved is false if there is none.
func (h *handler) Head(ctx context.Context, r *connect.Request[relayv1.HeadRequest]) (*connect.Response[relayv1.HeadResponse], error) {
	p, ok := h.services.ReadIndex(ctx, r.Msg.Server)
	if !ok {
		return connect.NewResponse(&relayv1.HeadResponse{}), nil
	}
	return connect.NewResponse(&relayv1.HeadResponse{
		Proved: true, Position: encodePosition(p.Position), AgeMilliseconds: ageMilliseconds(h.boot(), p.RequestedAt),
	}), nil
}

// Probe reports whether this instance reaches a server.
func (h *handler) Probe(ctx context.Context, r *connect.Request[relayv1.ProbeRequest]) (*connect.Response[relayv1.ProbeResponse], error) {
	p := h.services.Probe(ctx, r.Msg.Server)
	return connect.NewResponse(&relayv1.ProbeResponse{Reached: p.Reached, Primary: p.Primary}), nil
}

// Succeed requests a change of the primary of a group.
func (h *handler) Succeed(ctx context.Context, r *connect.Request[relayv1.SucceedRequest]) (*connect.Response[relayv1.SucceedResponse], error) {
	accepted, l := h.services.ChangePrimary(ctx, PrimaryChange{Group: r.Msg.Group, Primary: r.Msg.Primary, Planned: r.Msg.Planned})
	return connect.NewResponse(&relayv1.SucceedResponse{Accepted: accepted, Leader: encodeLeader(l)}), nil
}
