package execution

import (
	"strings"
	"testing"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/session/outcome"
)

// Guards against size limits of the configuration that are not enforced, and against refusing a write that took effect
// because of the size of its result.
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
		t.Error("a result of 9 bytes does not exceed a limit of 8 bytes")
	}
	if got := x.dropOversizedRows(result); !got.Truncated || got.Rows != nil || got.RowsAffected != 1 {
		t.Errorf("result of a write over the limit: %+v", got)
	}
}
