// Package fleet_test proves properties of the whole fleet, each by a test named after it. A deployment of instances,
// databases and a platform runs in the test process; some properties are also shown on the decision code alone, in
// simulated time.
package fleet_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"tanagercross/internal/organisation/key"
	"tanagercross/internal/tool/deployment"
	"tanagercross/internal/tool/ledger"
	"tanagercross/internal/tool/load"
)

const (
	defaultSeed = 20260704
	group       = "meals-1"
	// warmUp covers the 7 s before a new fleet has homes, on a busy machine.
	warmUp = 30 * time.Second
)

func seed(t *testing.T) uint64 {
	t.Helper()
	text := os.Getenv("TANAGERCROSS_SEED")
	if text == "" {
		return defaultSeed
	}
	s, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d", s)
	return s
}

func random(t *testing.T) *rand.Rand {
	t.Helper()
	return rand.New(rand.NewPCG(seed(t), 1))
}

// fleet is a deployment with its callers and everything it logs and sends to databases.
type fleet struct {
	*deployment.Deployment
	t      *testing.T
	client *http.Client
	logged buffer
	toDB   buffer
}

// buffer is safe for concurrent use.
type buffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *buffer) contains(text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Contains(b.data.Bytes(), []byte(text))
}

// start starts a fleet with one place for each instance, apart from those of the databases, so that each can be cut off
// from its peers and the platform alone.
func start(t *testing.T, instances, organisations int) *fleet {
	t.Helper()
	t.Parallel()
	p := deployment.Mutirao().WithInstances(instances).WithGroups(1).WithLag(20 * time.Millisecond)
	p.Organisations = p.Organisations[:organisations]
	var places []string
	for i := range instances {
		places = append(places, placeOf(i))
	}
	f := &fleet{t: t}
	ctx, cancel := context.WithTimeout(t.Context(), warmUp)
	defer cancel()
	log := slog.New(slog.NewJSONHandler(&f.logged, &slog.HandlerOptions{Level: slog.LevelDebug}))
	var err error
	if f.Deployment, err = deployment.Start(context.Background(), p.WithPlaces(places...), log); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	f.client = &http.Client{Transport: &http.Transport{DialContext: f.CallerDialer(), DisableKeepAlives: true}}
	databases := map[string]bool{}
	for _, db := range f.Databases {
		databases[db.Addr()] = true
	}
	f.Network.SetTap(func(address string, data []byte) {
		if databases[address] {
			_, _ = f.toDB.Write(data)
		}
	})
	o := f.load(p.Organisations, time.Second, 1)
	for load.Prepare(ctx, o) != nil {
		if ctx.Err() != nil {
			t.Fatal("the fleet does not serve")
		}
	}
	return f
}

func placeOf(instance int) string { return "place-" + strconv.Itoa(instance) }

func databasePlaces() []string { return deployment.Mutirao().Places }

// cut cuts an instance from places, or ends the cut.
func (f *fleet) cut(instance int, cut bool, places ...string) {
	for _, p := range places {
		f.Network.SetCut(placeOf(instance), p, cut)
	}
}

// isolate cuts an instance from its peers and the platform, but not from its callers and the databases.
func (f *fleet) isolate(instance int, cut bool) {
	for i := range f.Instances {
		if i != instance {
			f.cut(instance, cut, placeOf(i))
		}
	}
	f.cut(instance, cut, deployment.PlatformPlace)
}

// kill takes an instance away without a drain: nothing it sends arrives any more.
func (f *fleet) kill(instance int) {
	rest := append(databasePlaces(), deployment.CallersPlace)
	f.isolate(instance, true)
	f.cut(instance, true, rest...)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = f.Instances[instance].Stop(ended)
	f.isolate(instance, false)
	f.cut(instance, false, rest...)
}

// restart starts a new process of a stopped instance.
func (f *fleet) restart(instance int) {
	f.t.Helper()
	started, err := f.StartInstance(context.Background(), instance)
	if err != nil {
		f.t.Fatal(err)
	}
	f.Instances[instance] = started
}

func (f *fleet) load(organisations []string, d time.Duration, rate float64) load.Options {
	o := load.Options{
		Instances: f.CallerURLs(), Groups: []string{group}, Duration: d, WriteShare: 0.1, TransactionShare: 0.2,
		Seed: seed(f.t), Dial: f.CallerDialer(), Deadline: 3 * time.Second,
	}
	for _, name := range organisations {
		o.Organisations = append(o.Organisations, load.Organisation{
			Name: name, Key: f.Keys[name], Rate: rate, Sessions: 16 + int(rate/20),
		})
	}
	return o
}

// offer runs a load and returns what the generator counted.
func (f *fleet) offer(o load.Options, l *ledger.Ledger) load.Summary {
	f.t.Helper()
	summary, err := load.Run(f.t.Context(), o, l)
	if err != nil {
		f.t.Fatal(err)
	}
	return summary
}

// reply is what a caller sees.
type reply struct {
	Status       int
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	SessionToken string `json:"session_token"`
	Transaction  string `json:"transaction"`
	Rows         []struct {
		Cells []struct {
			Value *string `json:"value"`
		} `json:"cells"`
	} `json:"rows"`
	body string
}

// request is one call of the caller API.
type request struct {
	key    string
	token  string
	method string
	path   string // the statements of the group if empty
	body   map[string]any
}

func read(k key.Key, sql string) request {
	return request{key: k.Reveal(), body: map[string]any{"mode": "read", "sql": sql}}
}

func write(k key.Key, sql string) request {
	return request{key: k.Reveal(), body: map[string]any{"mode": "write", "sql": sql}}
}

// call sends a request to an instance. The zero reply means that no answer came.
func (f *fleet) call(instance int, r request) reply {
	if r.path == "" {
		r.path = "/v1/groups/" + group + "/statements"
	}
	if r.method == "" {
		r.method = http.MethodPost
	}
	data, err := json.Marshal(r.body)
	if err != nil {
		f.t.Error(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, r.method, "http://"+f.Instances[instance].CallersAddress()+r.path, bytes.NewReader(data))
	if err != nil {
		f.t.Error(err)
		return reply{}
	}
	q.Header.Set("Content-Type", "application/json")
	for name, value := range map[string]string{"x-api-key": r.key, "x-session-token": r.token, "x-deadline-ms": "5000"} {
		if value != "" {
			q.Header.Set(name, value)
		}
	}
	q.Header.Set("x-request-id", uuid.Must(uuid.NewV7()).String())
	w, err := f.client.Do(q)
	if err != nil {
		return reply{}
	}
	defer func() { _ = w.Body.Close() }()
	answer := reply{Status: w.StatusCode}
	text, err := io.ReadAll(w.Body)
	if err != nil {
		return reply{}
	}
	_ = json.Unmarshal(text, &answer) // an error body of another form has no outcome
	answer.body = string(text)
	return answer
}

// must calls again while the answer is a refusal that another attempt can cure.
func (f *fleet) must(instance int, r request) reply {
	f.t.Helper()
	var got reply
	for range 50 {
		if got = f.call(instance, r); got.Outcome == "done" {
			return got
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.t.Fatalf("%s %s: %d %s", r.path, r.body, got.Status, got.body)
	return got
}

func (r reply) values() []string {
	var values []string
	for _, row := range r.Rows {
		for _, c := range row.Cells {
			if c.Value != nil {
				values = append(values, *c.Value)
			}
		}
	}
	return values
}
