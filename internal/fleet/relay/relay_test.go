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

// fakeInstance records the requests that it receives and returns preset answers, Execute after a delay.
type fakeInstance struct {
	call     statement.Call
	answer   statement.Answer
	received relay.Gossip
	response view.State
	delay    time.Duration
	tokens   relay.TokenRequest
}

func (i *fakeInstance) Execute(_ context.Context, _ string, c statement.Call) statement.Answer {
	time.Sleep(i.delay)
	i.call = c
	return i.answer
}

func (i *fakeInstance) Gossip(_ context.Context, e relay.Gossip) view.State {
	i.received = e
	return i.response
}

func (i *fakeInstance) TakeTokens(_ context.Context, w relay.TokenRequest) allotment.Grant {
	i.tokens = w
	return allotment.Grant{Granted: w.Wanted - 1, RetryAfter: 30 * time.Millisecond}
}

func (i *fakeInstance) ReadIndex(context.Context, string) (readindex.Index, bool) {
	return readindex.Index{Position: driver.Position{Term: 3, Index: 9}, RequestedAt: clock.Boot() - 200*time.Millisecond}, true
}

func (i *fakeInstance) Probe(context.Context, string) relay.Probe { return relay.Probe{Reached: true} }

func (i *fakeInstance) ChangePrimary(context.Context, relay.PrimaryChange) (bool, view.Leader) {
	return true, view.Leader{Group: "meals", Server: "meals-2", Term: 4}
}

// serve starts a server for an instance and returns a client with its address.
func serve(t *testing.T, i *fakeInstance) (*relay.Client, string) {
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

// Guards against fields of a statement or of its answer that are lost in encoding or decoding.
func TestExecute(t *testing.T) {
	i := &fakeInstance{answer: statement.Answer{
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
			t.Errorf("received call %+v, returned answer %+v, error %v", i.call, got, err)
		}
	}
	if _, err := client.Execute(context.Background(), address, "meals-1", statement.Call{Body: statement.Begin{}}); err == nil {
		t.Error("Begin was sent, want an error: it is never forwarded")
	}
}

// Guards against a statement or an answer that fails or changes because of its bytes only when it is relayed.
func TestBytesPassUnchanged(t *testing.T) {
	var every []byte
	for n := range 256 {
		every = append(every, byte(n))
	}
	text := string(every)
	i := &fakeInstance{answer: statement.Answer{
		Rows: []string{text, "", text[128:]}, Signature: text, Code: statement.Failed, Text: text, Delivery: statement.Answered,
	}}
	client, address := serve(t, i)
	for _, body := range []statement.Statement{
		statement.Read{Arguments: text},
		statement.Write{Arguments: text},
		statement.Execute{Name: text, Arguments: text},
	} {
		want := statement.Call{
			Organisation: "coop", Session: "s1", ID: text, Body: body, Values: []statement.Value{{Name: text, Value: text}, {Name: "n"}},
			Preparation: &statement.Preparation{Name: text, Writes: true, Shape: text}, Timeout: time.Second,
		}
		got, err := client.Execute(context.Background(), address, "meals-1", want)
		if err != nil || !cmp.Equal(got, i.answer) || !cmp.Equal(i.call, want) {
			t.Errorf("%T: received call %+v, returned answer %+v, error %v", body, i.call, got, err)
		}
	}
}

// Guards against ages that shrink in transit: state would look fresher than it is, and a read index would count from a time
// after it was requested from the primary.
func TestAgesDoNotShrink(t *testing.T) {
	read := clock.Boot() - 700*time.Millisecond
	i := &fakeInstance{response: view.State{Servers: view.Rows{Version: 5, ReadAt: read, Rows: []view.Row{{Key: "a", Value: []byte("x"), Version: 4}}}}}
	client, address := serve(t, i)
	response, err := client.Gossip(context.Background(), address, relay.Gossip{
		Sender: view.Presence{Name: "i1", Place: "agreste", LastSeen: clock.Boot(), Leaving: true},
		Rates:  map[string]float64{"coop": 12.5},
	})
	if err != nil || response.Servers.ReadAt > read || response.Servers.ReadAt < read-time.Second || response.Configuration.ReadAt != 0 {
		t.Errorf("servers read at %v arrive as read at %v, error %v", read, response.Servers.ReadAt, err)
	}
	if i.received.Sender.Name != "i1" || i.received.Rates["coop"] != 12.5 || !i.received.Sender.Leaving {
		t.Errorf("received %+v", i.received)
	}
	before := clock.Boot()
	p, ok, err := client.ReadIndex(context.Background(), address, "meals-1")
	if err != nil || !ok || p.RequestedAt > before-200*time.Millisecond {
		t.Errorf("read index %+v, %t, %v; want one requested at least 200 ms before the call", p, ok, err)
	}
}

// Guards against calls to an instance that accepts connections and never answers: they would block their caller until their
// own timeout instead of failing early.
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

// Guards against slow calls that are cancelled although the instance answers liveness probes.
func TestSlowInstanceIsWaitedFor(t *testing.T) {
	i := &fakeInstance{delay: 1200 * time.Millisecond, answer: statement.Answer{Delivery: statement.Answered, Signature: "sig"}}
	client, address := serve(t, i)
	a, err := client.Execute(context.Background(), address, "meals-1", statement.Call{Body: statement.Read{}, Timeout: 3 * time.Second})
	if err != nil || !a.OK() {
		t.Errorf("answer %+v, error %v, want success", a, err)
	}
}

// Guards against a call that was never sent and is reported as one that may have run: only the first is safe to
// repeat.
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
	if !errors.As(err, &e) || e.Sent {
		t.Errorf("%v, want an error without Sent", err)
	}
}

// Guards against wanted tokens that arrive under another priority, and against requests without priorities, as earlier
// versions send them, that do not count as the lowest.
func TestTokensWantedByPriority(t *testing.T) {
	instance := &fakeInstance{}
	client, address := serve(t, instance)
	for sent, want := range map[allotment.ByClass]allotment.ByClass{{1, 2, 4}: {1, 2, 4}, {}: {0, 0, 7}, {0, 2, 0}: {0, 2, 5}, {9, 9, 9}: {7, 0, 0}} {
		if _, err := client.TakeTokens(t.Context(), address, relay.TokenRequest{Organisation: "coop", Wanted: 7, ByClass: sent}); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(relay.TokenRequest{Organisation: "coop", Wanted: 7, ByClass: want}, instance.tokens); diff != "" {
			t.Errorf("sent %v (-want +got):\n%s", sent, diff)
		}
	}
}

// Guards against fields of the other calls that are lost in encoding or decoding.
func TestOtherCalls(t *testing.T) {
	client, address := serve(t, &fakeInstance{})
	if g, err := client.TakeTokens(context.Background(), address, relay.TokenRequest{From: "i1", Organisation: "coop", Wanted: 3, Lend: true}); err != nil || g.Granted != 2 || g.RetryAfter != 30*time.Millisecond {
		t.Errorf("grant %+v, %v", g, err)
	}
	if p, err := client.Probe(context.Background(), address, "meals-1"); err != nil || !p.Reached || p.Primary {
		t.Errorf("probe %+v, %v", p, err)
	}
	ok, l, err := client.ChangePrimary(context.Background(), address, relay.PrimaryChange{Group: "meals"})
	if err != nil || !ok || l.Server != "meals-2" || l.Term != 4 {
		t.Errorf("change of primary: accepted %t, leader %+v, error %v", ok, l, err)
	}
}
