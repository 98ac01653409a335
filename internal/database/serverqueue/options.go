package serverqueue

import "time"

// Defaults of the fields of Options.
const (
	DefaultSlots           = 2
	DefaultMaxQueued       = 1024
	DefaultMaxInOrder      = 6
	DefaultQuantum         = 2 * time.Millisecond
	DefaultMaxCredit       = 200 * time.Millisecond
	DefaultInitialEstimate = time.Millisecond
	DefaultMaxCost         = 300 * time.Millisecond
	DefaultShort           = 5 * time.Millisecond
)

// Options configures a queue. Zero fields take the defaults.
type Options struct {
	Slots      int           // items that run at the same time, with those that are prefetched
	MaxQueued  int           // items that wait
	MaxInOrder int           // items of one flow up to which they are served first in, first out
	Quantum    time.Duration // service time of an organisation per round
	// MaxCredit is the service time that an organisation which has asked for less than its share may have ahead of others.
	// Without it, one slow statement would cost such an organisation its turns for as long as a busy one takes to catch up.
	MaxCredit       time.Duration
	InitialEstimate time.Duration // expected cost of a kind without measurements
	// MaxCost bounds a measured cost. A holder that was frozen measures the time of the freeze as well.
	MaxCost time.Duration
	// PrefetchSlots is how many of the slots are used only while all running items are expected to take at most Short. An
	// item behind a long one would wait for it at the server, where a more urgent one cannot overtake it.
	PrefetchSlots int
	Short         time.Duration
}

// WithDefaults returns a copy in which zero and negative fields have their defaults.
func (o Options) WithDefaults() Options {
	positive(&o.Slots, DefaultSlots)
	positive(&o.MaxQueued, DefaultMaxQueued)
	positive(&o.MaxInOrder, DefaultMaxInOrder)
	positive(&o.Quantum, DefaultQuantum)
	positive(&o.MaxCredit, DefaultMaxCredit)
	positive(&o.InitialEstimate, DefaultInitialEstimate)
	positive(&o.MaxCost, DefaultMaxCost)
	positive(&o.Short, DefaultShort)
	return o
}

func positive[N int | time.Duration](n *N, otherwise N) {
	if *n <= 0 {
		*n = otherwise
	}
}
