package allotment

import (
	"math"
	"time"
)

// Class is the priority of an operation as far as the rate limit tells priorities apart: 0 is the most urgent one, Lowest
// stands for all priorities from that number on.
type Class uint8

// Classes is the number of classes; Lowest is the least urgent one.
const (
	Classes = 3
	Lowest  = Class(Classes - 1)
)

// ClassOf returns the class of a configured priority.
func ClassOf(priority uint8) Class { return min(Class(priority), Lowest) }

// ByClass holds a number of tokens for each class.
type ByClass [Classes]int

// Total returns the tokens of all classes together.
func (b ByClass) Total() int {
	n := 0
	for _, tokens := range b {
		n += tokens
	}
	return n
}

// Completed returns the wanted tokens by class of a request for a total, of which b names the classes. What b does not name
// counts as the lowest class, and what it names beyond the total is left out, from the least urgent class upwards.
func (b ByClass) Completed(total int) ByClass {
	rest := max(0, total)
	for c, tokens := range b {
		b[c] = min(max(0, tokens), rest)
		rest -= b[c]
	}
	b[Lowest] += rest
	return b
}

// Without returns what is left after granted tokens went to the most urgent classes first.
func (b ByClass) Without(granted int) ByClass {
	for c, tokens := range b {
		n := min(tokens, max(0, granted))
		b[c] -= n
		granted -= n
	}
	return b
}

// Minus returns the difference to another number of tokens for each class.
func (b ByClass) Minus(other ByClass) ByClass {
	for c, tokens := range other {
		b[c] -= tokens
	}
	return b
}

// mostUrgent returns the most urgent class that has tokens, Classes if none has.
func (b ByClass) mostUrgent() Class {
	for c, tokens := range b {
		if tokens > 0 {
			return Class(c)
		}
	}
	return Classes
}

// estimate is an exponentially weighted average of events per second.
type estimate struct {
	perSecond float64
	at        time.Time
}

// add counts n events at a moment, with the time constant of the average.
func (e *estimate) add(now time.Time, window time.Duration, n int) {
	e.perSecond = e.rate(now, window) + float64(n)/window.Seconds()
	e.at = now
}

// rate returns the average at a moment.
func (e *estimate) rate(now time.Time, window time.Duration) float64 {
	elapsed := max(0, now.Sub(e.at))
	return e.perSecond * math.Exp(-elapsed.Seconds()/window.Seconds())
}
