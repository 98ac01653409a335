// Package logging writes log lines as JSON without ever blocking the code that logs.
//
// Lines of one message are bounded per second, and all lines by a queue. What is left out is counted and reported in a line
// of its own.
//
// # Usage
//
//	sink := logging.NewSink(os.Stdout)
//	defer sink.Close()
//	log := slog.New(logging.NewHandler(sink, slog.LevelInfo))
package logging

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of the volume.
const (
	queuedLines   = 2048
	linesASecond  = 60 // of one message
	knownMessages = 512
	textBytes     = 4 << 10 // of one text of a line; ids and texts of other programs may have 1 MiB
	closeWait     = 500 * time.Millisecond
)

// Sink writes lines to a writer from one goroutine.
type Sink struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	end     chan struct{}
	once    sync.Once
}

// NewSink returns a sink that writes to w.
func NewSink(w io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, queuedLines), done: make(chan struct{}), end: make(chan struct{})}
	go s.run(w)
	return s
}

// Write implements io.Writer. It drops the line if the queue is full.
func (s *Sink) Write(line []byte) (int, error) {
	own := append([]byte(nil), line...)
	select {
	case s.lines <- own:
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

func (s *Sink) run(w io.Writer) {
	defer close(s.done)
	for {
		select {
		case line := <-s.lines:
			s.write(w, line)
		case <-s.end:
			for {
				select {
				case line := <-s.lines:
					s.write(w, line)
				default:
					return
				}
			}
		}
	}
}

// write ignores errors: there is no other place to tell them.
func (s *Sink) write(w io.Writer, line []byte) {
	_, _ = w.Write(line)
	if n := s.dropped.Swap(0); n > 0 {
		text, err := json.Marshal(map[string]any{"time": time.Now(), "level": "WARN", "msg": "log lines dropped", "lines": n})
		if err == nil {
			_, _ = w.Write(append(text, '\n'))
		}
	}
}

// Close writes what is queued, if the writer takes it in time.
func (s *Sink) Close() {
	s.once.Do(func() { close(s.end) })
	select {
	case <-s.done:
	case <-time.After(closeWait):
	}
}

// Handler is a slog handler that bounds the lines of each message.
type Handler struct {
	slog.Handler
	limit *limit
}

type limit struct {
	mu     sync.Mutex
	second int64
	counts map[string]int
}

// NewHandler returns a handler that writes JSON lines of a level and above.
func NewHandler(w io.Writer, level slog.Leveler) *Handler {
	return &Handler{
		Handler: slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: shorten}), limit: &limit{counts: map[string]int{}},
	}
}

// shorten cuts a text that is longer than textBytes.
func shorten(_ []string, a slog.Attr) slog.Attr {
	if a.Value.Kind() == slog.KindString && len(a.Value.String()) > textBytes {
		a.Value = slog.StringValue(a.Value.String()[:textBytes] + "...")
	}
	return a
}

// Handle implements slog.Handler.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	suppressed, ok := h.limit.pass(r.Message, r.Time.Unix())
	if !ok {
		return nil
	}
	if suppressed > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int("suppressed", suppressed))
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{Handler: h.Handler.WithAttrs(attrs), limit: h.limit}
}

// WithGroup implements slog.Handler.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{Handler: h.Handler.WithGroup(name), limit: h.limit}
}

// pass reports whether a line may be written, and how many lines of the message the last second left out.
func (l *limit) pass(message string, second int64) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second != l.second {
		l.second = second
		for m, n := range l.counts {
			// What was left out is kept as a negative count and reported with the next line.
			if n > linesASecond {
				l.counts[m] = linesASecond - n
			} else if n >= 0 {
				delete(l.counts, m)
			}
		}
	}
	n := l.counts[message]
	if n < 0 {
		suppressed, n = -n, 0
	}
	if n == 0 && len(l.counts) >= knownMessages {
		return 0, false
	}
	l.counts[message] = n + 1
	return suppressed, n < linesASecond
}
