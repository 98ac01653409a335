// Package load offers a bounded load to the caller API and records what callers see in a ledger.
//
// # Usage
//
//	o := load.Options{
//		Instances: []string{"http://127.0.0.1:8080"}, Groups: []string{"meals-1"}, Duration: 10 * time.Second,
//		Organisations: []load.Organisation{{Name: "sertao_coop", Key: key, Rate: 50, Sessions: 8}},
//	}
//	err := load.Prepare(ctx, o) // creates the table in every group and organisation
//	summary, err := load.Run(ctx, o, &l)
//	// read the contents of every database with load.ContentsSQL, then:
//	report := l.Report(contents, parameters)
//
// Each organisation offers requests at its rate in an open loop: a request for which no session is free is counted as
// skipped. A session sends one request at a time, each to a random instance that is ready, as behind the platform's
// balancer, and carries its session token. Repetitions keep the request id and follow the documented rules: after not_run for a reason that another attempt can cure, and
// after an unknown outcome.
//
// All errors are *Error.
package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"tanagercross/internal/organisation/key"
	"tanagercross/internal/tool/ledger"
)

// Statements of the load. A read answers an echo of its own tag (mark 0) and the tags of its session (mark 1).
const (
	CreateSQL   = "CREATE TABLE IF NOT EXISTS load_entry (organisation text, session text, request_id text)"
	InsertSQL   = "INSERT INTO load_entry (organisation, session, request_id) VALUES ($1, $2, $3)"
	ReadSQL     = "SELECT 0, $1, $2, $3 UNION ALL SELECT 1, organisation, session, request_id FROM load_entry WHERE session = $2"
	PullSQL     = ReadSQL + " UNION ALL SELECT 2, pg_sleep($4), '', ''"
	ContentsSQL = "SELECT organisation, session, request_id, COUNT(*) FROM load_entry GROUP BY organisation, session, request_id"
)

// Defaults and bounds of the options.
const (
	DefaultDeadline        = 5 * time.Second
	DefaultAttempts        = 4
	DefaultSessionRequests = 100
	DefaultMaxRequests     = 1_000_000
	MaxInstances           = 256
	MaxSessions            = 4096 // over all organisations
	MaxRate                = 20_000
	MaxDuration            = time.Hour
)

// Organisation offers requests at a rate with a number of sessions.
type Organisation struct {
	Name     string
	Key      key.Key
	Rate     float64 // requests per second
	Sessions int     // sessions at the same time
	// Pull is the time for which each read holds its slot at the server in addition, as a long statement does.
	Pull time.Duration
	// Instances are the base URLs that the organisation uses; nil stands for all.
	Instances []string
}

