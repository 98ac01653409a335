package serverqueue

import (
	"math"
	"time"
)

const (
	// settledSamples is the number of samples that the moving average of a cost weighs. Of the statements of one kind, 3%
	// take seven times as long; each of these then moves the average by less than half.
	settledSamples = 16
	usageWindow    = 500 * time.Millisecond
)

// costs holds the mean measured cost of statements by kind and priority.
type costs struct {
	mean    [kinds][levels]time.Duration
	samples [kinds][levels]int
	running [kinds][levels]int
}

// estimate returns the expected cost of a request.
func (c *costs) estimate(r Request, initial time.Duration) time.Duration {
	return c.expected(r.Kind, r.Level(), initial)
}

// expected returns the mean cost of a kind and priority, else of the kind at another priority.
func (c *costs) expected(k Kind, level int, initial time.Duration) time.Duration {
	if c.samples[k][level] > 0 {
		return c.mean[k][level]
	}
	for l, n := range c.samples[k] {
		if n > 0 {
			return c.mean[k][l]
		}
	}
	return initial
}

// typical returns the mean cost of reads at a level if it is known, else that of the other kinds.
func (c *costs) typical(level int, initial time.Duration) time.Duration {
	var sum time.Duration
	known := 0
	for k := range kinds {
		if c.samples[k] == [levels]int{} {
			continue
		}
		mean := c.expected(k, level, initial)
		if k == Read {
			return mean
		}
		sum += mean
		known++
	}
	if known == 0 {
		return initial
	}
	return sum / time.Duration(known)
}

// learn adds a measured cost.
func (c *costs) learn(r Request, cost time.Duration) {
	mean, n := &c.mean[r.Kind][r.Level()], &c.samples[r.Kind][r.Level()]
	*n = min(*n+1, settledSamples)
	*mean = max(time.Microsecond, *mean+(cost-*mean)/time.Duration(*n))
}

// longestRunning returns the highest expected cost of the kinds and priorities that run.
func (c *costs) longestRunning(initial time.Duration) time.Duration {
	longest := time.Duration(0)
	for k := range c.running {
		for l, n := range c.running[k] {
			if n > 0 {
				longest = max(longest, c.expected(Kind(k), l, initial))
			}
		}
	}
	return longest
}

// usage holds the recent service time of each group, which ages exponentially.
type usage struct {
	spent [groups]float64 // seconds
	at    time.Duration
}

func (u *usage) age(now time.Duration) {
	if now <= u.at {
		return
	}
	factor := math.Exp(-float64(now-u.at) / float64(usageWindow))
	for g := range u.spent {
		u.spent[g] *= factor
	}
	u.at = now
}

func (u *usage) add(now time.Duration, group int, cost time.Duration) {
	u.age(now)
	u.spent[group] += cost.Seconds()
}

// above returns the part of the slots' time that the groups above the given one use, from 0 to 1 less the reserved share.
func (u *usage) above(now time.Duration, group, slots int) float64 {
	u.age(now)
	total := 0.0
	for _, s := range u.spent[:group] {
		total += s
	}
	return min(total/usageWindow.Seconds()/float64(slots), 1-1.0/reservedShare)
}
