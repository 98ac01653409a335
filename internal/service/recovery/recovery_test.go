package recovery_test

import (
	"strings"
	"testing"

	"tanagercross/internal/service/recovery"
)

// Guards against a panic that ends the process, and against one that is reported without the place where it happened.
func TestCatch(t *testing.T) {
	var got []recovery.Panic
	work := func(fail bool) {
		defer recovery.Catch(func(p recovery.Panic) { got = append(got, p) })
		if fail {
			panic("faulty row")
		}
	}
	work(false)
	work(true)
	if len(got) != 1 || got[0].Value != "faulty row" || !strings.Contains(got[0].Stack, "TestCatch") {
		t.Errorf("recovered %+v, want one panic with the stack of this test", got)
	}
}
