package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"golang.org/x/net/netutil"

	"tanagercross/internal/fleet/configuration"
	"tanagercross/internal/organisation/key"
)

const (
	// maxBodyBytes holds the largest configuration document in JSON escapes.
	maxBodyBytes   = 1 << 20
	maxHeaderBytes = 16 << 10
	maxTextBytes   = 500
	defaultHistory = 20
	maxHistory     = 1_000
	readTimeout    = 10 * time.Second
	writeTimeout   = time.Minute
	idleTimeout    = time.Minute
	bearer         = "Bearer "
	maxConnections = 256
)

// Options of a Server.
type Options struct {
	Secret  string       // operator secret; an empty one refuses every request
	Log     *slog.Logger // nil logs nothing
	Metrics http.Handler // nil leaves GET /metrics out
}

// Server serves the operators' API.
type Server struct {
	control Control
	secret  [sha256.Size]byte
	open    bool
	log     *slog.Logger
	mux     *http.ServeMux
	http    *http.Server
}

// NewServer returns a server that is not yet listening.
func NewServer(control Control, o Options) *Server {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	s := &Server{control: control, secret: sha256.Sum256([]byte(o.Secret)), open: o.Secret != "", log: o.Log, mux: http.NewServeMux()}
	s.mux.Handle("GET /v1/configuration", s.handle("show configuration", s.show))
	s.mux.Handle("POST /v1/configuration/check", s.handle("check configuration", s.check))
	s.mux.Handle("POST /v1/configuration/apply", s.handle("apply configuration", s.apply))
	s.mux.Handle("GET /v1/configuration/history", s.handle("history", s.history))
	s.mux.Handle("POST /v1/keys/issue", s.handle("issue key", s.issue))
	s.mux.Handle("POST /v1/keys/withdraw", s.handle("withdraw key", s.withdraw))
	s.mux.Handle("GET /v1/status", s.handle("status", s.status))
	s.mux.Handle("/", s.handle("route", func(*http.Request) (any, error) {
		return nil, &Error{Operation: "route", Kind: Missing, Err: eris.New("no such route or method")}
	}))
	if o.Metrics != nil {
		s.mux.Handle("GET /metrics", o.Metrics)
	}
	s.http = &http.Server{
		Handler: s, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(o.Log.Handler(), slog.LevelDebug),
	}
	return s
}

// Serve accepts connections until Shutdown. It returns nil after Shutdown.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(netutil.LimitListener(l, maxConnections)); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return &Error{Operation: "serve", Kind: Unavailable, Err: eris.Wrap(err, "accept")}
	}
	return nil
}

// Shutdown waits for running requests until ctx ends, and closes what is left then.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
		return &Error{Operation: "shutdown", Kind: Unknown, Err: eris.Wrap(err, "requests were still running")}
	}
	return nil
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.authorized(r.Header.Get("Authorization")) {
		s.fail(w, r, &Error{Operation: "authorize", Kind: Unauthorized, Err: eris.New("header authorization must hold the operator secret")})
		return
	}
	r.Header.Del("Authorization")
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	s.mux.ServeHTTP(w, r)
}

// authorized compares hashes, so that the time taken depends on neither the content nor the length of the secret.
func (s *Server) authorized(header string) bool {
	given, ok := strings.CutPrefix(header, bearer)
	sum := sha256.Sum256([]byte(given))
	return subtle.ConstantTimeCompare(sum[:], s.secret[:]) == 1 && ok && s.open
}

func (s *Server) handle(operation string, f func(*http.Request) (any, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer, err := f(r)
		if err != nil {
			var e *Error
			if !errors.As(err, &e) {
				kind := Unavailable
				if r.Method != http.MethodGet {
					kind = Unknown
				}
				e = &Error{Operation: operation, Kind: kind, Err: err}
			}
			s.fail(w, r, e)
			return
		}
		s.log.Info("operator request", "operation", operation, "kind", "ok")
		send(w, http.StatusOK, answer)
	})
}

func (s *Server) fail(w http.ResponseWriter, r *http.Request, e *Error) {
	body := errorBody{Kind: e.Kind, Winner: e.Winner, Problems: e.Problems}
	if e.Err != nil {
		body.Message = key.Redact(e.Err.Error())
	}
	s.log.Warn("operator request", "operation", e.Operation, "kind", string(e.Kind), "method", r.Method, "message", body.Message)
	send(w, statusOf(e.Kind), body)
}

func send(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Server) show(r *http.Request) (any, error)   { return s.control.Configuration(r.Context()) }
func (s *Server) status(r *http.Request) (any, error) { return s.control.Status(r.Context()) }

// CheckResult is the answer to a check of a faultless document.
type CheckResult struct {
	Version uint64                 `json:"version"` // version in force
	Diff    []configuration.Change `json:"diff"`    // against the version in force
}

func (s *Server) check(r *http.Request) (any, error) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, bodyError("check configuration", err)
	}
	proposed, err := parseDocument("check configuration", data)
	if err != nil {
		return nil, err
	}
	current, err := s.control.Configuration(r.Context())
	if err != nil {
		return nil, &Error{Operation: "check configuration", Kind: Unavailable, Err: eris.Wrap(err, "the document has no faults, but the version in force is not readable")}
	}
	old, err := configuration.Parse([]byte(current.Document))
	if err != nil {
		return nil, &Error{Operation: "check configuration", Kind: Unavailable, Err: eris.Wrap(err, "version in force")}
	}
	diff := configuration.Diff(old, proposed)
	if diff == nil {
		diff = []configuration.Change{}
	}
	return CheckResult{Version: current.Version, Diff: diff}, nil
}

