package api

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"path"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	goahttp "goa.design/goa/v3/http"
	"golang.org/x/net/netutil"

	"github.com/rotisserie/eris"

	"tanagercross/internal/gen/about"
	aboutserver "tanagercross/internal/gen/http/about/server"
	statementsserver "tanagercross/internal/gen/http/statements/server"
	transactionsserver "tanagercross/internal/gen/http/transactions/server"
	"tanagercross/internal/gen/statements"
	"tanagercross/internal/gen/transactions"
	"tanagercross/internal/instance/intake"
	"tanagercross/internal/instance/metric"
	"tanagercross/internal/session/outcome"
)

// Bounds and default options.
const (
	MaxBodyBytes   = 1 << 20
	MaxHeaderBytes = 16 << 10

	DefaultReadTimeout    = 10 * time.Second
	DefaultWriteTimeout   = 90 * time.Second
	DefaultIdleTimeout    = time.Minute
	DefaultMaxConnections = 10_000
	DefaultBodyBytes      = 256 << 20
	DefaultQuiet          = 500 * time.Millisecond
	DefaultMaxQuiet       = 5 * time.Second
)

// Options of a Server. The zero value has the defaults, logs nothing and counts into a registry of its own.
type Options struct {
	Log            *slog.Logger
	Metric         *metric.Registry
	ReadTimeout    time.Duration // for headers and body
	WriteTimeout   time.Duration // from the end of the headers to the end of the answer
	IdleTimeout    time.Duration
	MaxConnections int
	BodyBytes      int64 // memory of all requests with long bodies together
	// Quiet is the time without a request after which a shutdown stops to accept connections. The balancer sees the
	// failing readiness in this time and sends no more: a connection that is still in the accept queue of the kernel
	// when the listener closes is reset.
	Quiet time.Duration
	// MaxQuiet ends the wait for a quiet time if requests keep coming.
	MaxQuiet time.Duration
}

// Server serves the caller API on one listener.
type Server struct {
	executor Executor
	options  Options
	mux      *muxer
	bodies   *intake.Budget // memory of requests with long bodies
	http     *http.Server
	open     atomic.Int64
	draining atomic.Bool
	last     atomic.Int64 // start of the latest request, in ns since base
	base     time.Time
}

// Error is the error type of the package.
type Error struct {
	Operation string
	Kind      Kind
	Err       error
}

// Kind classifies errors.
type Kind string

// Kinds of errors.
const (
	ListenerFailed Kind = "listener_failed"
	RequestsCut    Kind = "requests_cut" // the shutdown deadline passed before all requests were answered
)

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("api: %s: %s: %v", e.Operation, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// New returns a server that is not yet listening.
func New(executor Executor, options Options) *Server {
	options = options.withDefaults()
	s := &Server{executor: executor, options: options, mux: newMuxer(), bodies: intake.NewBudget(options.BodyBytes), base: time.Now()}
	s.mount()
	s.http = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: options.ReadTimeout,
		ReadTimeout:       options.ReadTimeout,
		WriteTimeout:      options.WriteTimeout,
		IdleTimeout:       options.IdleTimeout,
		MaxHeaderBytes:    MaxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(options.Log.Handler(), slog.LevelDebug),
		ConnState:         s.countConnection,
	}
	return s
}

func (o Options) withDefaults() Options {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Metric == nil {
		o.Metric = metric.New()
	}
	o.ReadTimeout = orDefault(o.ReadTimeout, DefaultReadTimeout)
	o.WriteTimeout = orDefault(o.WriteTimeout, DefaultWriteTimeout)
	o.IdleTimeout = orDefault(o.IdleTimeout, DefaultIdleTimeout)
	o.MaxConnections = orDefault(o.MaxConnections, DefaultMaxConnections)
	o.BodyBytes = orDefault(o.BodyBytes, DefaultBodyBytes)
	o.Quiet = orDefault(o.Quiet, DefaultQuiet)
	o.MaxQuiet = orDefault(o.MaxQuiet, DefaultMaxQuiet)
	return o
}

func orDefault[T comparable](value, otherwise T) T {
	var zero T
	if value == zero {
		return otherwise
	}
	return value
}

func (s *Server) mount() {
	failed := func(ctx context.Context, _ http.ResponseWriter, err error) {
		s.options.Log.DebugContext(ctx, "answer not sent", "request_id", exchangeOf(ctx).requestID, "error", err.Error())
	}
	var _ goahttp.Muxer = s.mux
	statementsserver.Mount(s.mux, statementsserver.New(statements.NewEndpoints(statementService{s.executor}), s.mux, decoder, encoder, failed, format))
	transactionsserver.Mount(s.mux, transactionsserver.New(transactions.NewEndpoints(transactionService{s.executor}), s.mux, decoder, encoder, failed, format))
	aboutserver.Mount(s.mux, aboutserver.New(about.NewEndpoints(aboutService{s.executor, &s.draining}), s.mux, decoder, encoder, failed, format))
}

