package api

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	"tanagercross/internal/instance/intake"
	"tanagercross/internal/organisation/key"
	"tanagercross/internal/session/outcome"
)

const (
	keyHeader     = "X-Api-Key"
	requestHeader = "X-Request-Id"
	tokenHeader   = "X-Session-Token"
)

// exchange is the state of one HTTP request between the handler and the services.
type exchange struct {
	key       key.Hash
	requestID string
	route     string
	group     string          // of the request's path, if it has one
	header    http.Header     // of the answer
	body      *intake.Account // nil for a short body

	organisation string
	outcome      outcome.Outcome
	reason       outcome.Reason
	started      time.Time
}

type exchangeKey struct{}

func exchangeOf(ctx context.Context) *exchange {
	if x, ok := ctx.Value(exchangeKey{}).(*exchange); ok {
		return x
	}
	return &exchange{header: http.Header{}}
}

// newExchange takes the key out of the request, so that nothing behind it can see the key.
func newExchange(w http.ResponseWriter, r *http.Request) (*exchange, bool) {
	x := &exchange{header: w.Header(), started: time.Now(), outcome: outcome.Done}
	if text := r.Header.Get(keyHeader); text != "" {
		x.key = key.HashOf(text)
	}
	r.Header.Del(keyHeader)
	id, valid := requestID(r.Header.Get(requestHeader))
	x.requestID = id
	r.Header.Set(requestHeader, id)
	w.Header().Set(requestHeader, id)
	return x, valid
}

// requestID returns the caller's id, or a new one if it is absent or not a UUID.
func requestID(given string) (id string, valid bool) {
	if given == "" {
		return newID(), true
	}
	u, err := uuid.Parse(given)
	if err != nil || u.Version() != 7 || u.String() != given {
		return newID(), false
	}
	return given, true
}

func newID() string {
	id, err := uuid.NewV7()
	if err != nil {
		// The random source of the system does not fail on the supported platforms.
		panic(err)
	}
	return id.String()
}

// refuse records and returns a failure that the API itself decides; nothing was run.
func (x *exchange) refuse(r outcome.Reason, message string) failureBody {
	x.outcome, x.reason = outcome.NotRunOutcome, r
	return newFailure(x, Reply{Verdict: outcome.NotRun(r).WithMessage(message)})
}

// record keeps what the access log needs and returns the refusal of a reply that is not Done.
func (x *exchange) record(r Reply) error {
	switch r.Verdict.Outcome {
	case outcome.Done, outcome.NotRunOutcome, outcome.Unknown:
	default:
		// An executor that gives no verdict may have run the request.
		r.Verdict = outcome.NotKnown(outcome.OutcomeUnreadable)
	}
	x.organisation = r.Organisation
	x.outcome, x.reason = r.Verdict.Outcome, r.Verdict.Reason
	if r.SessionToken != "" {
		x.header.Set(tokenHeader, r.SessionToken)
	}
	if r.Verdict.Outcome == outcome.Done {
		return nil
	}
	return &refusal{body: newFailure(x, r)}
}

// repeated marks a call as a repetition of one whose outcome is unknown.
func (c Call) repeated(repeat *bool) Call {
	c.Repeat = repeat != nil && *repeat
	return c
}

func (x *exchange) call(token *string, deadlineMS *int) Call {
	c := Call{Key: x.key, RequestID: x.requestID}
	if token != nil {
		c.SessionToken = *token
	}
	if deadlineMS != nil {
		c.Deadline = fromMilliseconds(*deadlineMS)
	}
	return c
}

// maxMilliseconds keeps durations of callers far from overflow.
const maxMilliseconds = int(366 * 24 * time.Hour / time.Millisecond)

func fromMilliseconds(n int) time.Duration {
	return time.Duration(min(n, maxMilliseconds)) * time.Millisecond
}
