package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes record.txt: what was sent, answered and run, one line each.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	ran     map[string]bool // ids of reads that a server has run
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{file: f, started: time.Now(), ran: map[string]bool{}}, err
}

func (r *recorder) add(kind string, fields map[string]any) {
	b, _ := json.Marshal(fields)
	r.mu.Lock()
	defer r.mu.Unlock()
	if id, ok := fields["id"].(string); ok && kind == "read" {
		r.ran[id] = true
	}
	_, _ = fmt.Fprintf(r.file, "%8.3f %s %s\n", time.Since(r.started).Seconds(), kind, b)
}
