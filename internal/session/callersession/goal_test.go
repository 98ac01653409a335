package callersession_test

import (
	"context"
	"testing"
	"time"

	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/organisation/key"
	"tanagercross/internal/session/callersession"
	"tanagercross/internal/session/outcome"
)

// slowLimiter admits every operation after a wait.
type slowLimiter struct{ wait time.Duration }

func (l slowLimiter) Take(context.Context, string, uint8) (outcome.Reason, time.Duration) {
	time.Sleep(l.wait)
	return "", 0
}

// Guards against statements that get their whole latency goal after a wait for a rate token, so that servers queue what is
// already late, and against a goal that is used up and sent as none.
func TestWaitForATokenCountsInTheGoal(t *testing.T) {
	const wait = 50 * time.Millisecond
	for _, c := range []struct{ goal, least, most time.Duration }{
		{500 * time.Millisecond, 100 * time.Millisecond, 500*time.Millisecond - wait},
		{20 * time.Millisecond, time.Millisecond, time.Millisecond},
		{0, 0, 0},
	} {
		w := &world{servers: servers{answer: statement.Answer{Delivery: statement.Answered}}}
		configuration := catalog.NewConfiguration(1, []catalog.Database{{Name: "tally", Group: "meals", LatencyGoal: c.goal}}, nil,
			[]catalog.Organisation{{Name: "coop", Keys: []key.Hash{key.HashOf("k1")}}})
		session, _ := callersession.Start(callersession.Environment{
			Configuration: func() catalog.Configuration { return configuration }, ConfigurationFresh: func() bool { return true },
			Dispatcher: &w.servers, Limiter: slowLimiter{wait}, Observer: w, Draining: func() bool { return false }, Priorities: true,
			Stopping: func(time.Duration) bool { return false },
		}, "s1", "tally", "k1")
		do(session, statement.Read{})
		if got := w.servers.calls[0].Goal; got < c.least || got > c.most {
			t.Errorf("goal %v after a wait of %v: %v left, want %v to %v", c.goal, wait, got, c.least, c.most)
		}
	}
}
