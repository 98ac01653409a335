package relay_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/readindex"
	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/relay"
	"tanagercross/internal/fleet/view"
	"tanagercross/internal/instance/clock"
	"tanagercross/internal/organisation/allotment"
)

// instance answers calls by recording them.
type instance struct {
	call   statement.Call
	answer statement.Answer
	seen   relay.Exchange
	told   view.State
	delay  time.Duration
}

func (i *instance) Execute(_ context.Context, _ string, c statement.Call) statement.Answer {
	time.Sleep(i.delay)
	i.call = c
	return i.answer
}

func (i *instance) Exchange(_ context.Context, e relay.Exchange) view.State {
	i.seen = e
	return i.told
}

func (i *instance) Take(_ context.Context, w relay.Tokens) allotment.Grant {
	return allotment.Grant{Granted: w.Wanted - 1, RetryAfter: 30 * time.Millisecond}
}

func (i *instance) Head(context.Context, string) (readindex.Index, bool) {
	return readindex.Index{Position: driver.Position{Term: 3, Index: 9}, RequestedAt: clock.Boot() - 200*time.Millisecond}, true
}

func (i *instance) Probe(context.Context, string) relay.Probe { return relay.Probe{Reached: true} }

func (i *instance) Succeed(context.Context, relay.Succession) (bool, view.Leader) {
	return true, view.Leader{Group: "meals", Server: "meals-2", Term: 4}
}

func serve(t *testing.T, i *instance) (*relay.Client, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := relay.NewServer(relay.NewHandler(i, clock.Boot))
	go func() { _ = server.Serve(l) }()
	client := relay.NewClient(clock.Boot)
	t.Cleanup(func() {
		client.Close()
		_ = server.Close()
	})
	return client, l.Addr().String()
}

// Guards against fields of a statement or its answer that get lost between instances.
func TestExecute(t *testing.T) {
	i := &instance{answer: statement.Answer{
		Rows: []string{"a", "b"}, Signature: "sig", Code: statement.Busy, Text: "text", State: statement.InTransaction,
		Position: driver.Position{Term: 2, Index: 5}, Transaction: 7, Delivery: statement.Answered,
	}}
	client, address := serve(t, i)
	for _, body := range []statement.Statement{
		statement.Read{Arguments: "1a4"},
		statement.Write{Arguments: "1a4 x"},
		statement.Commit{},
		statement.Rollback{},
		statement.Execute{Name: "r1", Arguments: "1a4"},
	} {
		want := statement.Call{
			Organisation: "coop", Session: "s1", Transaction: 9, Step: statement.Next, Scope: statement.Replica, ReadOnly: true,
			After: driver.Position{Term: 1, Index: 2}, MaximumAge: 1500 * time.Millisecond, ID: "5c", Body: body,
			Values: []statement.Value{{Name: "n", Value: "v"}}, Preparation: &statement.Preparation{Name: "r1", Shape: "q"},
			Timeout: time.Second,
		}
		got, err := client.Execute(context.Background(), address, "meals-1", want)
		if err != nil || !cmp.Equal(got, i.answer) || !cmp.Equal(i.call, want) {
			t.Errorf("call %+v, answer %+v, %v", i.call, got, err)
		}
	}
	if _, err := client.Execute(context.Background(), address, "meals-1", statement.Call{Body: statement.Begin{}}); err == nil {
		t.Error("a statement that is not forwarded was sent")
	}
}

// Guards against ages that become younger on the way: a proof must not count from after the primary was asked.
func TestAgesDoNotShrink(t *testing.T) {
	read := clock.Boot() - 700*time.Millisecond
	i := &instance{told: view.State{Servers: view.Rows{Version: 5, ReadAt: read, Rows: []view.Row{{Key: "a", Value: []byte("x"), Version: 4}}}}}
	client, address := serve(t, i)
	told, err := client.Exchange(context.Background(), address, relay.Exchange{
		Sender: view.Presence{Name: "i1", Place: "agreste", LastSeen: clock.Boot(), Leaving: true},
		Rates:  map[string]float64{"coop": 12.5},
	})
	if err != nil || told.Servers.ReadAt > read || told.Servers.ReadAt < read-time.Second || told.Configuration.ReadAt != 0 {
		t.Errorf("read at %v, told %+v, %v", read, told.Servers.ReadAt, err)
	}
	if i.seen.Sender.Name != "i1" || i.seen.Rates["coop"] != 12.5 || !i.seen.Sender.Leaving {
		t.Errorf("seen %+v", i.seen)
	}
	before := clock.Boot()
	p, ok, err := client.Head(context.Background(), address, "meals-1")
	if err != nil || !ok || p.RequestedAt > before-200*time.Millisecond {
		t.Errorf("proof %+v %t %v, asked 200 ms before the answer", p, ok, err)
	}
}

// Guards against an instance that accepts connections and answers nothing: calls end long before their own limit, and
// it is known that the statement may have been sent.
func TestSilentInstance(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	client := relay.NewClient(clock.Boot)
	defer client.Close()
	started := time.Now()
	_, err = client.Execute(context.Background(), l.Addr().String(), "meals-1", statement.Call{Body: statement.Read{}, Timeout: 5 * time.Second})
	if took := time.Since(started); err == nil || took > 2*time.Second {
		t.Errorf("%v after %v, want an error within 2 s", err, took)
	}
}

// Guards against calls that are broken off because they take long although the instance is there.
func TestSlowInstanceIsWaitedFor(t *testing.T) {
	i := &instance{delay: 1200 * time.Millisecond, answer: statement.Answer{Delivery: statement.Answered, Signature: "sig"}}
	client, address := serve(t, i)
	a, err := client.Execute(context.Background(), address, "meals-1", statement.Call{Body: statement.Read{}, Timeout: 3 * time.Second})
	if err != nil || !a.OK() {
		t.Errorf("%+v, %v", a, err)
	}
}

// Guards against a call that was never sent and is taken for one that may have run.
func TestRefusedConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	client := relay.NewClient(clock.Boot)
	defer client.Close()
	_, err = client.Execute(context.Background(), address, "meals-1", statement.Call{Body: statement.Write{}, Timeout: time.Second})
	var e *relay.Error
	if !errors.As(err, &e) || e.Sent || !e.Refused {
		t.Errorf("%v, want an error that was not sent and refused", err)
	}
}

// Guards against the remaining calls losing what they carry.
func TestOtherCalls(t *testing.T) {
	client, address := serve(t, &instance{})
	if g, err := client.Take(context.Background(), address, relay.Tokens{From: "i1", Organisation: "coop", Wanted: 3, Lend: true}); err != nil || g.Granted != 2 || g.RetryAfter != 30*time.Millisecond {
		t.Errorf("grant %+v, %v", g, err)
	}
	if p, err := client.Probe(context.Background(), address, "meals-1"); err != nil || !p.Reached || p.Primary {
		t.Errorf("probe %+v, %v", p, err)
	}
	ok, l, err := client.Succeed(context.Background(), address, relay.Succession{Group: "meals"})
	if err != nil || !ok || l.Server != "meals-2" || l.Term != 4 {
		t.Errorf("succession %t %+v, %v", ok, l, err)
	}
}
