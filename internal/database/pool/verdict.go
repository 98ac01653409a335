package pool

import (
	"errors"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/operation"
	"tanagercross/internal/session/outcome"
)

// refused returns the reply to an operation that was not run.
func refused(r outcome.Reason) operation.Reply {
	return operation.Reply{Verdict: outcome.NotRun(r)}
}

// verdict converts the error of a statement to a verdict. Error kinds that the call should not return, and errors that
// do not come from the driver, have the outcome unknown.
func verdict(err error) outcome.Verdict {
	var driverErr *driver.Error
	if err == nil {
		return outcome.Verdict{Outcome: outcome.Done}
	}
	if !errors.As(err, &driverErr) {
		return outcome.NotKnown(outcome.AnswerLost)
	}
	switch driverErr.Kind {
	case driver.Unreachable:
		return outcome.NotRun(outcome.ServerUnreachable)
	case driver.TooManyConnections:
		return outcome.NotRun(outcome.LaneUnavailable)
	case driver.Behind:
		return outcome.NotRun(outcome.ServerBehind)
	case driver.NotPrimary, driver.StaleTerm:
		return outcome.NotRun(outcome.PrimaryReplaced)
	case driver.StatementRejected:
		return outcome.NotRun(outcome.StatementFailed).WithMessage(message(driverErr))
	case driver.RequestIDConflict:
		return outcome.NotRun(outcome.RequestIDReused)
	case driver.Busy:
		return outcome.NotRun(outcome.ServerBusy)
	case driver.NotReplicated:
		return outcome.NotKnown(outcome.NotReplicated)
	}
	return outcome.NotKnown(outcome.AnswerLost)
}

// message returns the text of a statement error for the caller.
func message(e *driver.Error) string {
	if e.Err == nil {
		return e.Code
	}
	return e.Err.Error()
}

// unconfirmedVerdict converts the error of a failed wait for a majority. The statement has run, so the outcome is
// unknown.
func unconfirmedVerdict(err error) outcome.Verdict {
	if driver.KindOf(err) == driver.ResponseLost {
		return outcome.NotKnown(outcome.AnswerLost)
	}
	return outcome.NotKnown(outcome.NotReplicated)
}

// connectVerdict converts the error of a failure to get a connection. Nothing was sent, so the outcome is not_run.
func connectVerdict(err error) outcome.Verdict {
	var driverErr *driver.Error
	switch {
	case errors.Is(err, errLaneClosed):
		return outcome.NotRun(outcome.LaneUnavailable)
	case errors.Is(err, errNoConnection):
		return outcome.NotRun(outcome.QueueTimeout)
	case errors.As(err, &driverErr) && driverErr.Kind == driver.TooManyConnections:
		return outcome.NotRun(outcome.LaneUnavailable)
	}
	return outcome.NotRun(outcome.ServerUnreachable)
}
