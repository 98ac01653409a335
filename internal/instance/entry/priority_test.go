package entry_test

import (
	"log/slog"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"tanagercross/internal/instance/clock"
	"tanagercross/internal/instance/entry"
	"tanagercross/internal/instance/metric"
	"tanagercross/internal/standin/cluster"
)

// Guards against a setting that does not reach the queues of the servers, and queues by priority without the setting.
func TestSettingEnablesPriorities(t *testing.T) {
	for _, enabled := range []bool{false, true} {
		f := &fleet{t: t, cluster: cluster.New(clock.Boot)}
		f.cluster.AddGroup("meals", "agreste")
		f.cluster.Configure(configuration(1, 100_000, keyText))
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address := listener.Addr().String()
		_ = listener.Close()
		registry := metric.New()
		n, err := entry.Start(entry.Options{
			Settings: entry.Settings{
				Name: "i1", Place: "agreste", PeersAddress: address, PromotionLease: time.Second, PriorityScheduling: enabled,
			},
			Store: f.cluster.Store("i1"), Promoter: f.cluster, Decoder: f.cluster, Dialer: f.cluster.Dialer("i1"),
			Metrics: registry, Log: slog.New(slog.NewJSONHandler(logWriter(), nil)),
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Stop)
		f.nodes = append(f.nodes, n)
		f.awaitReady()
		s := f.session(0, "plates")
		f.eventually("a write", func() bool { return s.write("plates", "1").OK() })
		w := httptest.NewRecorder()
		registry.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
		for _, series := range []string{
			`tanagercross_server_expected_wait_seconds{server="meals-agreste",priority="0"}`, `tanagercross_server_queue_total{priority="0",outcome="served"}`,
		} {
			if got := strings.Contains(w.Body.String(), series); got != enabled {
				t.Errorf("enabled %t: %s is served: %t", enabled, series, got)
			}
		}
	}
}
