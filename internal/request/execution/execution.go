// Package execution runs the requests of callers: it checks the API key, the freshness of the instance, the session and
// the rate limit, chooses a server, makes the attempts and determines the outcome.
//
// It depends on the rest of the instance only through the interfaces in ports.go and keeps no state of a request after
// its reply.
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
// The outcome not_run means that this request had no effect. If the outcome of a write is unknown, its record is looked
// up at the current primary until the deadline. The record is stored in the same transaction as the write, so a record
// that is found proves that the write was done. A missing record proves that the write was not run only if a majority
// holds the state that was read, in a newer term and on another server than the write. In the same term, or on the same
// server, the write may still be running.
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
	DefaultMaxDeadline       = 60 * time.Second       // longest deadline that a caller may set
	DefaultPrimaryWait       = 5 * time.Second        // longest wait for a new primary
	DefaultShortPrimaryWait  = time.Second            // wait for a new term while the old primary may still be alive
	DefaultTermPollInterval  = 10 * time.Millisecond  // between two checks for a newer term
	DefaultLookupInterval    = 25 * time.Millisecond  // first interval between lookups of a record; it doubles
	DefaultMaxLookupInterval = 400 * time.Millisecond // longest interval between lookups of a record
)

// Options sets time limits and the retry policy. Zero fields take the defaults.
type Options struct {
	Retry             retry.Policy
	Deadline          time.Duration // for callers that set none
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

// Engine executes requests and holds the retry budget that they share. It is safe for concurrent use.
type Engine struct {
	ports   Ports
	options Options
	budget  *retry.Budget
}

// New returns an engine that uses the given ports. All fields of Ports except Place must be set.
func New(p Ports, o Options) *Engine {
	o = o.withDefaults()
	return &Engine{ports: p, options: o, budget: retry.NewBudget(o.Retry, p.Clock.Now())}
}

// execution is the state of one request in progress.
type execution struct {
	*Engine
	caller       Caller
	requestID    string
	organisation string
	session      token.Token
	transaction  token.Transaction // set for a request inside a transaction
	deadline     time.Time
}

// Execute runs a request and returns its outcome, with a new session token if the session is known. The deadline is the
// caller's, at most MaxDeadline from now, or that of ctx if it is earlier.
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

// encodeToken returns the text of the session token, or "" if the request was refused before its session was known.
func (x *execution) encodeToken() string {
	if x.session.Session() == "" {
		return ""
	}
	text, err := x.ports.Signer.Encode(x.session)
	if err != nil {
		return "" // checkRequest refuses requests that would make the token too large
	}
	return text
}

// executeChecked checks the freshness of the instance and the key before the request uses a database and again before
// the reply is returned. A process that was paused in between must not answer from expired state.
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

// repeatedVerdict returns the verdict of a request that the caller repeats because an earlier attempt has an unknown
// outcome. A refusal of this attempt says nothing about the earlier one, so the outcome of a write stays unknown. Only
// a record that is found, or a request id that belongs to another request, decides it.
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

// refusalReason returns why the instance may not answer the caller now, or "": it is not fresh, or the key is no longer
// valid for the organisation.
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

// withholdReply replaces a reply that must not be given because refusalReason returned a reason. A request that may
// have taken effect becomes unknown, other requests become not_run. A transaction that was just opened is rolled back.
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

// unreadableLookup turns the refusal of an outcome lookup into an unknown outcome, because a caller could read not_run
// as the outcome of the write. Refusals that only the caller can correct are kept. Other replies are not changed.
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

// admit makes all checks that need no database and takes one token of the organisation's rate. It sets the request id,
// the organisation and the session of x.
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
		// An instance that has just started has not read the keys yet; key_unknown would tell the caller not to repeat
		// the request.
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

// openSession verifies the session token and makes sure that the instance has the configuration that the session has
// seen. Without a token it starts a new session.
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

// checkRequest checks the statement, the ids, the transaction and the group of a request, and sets x.transaction.
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

// group returns the state of a group as the instance knows it now.
func (x *execution) group(name string) (*group.State, bool) { return x.ports.Groups.View().Group(name) }

// term returns the newest term known of a group, whether or not its primary is known.
func (x *execution) term(name string) uint64 {
	g, ok := x.group(name)
	if !ok {
		return 0
	}
	return g.Term
}

// dispatch runs an admitted request.
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

// pause waits for d. It reports false, without a wait, if the deadline would pass first, and false if ctx ends.
func (x *execution) pause(ctx context.Context, d time.Duration) bool {
	if !x.ports.Clock.Now().Add(d).Before(x.deadline) {
		return false
	}
	return x.ports.Clock.Sleep(ctx, d)
}

// observePosition records a position that a server returned with its answer, in the session and in the view of the
// group. The operation was sent at requestedAt.
func (x *execution) observePosition(group, server string, p driver.Position, requestedAt time.Time) {
	x.session = x.session.WithPosition(group, p)
	x.ports.Groups.ObservePosition(server, p, requestedAt)
}
