package trace_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"tanagercross/internal/service/trace"
)

// Guards against a call that was sent and is taken for one that was not, and the other way round.
func TestConnectionIsObserved(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	for _, up := range []bool{true, false} {
		if !up {
			server.Close()
		}
		ctx, connection := trace.Connect(t.Context())
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, nil)
		if err != nil {
			t.Fatal(err)
		}
		if response, err := http.DefaultClient.Do(request); err == nil {
			_ = response.Body.Close()
			t.Error("the call has an answer")
		}
		if connection.Obtained() != up {
			t.Errorf("server up %t: connection obtained %t", up, connection.Obtained())
		}
	}
}
