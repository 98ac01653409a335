package wire

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"tanagercross/internal/instance/entry"
	"tanagercross/internal/standin/cluster"
)

// StoreFault is how the store misbehaves.
type StoreFault uint8

// Faults of the store.
const (
	StoreWorks   StoreFault = iota
	StoreRefuses            // answers 503
	StoreSlow               // answers late
	StoreLoses              // carries calls out and breaks the connection
	StoreSilent             // carries nothing out and does not answer
	StoreForgets            // has no history: feeds get 410
)

const (
	storeTime  = 4 * time.Millisecond
	storeSlow  = 700 * time.Millisecond
	feedPeriod = 20 * time.Millisecond
	silence    = 5 * time.Second
)

type rowKey struct{ table, key string }

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"rowVersion"`
}

type page struct {
	Rows    []row  `json:"rows"`
	More    bool   `json:"hasMore"`
	Version uint64 `json:"rowVersion"`
	NowMS   int64  `json:"nowMs"`
}

// store keeps rows with one counter of versions. Servers' rows follow the cluster.
type store struct {
	cluster   *cluster.Cluster
	addresses map[string]string // of servers
	redirects map[string]string // addresses of instances and of the proxies before them

	mu      sync.Mutex
	fault   StoreFault
	version uint64
	era     uint64 // rises each time the store comes back from a copy
	rows    map[rowKey]row
}

// eraHeader is in all answers of the store.
const eraHeader = "Store-Era"

// StoreCopy is a copy of the store's rows.
type StoreCopy struct {
	version uint64
	rows    map[rowKey]row
}

// CopyStore copies the store as it is now.
func (p *Platform) CopyStore() StoreCopy {
	s := p.store
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreCopy{version: s.version, rows: maps.Clone(s.rows)}
}

// ReturnStore takes the store away for a time and brings it back from a copy. What instances wrote since the copy is gone, and
// versions are given out again. The rows of the operator are written again at once; those of servers follow the cluster.
func (p *Platform) ReturnStore(c StoreCopy, away time.Duration) {
	p.SetStore(StoreRefuses)
	time.Sleep(away)
	s := p.store
	s.mu.Lock()
	defer s.mu.Unlock()
	operator := map[rowKey]row{}
	for k, r := range s.rows {
		if k.table == "op" {
			operator[k] = r
		}
	}
	s.rows, s.version, s.fault = maps.Clone(c.rows), c.version, StoreWorks
	s.era++
	for k, r := range operator {
		s.version++
		r.Version = s.version
		s.rows[k] = r
	}
}

func (s *store) put(k rowKey, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[k] = row{Table: k.table, Key: k.key, Value: value, Version: s.version}
}

// serverRow is the value of a server's row.
type serverRow struct {
	Service   string `json:"service"`
	Address   string `json:"address"`
	Zone      string `json:"zone"`
	State     string `json:"state"`
	Slots     int    `json:"slots"`
	Role      string `json:"databaseRole"`
	StartedMS int64  `json:"born"`
	Sequence  uint64 `json:"sequence"`
}

// refresh writes the rows of servers that changed. A server that is down has none.
func (s *store) refresh() {
	listed, err := s.cluster.Store("").Servers(context.Background())
	if err != nil {
		return
	}
	seen := map[string]bool{}
	for _, r := range listed.Rows {
		address, served := s.addresses[r.Key]
		server, err := s.cluster.Server(r.Key, r.Value)
		if err != nil || !served {
			continue
		}
		seen[r.Key] = true
		value := serverRow{
			Service: server.Group, Address: address, Zone: server.Place, State: "ready", Slots: server.Slots, Role: "replica",
			StartedMS: server.StartedMS, Sequence: 1,
		}
		if server.Leaving {
			value.State = "draining"
		}
		if s.cluster.Leads(r.Key) {
			value.Role = "primary"
		}
		text, err := json.Marshal(value)
		if err != nil {
			continue
		}
		k := rowKey{"servers", r.Key}
		if string(s.rows[k].Value) != string(text) {
			s.version++
			s.rows[k] = row{Table: k.table, Key: k.key, Value: text, Version: s.version}
		}
	}
	for k := range s.rows {
		if k.table == "servers" && !seen[k.key] {
			s.version++
			delete(s.rows, k)
		}
	}
}

// ServeHTTP implements the calls of the store and the promotion.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fault := s.fault
	w.Header().Set(eraHeader, strconv.FormatUint(s.era, 10))
	s.mu.Unlock()
	time.Sleep(storeTime)
	switch fault {
	case StoreRefuses:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case StoreSlow:
		time.Sleep(storeSlow)
	case StoreSilent:
		pause(r.Context(), silence)
		panic(http.ErrAbortHandler)
	}
	status, out := s.answer(r, fault)
	if fault == StoreLoses {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
	if out != nil {
		_ = json.NewEncoder(w).Encode(out)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (s *store) answer(r *http.Request, fault StoreFault) (int, *page) {
	switch r.URL.Path {
	case "/-/rows-tx":
		return s.transact(r)
	case "/-/rows-get":
		s.mu.Lock()
		defer s.mu.Unlock()
		s.refresh()
		return http.StatusOK, s.page(r.URL.Query().Get("table"), 0)
	case "/-/rows-feed":
		if fault == StoreForgets {
			return http.StatusGone, nil
		}
		return s.feed(r)
	case "/promotion":
		return s.promote(r), nil
	}
	return http.StatusNotFound, nil
}

// page returns the rows of a table that are newer than a version, by key.
func (s *store) page(table string, after uint64) *page {
	p := &page{Rows: []row{}, Version: s.version, NowMS: time.Now().UnixMilli()}
	for k, r := range s.rows {
		if k.table == table && r.Version > after {
			p.Rows = append(p.Rows, r)
		}
	}
	slices.SortFunc(p.Rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	return p
}

func (s *store) feed(r *http.Request) (int, *page) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("waitMs"))
	if errors.Join(err, waitErr) != nil {
		return http.StatusBadRequest, nil
	}
	for deadline := time.Now().Add(time.Duration(wait) * time.Millisecond); ; {
		s.mu.Lock()
		s.refresh()
		p := s.page(q.Get("table"), after)
		s.mu.Unlock()
		if p.Version < after {
			return http.StatusGone, nil
		}
		if len(p.Rows) > 0 || r.Context().Err() != nil || !time.Now().Before(deadline) {
			return http.StatusOK, p
		}
		pause(r.Context(), feedPeriod)
	}
}

func (s *store) transact(r *http.Request) (int, *page) {
	var t struct{ Expect, Puts, Remove []row }
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	present := &page{Rows: []row{}, NowMS: time.Now().UnixMilli()}
	for _, e := range t.Expect {
		now := s.rows[rowKey{e.Table, e.Key}]
		conflict = conflict || now.Version != e.Version
		if now.Version > 0 {
			present.Rows = append(present.Rows, now)
		}
	}
	if conflict {
		present.Version = s.version
		return http.StatusPreconditionFailed, present
	}
	s.version++
	for _, e := range t.Puts {
		if e.Table == "op" || e.Table == "servers" {
			return http.StatusForbidden, nil
		}
		value := string(e.Value)
		for from, to := range s.redirects {
			value = strings.ReplaceAll(value, `"`+from+`"`, `"`+to+`"`)
		}
		s.rows[rowKey{e.Table, e.Key}] = row{Table: e.Table, Key: e.Key, Value: []byte(value), Version: s.version}
	}
	for _, e := range t.Remove {
		delete(s.rows, rowKey{e.Table, e.Key})
	}
	return http.StatusOK, &page{Rows: []row{}, Version: s.version, NowMS: time.Now().UnixMilli()}
}

func (s *store) promote(r *http.Request) int {
	var order struct{ Service, ID string }
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		return http.StatusBadRequest
	}
	token, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if err != nil {
		return http.StatusBadRequest
	}
	err = s.cluster.Promote(r.Context(), r.Header.Get("Duty-Holder"), token, order.Service, order.ID)
	if errors.Is(err, entry.ErrConflict) {
		return http.StatusConflict
	}
	return http.StatusOK
}
