package metric_test

import (
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/instance/metric"
	"tanagercross/internal/session/outcome"
	"tanagercross/internal/session/route"
)

func scrape(r *metric.Registry) string {
	w := httptest.NewRecorder()
	r.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}

// Guards against events that are not counted, counted under another label, or shared between two registries.
func TestSeries(t *testing.T) {
	r, other := metric.New(), metric.New()
	r.Refused(outcome.QueueFull)
	r.OutcomeUnknown(outcome.AnswerLost)
	r.Retried(outcome.NoPrimary)
	r.ReadServed(driver.Primary, route.PrimaryReplicaBehind)
	r.Request("statements.run", outcome.Done, 3*time.Millisecond)
	r.Version(metric.KeysVersion, 7)
	held := true
	r.Collect(func(emit metric.Emit) {
		if held {
			emit(metric.QueueLength, 5, metric.Label{Name: "server", Value: `a"b`})
		}
	})
	text := scrape(r)
	for _, want := range []string{
		`tanagercross_refusals_total{reason="queue_full"} 1`,
		`tanagercross_refusals_total{reason="rate_exceeded"} 0`,
		`tanagercross_unknown_outcomes_total{reason="answer_lost"} 1`,
		`tanagercross_retries_total{reason="no_primary"} 1`,
		`tanagercross_reads_total{role="primary",reason="primary_replica_behind"} 1`,
		`tanagercross_reads_total{role="replica",reason="replica_expected"} 0`,
		`tanagercross_request_duration_seconds_bucket{route="statements.run",outcome="done",le="0.002"} 0`,
		`tanagercross_request_duration_seconds_bucket{route="statements.run",outcome="done",le="0.005"} 1`,
		`tanagercross_version_in_force{document="keys"} 7`,
		`tanagercross_queue_length{server="a\"b"} 5`,
	} {
		if !strings.Contains(text, want+"\n") {
			t.Errorf("missing %s in\n%s", want, text)
		}
	}
	held = false
	if strings.Contains(scrape(r), "queue_length") || strings.Contains(scrape(other), `queue_full"} 1`) {
		t.Error("a gauge outlives its source, or registries share series")
	}
}

// Guards against a label whose bytes make the page unreadable: the text format knows the escapes of the backslash, the double
// quote and the line feed only.
func TestLabelsAreEscaped(t *testing.T) {
	r := metric.New()
	r.Collect(func(emit metric.Emit) {
		emit(metric.QueueLength, 5, metric.Label{Name: "server", Value: "a\t\u00a0\u0085\"\\\nb"})
	})
	if text, want := scrape(r), "{server=\"a\t\u00a0\u0085\\\"\\\\\\nb\"} 5"; !strings.Contains(text, want) {
		t.Errorf("%q lacks %q", text, want)
	}
}

// Guards against a new reason in package outcome that has no counter from the start.
func TestReasonsAreComplete(t *testing.T) {
	source, err := os.ReadFile("../../session/outcome/outcome.go")
	if err != nil {
		t.Fatal(err)
	}
	registry := metric.New()
	for _, reason := range metric.ReadReasons() {
		registry.ReadServed(map[bool]driver.Role{true: driver.Replica, false: driver.Primary}[reason.ByReplica()], reason)
	}
	for _, c := range registry.Reads() {
		if c.Count != 1 {
			t.Errorf("%s is counted %d times, want 1", c.Reason, c.Count)
		}
	}
	text := scrape(metric.New())
	for _, m := range regexp.MustCompile(`Reason = "(\w+)"|Reason\s+= "(\w+)"`).FindAllStringSubmatch(string(source), -1) {
		if !strings.Contains(text, `{reason="`+m[1]+m[2]+`"} 0`) {
			t.Errorf("reason %s%s has no counter", m[1], m[2])
		}
	}
}
