package serverqueue

import "time"

// reservedShare is the part of the service time that each waiting level gets, as a divisor: 1/20 is 5%.
const reservedShare = 20

// strict serves the highest waiting level first, and each lower one at least its reserved share of the service time. While a
// level waits, of any service time T that ends it gets T/reservedShare less one item of each level: it is served as soon as
// what it is owed pays for the expected cost of its next item, unless a higher level is owed as well.
type strict struct {
	owed [classes]time.Duration
}

// pick returns the level to serve out of the first n, and whether its reserved share pays for it. The cost of a level is
// that of its next item; 0 means that none waits.
func (s *strict) pick(n int, cost *[classes]time.Duration) (picked int, reserved bool) {
	picked = -1
	for l := range n {
		switch {
		case cost[l] == 0:
		case picked < 0:
			picked = l
		case s.owed[l] >= cost[l]:
			return l, true
		}
	}
	return picked, false
}

// start charges a level for an item.
func (s *strict) start(l int, estimate time.Duration, reserved bool) {
	s.owed[l] -= estimate
	if !reserved {
		s.owed[l] = max(0, s.owed[l])
	}
}

// finish corrects the charge of an item to its measured cost. Each level that waits is owed its share of the cost. What it is
// owed stays when its items expire, so that a level whose items cost more than they can wait for is served in the end.
func (s *strict) finish(l int, estimate, cost time.Duration, reserved bool, waiting func(int) bool) {
	s.refund(l, estimate-cost, reserved)
	for other := range s.owed {
		if waiting(other) {
			s.owed[other] += cost / reservedShare
		}
	}
}

// refund takes back a part of what a level was charged from its reserved share.
func (s *strict) refund(l int, d time.Duration, reserved bool) {
	if reserved {
		s.owed[l] += d
	}
}
