package api_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/instance/api"
	"tanagercross/internal/instance/metric"
	"tanagercross/internal/organisation/key"
	"tanagercross/internal/session/outcome"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const requestID = "019b76da-a800-7000-8000-000000000001"

// fakeExecutor answers every request with reply, after run.
type fakeExecutor struct {
	mu    sync.Mutex
	last  api.StatementRequest
	reply api.Reply
	run   func()
	ready outcome.Reason
}

func (f *fakeExecutor) Statement(_ context.Context, r api.StatementRequest) api.Reply {
	f.mu.Lock()
	f.last = r
	f.mu.Unlock()
	if f.run != nil {
		f.run()
	}
	return f.reply
}
func (f *fakeExecutor) Outcome(context.Context, api.OutcomeRequest) api.Reply { return f.reply }
func (f *fakeExecutor) Begin(context.Context, api.BeginRequest) api.Reply     { return f.reply }
func (f *fakeExecutor) Step(context.Context, api.StepRequest) api.Reply       { return f.reply }
func (f *fakeExecutor) End(context.Context, api.EndRequest) api.Reply         { return f.reply }
func (f *fakeExecutor) About(context.Context) api.About                       { return api.About{} }
func (f *fakeExecutor) Ready(context.Context) outcome.Reason                  { return f.ready }

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string { l.mu.Lock(); defer l.mu.Unlock(); return l.b.String() }

type fixture struct {
	server *api.Server
	url    string
	log    *lockedBuffer
	client *http.Client
	served chan error
}

func start(t *testing.T, e api.Executor, o api.Options) *fixture {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{log: &lockedBuffer{}, url: "http://" + l.Addr().String(), client: &http.Client{Transport: &http.Transport{}}, served: make(chan error, 1)}
	o.Log = slog.New(slog.NewJSONHandler(f.log, &slog.HandlerOptions{Level: slog.LevelDebug}))
	if o.Quiet == 0 {
		o.Quiet = time.Millisecond
	}
	f.server = api.New(e, o)
	go func() { f.served <- f.server.Serve(l) }()
	t.Cleanup(func() {
		f.client.CloseIdleConnections()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = f.server.Shutdown(ctx)
		if err := <-f.served; err != nil {
			t.Error(err)
		}
	})
	return f
}

type failure struct {
	Outcome, Reason, Message string
	RequestID                string `json:"request_id"`
	AskAgain                 string `json:"ask_again"`
}

func (f *fixture) do(t *testing.T, method, path, body string, headers ...string) (int, failure, string) {
	t.Helper()
	r, _ := http.NewRequest(method, f.url+path, strings.NewReader(body))
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w, err := f.client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Body.Close()
	data, _ := io.ReadAll(w.Body)
	var got failure
	if len(data) > 0 && json.Unmarshal(data, &got) != nil {
		t.Errorf("answer is not JSON: %s", data)
	}
	return w.StatusCode, got, string(data)
}

const (
	path = "/v1/groups/meals-1/statements"
	read = `{"mode":"read","sql":"select 1","arguments":[{"value":"a"},{}],"max_age_ms":5}`
)

// Guards against lost parts of a request or an answer, and against the key reaching the executor, the log or the answer.
func TestStatementAndKey(t *testing.T) {
	k, _ := key.New()
	value := "7"
	e := &fakeExecutor{reply: api.Reply{
		Verdict: outcome.Verdict{Outcome: outcome.Done}, Organisation: "sertao_coop", SessionToken: "token-2",
		Result: driver.Result{Columns: []string{"a", "b"}, Rows: [][]*string{{&value, nil}}}, ServedBy: driver.Replica,
	}}
	registry := metric.New()
	f := start(t, e, api.Options{Metric: registry})
	status, _, body := f.do(t, "POST", path, read, "x-api-key", k.Reveal(), "x-request-id", requestID, "x-session-token", "token-1", "x-deadline-ms", "250")
	want := `{"outcome":"done","request_id":"` + requestID + `","session_token":"token-2","columns":["a","b"],"rows":[{"cells":[{"value":"7"},{}]}],"rows_affected":0,"served_by":"replica"}`
	if status != 200 || strings.TrimSpace(body) != want {
		t.Errorf("%d %s", status, body)
	}
	if e.last.Key != k.Hash() || e.last.SessionToken != "token-1" || e.last.Deadline != 250*time.Millisecond || *e.last.MaxAge != 5*time.Millisecond ||
		len(e.last.Statement.Arguments) != 2 || e.last.Statement.Arguments[1] != nil {
		t.Errorf("request %+v", e.last)
	}
	f.do(t, "POST", path, read, "x-api-key", k.Reveal(), "x-deadline-ms", "9223372036854775807")
	if e.last.Deadline <= 0 {
		t.Errorf("a long deadline became %s", e.last.Deadline)
	}
	// Keys in wrong places must not be echoed into the log.
	_, _, echoed := f.do(t, "POST", path, `{"mode":"`+k.Reveal()+`","sql":"x"}`, "x-api-key", k.Reveal(), "x-request-id", k.Reveal())
	_, _, echoed2 := f.do(t, "POST", path, `{"mode":"`+k.Reveal()+`","sql":"x"}`, "x-api-key", k.Reveal())
	f.do(t, "GET", "/"+k.Reveal(), "")
	if strings.Contains(f.log.String()+body+echoed+echoed2, k.Reveal()) {
		t.Error("the key is shown")
	}
	for _, part := range []string{`"request_id":"` + requestID, `"organisation":"sertao_coop"`, `"route":"POST /v1/groups/{group}/statements"`, `"outcome":"done"`, `"duration_ms":`} {
		if !strings.Contains(f.log.String(), part) {
			t.Errorf("access log lacks %s", part)
		}
	}
}

