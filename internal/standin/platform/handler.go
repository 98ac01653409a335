package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"tanagercross/internal/service/rest"
)

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+rest.PathRead, s.read(func(w http.ResponseWriter, r *http.Request) {
		if body, ok := decode[rest.ReadRequest](w, r); ok {
			reply(w, rest.RowsResponse{Rows: s.table.read(body.Keys)})
		}
	}))
	mux.HandleFunc("POST "+rest.PathScan, s.read(func(w http.ResponseWriter, r *http.Request) {
		if body, ok := decode[rest.ScanRequest](w, r); ok {
			reply(w, rest.RowsResponse{Rows: s.table.scan(body.Prefix)})
		}
	}))
	mux.HandleFunc("POST "+rest.PathCommit, s.write(s.commit))
	mux.HandleFunc("PUT "+rest.PathObjects+"/{name...}", s.write(s.putObject))
	mux.HandleFunc("GET "+rest.PathObjects+"/{name...}", s.read(func(w http.ResponseWriter, r *http.Request) {
		data, ok := s.table.object(r.PathValue("name"))
		if !ok {
			http.Error(w, "no such object", http.StatusNotFound)
			return
		}
		_, _ = w.Write(data)
	}))
	mux.HandleFunc("GET "+rest.PathObjects, s.read(func(w http.ResponseWriter, r *http.Request) {
		reply(w, rest.ObjectsResponse{Names: s.table.objects(r.URL.Query().Get("prefix"))})
	}))
	mux.HandleFunc("GET "+rest.PathGroups, s.read(func(w http.ResponseWriter, _ *http.Request) {
		reply(w, rest.GroupsResponse{Groups: s.groupList()})
	}))
	mux.HandleFunc("GET "+rest.PathInstances, s.read(func(w http.ResponseWriter, _ *http.Request) {
		reply(w, rest.InstancesResponse{Instances: s.instanceList()})
	}))
	return mux
}

func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	body, ok := decode[rest.CommitRequest](w, r)
	if !ok {
		return
	}
	applied, err := s.table.commit(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if !applied {
		http.Error(w, "condition does not hold", http.StatusConflict)
		return
	}
	if s.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maximumBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.table.putObject(r.PathValue("name"), data); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) read(next http.HandlerFunc) http.HandlerFunc {
	return s.limited(s.reads, &s.count.reads, next)
}

func (s *Server) write(next http.HandlerFunc) http.HandlerFunc {
	return s.limited(s.writes, &s.count.writes, next)
}

// limited applies faults and the rate before a call.
func (s *Server) limited(l *rate.Limiter, count *atomic.Uint64, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		delay := time.NewTimer(time.Duration(s.Faults().LatencyMS) * time.Millisecond)
		defer delay.Stop()
		select {
		case <-delay.C:
		case <-r.Context().Done():
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), maximumRateWait)
		defer cancel()
		if s.Faults().Outage || l.Wait(ctx) != nil {
			s.count.refused.Add(1)
			http.Error(w, "unavailable", http.StatusServiceUnavailable)
			return
		}
		count.Add(1)
		next(w, r)
	}
}

func (s *Server) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.Faults()) })
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		if f, ok := decode[Faults](w, r); ok {
			s.SetFaults(f)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	mux.HandleFunc("PUT /groups", func(w http.ResponseWriter, r *http.Request) {
		if g, ok := decode[rest.GroupsResponse](w, r); ok {
			s.setGroups(g.Groups)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	mux.HandleFunc("PUT /instances", func(w http.ResponseWriter, r *http.Request) {
		if i, ok := decode[rest.InstancesResponse](w, r); ok {
			s.setInstances(i.Instances)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	mux.HandleFunc("PUT /leaving", func(w http.ResponseWriter, r *http.Request) {
		leaving, err := strconv.ParseBool(r.URL.Query().Get("leaving"))
		if err != nil {
			http.Error(w, "leaving must be true or false", http.StatusBadRequest)
			return
		}
		if !s.SetServerLeaving(r.URL.Query().Get("server"), leaving) {
			http.Error(w, "no such server", http.StatusNotFound)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.Counters()) })
	return mux
}

func decode[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var body T
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maximumBodyBytes)).Decode(&body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return body, err == nil
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
