package rest_test

import (
	"context"
	"testing"
	"time"

	"go.uber.org/goleak"

	"tanagercross/internal/service/rest"
	"tanagercross/internal/service/store"
	"tanagercross/internal/standin/platform"
)

func start(t *testing.T, c platform.Config) (*platform.Server, *rest.Store) {
	t.Helper()
	ignored := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, ignored) })
	p, err := platform.Start(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	s := rest.New("http://"+p.Addr(), rest.Options{Timeout: 200 * time.Millisecond})
	t.Cleanup(func() {
		s.Close()
		p.Stop()
	})
	return p, s
}

// Guards against a failure kind that says "nothing was changed" for a write that took effect, or the reverse.
func TestKinds(t *testing.T) {
	p, s := start(t, platform.Config{File: t.TempDir() + "/table"})
	ctx := context.Background()
	put := func(version uint64) store.Kind {
		return store.KindOf(s.Commit(ctx, []store.Condition{{Key: "a", Version: version}},
			[]store.Write{{Key: "a", Value: []byte("x")}}))
	}
	version := func() uint64 {
		rows, err := s.Read(ctx, "a")
		if err != nil {
			t.Fatal(err)
		}
		return rows[0].Version
	}
	check := func(step string, got, want store.Kind, wantVersion uint64) {
		t.Helper()
		p.SetFaults(platform.Faults{})
		if got != want || version() != wantVersion {
			t.Errorf("%s: kind %q version %d, want %q %d", step, got, version(), want, wantVersion)
		}
	}
	check("first write", put(0), "", 1)
	check("conflict", put(0), store.Conflict, 1)
	p.SetOutage(true)
	check("outage", put(1), store.Unavailable, 1)
	p.LoseCommitAnswers(1)
	check("answer lost after the effect", put(1), store.Unknown, 2)
	p.SetLatency(time.Minute)
	check("time limit passed after sending", put(2), store.Unknown, 2)
	_, err := s.GetObject(ctx, "none/of these")
	check("missing object", store.KindOf(err), store.Missing, 2)
	if err := s.PutObject(ctx, "h/a b%2F", []byte("v")); err != nil {
		t.Error(err)
	}
	if data, err := s.GetObject(ctx, "h/a b%2F"); err != nil || string(data) != "v" {
		t.Errorf("object: %q %v", data, err)
	}
	p.Stop()
	// Without idle connections: a write on one that the platform has just closed may have been sent, and is Unknown.
	s.Close()
	if got := put(2); got != store.Unavailable {
		t.Errorf("refused connection: %q", got)
	}
}

// Guards against an instance list without lag, and against calls over the rate that are served.
func TestLagAndRates(t *testing.T) {
	p, s := start(t, platform.Config{Instances: []store.ListedInstance{{Name: "a"}}})
	p.SetInstances([]store.ListedInstance{{Name: "b"}})
	listed, err := s.Instances(t.Context())
	if err != nil || len(listed) != 1 || listed[0].Name != "b" {
		t.Fatalf("%v %v", listed, err)
	}
	p.SetInstanceListLag(time.Minute)
	if listed, err = s.Instances(t.Context()); err != nil || len(listed) != 0 {
		t.Fatalf("%v %v", listed, err)
	}
	// One call each second: the second call would wait longer than the stand-in allows.
	p, s = start(t, platform.Config{ReadsPerSecond: 1})
	_, first := s.Groups(t.Context())
	_, second := s.Groups(t.Context())
	if first != nil || store.KindOf(second) != store.Unavailable {
		t.Errorf("%v, %v, counters %+v", first, second, p.Counters())
	}
}
