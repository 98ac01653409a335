package configuration_test

import (
	"fmt"
	"testing"
	"time"

	"tanagercross/internal/fleet/configuration"
)

// BenchmarkValues measures the look-up of an organisation's values with the maps made anew, and with the maps kept, and
// the reading of a document:
//
//	go test -run '^$' -bench Values ./internal/fleet/configuration
func BenchmarkValues(b *testing.B) {
	for _, exceptions := range []int{0, 10, configuration.MaxExceptions} {
		rate := int64(500)
		var d configuration.Document
		for i := range exceptions {
			d.Exceptions = append(d.Exceptions, configuration.Exception{
				Organisation: fmt.Sprintf("organisation_%d", i), Reason: "threshing season", By: "ana",
				Override: configuration.Override{RatePerSecond: &rate, Burst: &rate},
			})
		}
		content, err := d.YAML()
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("resolve/exceptions=%d", exceptions), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				d.At(time.Now()).Resolve().For("organisation_3")
			}
		})
		kept := d.Resolve()
		b.Run(fmt.Sprintf("kept/exceptions=%d", exceptions), func(b *testing.B) {
			for b.Loop() {
				kept.For("organisation_3")
			}
		})
		b.Run(fmt.Sprintf("parse/exceptions=%d", exceptions), func(b *testing.B) {
			for b.Loop() {
				if _, err := configuration.Parse(content); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(content)), "doc-B")
		})
	}
}
