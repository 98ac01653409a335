package entry

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tanagercross/internal/database/serverqueue"
	"tanagercross/internal/instance/metric"
)

// Guards against a refusal at a server whose inputs an operator cannot find: who took the place, the expected wait, the time
// that was left and the length of the queue.
func TestRefusalOfTheQueueIsLoggedAndCounted(t *testing.T) {
	var lines bytes.Buffer
	registry := metric.New()
	o := newObserver(&Node{}, slog.New(slog.NewJSONHandler(&lines, nil)), registry)
	low := serverqueue.Request{ID: "r1", Organisation: "coop", Priority: 2, Deadline: 2 * time.Second, Goal: 1500 * time.Millisecond}
	high := serverqueue.Request{ID: "r2", Organisation: "mill"}
	o.QueueServed("meals-1-a", high, 3*time.Millisecond)
	o.QueueRefused("meals-1-a", serverqueue.Refusal{
		Outcome: serverqueue.Displaced, Request: low, At: time.Second, Waited: 30 * time.Millisecond, Expected: 700 * time.Millisecond,
		Queued: 1024, For: high,
	})
	got := map[string]any{}
	if err := json.Unmarshal(lines.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	delete(got, "time")
	want := map[string]any{
		"level": "INFO", "msg": "queue refused", "request": "r1", "server": "meals-1-a", "organisation": "coop", "priority": 2.0,
		"organisation_priority": 0.0, "outcome": "displaced", "waited_ms": 30.0, "expected_ms": 700.0, "queued": 1024.0,
		"deadline_ms": 1000.0, "goal_ms": 500.0,
		"for_request": "r2", "for_organisation": "mill", "for_priority": 0.0, "for_transaction": false,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("log line (-want +got):\n%s", diff)
	}
	w := httptest.NewRecorder()
	registry.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, series := range []string{
		`tanagercross_server_queue_total{priority="2",outcome="displaced"} 1`,
		`tanagercross_server_queue_total{priority="0",outcome="served"} 1`,
		`tanagercross_server_queue_wait_seconds_bucket{priority="0",le="0.005"} 1`,
	} {
		if !strings.Contains(w.Body.String(), series+"\n") {
			t.Errorf("missing %s", series)
		}
	}
}
