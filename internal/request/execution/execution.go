// Package execution is the entry path of a request: key, freshness, rate, session, route, attempts and outcome.
//
// It works over the small interfaces in ports.go, has no adapter of its own and keeps no state of a request after its
// reply.
//
// # Usage
//
//	engine := execution.New(execution.Ports{Keys: keys, Signer: signer, Performer: performer}, execution.Options{})
//	reply := engine.Execute(ctx, execution.Statement{
//		Caller: execution.Caller{KeyHash: hash, Token: token},
//		Group:  "meals-1", Write: true, Statement: driver.Statement{SQL: "UPDATE ..."},
//	})
//
// # Outcomes
//
// A verdict not_run says that this attempt of the caller had no effect. An unknown write is settled inside its deadline
// by its record at the current primary. A record that is found proves that the write was done. A record that is not
// found proves that the write was not run only if it was looked up, in state that a majority holds, in a newer term and
// on another server than the write. In the same term, or on the same server, the write may still be running.
package execution

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/group"
	"tanagercross/internal/request/retry"
	"tanagercross/internal/session/outcome"
	"tanagercross/internal/session/token"
)

// Defaults of Options.
const (
	DefaultDeadline          = 10 * time.Second
	DefaultMaxDeadline       = 60 * time.Second       // deadline that a caller may ask for
	DefaultPrimaryWait       = 5 * time.Second        // longest wait for a change of primary
	DefaultShortPrimaryWait  = time.Second            // wait for a change when the primary may still be alive
	DefaultTermPollInterval  = 10 * time.Millisecond  // between two looks for a newer term
	DefaultLookupInterval    = 25 * time.Millisecond  // first interval of lookups
	DefaultMaxLookupInterval = 400 * time.Millisecond // longest interval of lookups
)

// Options sets limits. Zero fields take the defaults.
type Options struct {
	Retry             retry.Policy
	Deadline          time.Duration // for callers that give none
	MaxDeadline       time.Duration
	PrimaryWait       time.Duration
	ShortPrimaryWait  time.Duration
	TermPollInterval  time.Duration
	LookupInterval    time.Duration
	MaxLookupInterval time.Duration
	Random            retry.Random // safe for concurrent use
}

func (o Options) withDefaults() Options {
	set := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	set(&o.Deadline, DefaultDeadline)
	set(&o.MaxDeadline, DefaultMaxDeadline)
	set(&o.PrimaryWait, DefaultPrimaryWait)
	set(&o.ShortPrimaryWait, DefaultShortPrimaryWait)
	set(&o.TermPollInterval, DefaultTermPollInterval)
	set(&o.LookupInterval, DefaultLookupInterval)
	set(&o.MaxLookupInterval, DefaultMaxLookupInterval)
	if o.Random == nil {
		o.Random = rand.Int64N
	}
	return o
}

// Engine executes requests. It is safe for concurrent use.
type Engine struct {
	ports   Ports
	options Options
	budget  *retry.Budget
}

// New returns an engine over its ports.
func New(p Ports, o Options) *Engine {
	o = o.withDefaults()
	return &Engine{ports: p, options: o, budget: retry.NewBudget(o.Retry, p.Clock.Now())}
}

// execution is one request in progress.
type execution struct {
	*Engine
	caller       Caller
	requestID    string
	organisation string
	session      token.Token
	transaction  token.Transaction // for a step of a transaction
	deadline     time.Time
}

// Execute runs a request and returns its outcome.
func (e *Engine) Execute(ctx context.Context, r Request) Reply {
	now := e.ports.Clock.Now()
	x := &execution{Engine: e, caller: r.requestCaller(), deadline: now.Add(e.options.Deadline)}
	if d := x.caller.Deadline; !d.IsZero() {
		x.deadline = d
		if longest := now.Add(e.options.MaxDeadline); d.After(longest) {
			x.deadline = longest
		}
	}
	if d, ok := ctx.Deadline(); ok && d.Before(x.deadline) {
		x.deadline = d
	}
	ctx, cancel := context.WithTimeout(ctx, x.deadline.Sub(now))
	defer cancel()
	reply := x.executeChecked(ctx, now, r)
	reply.RequestID = x.requestID
	if x.caller.Repeat {
		reply.Verdict = repeatedVerdict(r, reply.Verdict)
	}
	if reply.Verdict.Outcome == outcome.Unknown {
		reply.Group = x.recordGroup(r)
	}
	if reply.Verdict.Outcome != outcome.Done {
		e.ports.Counter.Refused(reply.Verdict.Outcome, reply.Verdict.Reason)
	}
	reply.Token = x.encodeToken()
	return reply
}

// issue returns the text of the session token, or "" if the session is not known.
func (x *execution) encodeToken() string {
	if x.session.Session() == "" {
		return ""
	}
	text, err := x.ports.Signer.Encode(x.session)
	if err != nil {
		return "" // check refuses a request that would make the token too large
	}
	return text
}

