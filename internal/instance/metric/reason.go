package metric

import "tanagercross/internal/session/outcome"

// NotRunReasons returns every reason of a request that was not run. A test compares it with the source of package
// outcome.
func NotRunReasons() []outcome.Reason {
	return []outcome.Reason{
		outcome.KeyMissing, outcome.KeyUnknown, outcome.KeyWithdrawn, outcome.RequestInvalid,
		outcome.RequestTooLarge, outcome.RequestIDReused, outcome.RequestExpired, outcome.GroupUnknown,
		outcome.TokenInvalid, outcome.TokenForeign, outcome.TransactionUnknown, outcome.TransactionForeign,
		outcome.TransactionExpired, outcome.StatementFailed, outcome.RateExceeded, outcome.RateHomeUnavailable,
		outcome.QueueFull, outcome.QueueTimeout, outcome.DeadlineExceeded, outcome.NoPrimary, outcome.NoServer,
		outcome.PrimaryReplaced, outcome.LaneUnavailable, outcome.ServerLeaving, outcome.ServerBehind,
		outcome.ServerUnreachable, outcome.InstanceNotFresh, outcome.ConfigurationBehind, outcome.Draining,
		outcome.RetryBudgetExhausted, outcome.ServerBusy, outcome.TransactionLimit,
	}
}

// UnknownReasons returns every reason of an unknown outcome.
func UnknownReasons() []outcome.Reason {
	return []outcome.Reason{
		outcome.AnswerLost, outcome.NotReplicated, outcome.LeaseLapsed, outcome.OutcomeUnreadable,
	}
}
