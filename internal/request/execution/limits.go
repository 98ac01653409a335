package execution

import (
	"tanagercross/internal/database/driver"
	"tanagercross/internal/session/outcome"
)

// checkStatementAndSize checks the text of a statement and its size. openSession has made sure that the limit comes
// from the configuration that the session has seen, or from a newer one.
func (x *execution) checkStatementAndSize(s driver.Statement) outcome.Verdict {
	if reason := checkStatement(s); reason != "" {
		return outcome.NotRun(reason)
	}
	if limit := x.limits().StatementBytes; limit > 0 && int64(len(s.SQL)) > limit {
		return outcome.NotRun(outcome.RequestTooLarge).WithMessage("statement over the limit")
	}
	return outcome.Verdict{Outcome: outcome.Done}
}

// limits returns the limits of the caller's organisation.
func (x *execution) limits() Limits { return x.ports.Configuration.Limits(x.organisation) }

// exceedsAnswerLimit reports whether a result is larger than the organisation's limit.
func (x *execution) exceedsAnswerLimit(r driver.Result) bool {
	limit := x.limits().AnswerBytes
	return limit > 0 && r.Size() > limit
}

// dropOversizedRows returns the result of a write without its rows if it exceeds the limit. It doesn't refuse the
// write, which has taken effect.
func (x *execution) dropOversizedRows(r driver.Result) driver.Result {
	if x.exceedsAnswerLimit(r) {
		r.Rows, r.Truncated = nil, true
	}
	return r
}
