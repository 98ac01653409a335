package experiment

import (
	"slices"
	"time"

	"tanagercross/internal/session/outcome"
	"tanagercross/internal/tool/ledger"
)

// quantile returns the value at a share of the sorted values, 0 without values.
func quantile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}

// median returns the middle value, or the mean of the two middle ones.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}

// slope fits a line by least squares and returns its slope.
func slope(points []Point) float64 {
	var x, y, xx, xy float64
	for _, p := range points {
		x, y, xx, xy = x+p.X, y+p.Y, xx+p.X*p.X, xy+p.X*p.Y
	}
	n := float64(len(points))
	if d := n*xx - x*x; d != 0 {
		return (n*xy - x*y) / d
	}
	return 0
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func seconds(a, b time.Time) float64 { return b.Sub(a).Seconds() }

// distribution returns the values in ascending order against their share in percent.
func distribution(name string, values []float64) Series {
	s := Series{Name: name, Line: true}
	sorted := slices.Sorted(slices.Values(values))
	step := max(1, len(sorted)/500) // more points are not visible
	for i := 0; i < len(sorted); i += step {
		s.Points = append(s.Points, Point{X: 100 * float64(i+1) / float64(len(sorted)), Y: sorted[i]})
	}
	return s
}

// numbered returns the values against the number of the run.
func numbered(name string, values []float64) Series {
	s := Series{Name: name}
	for i, v := range values {
		s.Points = append(s.Points, Point{X: float64(i + 1), Y: v})
	}
	return s
}

// perPeriod counts the entries that accept takes by the period of their end.
func perPeriod(name string, entries []ledger.Entry, from time.Time, period time.Duration, accept func(ledger.Entry) bool) Series {
	s := Series{Name: name, Line: true}
	for _, e := range entries {
		if e.Ended.Before(from) {
			continue
		}
		at := int(e.Ended.Sub(from) / period)
		for len(s.Points) <= at {
			s.Points = append(s.Points, Point{X: (time.Duration(len(s.Points)) * period).Seconds()})
		}
		if accept(e) {
			s.Points[at].Y += 1 / period.Seconds()
		}
	}
	return s
}

func isDone(e ledger.Entry) bool { return e.Outcome == outcome.Done }

func isRefused(e ledger.Entry) bool { return e.Outcome == outcome.NotRunOutcome }

// between returns the entries that started in a time.
func between(entries []ledger.Entry, from, to time.Time) []ledger.Entry {
	var kept []ledger.Entry
	for _, e := range entries {
		if !e.Started.Before(from) && e.Started.Before(to) {
			kept = append(kept, e)
		}
	}
	return kept
}

// reasons counts the refusals by reason.
type reasons struct {
	reason outcome.Reason
	count  int
	ms     []float64 // until the answer
}

func countReasons(entries []ledger.Entry) []reasons {
	var counted []reasons
	for _, e := range entries {
		if e.Outcome == outcome.Done {
			continue
		}
		i := slices.IndexFunc(counted, func(r reasons) bool { return r.reason == e.Reason })
		if i < 0 {
			i = len(counted)
			counted = append(counted, reasons{reason: e.Reason})
		}
		counted[i].count++
		counted[i].ms = append(counted[i].ms, milliseconds(e.Ended.Sub(e.Started)))
	}
	slices.SortFunc(counted, func(a, b reasons) int { return b.count - a.count })
	return counted
}
