package execution

import (
	"strings"
	"testing"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/session/outcome"
)

// Guards against limits of the configuration that are spread but not kept, and against a write that is refused for the
// size of its answer although it took effect.
func TestLimits(t *testing.T) {
	x := &execution{Engine: &Engine{ports: Ports{Configuration: &fakeGroup{limits: Limits{StatementBytes: 10, AnswerBytes: 8}}}}}
	long := driver.Statement{SQL: "SELECT " + strings.Repeat("1", 4)}
	if v := x.checkStatementAndSize(long); v.Reason != outcome.RequestTooLarge {
		t.Errorf("statement of 11 bytes: %v", v)
	}
	if v := x.checkStatementAndSize(driver.Statement{SQL: "SELECT 1"}); v.Outcome != outcome.Done {
		t.Errorf("statement of 8 bytes: %v", v)
	}
	value := "123456"
	result := driver.Result{Columns: []string{"abc"}, Rows: [][]*string{{&value, nil}}, RowsAffected: 1}
	if !x.exceedsAnswerLimit(result) {
		t.Error("an answer of 9 bytes is not over 8 bytes")
	}
	if got := x.dropOversizedRows(result); !got.Truncated || got.Rows != nil || got.RowsAffected != 1 {
		t.Errorf("answer of a write: %+v", got)
	}
}
