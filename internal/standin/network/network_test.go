package network

import (
	"testing"
	"time"
)

// Guards against a cut of a place that leaves the instances inside it connected.
func TestCutOfAPlaceCutsWhatIsInside(t *testing.T) {
	n := New(func(string, string) time.Duration { return 0 })
	n.Locate("i1", "agreste")
	n.SetCut("agreste", "sertao", true)
	if n.cutBetween("i1", "sertao") == nil || n.cutBetween("sertao", "i1") == nil {
		t.Error("the instance is not cut")
	}
	if n.cutBetween("i1", "agreste") != nil || n.cutBetween("i1", "litoral") != nil {
		t.Error("the instance is cut from other places")
	}
}
