package api_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"tanagercross/internal/instance/api"
	"tanagercross/internal/session/outcome"
)

// Guards against bodies that are taken in without bound, and against short requests that wait for long ones.
func TestLongBodiesShareTheirMemory(t *testing.T) {
	const length = 100 << 10
	f := start(t, &fakeExecutor{reply: api.Reply{Verdict: outcome.Verdict{Outcome: outcome.Done}}}, api.Options{BodyBytes: 4 * length, Quiet: time.Millisecond})
	stalled, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer stalled.Close()
	_ = stalled.SetDeadline(time.Now().Add(8 * time.Second))
	fmt.Fprintf(stalled, "POST %s HTTP/1.1\r\nHost: x\r\nX-Api-Key: k\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", path, length)
	line := make([]byte, len("HTTP/1.1 100"))
	if _, err := io.ReadFull(stalled, line); err != nil || string(line) != "HTTP/1.1 100" {
		t.Fatalf("%q, %v", line, err)
	}
	if status, _, body := f.do(t, http.MethodPost, path, read, "x-api-key", "k"); status != http.StatusOK {
		t.Errorf("short request beside a stalled one: %d %s", status, body)
	}
	long := strings.Replace(read, "{", "{"+strings.Repeat(" ", length-len(read)), 1)
	if status, _, body := f.do(t, http.MethodPost, path, long, "x-api-key", "k"); status != http.StatusOK {
		t.Errorf("long request: %d %s, want the answer after the stalled one was given up", status, body)
	}
	rest, _ := io.ReadAll(stalled)
	if !strings.Contains(string(rest), "not_run") {
		t.Errorf("the stalled request was answered %q, want not_run", rest)
	}
}
