package api

import (
	"net/http"
	"time"

	"tanagercross/internal/session/outcome"
)

const (
	// unchargedBodyBytes is the length up to which bodies are not charged to the budget. Nearly all are shorter.
	unchargedBodyBytes = 16 << 10
	// copiesOfBody is the number of times that a body is in memory while its request runs: as it is read, with the bytes that
	// the collector has not yet freed, as it is decoded, and as it is sent to a server.
	copiesOfBody = 4
)

// admitBody reserves the memory of a request before its body is read. It returns the function that releases the memory, and
// false if there is no room in time. A request that stalls while others wait can no longer be read.
func (s *Server) admitBody(w http.ResponseWriter, r *http.Request, x *exchange) (release func(), ok bool) {
	length := r.ContentLength
	if length < 0 || length > MaxBodyBytes {
		length = MaxBodyBytes
	}
	if length <= unchargedBodyBytes {
		return func() {}, true
	}
	account := s.bodies.Open(func() {
		s.options.Metric.CallerCutOff("memory_held")
		_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
	})
	release = func() { account.Close(time.Now()) }
	if account.Acquire(time.Now, length*copiesOfBody) {
		x.body = account
		return release, true
	}
	release()
	s.options.Metric.CallerCutOff("memory")
	s.options.Log.Warn("caller cut off", "reason", "memory", "address", r.RemoteAddr, "bytes", s.bodies.Counts().Held)
	return nil, false
}

// startRunning records that the body has been read, and reports whether the request may run. From then on its memory is not
// taken away, because the caller would not learn the outcome.
func (x *exchange) startRunning() bool { return x.body == nil || x.body.SetRunning(time.Now(), true) }

// refuseBody answers a request whose body is not read.
func refuseBody(w http.ResponseWriter, x *exchange) {
	w.Header().Set("Connection", "close")
	writeFailure(w, x.refuse(outcome.QueueFull, "no memory for the body"))
}
