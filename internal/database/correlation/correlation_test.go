package correlation_test

import (
	"testing"

	"tanagercross/internal/database/correlation"
	"tanagercross/internal/database/statement"
)

// Guards against an answer to an earlier command of a connection that no log line and no metric tells from a right one.
func TestAnswersOfOtherCommandsAreObserved(t *testing.T) {
	var tracker correlation.Tracker
	read := statement.Forward{ID: "1", Body: statement.Read{Arguments: "a"}}
	for n, step := range []struct {
		command   statement.Command
		signature string
		want      correlation.Reason
	}{
		{statement.Reset{}, "-", correlation.Matched},
		{read, "s1", correlation.Matched},
		{read, "s1", correlation.Repeated},
		{read, "-", correlation.Unsigned},
		{statement.Reset{}, "s2", correlation.Foreign},
		{read, "s3", correlation.Matched},
	} {
		a := statement.Answer{Delivery: statement.Answered, Signature: step.signature}
		if got := tracker.Observe(step.command, a); got != step.want {
			t.Errorf("step %d: %q, want %q", n, got, step.want)
		}
	}
}
