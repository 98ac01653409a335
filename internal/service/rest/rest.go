// Package rest implements store.Store over the platform's HTTP/JSON surface.
//
// # Usage
//
//	s := rest.New("http://127.0.0.1:7000", rest.Options{})
//	rows, err := s.Read(ctx, "document/roster")
//
// A write fails with kind Unknown only if its request may have reached the platform and no answer came back. A request
// that got no connection, or that the platform refused, fails with a kind that means "nothing was changed".
package rest

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"tanagercross/internal/service/store"
	"tanagercross/internal/service/trace"
)

// Defaults of Options.
const (
	DefaultTimeout      = 2 * time.Second
	maximumAnswerBytes  = 64 << 20
	maximumErrorBytes   = 1 << 10
	idleConnections     = 8
	idleConnectionLimit = 30 * time.Second
)

// Options configure a Store. The zero value uses the defaults.
type Options struct {
	Timeout time.Duration // limit of one call
	// Dial opens the connections to the platform; nil is plain TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Store is a client of the platform. It is safe for concurrent use.
type Store struct {
	base    string
	timeout time.Duration
	client  *http.Client
}

var _ store.Store = (*Store)(nil)

// New returns a Store for the platform at a base URL such as "http://127.0.0.1:7000".
func New(base string, o Options) *Store {
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	return &Store{base: base, timeout: o.Timeout, client: &http.Client{Transport: &http.Transport{
		DialContext: o.Dial, MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idleConnectionLimit,
	}}}
}

// Close closes idle connections.
func (s *Store) Close() { s.client.CloseIdleConnections() }

// Read implements store.Store.
func (s *Store) Read(ctx context.Context, keys ...string) ([]store.Row, error) {
	return s.rows(ctx, "read", PathRead, ReadRequest{Keys: keys})
}

// Scan implements store.Store.
func (s *Store) Scan(ctx context.Context, prefix string) ([]store.Row, error) {
	return s.rows(ctx, "scan", PathScan, ScanRequest{Prefix: prefix})
}

func (s *Store) rows(ctx context.Context, operation, path string, body any) ([]store.Row, error) {
	var answer RowsResponse
	if err := s.json(ctx, call{operation: operation, method: http.MethodPost, path: path}, body, &answer); err != nil {
		return nil, err
	}
	rows := make([]store.Row, 0, len(answer.Rows))
	for _, r := range answer.Rows {
		rows = append(rows, store.Row(r))
	}
	return rows, nil
}

// Commit implements store.Store.
func (s *Store) Commit(ctx context.Context, conditions []store.Condition, writes []store.Write) error {
	var body CommitRequest
	for _, c := range conditions {
		body.Conditions = append(body.Conditions, Condition(c))
	}
	for _, w := range writes {
		body.Writes = append(body.Writes, Write(w))
	}
	return s.json(ctx, call{operation: "commit", method: http.MethodPost, path: PathCommit, write: true}, body, nil)
}

// PutObject implements store.Store.
func (s *Store) PutObject(ctx context.Context, name string, data []byte) error {
	_, err := s.do(ctx, call{operation: "put_object", method: http.MethodPut, path: objectPath(name), write: true}, data)
	return err
}

// GetObject implements store.Store.
func (s *Store) GetObject(ctx context.Context, name string) ([]byte, error) {
	return s.do(ctx, call{operation: "get_object", method: http.MethodGet, path: objectPath(name)}, nil)
}

// ListObjects implements store.Store.
func (s *Store) ListObjects(ctx context.Context, prefix string) ([]string, error) {
	var answer ObjectsResponse
	path := PathObjects + "?prefix=" + url.QueryEscape(prefix)
	err := s.json(ctx, call{operation: "list_objects", method: http.MethodGet, path: path}, nil, &answer)
	return answer.Names, err
}

// Groups implements store.Store.
func (s *Store) Groups(ctx context.Context) ([]store.Group, error) {
	var answer GroupsResponse
	err := s.json(ctx, call{operation: "groups", method: http.MethodGet, path: PathGroups}, nil, &answer)
	if err != nil {
		return nil, err
	}
	groups := make([]store.Group, 0, len(answer.Groups))
	for _, g := range answer.Groups {
		groups = append(groups, g.Group())
	}
	return groups, nil
}

// Instances implements store.Store.
func (s *Store) Instances(ctx context.Context) ([]store.ListedInstance, error) {
	var answer InstancesResponse
	err := s.json(ctx, call{operation: "instances", method: http.MethodGet, path: PathInstances}, nil, &answer)
	if err != nil {
		return nil, err
	}
	listed := make([]store.ListedInstance, 0, len(answer.Instances))
	for _, i := range answer.Instances {
		listed = append(listed, store.ListedInstance(i))
	}
	return listed, nil
}

// objectPath keeps slashes of the name as part of the path; the platform takes the rest of the path as the name.
func objectPath(name string) string { return PathObjects + "/" + (&url.URL{Path: name}).EscapedPath() }

type call struct {
	operation string
	method    string
	path      string
	write     bool
}

func (c call) fail(kind store.Kind, err error) error {
	return &store.Error{Operation: c.operation, Kind: kind, Err: eris.Wrap(err, c.path)}
}

func (s *Store) json(ctx context.Context, c call, body, answer any) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return c.fail(store.Invalid, err)
		}
	}
	got, err := s.do(ctx, c, data)
	if err != nil || answer == nil {
		return err
	}
	if err := json.Unmarshal(got, answer); err != nil {
		return c.fail(store.Unavailable, err)
	}
	return nil
}

func (s *Store) do(ctx context.Context, c call, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	ctx, connection := trace.Connect(ctx)
	request, err := http.NewRequestWithContext(ctx, c.method, s.base+c.path, bytes.NewReader(body))
	if err != nil {
		return nil, c.fail(store.Invalid, err)
	}
	response, err := s.client.Do(request)
	if err != nil {
		if c.write && connection.Obtained() {
			return nil, c.fail(store.Unknown, err)
		}
		return nil, c.fail(store.Unavailable, err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maximumErrorBytes))
		return nil, c.fail(c.kind(response.StatusCode), eris.Errorf("status %d: %s", response.StatusCode, text))
	}
	got, err := io.ReadAll(io.LimitReader(response.Body, maximumAnswerBytes))
	// The status line of a write already says that it took effect.
	if err != nil && !c.write {
		return nil, c.fail(store.Unavailable, err)
	}
	return got, nil
}

func (c call) kind(status int) store.Kind {
	switch status {
	case http.StatusConflict:
		return store.Conflict
	case http.StatusNotFound:
		return store.Missing
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return store.Unavailable
	}
	if status < http.StatusInternalServerError {
		return store.Invalid
	}
	if c.write {
		return store.Unknown
	}
	return store.Unavailable
}
