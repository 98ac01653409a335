package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// clientTimeout is longer than the 19 s in which a change must be in force everywhere.
	clientTimeout  = 30 * time.Second
	maxAnswerBytes = 16 << 20
)

// Client calls the operators' API of one instance. It is safe for concurrent use.
type Client struct {
	url    string
	secret string
	http   *http.Client
}

// NewClient returns a client for the base URL of an instance's operators' listener.
func NewClient(baseURL, secret string) *Client {
	transport := &http.Transport{DisableKeepAlives: true}
	return &Client{url: strings.TrimSuffix(baseURL, "/"), secret: secret, http: &http.Client{Timeout: clientTimeout, Transport: transport}}
}

// Configuration returns the configuration in force.
func (c *Client) Configuration(ctx context.Context) (Configuration, error) {
	return call[Configuration](ctx, c, "show configuration", http.MethodGet, "/v1/configuration", nil)
}

// Check checks a document at the instance and compares it with the version in force.
func (c *Client) Check(ctx context.Context, document []byte) (CheckResult, error) {
	return call[CheckResult](ctx, c, "check configuration", http.MethodPost, "/v1/configuration/check", document)
}

// Apply proposes a configuration.
func (c *Client) Apply(ctx context.Context, p Proposal) (Change, error) {
	return post[Change](ctx, c, "apply configuration", "/v1/configuration/apply", p)
}

// History returns the newest changes first.
func (c *Client) History(ctx context.Context, limit int) ([]HistoryEntry, error) {
	return call[[]HistoryEntry](ctx, c, "history", http.MethodGet, "/v1/configuration/history?limit="+strconv.Itoa(limit), nil)
}

// IssueKey issues a key.
func (c *Client) IssueKey(ctx context.Context, r IssueRequest) (Issued, error) {
	return post[Issued](ctx, c, "issue key", "/v1/keys/issue", r)
}

// WithdrawKey withdraws a key.
func (c *Client) WithdrawKey(ctx context.Context, w Withdrawal) (Change, error) {
	return post[Change](ctx, c, "withdraw key", "/v1/keys/withdraw", w)
}

// Status returns the status of the instance.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, "status", http.MethodGet, "/v1/status", nil)
}

func post[T any](ctx context.Context, c *Client, operation, path string, body any) (T, error) {
	data, err := json.Marshal(body)
	if err != nil {
		var zero T
		return zero, &Error{Operation: operation, Kind: Invalid, Err: eris.Wrap(err, "request")}
	}
	return call[T](ctx, c, operation, http.MethodPost, path, data)
}

func call[T any](ctx context.Context, c *Client, operation, method, path string, body []byte) (T, error) {
	var answer T
	fail := func(kind Kind, err error, message string) (T, error) {
		return answer, &Error{Operation: operation, Kind: kind, Err: eris.Wrap(err, message)}
	}
	r, err := http.NewRequestWithContext(ctx, method, c.url+path, bytes.NewReader(body))
	if err != nil {
		return fail(Invalid, err, "request")
	}
	r.Header.Set("Authorization", bearer+c.secret)
	w, err := c.http.Do(r)
	if err != nil {
		return fail(lostKind(method, err), withoutURL(err), "request")
	}
	defer func() { _ = w.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(w.Body, maxAnswerBytes))
	if err != nil {
		return fail(lostKind(method, err), err, "answer")
	}
	if w.StatusCode != http.StatusOK {
		return answer, answerError(operation, method, w.StatusCode, data)
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return fail(lostKind(method, err), err, "answer")
	}
	return answer, nil
}

// lostKind says what a failed call leaves open: a change that may have been sent is unknown.
func lostKind(method string, err error) Kind {
	var dial *net.OpError
	if method == http.MethodGet || (errors.As(err, &dial) && dial.Op == "dial") {
		return Unavailable
	}
	return Unknown
}

func withoutURL(err error) error {
	var u *url.Error
	if errors.As(err, &u) {
		return u.Err
	}
	return err
}

func answerError(operation, method string, status int, data []byte) error {
	var b errorBody
	if err := json.Unmarshal(data, &b); err != nil || b.Kind == "" {
		return &Error{Operation: operation, Kind: lostKind(method, err), Err: eris.Errorf("answer with status %d is not from this API", status)}
	}
	e := &Error{Operation: operation, Kind: b.Kind, Winner: b.Winner, Problems: b.Problems}
	if b.Message != "" {
		e.Err = eris.New(b.Message)
	}
	return e
}
