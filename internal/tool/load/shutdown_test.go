package load_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"tanagercross/internal/instance/api"
	"tanagercross/internal/organisation/key"
	"tanagercross/internal/tool/ledger"
	"tanagercross/internal/tool/load"
)

// slowExecutor takes a moment for each request, so that a shutdown meets running requests.
type slowExecutor struct{ *database }

func (s slowExecutor) Statement(ctx context.Context, r api.StatementRequest) api.Reply {
	time.Sleep(5 * time.Millisecond)
	return s.database.Statement(ctx, r)
}

// Guards against a shutdown under load that cuts a request of any caller, running or on its way.
func TestShutdownUnderLoad(t *testing.T) {
	d := &database{open: map[string]ledger.Content{}, ids: map[string]bool{}}
	o := load.Options{Groups: []string{"g"}, Duration: 600 * time.Millisecond, WriteShare: 0.5, Seed: 3}
	var servers []*api.Server
	var serving sync.WaitGroup
	for range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := api.New(slowExecutor{d}, api.Options{Quiet: 200 * time.Millisecond})
		serving.Go(func() { _ = server.Serve(l) })
		servers = append(servers, server)
		o.Instances = append(o.Instances, "http://"+l.Addr().String())
	}
	k, _ := key.New()
	o.Organisations = []load.Organisation{{Name: "a", Key: k, Rate: 1000, Sessions: 16}}
	serving.Go(func() {
		time.Sleep(200 * time.Millisecond)
		for _, s := range servers[:2] {
			if err := s.Shutdown(context.Background()); err != nil {
				t.Error(err)
			}
		}
	})
	var l ledger.Ledger
	summary, err := load.Run(t.Context(), o, &l)
	_ = servers[2].Shutdown(context.Background())
	serving.Wait()
	r := l.Report(d.rows, ledger.Parameters{})
	if err != nil || summary.Cut != 0 || r.Faults() != 0 || r.Unknown != 0 {
		t.Errorf("%v %+v %+v", err, summary, r)
	}
}
