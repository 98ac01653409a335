package relay

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	relayv1 "tanagercross/internal/genproto/relay/v1"
	"tanagercross/internal/genproto/relay/v1/relayv1connect"
)

// NewHandler returns the HTTP handler for the services of an instance.
func NewHandler(s Services, boot func() time.Duration) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(relayv1connect.NewRelayServiceHandler(&handler{services: s, boot: boot}, connect.WithReadMaxBytes(maximumMessageBytes)))
	return mux
}

type handler struct {
	services Services
	boot     func() time.Duration
}

// Execute implements the service.
func (h *handler) Execute(ctx context.Context, r *connect.Request[relayv1.ExecuteRequest]) (*connect.Response[relayv1.ExecuteResponse], error) {
	c, err := decodeCall(r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewResponse(encodeAnswer(h.services.Execute(ctx, r.Msg.Server, c))), nil
}

// Exchange implements the service.
func (h *handler) Exchange(ctx context.Context, r *connect.Request[relayv1.ExchangeRequest]) (*connect.Response[relayv1.ExchangeResponse], error) {
	received := h.boot()
	e := Exchange{
		Sender: decodePresence(r.Msg.Sender, received), Rates: decodeRates(r.Msg.Rates),
		// How long the request was under way is not known; nothing that rests on a proven age is taken from it.
		Beliefs: decodeBeliefs(r.Msg.Beliefs, received), Steward: r.Msg.Steward,
	}
	b := h.services.Exchange(ctx, e)
	return connect.NewResponse(&relayv1.ExchangeResponse{Beliefs: encodeBeliefs(b, h.boot())}), nil
}

// Take implements the service.
func (h *handler) Take(ctx context.Context, r *connect.Request[relayv1.TakeRequest]) (*connect.Response[relayv1.TakeResponse], error) {
	g := h.services.Take(ctx, Tokens{
		From: r.Msg.From, Organisation: r.Msg.Organisation, Wanted: int(r.Msg.Wanted), Lend: r.Msg.Lend,
	})
	return connect.NewResponse(&relayv1.TakeResponse{
		Granted: uint32(max(0, g.Granted)), RetryMilliseconds: uint32(g.RetryAfter.Milliseconds()),
	}), nil
}

// Head implements the service.
func (h *handler) Head(ctx context.Context, r *connect.Request[relayv1.HeadRequest]) (*connect.Response[relayv1.HeadResponse], error) {
	p, ok := h.services.Head(ctx, r.Msg.Server)
	if !ok {
		return connect.NewResponse(&relayv1.HeadResponse{}), nil
	}
	return connect.NewResponse(&relayv1.HeadResponse{
		Proved: true, Position: encodePosition(p.Position), AgeMilliseconds: age(h.boot(), p.RequestedAt),
	}), nil
}

// Probe implements the service.
func (h *handler) Probe(ctx context.Context, r *connect.Request[relayv1.ProbeRequest]) (*connect.Response[relayv1.ProbeResponse], error) {
	p := h.services.Probe(ctx, r.Msg.Server)
	return connect.NewResponse(&relayv1.ProbeResponse{Reached: p.Reached, Primary: p.Primary}), nil
}

// Succeed implements the service.
func (h *handler) Succeed(ctx context.Context, r *connect.Request[relayv1.SucceedRequest]) (*connect.Response[relayv1.SucceedResponse], error) {
	accepted, l := h.services.Succeed(ctx, Succession{Group: r.Msg.Group, Primary: r.Msg.Primary, Planned: r.Msg.Planned})
	return connect.NewResponse(&relayv1.SucceedResponse{Accepted: accepted, Leader: encodeLeader(l)}), nil
}
