package peer

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	peerv1 "tanagercross/internal/genproto/peer/v1"
	"tanagercross/internal/genproto/peer/v1/peerv1connect"
)

// NewHandler returns the HTTP handler of an instance's services. Calls without a valid MAC are refused. The others are
// accepted besides the secret, so that instances with the old and the new secret can call each other.
func NewHandler(secret []byte, s Services, others ...[]byte) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerServiceHandler(handler{services: s},
		connect.WithInterceptors(authenticator{secret: secret, others: others, now: time.Now}),
		connect.WithReadMaxBytes(maximumMessageBytes)))
	return mux
}

type handler struct{ services Services }

// Exchange implements peerv1connect.PeerServiceHandler.
func (h handler) Exchange(
	ctx context.Context, r *connect.Request[peerv1.ExchangeRequest],
) (*connect.Response[peerv1.ExchangeResponse], error) {
	request, err := decodeRequest(r.Msg, time.Now())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	answer, err := encodeResponse(h.services.Exchange(ctx, request), time.Now())
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(answer), nil
}

// Perform implements peerv1connect.PeerServiceHandler.
func (h handler) Perform(
	ctx context.Context, r *connect.Request[peerv1.PerformRequest],
) (*connect.Response[peerv1.PerformResponse], error) {
	op, err := decodeOperation(r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewResponse(encodeReply(h.services.Perform(ctx, r.Msg.Server, op))), nil
}

// Vote implements peerv1connect.PeerServiceHandler.
func (h handler) Vote(
	ctx context.Context, r *connect.Request[peerv1.VoteRequest],
) (*connect.Response[peerv1.VoteResponse], error) {
	granted := h.services.Vote(ctx, decodeBallot(r.Msg))
	return connect.NewResponse(&peerv1.VoteResponse{Granted: integers[uint32](granted)}), nil
}

// Take implements peerv1connect.PeerServiceHandler.
func (h handler) Take(
	ctx context.Context, r *connect.Request[peerv1.TakeRequest],
) (*connect.Response[peerv1.TakeResponse], error) {
	return connect.NewResponse(encodeGrants(h.services.Take(ctx, r.Msg.From, decodeTakes(r.Msg)))), nil
}
