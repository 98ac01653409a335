package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Highest latency and digits that the histograms keep.
const (
	highestLatency = 2 * time.Minute
	latencyDigits  = 3
)

// operation names a histogram.
type operation int

const (
	readOperation operation = iota
	writeOperation
	transactionOperation
	operations
)

var operationNames = [operations]string{"read", "write", "transaction"}

// Latency sums up the requests of one kind that were done, from the first attempt to the answer.
type Latency struct {
	Kind  string  `json:"kind"`
	Count int64   `json:"count"`
	P50MS float64 `json:"p50_ms"`
	P90MS float64 `json:"p90_ms"`
	P99MS float64 `json:"p99_ms"`
	MaxMS float64 `json:"max_ms"`
}

type latencies struct {
	mu         sync.Mutex
	histograms [operations]*hdrhistogram.Histogram
}

func (l *latencies) record(o operation, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.histograms[o] == nil {
		l.histograms[o] = hdrhistogram.New(1, highestLatency.Microseconds(), latencyDigits)
	}
	_ = l.histograms[o].RecordValue(min(max(d.Microseconds(), 1), highestLatency.Microseconds()))
}

func (l *latencies) summary() []Latency {
	l.mu.Lock()
	defer l.mu.Unlock()
	summary := []Latency{}
	for o, h := range l.histograms {
		if h == nil {
			continue
		}
		at := func(percentile float64) float64 { return float64(h.ValueAtPercentile(percentile)) / 1000 }
		summary = append(summary, Latency{
			Kind: operationNames[o], Count: h.TotalCount(), P50MS: at(50), P90MS: at(90), P99MS: at(99), MaxMS: float64(h.Max()) / 1000,
		})
	}
	return summary
}
