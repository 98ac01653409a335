package allotment

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a reserve that outlasts the demand from which it was learnt.
func TestReserveEndsWithTheDemand(t *testing.T) {
	s, start := Settings{Rate: 60, Burst: 120}, time.Unix(0, 0)
	b, r := NewBucket(start), &Reserve{}
	now := start
	take := func(period time.Duration, wanted ByClass) (g Grant, granted ByClass) {
		for end := now.Add(period); now.Before(end); now = now.Add(20 * time.Millisecond) {
			g = r.Take(now, b, s, wanted)
			for c, n := range g.ByClass {
				granted[c] += n
			}
		}
		return g, granted
	}
	g, granted := take(5*time.Second, ByClass{1, 0, 20})
	if g.Reserved < 10 || granted[0] < 230 {
		t.Errorf("%.1f reserved and %v granted, want at least 10 reserved and 230 for class 0", g.Reserved, granted)
	}
	g, granted = take(10*time.Second, ByClass{0, 0, 20})
	if g.Reserved > 0 || granted[2] < 600 {
		t.Errorf("%.1f reserved and %v granted after the end of the demand, want none and at least the rate", g.Reserved, granted)
	}
}

// Guards against a class that gets nothing because the more urgent ones want more than the whole rate, in buckets of
// ordinary size and in the smallest ones.
func TestLessUrgentKeepTheirShare(t *testing.T) {
	for _, s := range []Settings{{Rate: 60, Burst: 120}, {Rate: 5, Burst: MinBurst}, {Rate: 1000, Burst: 40}} {
		for seed := range uint64(10) {
			random := rand.New(rand.NewPCG(seed, 13))
			b, r := NewBucket(time.Unix(0, 0)), &Reserve{}
			var granted ByClass
			for ms := 0; ms < 60_000; ms += 1 + random.IntN(10) {
				wanted := ByClass{}
				wanted[random.IntN(Classes)] = 1 + random.IntN(20)
				g := r.Take(time.Unix(0, 0).Add(time.Duration(ms)*time.Millisecond), b, s, wanted)
				for c, n := range g.ByClass {
					granted[c] += n
				}
			}
			total, lower := float64(granted.Total()), float64(granted[1]+granted[2])
			if lower < 0.9*lowerShare*total || float64(granted[2]) < 0.9*lowerShare*total || total < 0.95*60*s.Rate {
				t.Errorf("%+v, seed %d: granted %v, want %.0f in total and at least %.2f of it for classes 1 and 2, and for 2", s, seed, granted, 60*s.Rate, lowerShare)
			}
		}
	}
}
