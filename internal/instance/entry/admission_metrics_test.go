package entry

import (
	"bytes"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"tanagercross/internal/database/statement"
	"tanagercross/internal/instance/metric"
	"tanagercross/internal/request/admission"
	"tanagercross/internal/request/placement"
)

// Guards against a refusal whose inputs an operator cannot find, and against decisions that are not counted by priority.
func TestAdmissionIsObserved(t *testing.T) {
	var log bytes.Buffer
	o := &observer{log: slog.New(slog.NewJSONHandler(&log, nil)), metrics: metric.New()}
	c := statement.Call{ID: "r1", Organisation: "coop", Priority: 7}
	o.Admission(c, "meals", admission.Verdict{Admitted: true})
	o.Admission(c, "meals", admission.Verdict{
		Limit: 500 * time.Millisecond, Wait: 900 * time.Millisecond, Age: 40 * time.Millisecond, RetryAfter: 410 * time.Millisecond,
		Reports: []placement.Report{{Server: "s0", Wait: 900 * time.Millisecond, Age: 40 * time.Millisecond}},
	})
	o.RetryDenied(c, "budget")
	w := httptest.NewRecorder()
	o.metrics.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, outcome := range []string{"admitted", "refused", "retry_denied"} {
		if want := `tanagercross_admissions_total{priority="2",outcome="` + outcome + `"} 1`; !strings.Contains(w.Body.String(), want) {
			t.Errorf("metrics lack %s", want)
		}
	}
	for _, want := range []string{
		`"msg":"call refused for overload"`, `"request":"r1"`, `"limit_ms":500`, `"wait_ms":900`, `"age_ms":40`,
		`"reports":["s0: wait 900 ms, 40 ms old"]`, `"retry_after_ms":410`, `"msg":"retry denied"`, `"reason":"budget"`,
	} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("the log lacks %s:\n%s", want, log.String())
		}
	}
}