// Guards against malformed input that reaches the executor or gets an untyped answer.
func TestMalformedInput(t *testing.T) {
	e := &fakeExecutor{run: func() { t.Error("the request was run") }}
	f := start(t, e, api.Options{})
	cases := []struct {
		method, path, body string
		headers            []string
		status             int
		reason, message    string
	}{
		{"POST", path, read, nil, 401, "key_missing", "x-api-key"},
		{"POST", path, `{`, []string{"x-api-key", "k"}, 400, "request_invalid", "EOF"},
		{"POST", path, ``, []string{"x-api-key", "k"}, 400, "request_invalid", "missing"},
		{"POST", path, `{"mode":"read"}`, []string{"x-api-key", "k"}, 400, "request_invalid", "sql"},
		{"POST", path, `{"mode":"erase","sql":"x"}`, []string{"x-api-key", "k"}, 400, "request_invalid", "mode"},
		{"POST", path, `{"mode":"read","sql":"x","max_agems":1}`, []string{"x-api-key", "k"}, 400, "request_invalid", "max_agems"},
		{"POST", path, "{\"mode\":\"read\",\"sql\":\"SELECT '\xff'\"}", []string{"x-api-key", "k"}, 400, "request_invalid", "UTF-8"},
		{"POST", path, read + read, []string{"x-api-key", "k"}, 400, "request_invalid", "one JSON value"},
		{"POST", path, `{"mode":"write","sql":"x","primary":true}`, []string{"x-api-key", "k"}, 400, "request_invalid", "belong to reads"},
		{"POST", path, read, []string{"x-api-key", "k", "content-type", "text/xml"}, 400, "request_invalid", "application/json"},
		{"POST", path, read, []string{"x-api-key", "k", "x-deadline-ms", "0"}, 400, "request_invalid", "deadline_ms"},
		{"POST", path, read, []string{"x-api-key", "k", "x-request-id", "1"}, 400, "request_invalid", "UUIDv7"},
		{"POST", path, `{"mode":"read","sql":"` + strings.Repeat("x", api.MaxBodyBytes) + `"}`, []string{"x-api-key", "k"}, 413, "request_too_large", "1048576"},
		{"GET", "/v1/groups/g/requests/5", "", []string{"x-api-key", "k"}, 400, "request_invalid", "UUIDv7"},
		{"GET", path, "", []string{"x-api-key", "k"}, 404, "request_invalid", "no such route"},
		{"GET", "//v1/about", "", nil, 404, "request_invalid", "no such route"},
		{"POST", path, `{"mode":"read","sql":"x","unresolved":["1"]}`, []string{"x-api-key", "k"}, 400, "request_invalid", "unresolved"},
		{"DELETE", "/none", "", nil, 404, "request_invalid", "no such route"},
	}
	for _, c := range cases {
		status, got, _ := f.do(t, c.method, c.path, c.body, c.headers...)
		if status != c.status || got.Outcome != "not_run" || got.Reason != c.reason || got.RequestID == "" || !strings.Contains(got.Message, c.message) {
			t.Errorf("%s %s %.50s: %d %+v", c.method, c.path, c.body, status, got)
		}
	}
	long := strings.Repeat("x", api.MaxHeaderBytes)
	if status, got, _ := f.do(t, "POST", path, read, "x-api-key", "k", "x-long", long); status != 413 || got.Reason != "request_too_large" {
		t.Errorf("long header: %d %+v", status, got)
	}
}

