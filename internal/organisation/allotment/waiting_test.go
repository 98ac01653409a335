package allotment

import (
	"testing"
	"time"
)

// Guards against a full queue in which less urgent callers keep more urgent ones out, against callers that wait although
// their class has no chance, and against a time to retry that says nothing about it.
func TestQueueByClass(t *testing.T) {
	now := time.Unix(0, 0)
	s := Settings{Rate: 100, Burst: 200}
	tc := NewTokenCache(Options{ByPriority: true, MaxWaiting: 2, RateWait: 140 * time.Millisecond})
	var tickets []Ticket
	for _, c := range []Class{2, 1, 0} {
		ticket, reason := tc.RequestClass(now, c)
		if reason != "" {
			t.Fatalf("class %d: %s", c, reason)
		}
		tickets = append(tickets, ticket)
	}
	if d := tc.Displaced(); len(d) != 1 || d[0].Ticket != tickets[0] {
		t.Errorf("displaced %+v, want ticket %d of the lowest class", d, tickets[0])
	}
	if _, reason := tc.RequestClass(now, 2); reason == "" {
		t.Error("a caller of the lowest class waits in a queue full of more urgent ones")
	}
	c, _ := tc.NextCall(now, s)
	if c.ByClass != (ByClass{1, 1, 0}) {
		t.Errorf("call %+v, want one token of class 0 and one of class 1", c)
	}
	if served := tc.Receive(now, c, Grant{Granted: 1, RetryAfter: time.Second}, s); len(served) != 1 || served[0] != tickets[2] {
		t.Errorf("served %v, want ticket %d of class 0", served, tickets[2])
	}
	if _, ok := tc.NextCall(now, s); ok {
		t.Error("a call before the time to retry")
	}
	_, _ = tc.RequestClass(now, 0)
	if c, ok := tc.NextCall(now, s); !ok || c.ByClass != (ByClass{1, 1, 0}) {
		t.Errorf("call %+v, %v; want one at once for the caller that is more urgent than the one without a token", c, ok)
	}
}

// Guards against callers that wait without a chance, and against a time to retry that says nothing about their class.
func TestOutlook(t *testing.T) {
	now := time.Unix(0, 0)
	s := Settings{Rate: 100, Burst: 200}
	tc := NewTokenCache(Options{ByPriority: true, RateWait: 140 * time.Millisecond})
	atOnce := 0
	for range 300 { // every 10 ms a caller of each class; the home grants one token at a time
		for _, c := range []Class{0, 2} {
			if _, reason := tc.RequestClass(now, c); reason != "" {
				atOnce++
				if c == 0 {
					t.Fatal("a caller of class 0 is refused although its class gets its tokens")
				}
			}
		}
		if call, ok := tc.NextCall(now, s); ok {
			tc.Receive(now, call, Grant{Granted: 1, RetryAfter: time.Millisecond}, s)
		}
		now = now.Add(10 * time.Millisecond)
		tc.ExpireWaiters(now)
	}
	if atOnce < 100 {
		t.Errorf("%d of 300 callers of the lowest class refused at once, want at least 100", atOnce)
	}
	if urgent, low := tc.RetryAfter(now, 0), tc.RetryAfter(now, 2); urgent > 200*time.Millisecond || low < time.Second {
		t.Errorf("retry after %v for class 0 and %v for class 2, want less than 200 ms and more than 1 s", urgent, low)
	}
	if after := tc.RetryAfter(now.Add(time.Minute), 2); after != 0 {
		t.Errorf("retry after %v a minute later, want 0 for unknown", after)
	}
}

// Guards against a request whose parts by class exceed its total, or that is short of its total.
func TestCompleted(t *testing.T) {
	for _, c := range []struct {
		named ByClass
		total int
		want  ByClass
	}{
		{ByClass{}, 5, ByClass{0, 0, 5}},
		{ByClass{1, 2, 0}, 5, ByClass{1, 2, 2}},
		{ByClass{4, 4, 4}, 5, ByClass{4, 1, 0}},
		{ByClass{-1, 0, 0}, 0, ByClass{}},
	} {
		if got := c.named.Completed(c.total); got != c.want {
			t.Errorf("%v of %d: %v, want %v", c.named, c.total, got, c.want)
		}
	}
}
