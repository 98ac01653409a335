package peer

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"slices"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
)

const (
	authHeader = "X-Fleet-Auth"
	// maximumSkew bounds the difference between the wall clocks of two instances plus the time under way.
	maximumSkew = time.Minute
)

// authenticator adds and checks the MAC of calls; it is an interceptor for both sides.
type authenticator struct {
	secret []byte   // signs
	others [][]byte // accepted too, while the secret of the fleet is being replaced
	now    func() time.Time
}

func mac(secret []byte, stamp, procedure string) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(stamp + "\n" + procedure))
	return h.Sum(nil)
}

func (a authenticator) sign(procedure string) string {
	stamp := strconv.FormatInt(a.now().UnixMilli(), 10)
	return stamp + "." + base64.RawURLEncoding.EncodeToString(mac(a.secret, stamp, procedure))
}

func (a authenticator) check(header, procedure string) error {
	stamp, text, _ := strings.Cut(header, ".")
	given, err := base64.RawURLEncoding.DecodeString(text)
	valid := func(secret []byte) bool { return hmac.Equal(given, mac(secret, stamp, procedure)) }
	if err != nil || !valid(a.secret) && !slices.ContainsFunc(a.others, valid) {
		return eris.New("call is not authenticated")
	}
	ms, err := strconv.ParseInt(stamp, 10, 64)
	if err != nil || a.now().Sub(time.UnixMilli(ms)).Abs() > maximumSkew {
		return eris.New("timestamp of the call is out of range")
	}
	return nil
}

// WrapUnary implements connect.Interceptor.
func (a authenticator) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		if r.Spec().IsClient {
			r.Header().Set(authHeader, a.sign(r.Spec().Procedure))
		} else if err := a.check(r.Header().Get(authHeader), r.Spec().Procedure); err != nil {
			return nil, connect.NewError(connect.CodeUnauthenticated, err)
		}
		return next(ctx, r)
	}
}

// WrapStreamingClient implements connect.Interceptor; the service has no streams.
func (a authenticator) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler implements connect.Interceptor and refuses streams.
func (a authenticator) WrapStreamingHandler(connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(context.Context, connect.StreamingHandlerConn) error {
		return connect.NewError(connect.CodeUnimplemented, eris.New("no streams"))
	}
}