// guarded checks freshness and the key before and after the request uses a database. A process that was paused in
// between must not answer from expired state.
func (x *execution) executeChecked(ctx context.Context, now time.Time, r Request) Reply {
	verdict := x.admit(ctx, now, r)
	if verdict.Outcome != outcome.Done {
		return unreadableLookup(r, Reply{Verdict: verdict})
	}
	before := x.session
	reply := x.dispatch(ctx, r)
	if refusalReason := x.refusalReason(); refusalReason != "" {
		x.session = before
		reply = x.withholdReply(ctx, r, reply, refusalReason)
	}
	return unreadableLookup(r, reply)
}

// repeated returns the verdict of a repetition. That this attempt was refused says nothing about the earlier one, whose
// outcome is unknown; only a found record or a request id of another request decides.
func repeatedVerdict(r Request, v outcome.Verdict) outcome.Verdict {
	if v.Outcome != outcome.NotRunOutcome || v.Reason == outcome.RequestIDReused {
		return v
	}
	switch r := r.(type) {
	case Statement:
		if !r.Write {
			return v
		}
	case Commit:
	default:
		return v
	}
	message := "this attempt was not run: " + string(v.Reason) + "; the earlier one may have been"
	return outcome.NotKnown(outcome.OutcomeUnreadable).WithMessage(message)
}

// lapsed returns why the instance may no longer answer for the caller, or "".
func (x *execution) refusalReason() outcome.Reason {
	if !x.ports.Freshness.Fresh(x.ports.Clock.Now()) {
		return outcome.InstanceNotFresh
	}
	organisation, reason := x.ports.Keys.Organisation(x.caller.KeyHash)
	if reason == "" && organisation != x.organisation {
		return outcome.KeyUnknown
	}
	return reason
}

// withhold replaces an answer that may not be given. What may have taken effect becomes unknown.
func (x *execution) withholdReply(ctx context.Context, r Request, reply Reply, reason outcome.Reason) Reply {
	if reply.Verdict.Outcome == outcome.NotRunOutcome {
		return Reply{Verdict: reply.Verdict}
	}
	switch r := r.(type) {
	case Begin:
		if t, err := x.ports.Signer.DecodeTransaction(reply.Transaction); err == nil {
			x.rollBackWithheld(ctx, t)
		}
		return Reply{Verdict: outcome.NotRun(reason)}
	case Statement:
		if !r.Write {
			return Reply{Verdict: outcome.NotRun(reason)}
		}
	}
	return Reply{Verdict: outcome.NotKnown(outcome.LeaseLapsed)}
}

// withheldLookup keeps a lookup that gave no answer from being read as an answer about the write.
func unreadableLookup(r Request, reply Reply) Reply {
	if _, ok := r.(Outcome); !ok || reply.Verdict.Outcome != outcome.NotRunOutcome {
		return reply
	}
	switch reply.Verdict.Reason {
	case outcome.KeyMissing, outcome.KeyUnknown, outcome.KeyWithdrawn, outcome.TokenInvalid, outcome.TokenForeign,
		outcome.RequestInvalid, outcome.GroupUnknown:
		return reply
	}
	message := "the outcome could not be read: " + string(reply.Verdict.Reason)
	reply.Verdict = outcome.NotKnown(outcome.OutcomeUnreadable).WithMessage(message)
	return reply
}

// admit checks everything that needs no database and takes one rate token.
func (x *execution) admit(ctx context.Context, now time.Time, r Request) outcome.Verdict {
	id, reason := resolveRequestID(x.caller.RequestID, now)
	x.requestID = id
	if reason != "" {
		return outcome.NotRun(reason)
	}
	if x.caller.KeyHash == "" {
		return outcome.NotRun(outcome.KeyMissing)
	}
	if !now.Before(x.deadline) {
		return outcome.NotRun(outcome.DeadlineExceeded)
	}
	organisation, reason := x.ports.Keys.Organisation(x.caller.KeyHash)
	if reason == outcome.KeyUnknown && !x.ports.Freshness.Fresh(now) {
		// A new life has no keys yet; key_unknown would tell the caller not to repeat the request.
		reason = outcome.InstanceNotFresh
	}
	if reason != "" {
		return outcome.NotRun(reason)
	}
	x.organisation = organisation
	if reason := x.refusalReason(); reason != "" {
		return outcome.NotRun(reason)
	}
	if reason := x.openSession(ctx); reason != "" {
		return outcome.NotRun(reason)
	}
	if v := x.checkRequest(r); v.Outcome != outcome.Done {
		return v
	}
	if reason := x.ports.Rates.Take(ctx, organisation); reason != "" {
		return outcome.NotRun(reason)
	}
	x.budget.Request()
	return outcome.Verdict{Outcome: outcome.Done}
}

