package clock

import (
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against a manual clock that ticks before the period has passed, or twice for one period.
func TestManualTicksOncePerPeriod(t *testing.T) {
	m := NewManual(time.Unix(0, 0))
	ticks, cancel := m.Subscribe(time.Second)
	defer cancel()
	m.Advance(900 * time.Millisecond)
	if len(ticks) != 0 {
		t.Fatal("tick before the period")
	}
	m.Advance(200 * time.Millisecond)
	m.Advance(200 * time.Millisecond)
	if len(ticks) != 1 {
		t.Fatalf("ticks = %d, want 1", len(ticks))
	}
}

// Guards against a goroutine that outlives its subscription.
func TestRealStopsSubscriptions(_ *testing.T) {
	c := NewReal()
	ticks, cancel := c.Subscribe(time.Millisecond)
	defer cancel()
	<-ticks
	c.Stop()
	for range ticks {
		continue
	}
}
