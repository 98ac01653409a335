package relay

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tanagercross/internal/database/statement"
	relayv1 "tanagercross/internal/genproto/relay/v1"
)

// Guards against a load that another instance reads differently, also if its sender distinguishes fewer priorities.
func TestLoadIsRelayed(t *testing.T) {
	l := &statement.Load{Wait: [statement.Priorities]time.Duration{time.Millisecond, 20 * time.Millisecond, time.Second}, Running: 5, Queued: 9, Slots: 4}
	a := statement.Answer{Delivery: statement.Answered, Load: l}
	if diff := cmp.Diff(a, decodeAnswer(encodeAnswer(a))); diff != "" {
		t.Error(diff)
	}
	short := decodeLoad(&relayv1.Load{WaitMilliseconds: []uint32{3}})
	if short.Wait != [statement.Priorities]time.Duration{3 * time.Millisecond, 3 * time.Millisecond, 3 * time.Millisecond} {
		t.Errorf("wait %v, want that of the only priority for all", short.Wait)
	}
	if decodeLoad(encodeLoad(nil)) != nil {
		t.Error("an unknown load became a known one")
	}
}

// Guards against a call that loses its priority or its latency goal on the way to the holder.
func TestPriorityIsRelayed(t *testing.T) {
	c := statement.Call{Body: statement.Read{Arguments: "1a4"}, Priority: 2, OrganisationPriority: 1, Goal: 500 * time.Millisecond}
	r, err := encodeCall("meals-1-a", c)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeCall(r)
	if err != nil || got.Priority != 2 || got.OrganisationPriority != 1 || got.Goal != c.Goal {
		t.Errorf("got %+v, %v", got, err)
	}
}
