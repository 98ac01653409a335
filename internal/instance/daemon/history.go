package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"tanagercross/internal/fleet/configuration"
	"tanagercross/internal/fleet/document"
	"tanagercross/internal/instance/operator"
	"tanagercross/internal/service/store"
)

const (
	historyPrefix  = "configuration/history/"
	historyTimeout = 2 * time.Second
)

func historyName(version uint64) string { return fmt.Sprintf("%s%020d", historyPrefix, version) }

// history holds the entries that this instance has not yet seen in the object store. The proposer of a change writes its
// entry, but may die after the commit; every poller then has what the entry needs.
type history struct {
	mu      sync.Mutex
	missing map[uint64]operator.HistoryEntry
}

// note takes over the changes of a new version of the configuration. The differences are known if the version before
// was held.
func (h *history) note(before, after *snapshot, origins []document.Origin) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.missing == nil {
		h.missing = map[uint64]operator.HistoryEntry{}
	}
	oldest := uint64(1)
	for _, o := range origins {
		oldest = o.Version
		if o.Version <= before.configurationVersion {
			continue
		}
		entry := entryOf(o)
		if o.Version == before.configurationVersion+1 && o.Version == after.configurationVersion {
			entry.Diff = configuration.Diff(before.configuration, after.configuration)
		}
		h.missing[o.Version] = entry
	}
	for version := range h.missing {
		if version < oldest {
			delete(h.missing, version)
		}
	}
}

func (h *history) list() []operator.HistoryEntry {
	h.mu.Lock()
	defer h.mu.Unlock()
	var entries []operator.HistoryEntry
	for _, e := range h.missing {
		entries = append(entries, e)
	}
	return entries
}

func (h *history) settle(version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.missing, version)
}

func entryOf(o document.Origin) operator.HistoryEntry {
	return operator.HistoryEntry{Version: o.Version, ChangeID: o.ChangeID, Author: o.Author, Reason: o.Reason, At: o.At}
}

// fillHistory stores the entries that the object store lacks, and those stored without differences that are known here.
func (d *Daemon) fillHistory(ctx context.Context) {
	for _, e := range d.history.list() {
		stored, err := d.historyEntry(ctx, e.Version)
		switch {
		case err == nil && (len(stored.Diff) > 0 || len(e.Diff) == 0):
			d.history.settle(e.Version)
		case err == nil || store.KindOf(err) == store.Missing:
			d.storeEntry(ctx, e)
		}
	}
}

// storeEntry keeps an entry in the object store. The change is in force whether or not this succeeds.
func (d *Daemon) storeEntry(ctx context.Context, entry operator.HistoryEntry) {
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	data, err := json.Marshal(entry)
	if err == nil {
		err = d.store.PutObject(ctx, historyName(entry.Version), data)
	}
	if err != nil {
		d.log.Warn("history entry was not stored", "version", entry.Version, "error", err.Error())
	}
}

func (d *Daemon) historyEntry(ctx context.Context, version uint64) (operator.HistoryEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	var entry operator.HistoryEntry
	data, err := d.store.GetObject(ctx, historyName(version))
	if err != nil {
		return entry, err
	}
	return entry, json.Unmarshal(data, &entry)
}
