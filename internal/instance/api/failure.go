package api

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"time"

	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	"tanagercross/internal/organisation/key"
	"tanagercross/internal/session/outcome"
)

// class is an error name of the goa design with its status.
type class struct {
	name   string
	status int
}

var (
	badRequest     = class{"bad_request", http.StatusBadRequest}
	unauthorized   = class{"unauthorized", http.StatusUnauthorized}
	forbidden      = class{"forbidden", http.StatusForbidden}
	notFound       = class{"not_found", http.StatusNotFound}
	conflict       = class{"conflict", http.StatusConflict}
	tooLarge       = class{"too_large", http.StatusRequestEntityTooLarge}
	tooMany        = class{"too_many", http.StatusTooManyRequests}
	unavailable    = class{"unavailable", http.StatusServiceUnavailable}
	unknownOutcome = class{"unknown_outcome", http.StatusGatewayTimeout}
)

// tooLargeError names the decoder's error for a large body. It differs from the names in the design, since the
// generated code expects a Failure behind those.
const tooLargeError = "body_too_large"

// StatusOf returns the HTTP status of an outcome and its reason.
func StatusOf(o outcome.Outcome, r outcome.Reason) int {
	if o == outcome.Done {
		return http.StatusOK
	}
	return classOf(o, r).status
}

func classOf(o outcome.Outcome, r outcome.Reason) class {
	if o == outcome.Unknown {
		return unknownOutcome
	}
	switch r {
	case outcome.RequestInvalid, outcome.RequestExpired, outcome.TokenInvalid, outcome.StatementFailed:
		return badRequest
	case outcome.KeyMissing, outcome.KeyUnknown, outcome.KeyWithdrawn:
		return unauthorized
	case outcome.TokenForeign, outcome.TransactionForeign:
		return forbidden
	case outcome.GroupUnknown, outcome.TransactionUnknown:
		return notFound
	case outcome.RequestIDReused, outcome.TransactionExpired:
		return conflict
	case outcome.RequestTooLarge:
		return tooLarge
	case outcome.RateExceeded, outcome.QueueFull:
		return tooMany
	}
	return unavailable
}

// failureBody is the Failure of the design as JSON, used for every refusal.
type failureBody struct {
	Name         string `json:"name"`
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	Message      string `json:"message"`
	RequestID    string `json:"request_id"`
	SessionToken string `json:"session_token,omitempty"`
	AskAgain     string `json:"ask_again,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	status       int
}

// StatusCode implements goahttp.Statuser.
func (b failureBody) StatusCode() int { return b.status }

func newFailure(x *exchange, r Reply) failureBody {
	v := r.Verdict
	c := classOf(v.Outcome, v.Reason)
	if v.Message == "" {
		v.Message = messageOf(v.Reason)
	}
	b := failureBody{
		Name: c.name, Outcome: string(v.Outcome), Reason: string(v.Reason), Message: key.Redact(v.Message),
		RequestID: x.requestID, SessionToken: r.SessionToken, RetryAfterMS: int64(r.RetryAfter / time.Millisecond), status: c.status,
	}
	group := r.Group
	if group == "" {
		group = x.group
	}
	if v.Outcome == outcome.Unknown && group != "" {
		b.AskAgain = "/v1/groups/" + url.PathEscape(group) + "/requests/" + url.PathEscape(x.requestID)
	}
	return b
}

// refusal carries a failure through the generated code. It has no error name of the design, so that the generated code
// hands it to format.
type refusal struct{ body failureBody }

// Error implements error.
func (r *refusal) Error() string { return r.body.Message }

// format turns every error of the services and of the decoders into a failure.
func format(ctx context.Context, err error) goahttp.Statuser {
	x := exchangeOf(ctx)
	var r *refusal
	if errors.As(err, &r) {
		return r.body
	}
	var g *goa.ServiceError
	if errors.As(err, &g) {
		if g.Name == tooLargeError {
			return x.refuse(outcome.RequestTooLarge, g.Message)
		}
		return x.refuse(outcome.RequestInvalid, g.Message)
	}
	return x.refuse(outcome.RequestInvalid, err.Error())
}

func messageOf(r outcome.Reason) string {
	switch r {
	case outcome.KeyMissing:
		return "header x-api-key is required"
	case outcome.KeyUnknown:
		return "the key in header x-api-key belongs to no organisation"
	case outcome.KeyWithdrawn:
		return "the key in header x-api-key was withdrawn"
	case outcome.AnswerLost:
		return "the answer of the database was lost; ask for the outcome or repeat the request with the same id"
	}
	return "reason " + string(r)
}
