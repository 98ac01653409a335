package serverqueue

import (
	"time"

	"tanagercross/internal/database/statement"
)

// searchedOrganisations bounds how many organisations are considered for an item to displace, those with the most
// outstanding work among them.
const searchedOrganisations = 16

// freshFor is the age up to which an item is refused in favour of a newer one of its flow.
const freshFor = 100 * time.Millisecond

// waitMargins are the factors, by level, by which an item's time must exceed its expected wait. More urgent work may come
// while it waits: in the replays up to 14% of the refusals come later than 100 ms after the request with 2 at all levels, and
// at most 10% with these. Only open transactions go before the highest level, so that it may wait for longer. Nothing goes
// before open transactions, which need no margin.
var waitMargins = [statement.Priorities]time.Duration{2, 3, 3}

// admit decides whether an item may wait: it returns Served, or the outcome of a refusal with the wait that was expected.
func (q *Queue[T]) admit(now time.Duration, i *Item[T]) (Outcome, time.Duration) {
	if q.stopped {
		return Stopped, 0
	}
	if limit, ok := i.limit(); ok && limit <= now {
		return TimedOut, 0
	}
	if q.Len() == 0 && q.running < q.options.Slots && (i.InTransaction || q.window.free()) {
		return Served, 0
	}
	expected, inTime := q.endsInTime(now, i)
	// One item of each class may wait in any case: without it the class would not be owed its reserved share, and a wrong
	// expected cost would not be corrected.
	if !inTime && q.classes[i.class()].queued[i.section()] > 0 {
		return CannotEnd, expected
	}
	if q.Len() >= q.options.MaxQueued && !q.displace(now, i) {
		return Full, expected
	}
	return Served, expected
}

// endsInTime reports whether an item and those that it overtakes are expected to end in time, with the expected wait of the
// one that waits longest. In a flow that serves its newest first that is the oldest item. It gives way to the new one if it
// is fresh or too late in any case. An older one keeps its place, so that a refusal comes soon after the request.
func (q *Queue[T]) endsInTime(now time.Duration, i *Item[T]) (time.Duration, bool) {
	f, s := q.flow(i.Request), i.section()
	if f == nil {
		return q.fits(now, i, 0)
	}
	for f.newestFirst(s, q.options.MaxInOrder-1) {
		oldest := f.items[s].front
		expected, fits := q.fits(now, oldest, f.items[s].length)
		if fits {
			return q.fits(now, i, 0)
		}
		late := q.expectedWait(now, oldest.Request, f.items[s].length-1) > oldest.latestStart-now
		if !late && oldest.Wait(now) > freshFor {
			return expected, false
		}
		q.refuse(oldest, q.refusal(now, oldest, CannotEnd, expected))
	}
	return q.fits(now, i, f.items[s].length)
}

// fits returns the expected wait of an item behind a number of items of its flow, and whether it leaves a margin for more
// urgent work that comes later.
func (q *Queue[T]) fits(now time.Duration, i *Item[T], ahead int) (time.Duration, bool) {
	margin := waitMargins[i.Level()]
	if i.InTransaction {
		margin = 1
	}
	expected := q.expectedWait(now, i.Request, ahead)
	return expected, expected <= (i.latestStart-now)/margin
}

// flow returns the flow of a request, or nil if there is none.
func (q *Queue[T]) flow(r Request) *flow[T] {
	if o := q.organisations[r.Organisation]; o != nil {
		return o.flows[r.class()]
	}
	return nil
}

// expectedWait returns the expected wait of a request that has the given number of items of its own flow ahead of it.
// Waiting work that goes first is done by the slots that the groups above leave free; the reserved share bounds the wait.
func (q *Queue[T]) expectedWait(now time.Duration, r Request, ahead int) time.Duration {
	return q.expectedWaitOf(now, r, ahead, q.costs.estimate(r, q.options.InitialEstimate))
}

