// Package slowstart decides how many statements and openings of connections may run at once at a database server that has
// started, returned after failures, was promoted, or whose evacuation has ended. It does no I/O.
//
// # Usage
//
//	w := slowstart.Begin(server.Slots).After(earlier)
//	if running < w.Size() {
//		epoch := w.Epoch() // when the statement is sent
//	}
//	w = w.WithAnswer(epoch, took.Seconds()/usual.Seconds())
//	w = w.WithFailure(epoch) // refused, or without an answer in time
//	if w.Ended() {
//		// the server gets its full share
//	}
//
// The window starts at 1. It doubles after each round of answers at the usual latency until the server slows down for the
// first time, and then grows by one a round. A round that is slow, a refusal or a missing answer halves it. After a round that
// was slow at a larger window the next rounds are longer, so that a server that stays slow is seldom tried with more than it
// can serve. The window is never below 1, so that the server is never idle, and the slow start ends when the window reaches
// the server's slots.
package slowstart

const (
	// roundAnswers is the lowest number of answers in a round: fewer say little, because statements differ.
	roundAnswers = 8
	// cautiousAnswers is the length of a round after the server slowed down. It doubles with each slow round after a growth,
	// up to maxCautiousAnswers.
	cautiousAnswers    = 32
	maxCautiousAnswers = 256
	// slowRatio is the mean of a round's ratios to the usual latency from which the round is slow. It is below 2, because at
	// a mean of 2 about half of the statements take longer than twice the usual latency.
	slowRatio = 1.6
	// slowAnswer is the ratio from which one answer is slow, and slowRun the number of slow ones in a row that end a round.
	slowAnswer = 2.0
	slowRun    = 3
	// newHolderShare is the part of the slots with which a holder begins that takes over a slow start.
	newHolderShare = 4
)

// Window is the limit of a server. It is immutable. The zero value limits nothing.
type Window struct {
	slots    int
	size     int
	epoch    uint64 // rises at each reduction and each slow start, so that statements sent before cause no other one
	cautious int    // answers of a round after the server slowed down; 0 while the window doubles
	grown    bool   // the window has grown since the last reduction
	answers  int    // of this round
	sum      float64
	run      int // slow answers in a row
}

// Begin returns the window of a server that begins a slow start.
func Begin(slots int) Window { return Window{slots: max(1, slots), size: 1} }

// TakeOver returns the window of a holder that takes over a slow start of which it does not know how far it has got.
func TakeOver(slots int) Window {
	w := Begin(slots)
	w.size = max(1, slots/newHolderShare)
	return w
}

// After returns a window that takes the place of an earlier one, so that statements of the earlier one do not count in it.
func (w Window) After(earlier Window) Window {
	w.epoch = earlier.epoch + 1
	return w
}

// Ended reports whether the server gets its full share.
func (w Window) Ended() bool { return w.size >= w.slots }

// Size returns how many statements and openings may run at once.
func (w Window) Size() int { return w.size }

// Epoch returns the number to pass with the result of a statement that is sent now.
func (w Window) Epoch() uint64 { return w.epoch }

// WithAnswer returns the window after the answer to a statement of an epoch, with the ratio of its latency to the usual one.
func (w Window) WithAnswer(epoch uint64, ratio float64) Window {
	if w.Ended() || epoch != w.epoch {
		return w
	}
	w.answers++
	w.sum += ratio
	w.run++
	if ratio < slowAnswer {
		w.run = 0
	}
	round := max(roundAnswers, w.cautious, w.size)
	switch {
	case w.run >= slowRun:
		return w.reduced()
	case w.answers >= roundAnswers && w.sum/float64(w.answers) >= slowRatio:
		return w.reduced()
	case w.answers >= round:
		return w.enlarged()
	}
	return w
}

// WithFailure returns the window after a statement of an epoch that was refused or got no answer in time.
func (w Window) WithFailure(epoch uint64) Window {
	if w.Ended() || epoch != w.epoch {
		return w
	}
	return w.reduced()
}

// reduced returns the window after a slow round.
func (w Window) reduced() Window {
	switch {
	case w.cautious == 0:
		w.cautious = cautiousAnswers
	case w.grown:
		w.cautious = min(2*w.cautious, maxCautiousAnswers)
	}
	w.size, w.grown = max(1, w.size/2), false
	w.epoch++
	return w.nextRound()
}

// enlarged returns the window after a round at the usual latency.
func (w Window) enlarged() Window {
	if w.cautious == 0 {
		w.size *= 2
	} else {
		if w.grown { // the larger window was served
			w.cautious = cautiousAnswers
		}
		w.size++
	}
	w.size, w.grown = min(w.size, w.slots), true
	return w.nextRound()
}

// nextRound returns the window at the beginning of a round.
func (w Window) nextRound() Window {
	w.answers, w.sum, w.run = 0, 0, 0
	return w
}
