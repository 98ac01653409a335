package daemon

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tanagercross/internal/fleet/document"
	"tanagercross/internal/fleet/exchange"
	"tanagercross/internal/instance/clock"
	"tanagercross/internal/instance/operator"
	"tanagercross/internal/service/store"
)

// fakeStore holds documents and objects; reads take a while.
type fakeStore struct {
	store.Store
	mu      sync.Mutex
	objects map[string][]byte
	rows    map[string]store.Row
	reads   atomic.Int64
	slow    time.Duration
}

func (f *fakeStore) GetObject(_ context.Context, name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if data, ok := f.objects[name]; ok {
		return data, nil
	}
	return nil, &store.Error{Operation: "get_object", Kind: store.Missing}
}

func (f *fakeStore) PutObject(_ context.Context, name string, data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.objects[name] = data
	return nil
}

func (f *fakeStore) Read(_ context.Context, keys ...string) ([]store.Row, error) {
	f.reads.Add(1)
	time.Sleep(f.slow)
	f.mu.Lock()
	defer f.mu.Unlock()
	rows := make([]store.Row, 0, len(keys))
	for _, k := range keys {
		rows = append(rows, f.rows[k])
	}
	return rows, nil
}

func testDaemon(t *testing.T, f *fakeStore) *Daemon {
	t.Helper()
	c := clock.NewReal()
	t.Cleanup(c.Stop)
	d := &Daemon{store: f, clock: c, log: slog.New(slog.DiscardHandler)}
	d.fleet, _ = newTestFleet(t, 3, 1)
	d.fleet.now = time.Now
	d.fleet.onFault = func(err error) { t.Error(err) }
	d.fleet.onChange = func(before, after *snapshot) {
		if after.configurationVersion != before.configurationVersion {
			d.history.note(before, after, d.fleet.state.Documents().Get(document.Configuration).Origins)
		}
	}
	return d
}

func configurationVersion(version uint64, content string) document.Document {
	d := document.Document{Name: document.Configuration, Version: version, Content: []byte(content)}
	for v := version; v > 0; v-- {
		d.Origins = append(d.Origins, document.Origin{
			Version: v, ChangeID: "c", Author: "ana", Reason: "season", At: time.Unix(1000+int64(v), 0).UTC(),
		})
	}
	return d
}

// Guards against a change without a history entry because its proposer died between the commit and the entry.
func TestPollerFillsHistory(t *testing.T) {
	f := &fakeStore{objects: map[string][]byte{}}
	d := testDaemon(t, f)
	for _, c := range []document.Document{
		configurationVersion(1, "defaults:\n  burst: 100\n"), configurationVersion(2, "defaults:\n  burst: 200\n"),
	} {
		d.fleet.update(func(s *exchange.State, now time.Time) { s.MergeDocument(c, now) })
	}
	d.fillHistory(t.Context())
	var e operator.HistoryEntry
	if err := json.Unmarshal(f.objects[historyName(2)], &e); err != nil {
		t.Fatal(err)
	}
	if e.Author != "ana" || e.Reason != "season" || e.At.Unix() != 1002 || len(e.Diff) != 1 || e.Diff[0].After != "200" {
		t.Errorf("entry %+v", e)
	}
	if len(f.objects) != 2 {
		t.Errorf("%d entries of 2 versions", len(f.objects))
	}
	d.fillHistory(t.Context())
	if left := d.history.list(); len(left) != 0 {
		t.Errorf("still missing: %+v", left)
	}
}

// Guards against callers with newer tokens that load the store: those that wait at the same time share one read, and the
// wait is bounded.
func TestReachSharesOneRead(t *testing.T) {
	f := &fakeStore{slow: 100 * time.Millisecond, rows: map[string]store.Row{}}
	data, err := configurationVersion(1, "defaults:\n  burst: 100\n").Encode()
	if err != nil {
		t.Fatal(err)
	}
	f.rows[document.Key(document.Configuration)] = store.Row{Version: 1, Value: data}
	f.rows[document.VersionKey(document.Configuration)] = store.Row{Version: 1}
	d := testDaemon(t, f)
	var callers sync.WaitGroup
	var reached atomic.Int64
	for range 50 {
		callers.Go(func() {
			if d.reach(t.Context(), 1) {
				reached.Add(1)
			}
		})
	}
	callers.Wait()
	if reached.Load() != 50 || f.reads.Load() > 4 {
		t.Errorf("%d of 50 callers reached the version with %d reads", reached.Load(), f.reads.Load())
	}
	started := time.Now()
	if d.reach(t.Context(), 9) || time.Since(started) > 4*time.Second {
		t.Errorf("a version that does not exist took %v", time.Since(started))
	}
}
