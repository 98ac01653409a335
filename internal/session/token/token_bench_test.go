package token_test

import (
	"fmt"
	"testing"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/session/token"
)

// BenchmarkToken measures one Decode and one Encode of a session token, which each request needs. The metric text-B is
// the length of the text:
//
//	go test -run '^$' -bench Token ./internal/session/token
func BenchmarkToken(b *testing.B) {
	signer, err := token.NewSigner(make([]byte, 32))
	if err != nil {
		b.Fatal(err)
	}
	for _, groups := range []int{1, 4, 16, token.MaxGroups} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			t := token.New("sertao_coop", "0190f3a2-1111-7222-8333-444455556666").WithConfiguration(7200)
			for g := range groups {
				t = t.WithPosition(fmt.Sprintf("meals-%d", g), driver.Position{Term: 40, Index: 5_000_000_000})
			}
			text, err := signer.Encode(t)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				got, err := signer.Decode(text)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := signer.Encode(got); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(text)), "text-B")
		})
	}
}
