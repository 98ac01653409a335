package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeTime = 4 * time.Millisecond // of an answer
	feedPoll  = 10 * time.Millisecond
)

type rowKey struct{ table, part, key string }

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"rowVersion"`
	Removed bool   `json:"removed,omitempty"`
}

type page struct {
	Rows    []row  `json:"rows"`
	More    bool   `json:"hasMore"`
	Version uint64 `json:"rowVersion"`
	NowMS   int64  `json:"nowMs"`
}

// store is the platform's metadata store: rows with one counter of versions, nothing of which is lost.
type store struct {
	record  *record
	started time.Time
	address string

	mu      sync.Mutex
	version uint64
	rows    map[rowKey]row // removed ones are kept with Removed set
}

func newStore(r *record) *store {
	return &store{record: r, started: time.Now(), rows: map[rowKey]row{}, version: 1}
}

// listen serves the store on a free port of loopback.
func (s *store) listen() (*http.Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	return server, nil
}

// put writes a row on behalf of the operator or a server, if its value changes.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := rowKey{table, "", key}
	if old, ok := s.rows[k]; ok && !old.Removed && string(old.Value) == string(value) {
		return
	}
	s.version++
	s.rows[k] = row{Table: table, Key: key, Value: value, Version: s.version}
	s.record.notef("store: %s/%s = %.300s", table, key, value)
}

// drop removes a row.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := rowKey{table, "", key}
	if old, ok := s.rows[k]; !ok || old.Removed {
		return
	}
	s.version++
	s.rows[k] = row{Table: table, Key: key, Version: s.version, Removed: true}
	s.record.notef("store: %s/%s expired", table, key)
}

func (s *store) nowMS() int64 { return time.Since(s.started).Milliseconds() }

// ServeHTTP implements the row calls of the store.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeTime)
	q := r.URL.Query()
	switch r.URL.Path {
	case "/-/rows-get":
		s.mu.Lock()
		p := s.page(q.Get("table"), q.Get("part"), 0, false)
		s.mu.Unlock()
		p.Rows = slices.DeleteFunc(p.Rows, func(x row) bool { return x.Key < q.Get("from") })
		reply(w, http.StatusOK, p)
	case "/-/rows-feed":
		s.feed(w, r)
	case "/-/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, p page) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(p)
}

// page returns the rows of a table above a version, by key, or by version with removed ones. The caller holds the lock.
func (s *store) page(table, part string, after uint64, feed bool) page {
	p := page{Rows: []row{}, Version: s.version, NowMS: s.nowMS()}
	for k, x := range s.rows {
		if k.table == table && (feed || k.part == part) && x.Version > after && (feed || !x.Removed) {
			p.Rows = append(p.Rows, x)
		}
	}
	slices.SortFunc(p.Rows, func(a, b row) int {
		if feed {
			return int(a.Version) - int(b.Version)
		}
		return strings.Compare(a.Key, b.Key)
	})
	return p
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	for end := time.Now().Add(time.Duration(wait) * time.Millisecond); ; time.Sleep(feedPoll) {
		s.mu.Lock()
		p := s.page(q.Get("table"), "", after, true)
		s.mu.Unlock()
		if len(p.Rows) > 0 || !time.Now().Before(end) || r.Context().Err() != nil {
			reply(w, http.StatusOK, p)
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct{ Expect, Puts, Remove []row }
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	current := page{Rows: []row{}, Version: s.version, NowMS: s.nowMS()}
	for _, e := range t.Expect {
		x := s.rows[rowKey{e.Table, e.Part, e.Key}]
		if x.Removed {
			x = row{}
		}
		conflict = conflict || x.Version != e.Version
		if x.Version > 0 {
			current.Rows = append(current.Rows, x)
		}
	}
	if conflict {
		reply(w, http.StatusPreconditionFailed, current)
		return
	}
	for _, e := range append(slices.Clone(t.Puts), t.Remove...) {
		if e.Table == "op" || e.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.version++
	for _, e := range t.Puts {
		s.rows[rowKey{e.Table, e.Part, e.Key}] = row{Table: e.Table, Part: e.Part, Key: e.Key, Value: e.Value, Version: s.version}
		s.record.notef("store: written %s/%s = %.200s", e.Table, e.Key, e.Value)
	}
	for _, e := range t.Remove {
		s.rows[rowKey{e.Table, e.Part, e.Key}] = row{Table: e.Table, Part: e.Part, Key: e.Key, Version: s.version, Removed: true}
	}
	reply(w, http.StatusOK, page{Rows: []row{}, Version: s.version, NowMS: s.nowMS()})
}
