package allotment

import (
	"testing"
	"time"
)

// Measures a decision of the coordinator while all classes ask for more than there is.
func BenchmarkReserve(b *testing.B) {
	s := Settings{Rate: 70, Burst: 140}
	bucket, reserve := NewBucket(time.Unix(0, 0)), &Reserve{}
	now := time.Unix(0, 0)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		reserve.Take(now, bucket, s, ByClass{1, 2, 3})
	}
}

// Measures a request in a queue that is full.
func BenchmarkRequestClass(b *testing.B) {
	tc := NewTokenCache(Options{ByPriority: true})
	now := time.Unix(0, 0)
	for range DefaultMaxWaiting {
		_, _ = tc.RequestClass(now, Lowest)
	}
	for b.Loop() {
		now = now.Add(time.Millisecond)
		_, _ = tc.RequestClass(now, Lowest)
	}
}