// expectedWaitOf is expectedWait of a request with an expected cost.
func (q *Queue[T]) expectedWaitOf(now time.Duration, r Request, ahead int, cost time.Duration) time.Duration {
	group, s := r.group(), r.section()
	own := q.workBefore(r, s, ahead)
	before := own + q.workAbove(r, s)
	count := q.usableSlots()
	if group > 0 {
		count = q.window.limit(count)
	}
	if before == 0 && q.running < count && (group == 0 || q.window.free()) {
		return 0
	}
	slots := time.Duration(count)
	free := float64(slots) * (1 - q.usage.above(now, group, count))
	wait := time.Duration(float64(before) / free)
	if group > 0 {
		wait = min(wait, (own+cost)*reservedShare/slots)
	}
	return wait + q.runningWork/(slots*slots)
}

// workBefore returns the expected service time of the items in the class of a request that are served before it: those of
// its own flow, and as much of each other flow as its own one gets until then, less what it has had less than they.
func (q *Queue[T]) workBefore(r Request, s section, ahead int) time.Duration {
	c := &q.classes[r.class()]
	if c.queued[s] == 0 {
		return 0
	}
	mean := c.work[s] / time.Duration(c.queued[s])
	others := time.Duration(c.turns[s].Len())
	spent, spentByOthers := c.served-c.credit, c.spent[s]
	if f := q.flow(r); f != nil {
		spent = max(spent, f.spent)
		if f.items[s].length > 0 {
			others--
			spentByOthers -= f.spent
		}
	}
	own := mean * time.Duration(ahead)
	if others == 0 {
		return own
	}
	lead := spent - spentByOthers/others
	return min(own+max(0, mean+own+lead)*others, c.work[s])
}

// workAbove returns the expected service time of the waiting items that go before the whole class of a request.
func (q *Queue[T]) workAbove(r Request, s section) time.Duration {
	work := time.Duration(0)
	for c := range q.classes {
		if s == newWork {
			work += q.classes[c].work[inTransaction]
		}
		if c < r.class() {
			work += q.classes[c].work[s]
		}
	}
	return work
}

// displace refuses an item of new work in favour of a more urgent one, and reports whether there was one: the least urgent
// item of the organisation most over its share of the outstanding work that has one, else one of the least urgent class.
func (q *Queue[T]) displace(now time.Duration, i *Item[T]) bool {
	victim := q.leastUrgent(i)
	if victim == nil {
		return false
	}
	r := q.refusal(now, victim, Displaced, q.expectedWait(now, victim.Request, victim.flow.items[newWork].length-1))
	r.For = i.Request
	q.refuse(victim, r)
	return true
}

// leastUrgent returns the item that gives its place to another one, or nil if there is none.
func (q *Queue[T]) leastUrgent(i *Item[T]) *Item[T] {
	share := q.outstanding / time.Duration(max(1, q.byWork.Len()))
	for _, o := range q.byWork.values[:min(searchedOrganisations, q.byWork.Len())] {
		if o.outstanding <= share {
			continue
		}
		for c := classes - 1; c >= 0; c-- {
			if f := o.flows[c]; f != nil && f.items[newWork].length > 0 {
				if q.yields(f, i) {
					return f.last(q.options.MaxInOrder)
				}
				break
			}
		}
	}
	for c := classes - 1; c >= 0; c-- {
		if flows := q.classes[c].turns[newWork].values; len(flows) > 0 {
			if f := flows[len(flows)-1]; q.yields(f, i) {
				return f.last(q.options.MaxInOrder)
			}
			return nil
		}
	}
	return nil
}

// yields reports whether an item of a flow gives its place to another one: to an item of an open transaction, to one of a
// higher class, to one of the same class whose organisation has less outstanding work, and to a newer one of the same flow
// while that serves its newest first.
func (q *Queue[T]) yields(f *flow[T], i *Item[T]) bool {
	if i.InTransaction || f.class > i.class() {
		return true
	}
	if f.class < i.class() {
		return false
	}
	if f.organisation.name == i.Organisation {
		return f.newestFirst(newWork, q.options.MaxInOrder)
	}
	var own time.Duration
	if o := q.organisations[i.Organisation]; o != nil {
		own = o.outstanding
	}
	return f.organisation.outstanding > own+i.estimate
}
