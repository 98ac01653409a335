package database

import (
	"encoding/json"
	"net/http"
	"time"
)

const maximumControlBytes = 1 << 20

// Faults is the JSON body of PUT /faults on the control port. It replaces the faults that are set there.
type Faults struct {
	LagMS            int64 `json:"lag_ms"`
	ServiceTimeMS    int64 `json:"service_time_ms"`
	DropCommitAnswer bool  `json:"drop_commit_answer"` // once: the next commit closes its connection without an answer
}

// Counters is the JSON body of GET /counters.
type Counters struct {
	Statements  uint64 `json:"statements"`  // reads and writes of clients since the start; no probes and no locks
	Connections int    `json:"connections"` // open now
}

// Counters returns the work since the start.
func (s *Server) Counters() Counters {
	return Counters{Statements: s.Statements(), Connections: s.sessions()}
}

// ControlHandler serves GET and PUT /faults and GET /counters in JSON.
func (s *Server) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maximumControlBytes)).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetLag(time.Duration(f.LagMS) * time.Millisecond)
		s.SetServiceTime(time.Duration(f.ServiceTimeMS) * time.Millisecond)
		s.faults.dropCommit.Store(f.DropCommitAnswer)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, Faults{
			LagMS:            time.Duration(s.lag.Load()).Milliseconds(),
			ServiceTimeMS:    time.Duration(s.serviceTime.Load()).Milliseconds(),
			DropCommitAnswer: s.faults.dropCommit.Load(),
		})
	})
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, s.Counters())
	})
	return mux
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
