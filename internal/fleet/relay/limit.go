package relay

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/sync/semaphore"
	"google.golang.org/protobuf/proto"

	"tanagercross/internal/database/statement"
	"tanagercross/internal/genproto/relay/v1/relayv1connect"
)

const (
	// unchargedRequestBytes is the length up to which requests are not charged. Nearly all are shorter.
	unchargedRequestBytes = 16 << 10
	// copiesOfRequest is the number of times that a request is in memory while it runs: as it was received, as it was decoded
	// and as it is written to a server.
	copiesOfRequest = 3
	// roomTimeout is the wait of a statement for room. It is shorter than the timeouts of statements, so that the sender still
	// gets the refusal.
	roomTimeout = 200 * time.Millisecond
)

// Limit returns a handler that keeps the memory of statements from other instances within a number of bytes. A statement that
// does not fit waits before it is read, and is then refused with the code TooMany and not run. Other calls, which are short
// and keep the fleet together, always pass. refused is called with each refusal.
func Limit(next http.Handler, bytes int64, refused func()) http.Handler {
	room := semaphore.NewWeighted(bytes)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		length := r.ContentLength
		if length < 0 {
			length = maximumMessageBytes
		}
		if r.URL.Path != relayv1connect.RelayServiceExecuteProcedure || length <= unchargedRequestBytes {
			next.ServeHTTP(w, r)
			return
		}
		weight := min(length*copiesOfRequest, bytes)
		ctx, cancel := context.WithTimeout(r.Context(), roomTimeout)
		err := room.Acquire(ctx, weight)
		cancel()
		if err != nil {
			refused()
			writeRefusal(w)
			return
		}
		defer room.Release(weight)
		next.ServeHTTP(w, r)
	})
}

// writeRefusal answers a call of Execute by the Connect protocol without reading it.
func writeRefusal(w http.ResponseWriter) {
	message, err := proto.Marshal(encodeAnswer(statement.Refused(statement.TooMany, "no memory at the holder; retry after 500 ms")))
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/proto")
	_, _ = w.Write(message)
}
