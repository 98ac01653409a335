package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/fleet/document"
	"tanagercross/internal/instance/settings"
	"tanagercross/internal/organisation/key"
	"tanagercross/internal/service/rest"
	"tanagercross/internal/service/store"
	"tanagercross/internal/standin/platform"
)

// instantConn answers at once and without a network, so that only the proxy's own time is measured.
type instantConn struct {
	driver.Conn
	server string
}

func (c instantConn) Connect(_ context.Context, s driver.Server) (driver.Conn, error) {
	return instantConn{server: s.Name}, nil
}

func (c instantConn) Status(context.Context) (driver.Status, error) {
	role := driver.Replica
	if c.server == "a" {
		role = driver.Primary
	}
	return driver.Status{Server: c.server, Role: role, Term: 1, Last: driver.Position{Term: 1, Index: 9}, Primary: "a"}, nil
}

func (instantConn) Read(context.Context, string, driver.Position, driver.Statement) (driver.Result, error) {
	one := "1"
	return driver.Result{Columns: []string{"n"}, Rows: [][]*string{{&one}}, Position: driver.Position{Term: 1, Index: 9}}, nil
}
func (instantConn) TryLane(context.Context, int) (bool, error) { return true, nil }
func (instantConn) Ping(context.Context) error                 { return nil }
func (instantConn) Reset(context.Context) error                { return nil }
func (instantConn) Clean() bool                                { return true }
func (instantConn) Close()                                     {}

// solitary starts one instance over instant databases, and returns the URL of its statements and a key.
func solitary(b *testing.B) (string, key.Key) {
	ctx := context.Background()
	var servers []driver.Server
	for _, name := range []string{"a", "b", "c"} {
		servers = append(servers, driver.Server{Name: name, Group: "g", Place: name, Address: "127.0.0.1:1", Slots: 8, ConnectionLimit: 200})
	}
	p, err := platform.Start(ctx, platform.Config{Groups: []store.Group{{Name: "g", Servers: servers}}})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(p.Stop)
	k, err := key.New()
	if err != nil {
		b.Fatal(err)
	}
	table, err := key.Table{}.WithIssued(key.Entry{Hash: k.Hash(), Organisation: "coop", IssuedAt: time.Now().UTC(), IssuedBy: "bench"})
	if err != nil {
		b.Fatal(err)
	}
	content, _ := json.Marshal(table)
	s := rest.New("http://"+p.Addr(), rest.Options{})
	for name, content := range map[string][]byte{
		document.Keys: content, document.Configuration: []byte("defaults:\n  rate_per_second: 1000000\n  burst: 2000000\n"),
	} {
		data, _ := document.Document{Name: name, Version: 1, Content: content}.Encode()
		if err := s.Commit(ctx, nil, []store.Write{{Key: document.Key(name), Value: data}, {Key: document.VersionKey(name)}}); err != nil {
			b.Fatal(err)
		}
	}
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	secret := settings.NewSecret("0123456789abcdef0123456789abcdef")
	d, err := Start(ctx, Options{Connector: instantConn{}, Settings: settings.Settings{
		Name: "i1", Place: "a", Region: "a", ListenCallers: loopback, ListenPeers: loopback, ListenOperators: loopback,
		PlatformURL:  &url.URL{Scheme: "http", Host: p.Addr()},
		FleetSecrets: []settings.Secret{secret}, OperatorSecret: secret,
		DrainDeadline: time.Second, MaxConnections: 100, ReadTimeout: time.Minute, WriteTimeout: time.Minute, IdleTimeout: time.Minute,
	}})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = d.Stop(ctx) })
	return "http://" + d.CallersAddress() + "/v1/groups/g/statements", k
}

func post(b *testing.B, c *http.Client, url string, k key.Key) bool {
	r, _ := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(`{"mode":"read","sql":"SELECT 1"}`)))
	r.Header.Set("x-api-key", k.Reveal())
	r.Header.Set("content-type", "application/json")
	w, err := c.Do(r)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, w.Body)
	_ = w.Body.Close()
	return w.StatusCode == http.StatusOK
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkStatement measures the processor time of one read through an instance that is entry and holder at once, over
// databases that answer at once. The case "client" is the client with a server that only answers, so that the proxy's
// own time is the difference. An entry instance that is not the holder needs one more call: BenchmarkCall of package peer.
//
//	go test -run '^$' -bench Statement -benchtime 20000x ./internal/instance/daemon
func BenchmarkStatement(b *testing.B) {
	url, k := solitary(b)
	empty := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write([]byte(`{"outcome":"done"}`))
	}))
	defer empty.Close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	defer client.CloseIdleConnections()
	for deadline := time.Now().Add(20 * time.Second); !post(b, client, url, k); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(deadline) {
			b.Fatal("the instance does not serve")
		}
	}
	for _, c := range []struct{ name, url string }{{"client", empty.URL}, {"proxy", url}} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			var failed atomic.Int64
			before := processorTime()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if !post(b, client, c.url, k) {
						failed.Add(1)
					}
				}
			})
			b.ReportMetric(float64(processorTime()-before)/float64(b.N), "cpu-ns/op")
			b.ReportMetric(float64(failed.Load()), "refused")
		})
	}
}
