package database

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against a control port that accepts a fault without setting it, which would let a scenario pass untested.
func TestControlSetsFaults(t *testing.T) {
	s := &Server{}
	s.statements.Store(3)
	send := func(method, path, body string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		s.ControlHandler().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		return w
	}
	w := send(http.MethodPut, "/faults", `{"lag_ms": 5000, "service_time_ms": 2, "drop_commit_answer": true}`)
	if w.Code != http.StatusNoContent {
		t.Fatalf("status %d: %s", w.Code, w.Body)
	}
	if got := time.Duration(s.lag.Load()); got != 5*time.Second {
		t.Errorf("lag %s, want 5s", got)
	}
	if got := time.Duration(s.serviceTime.Load()); got != 2*time.Millisecond {
		t.Errorf("service time %s, want 2ms", got)
	}
	if !s.faults.dropCommit.Load() {
		t.Error("the next commit answer is not dropped")
	}
	if w := send(http.MethodPut, "/faults", `{`); w.Code != http.StatusBadRequest {
		t.Errorf("status %d for a malformed body, want 400", w.Code)
	}
	if got, want := send(http.MethodGet, "/faults", "").Body.String(), `{"lag_ms":5000,"service_time_ms":2,"drop_commit_answer":true}`+"\n"; got != want {
		t.Errorf("faults %s, want %s", got, want)
	}
	if got := send(http.MethodGet, "/counters", "").Body.String(); got != `{"statements":3,"connections":0}`+"\n" {
		t.Errorf("counters %s", got)
	}
}
