package entry_test

import (
	"math"
	"testing"

	"tanagercross/internal/fleet/belief"
	"tanagercross/internal/instance/entry"
)

// Guards against shares of a rate that add up to more than the rate, and against demand that finds too little of it.
func TestSharesOfARate(t *testing.T) {
	places := []string{"agreste", "litoral", "sertao"}
	for _, rates := range [][]float64{{0, 0, 0}, {30, 0, 0}, {10, 10, 10}, {200, 1, 1}} {
		demands := map[string]belief.Demand{}
		for n, p := range places {
			demands[p] = belief.Demand{Place: p, Rates: map[string]float64{"coop": rates[n]}}
		}
		sum := 0.0
		for _, p := range places {
			sum += entry.Share("coop", p, places, demands)
		}
		if math.Abs(sum-1) > 1e-9 {
			t.Errorf("demand %v: shares add up to %v", rates, sum)
		}
		if s := entry.Share("coop", "agreste", places, demands); rates[0] > 20 && s < 0.75 || s < 0.1 {
			t.Errorf("demand %v: share %v", rates, s)
		}
	}
}
