package daemon

import (
	"context"
	"time"

	"tanagercross/internal/fleet/configuration"
	"tanagercross/internal/instance/api"
	"tanagercross/internal/organisation/fairness"
	"tanagercross/internal/organisation/key"
	"tanagercross/internal/request/execution"
	"tanagercross/internal/session/outcome"
)

// retryAfter is how long callers are to wait after a refusal that another attempt can cure.
const retryAfter = 200 * time.Millisecond

// executor gives the caller API the entry path; it implements api.Executor.
type executor struct{ *Daemon }

// Statement implements api.Executor.
func (e executor) Statement(ctx context.Context, r api.StatementRequest) api.Reply {
	statement := execution.Statement{
		Caller: e.caller(r.Call), Group: r.Group, Write: r.Mode == api.Write, Statement: r.Statement,
		Primary: r.Primary, Unresolved: r.Unresolved,
	}
	if r.MaxAge != nil {
		statement.MaxAge = min(*r.MaxAge, e.valuesOfKey(r.Key).MaxAgeLimit)
		// Data of age zero is only at the primary.
		statement.Primary = statement.Primary || *r.MaxAge <= 0
	}
	if statement.Write && e.draining.Load() {
		return e.refuseDraining()
	}
	return e.execute(ctx, r.Key, statement)
}

// Outcome implements api.Executor.
func (e executor) Outcome(ctx context.Context, r api.OutcomeRequest) api.Reply {
	return e.execute(ctx, r.Key, execution.Outcome{Caller: e.caller(r.Call), Group: r.Group, ID: r.ID})
}

// Begin implements api.Executor.
func (e executor) Begin(ctx context.Context, r api.BeginRequest) api.Reply {
	if e.draining.Load() {
		return e.refuseDraining()
	}
	return e.execute(ctx, r.Key, execution.Begin{Caller: e.caller(r.Call), Group: r.Group})
}

// Step implements api.Executor.
func (e executor) Step(ctx context.Context, r api.StepRequest) api.Reply {
	run := execution.Run{Caller: e.caller(r.Call), Transaction: r.Transaction, Statement: r.Statement}
	return e.execute(ctx, r.Key, run)
}

// End implements api.Executor.
func (e executor) End(ctx context.Context, r api.EndRequest) api.Reply {
	if r.Commit {
		return e.execute(ctx, r.Key, execution.Commit{Caller: e.caller(r.Call), Transaction: r.Transaction})
	}
	return e.execute(ctx, r.Key, execution.Rollback{Caller: e.caller(r.Call), Transaction: r.Transaction})
}

// About implements api.Executor.
func (e executor) About(context.Context) api.About { return api.About{Groups: e.table.View().Names()} }

// Ready implements api.Executor.
func (e executor) Ready(context.Context) outcome.Reason {
	switch {
	case e.draining.Load():
		return outcome.Draining
	case !e.fleet.Fresh(e.clock.Now()):
		return outcome.InstanceNotFresh
	case len(e.table.View().Names()) == 0:
		return outcome.NoServer
	}
	return ""
}

func (e executor) execute(ctx context.Context, k key.Hash, r execution.Request) api.Reply {
	e.running.Add(1)
	defer e.running.Add(-1)
	reply := e.engine.Execute(ctx, r)
	answer := api.Reply{
		Verdict: reply.Verdict, Organisation: e.organisationOf(k), Group: reply.Group, SessionToken: reply.Token,
		Result: reply.Result, ServedBy: reply.ServedBy, Transaction: reply.Transaction,
	}
	if reply.Verdict.Reason.Retryable() || reply.Verdict.Reason == outcome.RateExceeded {
		answer.RetryAfter = retryAfter
	}
	return answer
}

// caller bounds the deadline by the configuration of the organisation.
func (e executor) caller(c api.Call) execution.Caller {
	values := e.valuesOfKey(c.Key)
	wait := c.Deadline
	if wait <= 0 {
		wait = values.DefaultDeadline
	}
	caller := execution.Caller{
		Token: c.SessionToken, RequestID: c.RequestID, Repeat: c.Repeat, Deadline: e.clock.Now().Add(min(wait, values.MaxDeadline)),
	}
	if !c.Key.IsZero() {
		caller.KeyHash = c.Key.String()
	}
	return caller
}

func (e executor) refuseDraining() api.Reply {
	verdict := outcome.NotRun(outcome.Draining).WithMessage(
		"the instance is shutting down; running work ends within " + e.settings.DrainDeadline.String())
	return api.Reply{Verdict: verdict, RetryAfter: retryAfter}
}

func (d *Daemon) organisationOf(k key.Hash) string {
	entry, err := d.fleet.view().keys.Find(k)
	if err != nil {
		return ""
	}
	return entry.Organisation
}

func (d *Daemon) valuesOfKey(k key.Hash) configuration.Values { return d.valuesOf(d.organisationOf(k)) }

// valuesOf returns the configuration in force for an organisation.
func (d *Daemon) valuesOf(organisation string) configuration.Values {
	return d.fleet.view().values.For(organisation)
}

// shareOf returns an organisation's part of the queues of this instance's lanes.
func (d *Daemon) shareOf(organisation string) fairness.Share {
	v := d.valuesOf(organisation)
	return fairness.Share{Weight: int(v.Weight), MaxQueued: int(v.QueueLength)}
}

// transactionLimits returns how long a transaction of an organisation may be idle and open.
func (d *Daemon) transactionLimits(organisation string) (idle, total time.Duration) {
	v := d.valuesOf(organisation)
	return v.TransactionIdle, v.TransactionTotal
}

// keys implements execution.Keys.
type keys struct{ *Daemon }

// Organisation implements execution.Keys.
func (k keys) Organisation(text string) (string, outcome.Reason) {
	hash, err := key.ParseHash(text)
	if err != nil {
		return "", outcome.KeyUnknown
	}
	entry, err := k.fleet.view().keys.Find(hash)
	switch key.KindOf(err) {
	case "":
		return entry.Organisation, ""
	case key.Withdrawn:
		return "", outcome.KeyWithdrawn
	}
	return "", outcome.KeyUnknown
}

// versions implements execution.Configuration.
type versions struct{ *Daemon }

// Version implements execution.Configuration.
func (v versions) Version() uint64 { return v.fleet.view().configurationVersion }

// Limits implements execution.Configuration.
func (v versions) Limits(organisation string) execution.Limits {
	values := v.valuesOf(organisation)
	limits := execution.Limits{
		StatementBytes: values.MaxStatementBytes, AnswerBytes: values.MaxAnswerBytes, ReplicaWait: values.ReplicaWait,
	}
	if values.ReplicaWait <= 0 {
		limits.ReplicaWait = -1
	}
	return limits
}

// EnsureVersion implements execution.Configuration.
func (v versions) EnsureVersion(ctx context.Context, version uint64) bool {
	return v.reach(ctx, version)
}
