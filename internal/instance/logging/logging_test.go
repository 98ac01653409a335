package logging_test

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"tanagercross/internal/instance/logging"
)

// stalled is a writer that takes nothing until it is released.
type stalled struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (s *stalled) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(b)
}

// Guards against requests that wait for a reader of the log that has stalled, and against losses that nobody learns of.
func TestStalledReaderBlocksNothing(t *testing.T) {
	w := &stalled{release: make(chan struct{})}
	sink := logging.NewSink(w)
	started := time.Now()
	for range 5000 {
		if _, err := sink.Write([]byte("{}\n")); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(started); took > time.Second {
		t.Errorf("5,000 lines took %v", took)
	}
	close(w.release)
	sink.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !strings.Contains(w.text.String(), "log lines dropped") {
		t.Error("the loss of lines is not reported")
	}
}

// Guards against a message that fills the log, and against others that are left out with it.
func TestLinesOfAMessageAreBounded(t *testing.T) {
	var out bytes.Buffer
	log := slog.New(logging.NewHandler(&out, slog.LevelInfo)).With("node", "i1")
	for time.Now().Nanosecond() > 500_000_000 { // stay within one second
		time.Sleep(10 * time.Millisecond)
	}
	for range 500 {
		log.Info("frequent")
	}
	log.Info("rare")
	if n := strings.Count(out.String(), "frequent"); n != 60 {
		t.Errorf("%d lines, want 60", n)
	}
	if !strings.Contains(out.String(), "rare") {
		t.Error("another message was left out")
	}
	time.Sleep(1100 * time.Millisecond)
	log.Info("frequent")
	if !strings.Contains(out.String(), `"suppressed":440`) {
		t.Errorf("the number of lines left out is not reported: %s", out.String()[out.Len()-200:])
	}
}

// Guards against texts of callers that make each line of a full queue as long as the longest message.
func TestLongTextsAreCut(t *testing.T) {
	var text bytes.Buffer
	log := slog.New(logging.NewHandler(&text, slog.LevelInfo))
	log.With("session", strings.Repeat("s", 1<<20)).Info("refused", "request", strings.Repeat("i", 1<<20), "code", "busy")
	if got := text.Len(); got > 10<<10 {
		t.Errorf("a line has %d bytes", got)
	}
	if !strings.Contains(text.String(), `"code":"busy"`) {
		t.Error("a short text was changed")
	}
}
