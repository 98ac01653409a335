package pool

import (
	"errors"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/operation"
	"tanagercross/internal/session/outcome"
)

func refused(r outcome.Reason) operation.Reply {
	return operation.Reply{Verdict: outcome.NotRun(r)}
}

// verdict maps a failed statement to what the caller may conclude. Kinds that are unexpected for the call, and errors
// that are not the driver's, give unknown.
func verdict(err error) outcome.Verdict {
	var known *driver.Error
	if err == nil {
		return outcome.Verdict{Outcome: outcome.Done}
	}
	if !errors.As(err, &known) {
		return outcome.NotKnown(outcome.AnswerLost)
	}
	switch known.Kind {
	case driver.Unreachable:
		return outcome.NotRun(outcome.ServerUnreachable)
	case driver.TooManyConnections:
		return outcome.NotRun(outcome.LaneUnavailable)
	case driver.Behind:
		return outcome.NotRun(outcome.ServerBehind)
	case driver.NotPrimary, driver.StaleTerm:
		return outcome.NotRun(outcome.PrimaryReplaced)
	case driver.StatementRejected:
		return outcome.NotRun(outcome.StatementFailed).WithMessage(message(known))
	case driver.RequestIDConflict:
		return outcome.NotRun(outcome.RequestIDReused)
	case driver.Busy:
		return outcome.NotRun(outcome.ServerBusy)
	case driver.NotReplicated:
		return outcome.NotKnown(outcome.NotReplicated)
	}
	return outcome.NotKnown(outcome.AnswerLost)
}

func message(e *driver.Error) string {
	if e.Err == nil {
		return e.Code
	}
	return e.Err.Error()
}

// unconfirmed maps a failed wait for the majority. The statement has run, so every failure leaves its outcome open.
func unconfirmed(err error) outcome.Verdict {
	if driver.KindOf(err) == driver.ResponseLost {
		return outcome.NotKnown(outcome.AnswerLost)
	}
	return outcome.NotKnown(outcome.NotReplicated)
}

// unconnected maps a failure to get a connection. Nothing has been sent.
func unconnected(err error) outcome.Verdict {
	var known *driver.Error
	switch {
	case errors.Is(err, errClosed):
		return outcome.NotRun(outcome.LaneUnavailable)
	case errors.Is(err, errNoConnection):
		return outcome.NotRun(outcome.QueueTimeout)
	case errors.As(err, &known) && known.Kind == driver.TooManyConnections:
		return outcome.NotRun(outcome.LaneUnavailable)
	}
	return outcome.NotRun(outcome.ServerUnreachable)
}