// open verifies the session token, or starts a session.
func (x *execution) openSession(ctx context.Context) outcome.Reason {
	if x.caller.Token == "" {
		id, err := token.NewSession()
		if err != nil {
			return outcome.RequestInvalid
		}
		x.session = token.New(x.organisation, id).WithConfiguration(x.ports.Configuration.Version())
		return ""
	}
	session, err := x.ports.Signer.Decode(x.caller.Token)
	if err != nil {
		return outcome.TokenInvalid
	}
	if session.Organisation() != x.organisation {
		return outcome.TokenForeign
	}
	if !x.ports.Configuration.EnsureVersion(ctx, session.Configuration()) {
		return outcome.ConfigurationBehind
	}
	x.session = session.WithConfiguration(x.ports.Configuration.Version())
	return ""
}

func (x *execution) checkRequest(r Request) outcome.Verdict {
	group := ""
	switch r := r.(type) {
	case Statement:
		if v := x.checkStatementAndSize(r.Statement); v.Outcome != outcome.Done {
			return v
		}
		group = r.Group
	case Run:
		if v := x.checkStatementAndSize(r.Statement); v.Outcome != outcome.Done {
			return v
		}
	case Begin:
		group = r.Group
	case Outcome:
		if _, err := uuid.Parse(r.ID); err != nil {
			return outcome.NotRun(outcome.RequestInvalid)
		}
		group = r.Group
	}
	if id, ok := transactionID(r); ok {
		t, err := x.ports.Signer.DecodeTransaction(id)
		if err != nil {
			return outcome.NotRun(outcome.TransactionUnknown)
		}
		if t.Organisation != x.organisation || t.Session != x.session.Session() {
			return outcome.NotRun(outcome.TransactionForeign)
		}
		x.transaction, group = t, t.Group
	}
	if _, ok := x.group(group); !ok {
		return outcome.NotRun(outcome.GroupUnknown)
	}
	if x.session.FullFor(group) {
		return outcome.NotRun(outcome.RequestTooLarge).WithMessage("the session covers too many groups; start a new one")
	}
	return outcome.Verdict{Outcome: outcome.Done}
}

// checkText checks a statement. Its size is bounded by the configuration that the session has seen, or a newer one.
func (x *execution) checkStatementAndSize(s driver.Statement) outcome.Verdict {
	if reason := checkStatement(s); reason != "" {
		return outcome.NotRun(reason)
	}
	if limit := x.limits().StatementBytes; limit > 0 && int64(len(s.SQL)) > limit {
		return outcome.NotRun(outcome.RequestTooLarge).WithMessage("statement over the limit")
	}
	return outcome.Verdict{Outcome: outcome.Done}
}

func (x *execution) limits() Limits { return x.ports.Configuration.Limits(x.organisation) }

// tooLarge reports whether an answer is over the organisation's limit.
func (x *execution) exceedsAnswerLimit(r driver.Result) bool {
	limit := x.limits().AnswerBytes
	return limit > 0 && r.Size() > limit
}

// cut returns the result of a write without its rows if they are over the limit; the write has taken effect.
func (x *execution) dropOversizedRows(r driver.Result) driver.Result {
	if x.exceedsAnswerLimit(r) {
		r.Rows, r.Truncated = nil, true
	}
	return r
}

// group returns what the instance knows of a group now.
func (x *execution) group(name string) (*group.State, bool) { return x.ports.Groups.View().Group(name) }

// term returns the newest term known of a group, whether or not its primary is known.
func (x *execution) term(name string) uint64 {
	g, ok := x.group(name)
	if !ok {
		return 0
	}
	return g.Term
}

func (x *execution) dispatch(ctx context.Context, r Request) Reply {
	switch r := r.(type) {
	case Statement:
		if r.Write {
			return x.write(ctx, r)
		}
		return x.read(ctx, r)
	case Begin:
		return x.begin(ctx, r)
	case Run:
		return x.run(ctx, r)
	case Commit:
		return x.commit(ctx, r)
	case Rollback:
		return x.rollback(ctx)
	case Outcome:
		return x.outcome(ctx, r)
	}
	return Reply{Verdict: outcome.NotRun(outcome.RequestInvalid)}
}

// pause waits and reports false if the deadline passes first.
func (x *execution) pause(ctx context.Context, d time.Duration) bool {
	if !x.ports.Clock.Now().Add(d).Before(x.deadline) {
		return false
	}
	return x.ports.Clock.Sleep(ctx, d)
}

// seen moves the session to a position that the caller's answer covers. The question was sent at asked.
func (x *execution) observePosition(group, server string, p driver.Position, requestedAt time.Time) {
	x.session = x.session.WithPosition(group, p)
	x.ports.Groups.ObservePosition(server, p, requestedAt)
}
