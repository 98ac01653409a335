// Package outcome names the three outcomes of a request and the reasons behind them.
//
// # Usage
//
//	reply := outcome.NotRun(outcome.QueueFull)
//	switch reply.Outcome {
//	case outcome.Done:
//	case outcome.NotRunOutcome:
//	case outcome.Unknown:
//	}
//
// The reason names are part of the caller API and of the metric labels, so existing names must not change.
package outcome

// Outcome tells a caller what became of its request.
type Outcome string

// The three outcomes.
const (
	Done          Outcome = "done"
	NotRunOutcome Outcome = "not_run"
	Unknown       Outcome = "unknown"
)

// Reason says why a request was not run or why its outcome is unknown. The empty reason belongs to Done.
type Reason string

// Reasons of requests that were not run. None of these is given once a statement may have taken effect.
const (
	KeyMissing           Reason = "key_missing"
	KeyUnknown           Reason = "key_unknown"
	KeyWithdrawn         Reason = "key_withdrawn"
	RequestInvalid       Reason = "request_invalid"
	RequestTooLarge      Reason = "request_too_large"
	RequestIDReused      Reason = "request_id_reused"
	RequestExpired       Reason = "request_expired"
	GroupUnknown         Reason = "group_unknown"
	TokenInvalid         Reason = "token_invalid"
	TokenForeign         Reason = "token_foreign"
	TransactionUnknown   Reason = "transaction_unknown"
	TransactionForeign   Reason = "transaction_foreign"
	TransactionExpired   Reason = "transaction_expired"
	StatementFailed      Reason = "statement_failed"
	RateExceeded         Reason = "rate_exceeded"
	RateHomeUnavailable  Reason = "rate_home_unavailable"
	QueueFull            Reason = "queue_full"
	QueueTimeout         Reason = "queue_timeout"
	DeadlineExceeded     Reason = "deadline_exceeded"
	NoPrimary            Reason = "no_primary"
	NoServer             Reason = "no_server"
	PrimaryReplaced      Reason = "primary_replaced"
	LaneUnavailable      Reason = "lane_unavailable"
	ServerLeaving        Reason = "server_leaving"
	ServerBehind         Reason = "server_behind"
	ServerUnreachable    Reason = "server_unreachable"
	ServerBusy           Reason = "server_busy"
	TransactionLimit     Reason = "transaction_limit"
	InstanceNotFresh     Reason = "instance_not_fresh"
	ConfigurationBehind  Reason = "configuration_behind"
	Draining             Reason = "draining"
	RetryBudgetExhausted Reason = "retry_budget_exhausted"
)

// Reasons of unknown outcomes.
const (
	AnswerLost        Reason = "answer_lost"
	NotReplicated     Reason = "not_replicated"
	LeaseLapsed       Reason = "lease_lapsed"
	OutcomeUnreadable Reason = "outcome_unreadable"
)

// Verdict is an outcome with its reason and a message for people.
type Verdict struct {
	Outcome Outcome
	Reason  Reason
	Message string
}

// NotRun returns the verdict of a request that provably took no effect.
func NotRun(r Reason) Verdict { return Verdict{Outcome: NotRunOutcome, Reason: r} }

// NotKnown returns the verdict of a request that may or may not have taken effect.
func NotKnown(r Reason) Verdict { return Verdict{Outcome: Unknown, Reason: r} }

// WithMessage returns a copy of the verdict with a message for people.
func (v Verdict) WithMessage(m string) Verdict {
	v.Message = m
	return v
}

// Retryable reports whether another attempt of a request that was not run can succeed without a change by the caller.
func (r Reason) Retryable() bool {
	switch r {
	case NoPrimary, NoServer, PrimaryReplaced, LaneUnavailable, ServerLeaving, ServerBehind, ServerUnreachable, ServerBusy:
		return true
	}
	return false
}
