package key_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"tanagercross/internal/organisation/key"
)

// BenchmarkTable measures what a change of the keys costs each instance, which parses the whole document again. doc-B/key
// is the size of the document per key, heap-B/key the memory of the parsed table per key:
//
//	go test -run '^$' -bench Table -benchtime 3x ./internal/organisation/key
func BenchmarkTable(b *testing.B) {
	for _, size := range []int{100, 1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("keys=%d", size), func(b *testing.B) {
			var entries []key.Entry
			for i := range size {
				k, err := key.New()
				if err != nil {
					b.Fatal(err)
				}
				entries = append(entries, key.Entry{
					Hash: k.Hash(), Organisation: fmt.Sprintf("organisation_%d", i), IssuedAt: time.Now().UTC(), IssuedBy: "ana",
				})
			}
			content, err := json.Marshal(map[string]any{"keys": entries})
			if err != nil {
				b.Fatal(err)
			}
			var table key.Table
			var before, after runtime.MemStats
			runtime.GC()
			runtime.GC() // sync.Pool keeps the encoder's buffers over one collection
			runtime.ReadMemStats(&before)
			if table, err = key.ParseTable(content); err != nil {
				b.Fatal(err)
			}
			runtime.GC()
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				if table, err = key.ParseTable(content); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(content))/float64(size), "doc-B/key")
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(size), "heap-B/key")
			runtime.KeepAlive(table)
			runtime.KeepAlive(entries)
			runtime.KeepAlive(content)
		})
	}
}
