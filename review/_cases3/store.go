package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	storeTime  = 4 * time.Millisecond // of one answer of the store
	pageRows   = 500                  // of one answer
	feedPeriod = 10 * time.Millisecond
)

type rowKey struct{ table, part, key string }

// row is a row as the store sends and takes it.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"rowVersion"`
	Removed bool   `json:"removed,omitempty"`
}

// store is the platform's metadata store and its promotion call.
type store struct {
	address string
	started time.Time

	mu      sync.Mutex
	version uint64
	rows    map[rowKey]row
	removed []row
	promote func(service, id, holder string, token uint64) int // status of the promotion call
	refuse  bool                                               // every call gets 503
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), started: time.Now(), rows: map[rowKey]row{}}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// put writes a row on behalf of the operator or of a server.
func (s *store) put(table, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowKey{table, "", key}] = row{Table: table, Key: key, Value: b, Version: s.version}
}

// remove takes a row away on behalf of a server.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(rowKey{table, "", key})
}

func (s *store) drop(k rowKey) {
	if _, ok := s.rows[k]; !ok {
		return
	}
	delete(s.rows, k)
	s.version++
	s.removed = append(s.removed, row{Table: k.table, Part: k.part, Key: k.key, Version: s.version, Removed: true})
}

type page struct {
	Rows    []row  `json:"rows"`
	More    bool   `json:"hasMore"`
	Version uint64 `json:"rowVersion"`
	NowMS   int64  `json:"nowMs"`
}

func (s *store) page(rows []row) page {
	return page{Rows: append([]row{}, rows...), Version: s.version, NowMS: time.Since(s.started).Milliseconds() + 1000}
}

// ServeHTTP implements the calls that the proxy makes.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeTime)
	s.mu.Lock()
	refuse := s.refuse
	s.mu.Unlock()
	if refuse {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case "/-/rows-get":
		reply(w, http.StatusOK, s.get(r))
	case "/-/rows-feed":
		reply(w, http.StatusOK, s.feed(r))
	case "/-/rows-tx":
		status, p := s.transact(r)
		reply(w, status, p)
	case "/promotion":
		var in struct{ Service, ID string }
		_ = json.NewDecoder(r.Body).Decode(&in)
		token, _ := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
		reply(w, s.promote(in.Service, in.ID, r.Header.Get("Duty-Holder"), token), struct{}{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(r *http.Request) page {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > pageRows {
		limit = pageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for k, v := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("target") == "" || k.key < q.Get("target")) {
			rows = append(rows, v)
		}
	}
	sort.Slice(rows, func(a, b int) bool { return rows[a].Key < rows[b].Key })
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	p := s.page(rows)
	p.More = more
	return p
}

func (s *store) feed(r *http.Request) page {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	for end := time.Now().Add(time.Duration(wait) * time.Millisecond); ; time.Sleep(feedPeriod) {
		s.mu.Lock()
		var rows []row
		for k, v := range s.rows {
			if k.table == q.Get("table") && v.Version > after {
				rows = append(rows, v)
			}
		}
		for _, v := range s.removed {
			if _, back := s.rows[rowKey{v.Table, v.Part, v.Key}]; v.Table == q.Get("table") && v.Version > after && !back {
				rows = append(rows, v)
			}
		}
		sort.Slice(rows, func(a, b int) bool { return rows[a].Version < rows[b].Version })
		p := s.page(rows)
		s.mu.Unlock()
		if len(rows) > 0 || !time.Now().Before(end) || r.Context().Err() != nil {
			return p
		}
	}
}

func (s *store) transact(r *http.Request) (int, page) {
	var t struct{ Expect, Puts, Remove []row }
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		return http.StatusBadRequest, page{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var present []row
	conflict := false
	for _, e := range t.Expect {
		now := s.rows[rowKey{e.Table, e.Part, e.Key}]
		conflict = conflict || now.Version != e.Version
		if now.Version > 0 {
			present = append(present, now)
		}
	}
	if conflict {
		return http.StatusPreconditionFailed, s.page(present)
	}
	s.version++
	for _, p := range t.Puts {
		p.Version = s.version
		s.rows[rowKey{p.Table, p.Part, p.Key}] = p
	}
	for _, d := range t.Remove {
		s.drop(rowKey{d.Table, d.Part, d.Key})
	}
	return http.StatusOK, s.page(nil)
}