func (s *Server) apply(r *http.Request) (any, error) {
	const operation = "apply configuration"
	p := Proposal{}
	if err := decode(operation, r, &p); err != nil {
		return nil, err
	}
	if err := required(operation, text{"author", p.Author}, text{"reason", p.Reason}); err != nil {
		return nil, err
	}
	if _, err := parseDocument(operation, []byte(p.Document)); err != nil {
		return nil, err
	}
	var err error
	if p.ChangeID, err = changeID(operation, p.ChangeID); err != nil {
		return nil, err
	}
	return s.control.Apply(r.Context(), p)
}

func (s *Server) history(r *http.Request) (any, error) {
	limit := defaultHistory
	if given := r.URL.Query().Get("limit"); given != "" {
		n, err := strconv.Atoi(given)
		if err != nil || n < 1 || n > maxHistory {
			return nil, invalid("history", "limit", given, "1 to "+strconv.Itoa(maxHistory))
		}
		limit = n
	}
	entries, err := s.control.History(r.Context(), limit)
	if entries == nil {
		entries = []HistoryEntry{}
	}
	return entries, err
}

// IssueRequest is the body of POST /v1/keys/issue.
type IssueRequest struct {
	Organisation string `json:"organisation"`
	Author       string `json:"author"`
}

// Issued is the answer with a new key. It is the only answer that contains a key.
type Issued struct {
	Key    string   `json:"key"`
	Hash   key.Hash `json:"hash"`
	Change Change   `json:"change"`
}

func (s *Server) issue(r *http.Request) (any, error) {
	const operation = "issue key"
	var p IssueRequest
	if err := decode(operation, r, &p); err != nil {
		return nil, err
	}
	if err := required(operation, text{"organisation", p.Organisation}, text{"author", p.Author}); err != nil {
		return nil, err
	}
	if !key.ValidOrganisation(p.Organisation) {
		return nil, invalid(operation, "organisation", strconv.Quote(p.Organisation), key.OrganisationRule)
	}
	k, err := key.New()
	if err != nil {
		return nil, &Error{Operation: operation, Kind: Unavailable, Err: err}
	}
	id, err := changeID(operation, "")
	if err != nil {
		return nil, err
	}
	change, err := s.control.IssueKey(r.Context(), Issue{Hash: k.Hash(), Organisation: p.Organisation, Author: p.Author, ChangeID: id})
	if err != nil {
		return nil, err
	}
	return Issued{Key: k.Reveal(), Hash: k.Hash(), Change: change}, nil
}

func (s *Server) withdraw(r *http.Request) (any, error) {
	const operation = "withdraw key"
	var p Withdrawal
	if err := decode(operation, r, &p); err != nil {
		return nil, err
	}
	if p.Hash.IsZero() {
		return nil, invalid(operation, "hash", "(absent)", "64 hexadecimal digits")
	}
	if err := required(operation, text{"author", p.Author}, text{"reason", p.Reason}); err != nil {
		return nil, err
	}
	var err error
	if p.ChangeID, err = changeID(operation, p.ChangeID); err != nil {
		return nil, err
	}
	return s.control.WithdrawKey(r.Context(), p)
}

func changeID(operation, given string) (string, error) {
	if given == "" {
		id, err := uuid.NewV7()
		if err != nil {
			return "", &Error{Operation: operation, Kind: Unavailable, Err: eris.Wrap(err, "change id")}
		}
		return id.String(), nil
	}
	if _, err := uuid.Parse(given); err != nil {
		return "", invalid(operation, "change_id", given, "a UUID, or absent")
	}
	return given, nil
}

type text struct{ name, value string }

func required(operation string, texts ...text) error {
	for _, t := range texts {
		if strings.TrimSpace(t.value) == "" {
			return invalid(operation, t.name, "(absent)", "1 to "+strconv.Itoa(maxTextBytes)+" bytes")
		}
		if strings.ContainsFunc(t.value, func(r rune) bool { return !unicode.IsPrint(r) }) {
			// The text is shown in terminals and kept in the history.
			return invalid(operation, t.name, strconv.Quote(t.value), "printable text on one line")
		}
		if len(t.value) > maxTextBytes {
			return invalid(operation, t.name, strconv.Itoa(len(t.value))+" bytes", "1 to "+strconv.Itoa(maxTextBytes)+" bytes")
		}
	}
	return nil
}

func invalid(operation, path, value, allowed string) error {
	p := configuration.Problem{Path: path, Value: key.Redact(value), Allowed: allowed}
	return &Error{Operation: operation, Kind: Invalid, Problems: []configuration.Problem{p}}
}

func decode(operation string, r *http.Request, v any) error {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return bodyError(operation, err)
	}
	return nil
}

func bodyError(operation string, err error) error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return invalid(operation, "body", "larger", "at most "+strconv.FormatInt(large.Limit, 10)+" bytes")
	}
	return &Error{Operation: operation, Kind: Invalid, Err: eris.Wrap(err, "body")}
}

func parseDocument(operation string, data []byte) (configuration.Document, error) {
	d, err := configuration.Parse(data)
	var c *configuration.Error
	if errors.As(err, &c) {
		return d, &Error{Operation: operation, Kind: Invalid, Err: c.Err, Problems: c.Problems}
	}
	return d, err
}