// Guards against a status that does not fit the reason, and against unknown outcomes without a way to ask again.
func TestReasons(t *testing.T) {
	e := &fakeExecutor{}
	f := start(t, e, api.Options{})
	wants := map[outcome.Reason]int{outcome.KeyWithdrawn: 401, outcome.TokenForeign: 403, outcome.GroupUnknown: 404, outcome.RequestIDReused: 409, outcome.RateExceeded: 429, outcome.Draining: 503, outcome.StatementFailed: 400}
	for reason, want := range wants {
		e.reply = api.Reply{Verdict: outcome.NotRun(reason)}
		if status, got, _ := f.do(t, "POST", path, read, "x-api-key", "k"); status != want || got.Reason != string(reason) {
			t.Errorf("%s: %d %+v", reason, status, got)
		}
	}
	e.reply = api.Reply{Verdict: outcome.NotKnown(outcome.AnswerLost)}
	status, got, _ := f.do(t, "POST", path, read, "x-api-key", "k", "x-request-id", requestID)
	if status != 504 || got.AskAgain != "/v1/groups/meals-1/requests/"+requestID {
		t.Errorf("unknown: %d %+v", status, got)
	}
	e.run = func() { panic("fault") }
	if status, got, _ = f.do(t, "POST", path, read, "x-api-key", "k"); status != 504 || got.AskAgain == "" {
		t.Errorf("panic: %d %+v", status, got)
	}
	e.run, e.reply = nil, api.Reply{}
	if status, got, _ = f.do(t, "POST", path, read, "x-api-key", "k"); status != 504 || got.Reason != "outcome_unreadable" {
		t.Errorf("no verdict: %d %+v", status, got)
	}
	e.ready = outcome.Draining
	if status, got, _ = f.do(t, "GET", "/readyz", ""); status != 503 || got.Reason != "draining" {
		t.Errorf("ready: %d %+v", status, got)
	}
	if status, _, _ = f.do(t, "GET", "/healthz", ""); status != 204 {
		t.Errorf("health: %d", status)
	}
}

// Guards against a slow caller that holds a connection: it sends headers, or half a body, and stops.
func TestSlowCaller(t *testing.T) {
	f := start(t, &fakeExecutor{}, api.Options{ReadTimeout: 100 * time.Millisecond})
	for _, sent := range []string{"POST " + path + " HTTP/1.1\r\nHost: x\r\n", "POST " + path + " HTTP/1.1\r\nHost: x\r\nX-Api-Key: k\r\nContent-Length: 50\r\n\r\n{"} {
		c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(c, sent)
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
		data, err := io.ReadAll(c)
		if err != nil {
			t.Errorf("the connection stayed open: %v", err)
		}
		if strings.Contains(sent, "Length") && !strings.Contains(string(data), "did not arrive in time") {
			t.Errorf("answer %s", data)
		}
		c.Close()
	}
}

// Guards against a shutdown that cuts running requests or requests on the way on idle connections.
func TestShutdownCutsNothing(t *testing.T) {
	running, release := make(chan struct{}, 8), make(chan struct{})
	e := &fakeExecutor{reply: api.Reply{Verdict: outcome.Verdict{Outcome: outcome.Done}}, run: func() { running <- struct{}{}; <-release }}
	f := start(t, e, api.Options{Quiet: 100 * time.Millisecond})
	results := make(chan int, 8)
	send := func() { status, _, _ := f.do(t, "POST", path, read, "x-api-key", "k"); results <- status }
	for range 4 {
		go send()
		<-running
	}
	stopped := make(chan error, 1)
	go func() { stopped <- f.server.Shutdown(context.Background()) }()
	for range 4 {
		go send() // arrives in the quiet time
		<-running
	}
	select {
	case err := <-stopped:
		t.Fatalf("shutdown returned before the requests: %v", err)
	case <-time.After(200 * time.Millisecond):
	}
	close(release)
	for range 8 {
		if status := <-results; status != 200 {
			t.Errorf("status %d", status)
		}
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// Guards against a shutdown that reports success although it cut a request at its deadline.
func TestShutdownReportsCutRequests(t *testing.T) {
	running, release := make(chan struct{}), make(chan struct{})
	f := start(t, &fakeExecutor{run: func() { close(running); <-release }}, api.Options{})
	cut := make(chan error, 1)
	go func() {
		r, _ := http.NewRequest("POST", f.url+path, strings.NewReader(read))
		r.Header.Set("x-api-key", "k")
		w, err := f.client.Do(r)
		if err == nil {
			w.Body.Close()
		}
		cut <- err
	}()
	<-running
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	var e *api.Error
	if err := f.server.Shutdown(ctx); !errors.As(err, &e) || e.Kind != api.RequestsCut {
		t.Errorf("shutdown: %v", err)
	}
	if <-cut == nil {
		t.Error("the request was answered")
	}
	close(release)
}

// Guards against more open connections than the limit.
func TestConnectionLimit(t *testing.T) {
	f := start(t, &fakeExecutor{}, api.Options{MaxConnections: 1})
	first, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	request := "GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
	second, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	_, _ = io.WriteString(second, request)
	_ = second.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if n, _ := second.Read(make([]byte, 64)); n > 0 || f.server.OpenConnections() != 1 {
		t.Errorf("%d bytes on the second connection, %d open", n, f.server.OpenConnections())
	}
	first.Close()
	_ = second.SetReadDeadline(time.Now().Add(5 * time.Second))
	if data, err := io.ReadAll(second); err != nil || !strings.HasPrefix(string(data), "HTTP/1.1 204") {
		t.Errorf("after the first connection ended: %s %v", data, err)
	}
}
