package serverqueue

import (
	"fmt"
	"testing"
	"time"
)

// Guards against statements of open transactions that are refused although they would end in time, or in favour of newer
// ones. The load: 30 statements of one organisation in 60 ms with a goal of 500 ms, of which two slots can run 24.
func TestStatementsOfTransactionsAreServedInTime(t *testing.T) {
	q, refused := newQueue(Options{Slots: 2, InitialEstimate: 40 * ms})
	ends := map[*Item[string]]time.Duration{}
	var served []string
	refusals := 0
	for now := time.Duration(0); now < time.Second; now += ms {
		for i, end := range ends {
			if end <= now {
				delete(ends, i)
				q.Finish(now, i, 40*ms)
			}
		}
		if n := int(now / (2 * ms)); now%(2*ms) == 0 && n < 30 {
			r := Request{ID: fmt.Sprintf("%02d", n), Organisation: "a", InTransaction: true, Goal: now + 500*ms}
			if _, err := q.Push(now, r, r.ID); err != nil {
				refusals++
			}
		}
		for q.slotFree() {
			i, ok := q.Next(now)
			if !ok {
				break
			}
			if len(served) > 0 && i.ID < served[len(served)-1] {
				t.Errorf("%s started after %s", i.ID, served[len(served)-1])
			}
			served = append(served, i.ID)
			ends[i] = now + 40*ms
		}
	}
	// The expected wait counts a running item as half done, so that it is short by up to half of one.
	if len(served) < 23 || len(*refused) > 1 {
		t.Errorf("%d served, %d refused when pushed, %d while they waited; want at least 23 served and at most 1 refused later", len(served), refusals, len(*refused))
	}
}
