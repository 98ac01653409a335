// Package outcome defines the three outcomes of a request and the reasons for the outcomes not_run and unknown.
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
// The texts of reasons are part of the API for callers and of the metric labels, so existing texts must not change.
package outcome

// Outcome tells a caller whether its request took effect.
type Outcome string

// Outcomes.
const (
	Done          Outcome = "done"    // the request was run
	NotRunOutcome Outcome = "not_run" // the request provably had no effect
	Unknown       Outcome = "unknown" // the request may or may not have taken effect
)

// Reason says why a request was not run or why its outcome is unknown. It is empty for Done.
type Reason string

// Reasons why a request was not run. None of them may be used once a statement may have taken effect.
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

// Reasons why an outcome is unknown.
const (
	AnswerLost        Reason = "answer_lost"
	NotReplicated     Reason = "not_replicated"
	LeaseLapsed       Reason = "lease_lapsed"
	OutcomeUnreadable Reason = "outcome_unreadable"
)

// Verdict is an outcome with its reason and an optional message for people.
type Verdict struct {
	Outcome Outcome
	Reason  Reason
	Message string
}

// NotRun returns the verdict for a request that provably had no effect.
func NotRun(r Reason) Verdict { return Verdict{Outcome: NotRunOutcome, Reason: r} }

// NotKnown returns the verdict for a request that may or may not have taken effect.
func NotKnown(r Reason) Verdict { return Verdict{Outcome: Unknown, Reason: r} }

// WithMessage returns a copy of the verdict with a message for people.
func (v Verdict) WithMessage(m string) Verdict {
	v.Message = m
	return v
}

// Retryable reports whether the instance may repeat a request that was not run for this reason: the cause is the state
// of the servers, which can change soon. It is false for reasons of unknown outcomes.
func (r Reason) Retryable() bool {
	switch r {
	case NoPrimary, NoServer, PrimaryReplaced, LaneUnavailable, ServerLeaving, ServerBehind, ServerUnreachable, ServerBusy:
		return true
	}
	return false
}
