package platform_test

import (
	"net/http"
	"strings"
	"testing"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/service/rest"
	"tanagercross/internal/service/store"
	"tanagercross/internal/standin/platform"
)

// Guards against a table that is lost or changed over a restart, and a version that is used again after a deletion.
func TestFile(t *testing.T) {
	c := platform.Config{File: t.TempDir() + "/table"}
	for round := range uint64(2) {
		p, err := platform.Start(t.Context(), c)
		if err != nil {
			t.Fatal(err)
		}
		s := rest.New("http://"+p.Addr(), rest.Options{})
		rows, err := s.Read(t.Context(), "a", "b")
		if err != nil || rows[0].Version != 3*round || rows[1].Version != 0 {
			t.Fatalf("round %d: %+v, %v", round, rows, err)
		}
		for _, w := range []store.Write{{Key: "a"}, {Key: "a", Delete: true}, {Key: "a", Value: []byte("x")}} {
			if err := s.Commit(t.Context(), nil, []store.Write{w}); err != nil {
				t.Fatal(err)
			}
		}
		if c := p.Counters(); c.Reads != 1 || c.Writes != 3 {
			t.Errorf("counters %+v", c)
		}
		s.Close()
		p.Stop()
	}
}

// Guards against a control port whose settings do not reach the platform surface.
func TestControl(t *testing.T) {
	p, err := platform.Start(t.Context(), platform.Config{
		Groups: []store.Group{{Name: "g", Servers: []driver.Server{{Name: "s", Group: "g"}}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Stop()
	s := rest.New("http://"+p.Addr(), rest.Options{})
	defer s.Close()
	put := func(path, body string) {
		t.Helper()
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+p.ControlAddr()+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		answer, err := http.DefaultClient.Do(r)
		if err != nil || answer.StatusCode != http.StatusNoContent {
			t.Fatalf("%s: %+v, %v", path, answer, err)
		}
		answer.Body.Close()
	}
	put("/leaving?server=s&leaving=true", "")
	groups, err := s.Groups(t.Context())
	if err != nil || !groups[0].Servers[0].Leaving || groups[0].Servers[0].Group != "g" {
		t.Errorf("%+v, %v", groups, err)
	}
	put("/faults", `{"outage": true}`)
	if _, err := s.Groups(t.Context()); store.KindOf(err) != store.Unavailable {
		t.Errorf("no outage: %v", err)
	}
	put("/faults", `{}`)
	put("/instances", `{"instances": [{"name": "i", "leaving": true}]}`)
	listed, err := s.Instances(t.Context())
	if err != nil || len(listed) != 1 || !listed[0].Leaving {
		t.Errorf("%+v, %v", listed, err)
	}
}
