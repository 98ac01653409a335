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
	KeyMissing           Reason = "key_missing" // the request has no API key
	KeyUnknown           Reason = "key_unknown" // no organisation has the API key
	KeyWithdrawn         Reason = "key_withdrawn"
	RequestInvalid       Reason = "request_invalid"
	RequestTooLarge      Reason = "request_too_large"
	RequestIDReused      Reason = "request_id_reused" // the request id was used for a different write
	RequestExpired       Reason = "request_expired"   // the time in the request id is outside the accepted range
	GroupUnknown         Reason = "group_unknown"
	TokenInvalid         Reason = "token_invalid"
	TokenForeign         Reason = "token_foreign"         // the session token belongs to another organisation
	TransactionUnknown   Reason = "transaction_unknown"   // the transaction is not open, or its id is invalid
	TransactionForeign   Reason = "transaction_foreign"   // the transaction belongs to another organisation or session
	TransactionExpired   Reason = "transaction_expired"   // the transaction was idle or open for too long
	StatementFailed      Reason = "statement_failed"      // the server rejected the statement
	RateExceeded         Reason = "rate_exceeded"         // the rate of the organisation is used up
	RateHomeUnavailable  Reason = "rate_home_unavailable" // the instance that hands out the rate tokens is not reached
	QueueFull            Reason = "queue_full"            // too many requests of the organisation are queued
	QueueTimeout         Reason = "queue_timeout"         // no connection became free in time
	DeadlineExceeded     Reason = "deadline_exceeded"
	NoPrimary            Reason = "no_primary"       // the group has no known primary
	NoServer             Reason = "no_server"        // all suitable servers were tried
	PrimaryReplaced      Reason = "primary_replaced" // the server is not the primary of the expected term
	LaneUnavailable      Reason = "lane_unavailable" // no reachable instance holds a usable lane of the server
	ServerLeaving        Reason = "server_leaving"   // the server is being removed from service
	ServerBehind         Reason = "server_behind"    // the server's data is behind the required position, or too old
	ServerUnreachable    Reason = "server_unreachable"
	ServerBusy           Reason = "server_busy"
	TransactionLimit     Reason = "transaction_limit"    // too many open transactions on the lane, or of the organisation
	InstanceNotFresh     Reason = "instance_not_fresh"   // the instance's keys and configuration may be out of date
	ConfigurationBehind  Reason = "configuration_behind" // the session has seen a configuration that the instance lacks
	Draining             Reason = "draining"             // the instance is shutting down
	RetryBudgetExhausted Reason = "retry_budget_exhausted"
)

// Reasons why an outcome is unknown.
const (
	AnswerLost        Reason = "answer_lost"        // the statement was sent and its answer did not arrive
	NotReplicated     Reason = "not_replicated"     // the statement ran, and no majority confirmed it
	LeaseLapsed       Reason = "lease_lapsed"       // the instance or the key became invalid while the request ran
	OutcomeUnreadable Reason = "outcome_unreadable" // the record of the earlier attempt is missing or could not be read
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
