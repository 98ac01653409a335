package main

import (
	"cmp"
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
	beatPeriod  = 1200 * time.Millisecond
	missedBeats = 3 // after which an entry is removed
	storeTime   = 4 * time.Millisecond
)

type rowKey struct{ table, part, key string }

// row is a row of the store. A removed one is kept for feeds.
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

// store is the platform's metadata store, with the promotion call at the same address.
type store struct {
	g       *group
	record  *recorder
	address string
	server  *http.Server

	mu      sync.Mutex
	down    bool
	version uint64
	rows    map[rowKey]row
	started time.Time
}

func startStore(g *group, ip string, record *recorder) (*store, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &store{g: g, record: record, address: l.Addr().String(), rows: map[rowKey]row{}, started: time.Now()}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(l) }()
	go s.follow()
	return s, nil
}

// setDown makes the store answer 503, or serve again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.record.printf("store down: %t", down)
}

func (s *store) put(k rowKey, value []byte) {
	s.version++
	s.rows[k] = row{Table: k.table, Part: k.part, Key: k.key, Value: value, Version: s.version}
}

func (s *store) remove(k rowKey) {
	if r, ok := s.rows[k]; ok && !r.Removed {
		s.version++
		s.rows[k] = row{Table: k.table, Part: k.part, Key: k.key, Version: s.version, Removed: true}
	}
}

// configure writes the operator's configuration.
func (s *store) configure(document any) error {
	value, err := json.Marshal(document)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(rowKey{"op", "", "config"}, value)
	return nil
}

// follow writes the entries of servers that report to the store, and removes those of silent ones.
func (s *store) follow() {
	for {
		time.Sleep(5 * time.Millisecond)
		s.g.mu.Lock()
		s.mu.Lock()
		now := time.Now()
		for _, d := range s.g.servers {
			s.followServer(now, d)
		}
		s.mu.Unlock()
		s.g.mu.Unlock()
	}
}

func (s *store) followServer(now time.Time, d *server) {
	k := rowKey{"servers", "", d.id}
	value, _ := json.Marshal(map[string]any{
		"service": d.g.name, "address": d.address, "zone": d.zone, "version": "v1", "slots": 2, "state": "ready",
		"coldRemainingMs": 0, "databaseRole": d.role, "born": d.bornMS, "sequence": 1,
	})
	listed, ok := s.rows[k]
	ok = ok && !listed.Removed
	reaches := d.up && d.withStore && !s.down
	// A change of the role is reported at once.
	if reaches && (!now.Before(d.nextBeat) || ok && string(listed.Value) != string(value)) {
		d.lastBeat, d.nextBeat = now, now.Add(beatPeriod)
		if !ok || string(listed.Value) != string(value) {
			s.put(k, value)
			s.record.printf("store: entry of %s written, %s", d.id, d.role)
		}
		return
	}
	if ok && now.Sub(d.lastBeat) > missedBeats*beatPeriod {
		s.remove(k)
		s.record.printf("store: entry of %s removed", d.id)
	}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeTime)
	if r.URL.Path == "/promotion" {
		s.servePromotion(w, r)
		return
	}
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	status, out := http.StatusNotFound, (*page)(nil)
	switch r.URL.Path {
	case "/-/rows-get":
		status, out = s.get(r)
	case "/-/rows-feed":
		status, out = s.feed(r)
	case "/-/rows-tx":
		status, out = s.transact(r)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if out != nil {
		_ = json.NewEncoder(w).Encode(out)
	}
}

func (s *store) servePromotion(w http.ResponseWriter, r *http.Request) {
	var order struct{ Service, ID string }
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.Service != s.g.name {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.WriteHeader(s.g.promote(r.Header.Get("Duty-Holder"), r.Header.Get("Fencing-Token"), order.ID))
}

// page returns the rows of a table that keep reports true for. The caller holds the mutex.
func (s *store) page(table string, keep func(row) bool) *page {
	p := &page{Rows: []row{}, Version: s.version, NowMS: time.Since(s.started).Milliseconds()}
	for k, r := range s.rows {
		if k.table == table && keep(r) {
			p.Rows = append(p.Rows, r)
		}
	}
	return p
}

func (s *store) get(r *http.Request) (int, *page) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.page(q.Get("table"), func(r row) bool {
		return !r.Removed && r.Part == q.Get("part") && r.Key >= q.Get("from") && (q.Get("target") == "" || r.Key < q.Get("target"))
	})
	slices.SortFunc(p.Rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	return http.StatusOK, p
}

func (s *store) feed(r *http.Request) (int, *page) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	for end := time.Now().Add(time.Duration(wait) * time.Millisecond); ; time.Sleep(10 * time.Millisecond) {
		s.mu.Lock()
		p, down := s.page(q.Get("table"), func(r row) bool { return r.Version > after }), s.down
		s.mu.Unlock()
		if down {
			return http.StatusServiceUnavailable, nil
		}
		if len(p.Rows) > 0 || time.Now().After(end) || r.Context().Err() != nil {
			slices.SortFunc(p.Rows, func(a, b row) int { return cmp.Compare(a.Version, b.Version) })
			return http.StatusOK, p
		}
	}
}

func (s *store) transact(r *http.Request) (int, *page) {
	var t struct{ Expect, Puts, Remove []row }
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := &page{Rows: []row{}, NowMS: time.Since(s.started).Milliseconds()}
	conflict := false
	for _, e := range t.Expect {
		now := s.rows[rowKey{e.Table, e.Part, e.Key}]
		if now.Removed {
			now = row{}
		}
		conflict = conflict || now.Version != e.Version
		if now.Version > 0 {
			answer.Rows = append(answer.Rows, now)
		}
	}
	answer.Version = s.version
	if conflict {
		return http.StatusPreconditionFailed, answer
	}
	for _, e := range t.Puts {
		if e.Table == "op" || e.Table == "servers" {
			return http.StatusForbidden, nil
		}
		s.put(rowKey{e.Table, e.Part, e.Key}, e.Value)
		if len(t.Expect) > 0 {
			s.record.printf("store: row %s/%s written under a condition: %s", e.Table, e.Key, e.Value)
		}
	}
	for _, e := range t.Remove {
		s.remove(rowKey{e.Table, e.Part, e.Key})
	}
	answer.Version, answer.Rows = s.version, []row{}
	return http.StatusOK, answer
}
