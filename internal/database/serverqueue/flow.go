package serverqueue

import "time"

// list is a doubly linked list of the items of a flow, oldest first.
type list[T any] struct {
	front, back *Item[T]
	length      int
}

func (l *list[T]) add(i *Item[T]) {
	i.prev, i.next = l.back, nil
	if l.back == nil {
		l.front = i
	} else {
		l.back.next = i
	}
	l.back = i
	l.length++
}

func (l *list[T]) remove(i *Item[T]) {
	if i.prev == nil {
		l.front = i.next
	} else {
		i.prev.next = i.next
	}
	if i.next == nil {
		l.back = i.prev
	} else {
		i.next.prev = i.prev
	}
	i.prev, i.next = nil, nil
	l.length--
}

// flow holds the items of one organisation in one class.
type flow[T any] struct {
	organisation *organisation[T]
	class        int
	items        [sections]list[T]
	// spent is the service time of the flow. It counts from that of the flows which the class serves at present.
	spent    time.Duration
	sequence uint64 // order within a round
	index    [sections]int
}

// newestFirst reports whether so many items wait that the newest is served first. Statements of open transactions are
// always served in order of arrival, because refusing one discards the work of its transaction.
func (f *flow[T]) newestFirst(s section, inOrder int) bool {
	return s == newWork && f.items[s].length > inOrder
}

// next returns the item of a section that is served next.
func (f *flow[T]) next(s section, inOrder int) *Item[T] {
	if f.newestFirst(s, inOrder) {
		return f.items[s].back
	}
	return f.items[s].front
}

// last returns the item of new work that would be served last.
func (f *flow[T]) last(inOrder int) *Item[T] {
	if f.newestFirst(newWork, inOrder) {
		return f.items[newWork].front
	}
	return f.items[newWork].back
}

// organisation holds the flows of one organisation.
type organisation[T any] struct {
	name        string
	flows       [classes]*flow[T]
	outstanding time.Duration // expected service time of its waiting and running items
	items       int           // waiting and running
	index       int
}

// class is a deficit round robin between the flows of one level of route and organisation. In each round a flow gets one
// quantum of service time. Instead of visiting all flows in each round, a heap holds them by the round in which their
// deficit is paid.
type class[T any] struct {
	quantum  time.Duration
	credit   time.Duration
	turns    [sections]indexed[*flow[T]]
	queued   [sections]int
	work     [sections]time.Duration
	spent    [sections]time.Duration // sum over the flows that wait
	served   time.Duration           // start of the earliest round in which a flow waits
	sequence uint64
}

func newClass[T any](quantum, credit time.Duration) class[T] {
	c := class[T]{quantum: quantum, credit: credit, served: credit}
	for s := range c.turns {
		c.turns[s] = indexed[*flow[T]]{
			less: func(a, b *flow[T]) bool {
				if x, y := a.spent/quantum, b.spent/quantum; x != y {
					return x < y
				}
				return a.sequence < b.sequence
			},
			index: func(f *flow[T]) *int { return &f.index[s] },
		}
	}
	return c
}

// add queues an item in its flow. A flow without waiting items starts where it left off, with at most the credit against
// those that wait.
func (c *class[T]) add(i *Item[T]) {
	f, s := i.flow, i.section()
	if f.index[inTransaction] == 0 && f.index[newWork] == 0 {
		f.spent = max(f.spent, c.served-c.credit)
		c.sequence++
		f.sequence = c.sequence
	}
	f.items[s].add(i)
	c.queued[s]++
	c.work[s] += i.estimate
	if f.index[s] == 0 {
		c.spent[s] += f.spent
		c.turns[s].put(f)
	}
}

// remove takes a waiting item out of its flow.
func (c *class[T]) remove(i *Item[T]) {
	f, s := i.flow, i.section()
	f.items[s].remove(i)
	c.queued[s]--
	c.work[s] -= i.estimate
	if f.items[s].length == 0 {
		c.turns[s].drop(f)
		c.spent[s] -= f.spent
	}
}

// charge adds service time to a flow and moves it to the round in which its deficit is paid. Statements of open
// transactions are charged to the same flow as new work.
func (c *class[T]) charge(f *flow[T], d time.Duration) {
	before := f.spent / c.quantum
	f.spent += d
	if f.spent/c.quantum != before {
		c.sequence++
		f.sequence = c.sequence
	}
	for s := range c.turns {
		if f.index[s] > 0 {
			c.spent[s] += d
			c.turns[s].put(f)
		}
	}
}

// advance moves the present round to the earliest one in which a flow waits.
func (c *class[T]) advance() {
	earliest := time.Duration(-1)
	for s := range c.turns {
		if f, ok := c.turns[s].first(); ok && (earliest < 0 || f.spent < earliest) {
			earliest = f.spent
		}
	}
	if earliest >= 0 {
		c.served = max(c.served, earliest/c.quantum*c.quantum)
	}
}
