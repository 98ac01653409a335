package serverpool

import (
	"context"
	"testing"
	"time"

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

// idleAdmission gives every statement its turn and counts those that gave it back.
type idleAdmission struct {
	admission
	withdrawn, released int
}

func (a *idleAdmission) acquire(context.Context, serverqueue.Request, string) (ticket, error) {
	return a, nil
}

func (a *idleAdmission) Release() { a.released++ }

func (a *idleAdmission) Withdraw() { a.withdrawn++ }

// Guards against costs that are learnt from statements which found no connection and did nothing in their turn.
func TestTurnWithoutConnectionIsNotCharged(t *testing.T) {
	a := &idleAdmission{}
	p := New(statement.Target{}, nil, Options{Connections: 1})
	p.admission, p.connections = a, 1
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	if _, _, refusal := p.acquireSlot(ctx, statement.Call{}); refusal.Code != statement.TooMany || a.withdrawn != 1 || a.released != 0 {
		t.Errorf("%+v, %d withdrawn, %d released, want one withdrawn", refusal, a.withdrawn, a.released)
	}
}