// Options of a run. Zero values of the optional fields have the defaults.
type Options struct {
	Instances        []string // base URLs
	Groups           []string
	Organisations    []Organisation
	Duration         time.Duration
	WriteShare       float64       // of all requests, 0 to 1; transactions included
	TransactionShare float64       // of the writes, 0 to 1
	AgedShare        float64       // of the reads, 0 to 1; these accept data up to MaxAge
	MaxAge           time.Duration // for aged reads
	Deadline         time.Duration // optional: of one attempt
	Attempts         int           // optional: attempts of one request
	SessionRequests  int           // optional: requests after which a session ends and a new one starts
	MaxRequests      int           // optional: requests of the whole run
	Seed             uint64
	Stop             <-chan struct{} // optional: ends the offers early; running requests are awaited
	// Dial opens the connections to instances; nil is plain TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Summary holds the figures of the generator itself.
type Summary struct {
	Sent        int64     `json:"sent"`    // HTTP requests
	Skipped     int64     `json:"skipped"` // not offered, since no session was free
	Repeated    int64     `json:"repeated"`
	Cut         int64     `json:"cut"`         // HTTP requests that were sent and got no whole answer
	Unreachable int64     `json:"unreachable"` // HTTP requests that could not be sent
	Malformed   int64     `json:"malformed"`   // answers that are not of the documented form
	Latencies   []Latency `json:"latencies"`
}

// Kind classifies errors.
type Kind string

// Kinds of errors.
const (
	Invalid Kind = "invalid" // an option is out of range
	Failed  Kind = "failed"  // the preparation got no answer
)

// Error is the error type of the package. It contains no key.
type Error struct {
	Operation string
	Kind      Kind
	Err       error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("load: %s: %s: %v", e.Operation, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// run is the state of one run.
type run struct {
	options   Options
	instances []*instance
	ledger    *ledger.Ledger
	client    *http.Client
	latencies latencies
	sessions  atomic.Int64 // for names
	left      atomic.Int64 // requests

	sent, skipped, repeated, cut, unreachable, malformed atomic.Int64
}

// Run offers the load until its duration has passed or ctx ends, and waits for the requests that are running then.
func Run(ctx context.Context, o Options, l *ledger.Ledger) (Summary, error) {
	r, err := newRun(o, l)
	if err != nil {
		return Summary{}, err
	}
	defer r.client.CloseIdleConnections()
	offering, stop := context.WithTimeout(ctx, r.options.Duration)
	defer stop()
	go func() {
		select {
		case <-r.options.Stop:
			stop()
		case <-offering.Done():
		}
	}()
	var all sync.WaitGroup
	for i, organisation := range r.options.Organisations {
		work := make(chan struct{})
		for n := range organisation.Sessions {
			seed := rand.NewPCG(r.options.Seed, uint64(i)<<32|uint64(n))
			all.Go(func() { r.serve(ctx, organisation, rand.New(seed), work) })
		}
		all.Go(func() { r.offer(offering, organisation.Rate, work) })
	}
	polling, stopPolling := context.WithCancel(ctx)
	var polls sync.WaitGroup
	for _, i := range r.instances {
		polls.Go(func() { i.poll(polling, r.options.Dial) })
	}
	all.Wait()
	stopPolling()
	polls.Wait()
	return r.summary(), nil
}

// Prepare creates the table in every group and organisation through the caller API.
func Prepare(ctx context.Context, o Options) error {
	r, err := newRun(o, &ledger.Ledger{})
	if err != nil {
		return err
	}
	defer r.client.CloseIdleConnections()
	for _, organisation := range r.options.Organisations {
		s := newSession(r, organisation, rand.New(rand.NewPCG(r.options.Seed, 0)))
		for _, group := range r.options.Groups {
			if reply := s.repeat(ctx, call{group: group, id: newID(), statement: writeStatement(CreateSQL)}); !reply.done() {
				return &Error{Operation: "prepare", Kind: Failed, Err: eris.Errorf("%s in %s: %s %s", organisation.Name, group, reply.Outcome, reply.Reason)}
			}
		}
	}
	return nil
}

func newRun(o Options, l *ledger.Ledger) (*run, error) {
	if o.Deadline == 0 {
		o.Deadline = DefaultDeadline
	}
	if o.Attempts == 0 {
		o.Attempts = DefaultAttempts
	}
	if o.SessionRequests == 0 {
		o.SessionRequests = DefaultSessionRequests
	}
	if o.MaxRequests == 0 {
		o.MaxRequests = DefaultMaxRequests
	}
	if err := o.check(); err != nil {
		return nil, &Error{Operation: "options", Kind: Invalid, Err: err}
	}
	sessions := 0
	for _, organisation := range o.Organisations {
		sessions += organisation.Sessions
	}
	transport := &http.Transport{MaxIdleConnsPerHost: sessions, IdleConnTimeout: 30 * time.Second, DialContext: o.Dial}
	r := &run{options: o, ledger: l, client: &http.Client{Transport: transport}}
	for _, base := range o.Instances {
		r.instances = append(r.instances, &instance{url: base})
	}
	r.left.Store(int64(o.MaxRequests))
	return r, nil
}

func (o Options) check() error {
	sessions := 0
	for _, organisation := range o.Organisations {
		sessions += organisation.Sessions
		if organisation.Name == "" || organisation.Sessions < 1 || organisation.Rate <= 0 || organisation.Rate > MaxRate {
			return eris.Errorf("organisation %q: allowed: a name, at least one session, a rate above 0 up to %d/s", organisation.Name, MaxRate)
		}
	}
	for _, organisation := range o.Organisations {
		for _, instance := range organisation.Instances {
			if !slices.Contains(o.Instances, instance) {
				return eris.Errorf("organisation %q: instance %q: allowed: one of the instances of the run", organisation.Name, instance)
			}
		}
	}
	for _, instance := range o.Instances {
		u, err := url.Parse(instance)
		if err != nil || !loopback(u.Hostname()) {
			return eris.Errorf("instance %q: allowed: URL of a loopback address", instance)
		}
	}
	share := func(v float64) bool { return v >= 0 && v <= 1 }
	switch {
	case len(o.Instances) == 0 || len(o.Instances) > MaxInstances:
		return eris.Errorf("%d instances: allowed: 1 to %d", len(o.Instances), MaxInstances)
	case len(o.Groups) == 0:
		return eris.New("no groups: allowed: at least one")
	case sessions < 1 || sessions > MaxSessions:
		return eris.Errorf("%d sessions: allowed: 1 to %d", sessions, MaxSessions)
	case o.Duration <= 0 || o.Duration > MaxDuration:
		return eris.Errorf("duration %s: allowed: up to %s", o.Duration, MaxDuration)
	case !share(o.WriteShare) || !share(o.TransactionShare) || !share(o.AgedShare):
		return eris.New("shares: allowed: 0 to 1")
	case o.Deadline < 0 || o.Attempts < 1 || o.SessionRequests < 1 || o.MaxRequests < 1:
		return eris.New("deadline, attempts, session requests and requests: allowed: positive values")
	}
	return nil
}

// loopback keeps the load on this machine.
func loopback(host string) bool {
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

// offer hands out work at a rate, and counts what no session takes.
func (r *run) offer(ctx context.Context, rate float64, work chan<- struct{}) {
	defer close(work)
	interval := time.Duration(float64(time.Second) / rate)
	timer := time.NewTimer(0)
	defer timer.Stop()
	next := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		for now := time.Now(); !next.After(now); next = next.Add(interval) {
			if r.left.Add(-1) < 0 {
				return
			}
			select {
			case work <- struct{}{}:
			default:
				r.skipped.Add(1)
			}
		}
		timer.Reset(time.Until(next))
	}
}

// serve runs sessions one after the other until the work ends.
func (r *run) serve(ctx context.Context, o Organisation, random *rand.Rand, work <-chan struct{}) {
	s := newSession(r, o, random)
	for range work {
		if s.requests >= r.options.SessionRequests {
			s = newSession(r, o, random)
		}
		s.request(ctx)
	}
}

func (r *run) summary() Summary {
	return Summary{
		Sent: r.sent.Load(), Skipped: r.skipped.Load(), Repeated: r.repeated.Load(), Cut: r.cut.Load(),
		Unreachable: r.unreachable.Load(), Malformed: r.malformed.Load(), Latencies: r.latencies.summary(),
	}
}

// unsent reports whether an HTTP request failed before anything was sent.
func unsent(err error) bool {
	var o *net.OpError
	return errors.As(err, &o) && o.Op == "dial"
}
