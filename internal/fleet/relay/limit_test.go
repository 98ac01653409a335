package relay_test

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/relay"
	"tanagercross/internal/instance/clock"
)

// Guards against long statements of other instances that are taken in without bound, are refused as if they may have run, or
// keep short statements and other calls from being served.
func TestLongStatementsAreLimited(t *testing.T) {
	const callers, length, bytes = 8, 100 << 10, 700 << 10 // room for two
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	i := &gate{open: make(chan struct{})}
	refusals := make(chan struct{}, callers)
	server := relay.NewServer(relay.Limit(relay.NewHandler(i, clock.Boot), bytes, func() { refusals <- struct{}{} }))
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	client, address := relay.NewClient(clock.Boot), l.Addr().String()
	t.Cleanup(client.Close)
	execute := func(length int) (statement.Answer, error) {
		return client.Execute(context.Background(), address, "meals-1", statement.Call{
			ID: "q", Body: statement.Write{Arguments: "a " + strings.Repeat("x", length)}, Timeout: 20 * time.Second,
		})
	}
	answers := make(chan statement.Answer, callers)
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			a, err := execute(length)
			if err != nil {
				t.Error(err)
			}
			answers <- a
		})
	}
	for range callers - 2 {
		<-refusals
	}
	for range callers - 2 {
		if a := <-answers; a.Delivery != statement.NotSent || a.Code != statement.TooMany {
			t.Errorf("%+v, want a refusal with TooMany that was not sent", a)
		}
	}
	if p, err := client.Probe(context.Background(), address, "meals-1"); err != nil || !p.Reached {
		t.Errorf("probe beside long statements: %+v, %v", p, err)
	}
	close(i.open)
	if a, err := execute(10); err != nil || !a.OK() {
		t.Errorf("short statement: %+v, %v", a, err)
	}
	running.Wait()
	for range 2 {
		if a := <-answers; !a.OK() {
			t.Errorf("%+v, want success", a)
		}
	}
	if a, err := execute(length); err != nil || !a.OK() {
		t.Errorf("after the others: %+v, %v", a, err)
	}
}

// gate is an instance that answers statements once it is opened.
type gate struct {
	fakeInstance
	open chan struct{}
}

func (g *gate) Execute(context.Context, string, statement.Call) statement.Answer {
	<-g.open
	return statement.Answer{Delivery: statement.Answered, Signature: "sig"}
}
