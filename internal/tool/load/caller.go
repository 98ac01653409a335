package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/google/uuid"

	"tanagercross/internal/session/outcome"
)

const maxAnswerBytes = 64 << 20

// body is the body of a request of the caller API.
type body struct {
	Mode       string   `json:"mode,omitempty"`
	SQL        string   `json:"sql"`
	Arguments  []cell   `json:"arguments,omitempty"`
	MaxAgeMS   *int64   `json:"max_age_ms,omitempty"`
	Unresolved []string `json:"unresolved,omitempty"`
}

type cell struct {
	Value *string `json:"value,omitempty"`
}

// reply is an answer or a failure of the caller API.
type reply struct {
	Outcome      outcome.Outcome `json:"outcome"`
	Reason       outcome.Reason  `json:"reason"`
	RequestID    string          `json:"request_id"`
	SessionToken string          `json:"session_token"`
	ServedBy     string          `json:"served_by"`
	Transaction  string          `json:"transaction"`
	RetryAfterMS int64           `json:"retry_after_ms"`
	Rows         []struct {
		Cells []cell `json:"cells"`
	} `json:"rows"`

	started, ended time.Time
	instance       string
}

func (r reply) done() bool { return r.Outcome == outcome.Done }

// call is one request; a repetition sends it again.
type call struct {
	method    string // POST if empty
	path      string // the statements of group if empty
	group     string
	id        string
	statement *body
	repeat    bool // an earlier attempt has an unknown outcome
}

func writeStatement(sql string, arguments ...string) *body {
	return statement("write", sql, arguments...)
}

func statement(mode, sql string, arguments ...string) *body {
	b := &body{Mode: mode, SQL: sql}
	for _, a := range arguments {
		b.Arguments = append(b.Arguments, cell{Value: &a})
	}
	return b
}

// send makes one HTTP request. A request that got no whole answer is unknown; one that was not sent is not_run.
func (s *session) send(ctx context.Context, c call) reply {
	r := s.run
	instance := pick(s.instances, s.random).url
	got := reply{started: time.Now(), instance: instance}
	fail := func(o outcome.Outcome, reason outcome.Reason) reply {
		if c.repeat {
			o = outcome.Unknown
		}
		return reply{Outcome: o, Reason: reason, started: got.started, ended: time.Now(), instance: instance}
	}
	method, path := c.method, c.path
	if method == "" {
		method = http.MethodPost
	}
	if path == "" {
		path = "/v1/groups/" + url.PathEscape(c.group) + "/statements"
	}
	var data []byte
	if c.statement != nil {
		data, _ = json.Marshal(c.statement) // a body has only texts and numbers
	}
	// The proxy answers at the deadline; the slack lets that answer arrive.
	const slack = 2 * time.Second
	ctx, cancel := context.WithTimeout(ctx, r.options.Deadline+slack)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, instance+path, bytes.NewReader(data))
	if err != nil {
		return fail(outcome.NotRunOutcome, outcome.RequestInvalid)
	}
	q.Header.Set("x-api-key", s.organisation.Key.Reveal())
	q.Header.Set("x-request-id", c.id)
	if c.repeat {
		q.Header.Set("x-request-repeat", "true")
	}
	q.Header.Set("x-deadline-ms", strconv.FormatInt(r.options.Deadline.Milliseconds(), 10))
	if s.token != "" {
		q.Header.Set("x-session-token", s.token)
	}
	r.sent.Add(1)
	w, err := r.client.Do(q)
	if err != nil {
		if unsent(err) {
			r.unreachable.Add(1)
			return fail(outcome.NotRunOutcome, outcome.ServerUnreachable)
		}
		r.cut.Add(1)
		return fail(outcome.Unknown, outcome.AnswerLost)
	}
	defer func() { _ = w.Body.Close() }()
	data, err = io.ReadAll(io.LimitReader(w.Body, maxAnswerBytes))
	if err != nil {
		r.cut.Add(1)
		return fail(outcome.Unknown, outcome.AnswerLost)
	}
	if json.Unmarshal(data, &got) != nil || !got.wellFormed(w.StatusCode) {
		r.malformed.Add(1)
		return fail(outcome.Unknown, outcome.AnswerLost)
	}
	got.ended = time.Now()
	if got.SessionToken != "" {
		s.token = got.SessionToken
	}
	return got
}

func (r reply) wellFormed(status int) bool {
	switch r.Outcome {
	case outcome.Done:
		return status == http.StatusOK
	case outcome.NotRunOutcome:
		return r.Reason != "" && status >= http.StatusBadRequest && status != http.StatusGatewayTimeout
	case outcome.Unknown:
		return r.Reason != "" && status == http.StatusGatewayTimeout
	}
	return false
}

func newID() string {
	id, err := uuid.NewV7()
	if err != nil {
		// The random source of the system does not fail on the supported platforms.
		panic(err)
	}
	return id.String()
}
