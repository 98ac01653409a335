package platform

import (
	"encoding/json"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"

	"github.com/rotisserie/eris"

	"tanagercross/internal/service/rest"
)

// contents is what the stand-in keeps, and the format of its file.
type contents struct {
	Rows    map[string]rest.Row `json:"rows"`
	Objects map[string][]byte   `json:"objects"`
	// Versions survive deletion of a row, so that a row that is created again does not repeat an old version.
	Versions map[string]uint64 `json:"versions"`
}

// table is the transactional table and the object store.
type table struct {
	mu   sync.Mutex
	file string
	data contents
}

func openTable(file string) (*table, error) {
	t := &table{file: file, data: contents{
		Rows: map[string]rest.Row{}, Objects: map[string][]byte{}, Versions: map[string]uint64{},
	}}
	if file == "" {
		return t, nil
	}
	data, err := os.ReadFile(file)
	if os.IsNotExist(err) {
		return t, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "read table file")
	}
	if err := json.Unmarshal(data, &t.data); err != nil {
		return nil, eris.Wrap(err, "decode table file")
	}
	return t, nil
}

func (t *table) read(keys []string) []rest.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make([]rest.Row, 0, len(keys))
	for _, k := range keys {
		row := t.data.Rows[k]
		row.Key = k
		rows = append(rows, row)
	}
	return rows
}

func (t *table) scan(prefix string) []rest.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := []rest.Row{}
	for _, k := range slices.Sorted(maps.Keys(t.data.Rows)) {
		if strings.HasPrefix(k, prefix) {
			rows = append(rows, t.data.Rows[k])
		}
	}
	return rows
}

// commit applies the writes if all conditions hold, and reports whether they did.
func (t *table) commit(request rest.CommitRequest) (bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range request.Conditions {
		if t.data.Rows[c.Key].Version != c.Version {
			return false, nil
		}
	}
	for _, w := range request.Writes {
		t.data.Versions[w.Key]++
		if w.Delete {
			delete(t.data.Rows, w.Key)
			continue
		}
		t.data.Rows[w.Key] = rest.Row{Key: w.Key, Value: w.Value, Version: t.data.Versions[w.Key]}
	}
	return true, t.save()
}

func (t *table) putObject(name string, data []byte) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.data.Objects[name] = data
	return t.save()
}

func (t *table) object(name string) ([]byte, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	data, ok := t.data.Objects[name]
	return data, ok
}

func (t *table) objects(prefix string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := []string{}
	for _, n := range slices.Sorted(maps.Keys(t.data.Objects)) {
		if strings.HasPrefix(n, prefix) {
			names = append(names, n)
		}
	}
	return names
}

// save replaces the file by rename, so that a stand-in killed while saving leaves a complete file.
func (t *table) save() error {
	if t.file == "" {
		return nil
	}
	data, err := json.Marshal(t.data)
	if err != nil {
		return eris.Wrap(err, "encode table file")
	}
	if err := os.WriteFile(t.file+".new", data, 0o600); err != nil {
		return eris.Wrap(err, "write table file")
	}
	return eris.Wrap(os.Rename(t.file+".new", t.file), "replace table file")
}