// Serve accepts connections until Shutdown. It returns nil after Shutdown.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(netutil.LimitListener(l, s.options.MaxConnections))
	if err == nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return &Error{Operation: "serve", Kind: ListenerFailed, Err: eris.Wrap(err, "accept")}
}

// Shutdown makes the server unready and serves requests, each connection closed after its answer, until none has come
// for the quiet time. It then waits for running requests until ctx ends. At the end of ctx it closes what is left and
// fails with kind RequestsCut.
func (s *Server) Shutdown(ctx context.Context) error {
	s.draining.Store(true)
	s.awaitQuiet(ctx)
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
		return &Error{Operation: "shutdown", Kind: RequestsCut, Err: eris.Wrap(err, "requests were still running")}
	}
	return nil
}

func (s *Server) awaitQuiet(ctx context.Context) {
	started := time.Since(s.base)
	timer := time.NewTimer(s.options.Quiet)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		now := time.Since(s.base)
		left := s.options.Quiet - (now - max(started, time.Duration(s.last.Load())))
		left = min(left, s.options.MaxQuiet-(now-started))
		if left <= 0 {
			return
		}
		timer.Reset(left)
	}
}

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int { return int(s.open.Load()) }

func (s *Server) countConnection(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.open.Add(-1)
	default:
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x, idValid := newExchange(w, r)
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	_, pattern := s.mux.mux.Handler(r)
	if path.Clean(r.URL.Path) != r.URL.Path {
		pattern = "" // the mux would redirect, which is no typed answer
	}
	x.route = pattern
	sw := &statusWriter{ResponseWriter: w, status: http.StatusOK}
	defer s.finish(r.Context(), sw, x)
	switch {
	case pattern == "":
		x.route = "none"
		b := x.refuse(outcome.RequestInvalid, "no such route or method")
		b.Name, b.status = notFound.name, notFound.status
		writeFailure(sw, b)
		return
	case headerBytes(r.Header) > MaxHeaderBytes:
		// net/http enforces its limit only roughly, and without a typed answer.
		writeFailure(sw, x.refuse(outcome.RequestTooLarge, fmt.Sprintf("the headers are larger than %d bytes", MaxHeaderBytes)))
		return
	case !idValid:
		writeFailure(sw, x.refuse(outcome.RequestInvalid, "header x-request-id must be a UUIDv7 in lower case"))
		return
	case x.key.IsZero() && !openRoute(pattern):
		writeFailure(sw, x.refuse(outcome.KeyMissing, ""))
		return
	}
	if !openRoute(pattern) {
		s.last.Store(int64(time.Since(s.base)))
	}
	release, ok := s.admitBody(sw, r, x)
	if !ok {
		refuseBody(sw, x)
		return
	}
	defer release()
	r.Body = http.MaxBytesReader(sw, r.Body, MaxBodyBytes)
	s.mux.ServeHTTP(sw, r.WithContext(context.WithValue(r.Context(), exchangeKey{}, x)))
}

// finish answers after a panic, counts and logs. The request may have reached a database, so its outcome is unknown.
func (s *Server) finish(ctx context.Context, w *statusWriter, x *exchange) {
	if p := recover(); p != nil {
		s.options.Log.Error("panic", "request_id", x.requestID, "route", x.route, "type", fmt.Sprintf("%T", p),
			"stack", string(debug.Stack()))
		x.outcome, x.reason = outcome.Unknown, outcome.AnswerLost
		if !w.written {
			writeFailure(w, newFailure(x, Reply{Verdict: outcome.NotKnown(outcome.AnswerLost)}))
		}
	}
	duration := time.Since(x.started)
	level := slog.LevelInfo
	if openRoute(x.route) {
		level = slog.LevelDebug
	} else {
		s.count(x, duration)
	}
	s.options.Log.LogAttrs(context.WithoutCancel(ctx), level, "request",
		slog.String("request_id", x.requestID), slog.String("organisation", x.organisation), slog.String("route", x.route),
		slog.String("outcome", string(x.outcome)), slog.String("reason", string(x.reason)), slog.Int("status", w.status),
		slog.Float64("duration_ms", float64(duration.Microseconds())/1000))
}

func (s *Server) count(x *exchange, d time.Duration) {
	switch x.outcome {
	case outcome.NotRunOutcome:
		s.options.Metric.Refused(x.reason)
	case outcome.Unknown:
		s.options.Metric.OutcomeUnknown(x.reason)
	default:
	}
	s.options.Metric.Request(x.route, x.outcome, d)
}

func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return n
}

func openRoute(pattern string) bool {
	_, p, _ := strings.Cut(pattern, " ")
	return p == "/healthz" || p == "/readyz" || p == "/v1/about"
}

func writeFailure(w http.ResponseWriter, b failureBody) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(b.status)
	_ = json.NewEncoder(w).Encode(b)
}

// statusWriter keeps the status for the access log.
type statusWriter struct {
	http.ResponseWriter
	status  int
	written bool
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	if !w.written {
		w.status, w.written = status, true
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap serves http.ResponseController.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
