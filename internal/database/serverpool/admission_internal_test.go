package serverpool

import (
	"testing"

	"tanagercross/internal/database/serverqueue"
	"tanagercross/internal/database/statement"
)

// Guards against a refusal with a code that does not promise that nothing was run, or that tells callers a wrong cause.
func TestCodesOfQueueRefusals(t *testing.T) {
	want := map[serverqueue.Outcome]statement.Code{
		serverqueue.CannotEnd: statement.Busy, serverqueue.TimedOut: statement.Busy, serverqueue.Stopped: statement.Busy,
		serverqueue.Displaced: statement.TooMany, serverqueue.Full: statement.TooMany,
	}
	for _, o := range serverqueue.Outcomes() {
		a := priorityAdmission{}.refusal(&serverqueue.Error{Kind: o, Refusal: serverqueue.Refusal{Outcome: o}})
		if o != serverqueue.Served && (a.Code != want[o] || a.Delivery != statement.NotSent) {
			t.Errorf("%s: %+v, want %s, not sent", o, a, want[o])
		}
	}
}
