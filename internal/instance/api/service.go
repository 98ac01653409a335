package api

import (
	"context"
	"sync/atomic"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/gen/about"
	"tanagercross/internal/gen/statements"
	"tanagercross/internal/gen/transactions"
	"tanagercross/internal/session/outcome"
)

type statementService struct{ executor Executor }

var _ statements.Service = statementService{}

// Run implements statements.Service.
func (s statementService) Run(ctx context.Context, p *statements.RunPayload) (*statements.Answer, error) {
	x := exchangeOf(ctx)
	r := StatementRequest{
		Call: x.call(p.SessionToken, p.DeadlineMs).repeated(p.Repeat), Group: p.Group, Mode: Mode(p.Mode),
		Statement: driver.Statement{SQL: p.SQL}, Primary: p.Primary != nil && *p.Primary, Unresolved: p.Unresolved,
	}
	for _, c := range p.Arguments {
		r.Statement.Arguments = append(r.Statement.Arguments, statementCell(c))
	}
	if p.MaxAgeMs != nil {
		age := fromMilliseconds(*p.MaxAgeMs)
		r.MaxAge = &age
	}
	if r.Mode == Write && (r.MaxAge != nil || r.Primary) {
		return nil, &refusal{body: x.refuse(outcome.RequestInvalid, "max_age_ms and primary belong to reads; allowed for mode write: neither")}
	}
	for _, id := range p.Unresolved {
		if _, valid := requestID(id); !valid || id == "" {
			return nil, &refusal{body: x.refuse(outcome.RequestInvalid, "unresolved must hold UUIDv7 in lower case")}
		}
	}
	x.group = p.Group
	return statementAnswer(x, s.executor.Statement(ctx, r))
}

// Outcome implements statements.Service.
func (s statementService) Outcome(ctx context.Context, p *statements.OutcomePayload) (*statements.Answer, error) {
	x := exchangeOf(ctx)
	if _, valid := requestID(p.ID); !valid {
		return nil, &refusal{body: x.refuse(outcome.RequestInvalid, "the request id in the path is not a UUIDv7")}
	}
	// The path of a question after an unknown outcome names the earlier write, not the question.
	x.requestID = p.ID
	x.header.Set(requestHeader, p.ID)
	x.group = p.Group
	r := OutcomeRequest{Call: x.call(p.SessionToken, p.DeadlineMs), Group: p.Group, ID: p.ID}
	return statementAnswer(x, s.executor.Outcome(ctx, r))
}

type transactionService struct{ executor Executor }

var _ transactions.Service = transactionService{}

// Begin implements transactions.Service.
func (s transactionService) Begin(ctx context.Context, p *transactions.BeginPayload) (*transactions.Answer, error) {
	x := exchangeOf(ctx)
	return transactionAnswer(x, s.executor.Begin(ctx, BeginRequest{Call: x.call(p.SessionToken, p.DeadlineMs).repeated(p.Repeat), Group: p.Group}))
}

// Run implements transactions.Service.
func (s transactionService) Run(ctx context.Context, p *transactions.RunPayload) (*transactions.Answer, error) {
	x := exchangeOf(ctx)
	r := StepRequest{Call: x.call(p.SessionToken, p.DeadlineMs).repeated(p.Repeat), Transaction: p.ID, Statement: driver.Statement{SQL: p.SQL}}
	for _, c := range p.Arguments {
		r.Statement.Arguments = append(r.Statement.Arguments, transactionCell(c))
	}
	return transactionAnswer(x, s.executor.Step(ctx, r))
}

// Commit implements transactions.Service.
func (s transactionService) Commit(ctx context.Context, p *transactions.CommitPayload) (*transactions.Answer, error) {
	x := exchangeOf(ctx)
	r := EndRequest{Call: x.call(p.SessionToken, p.DeadlineMs).repeated(p.Repeat), Transaction: p.ID, Commit: true}
	return transactionAnswer(x, s.executor.End(ctx, r))
}

// Rollback implements transactions.Service.
func (s transactionService) Rollback(ctx context.Context, p *transactions.RollbackPayload) (*transactions.Answer, error) {
	x := exchangeOf(ctx)
	r := EndRequest{Call: x.call(p.SessionToken, p.DeadlineMs).repeated(p.Repeat), Transaction: p.ID}
	return transactionAnswer(x, s.executor.End(ctx, r))
}

type aboutService struct {
	executor Executor
	draining *atomic.Bool
}

var _ about.Service = aboutService{}

// About implements about.Service.
func (s aboutService) About(ctx context.Context) (*about.AboutResult, error) {
	groups := s.executor.About(ctx).Groups
	if groups == nil {
		groups = []string{}
	}
	return &about.AboutResult{Name: about.APIName, APIVersion: about.APIVersion, Groups: groups}, nil
}

// Health implements about.Service. A process that answers is healthy; Ready says whether it takes requests.
func (s aboutService) Health(context.Context) error { return nil }

// Ready implements about.Service.
func (s aboutService) Ready(ctx context.Context) error {
	reason := outcome.Draining
	if !s.draining.Load() {
		reason = s.executor.Ready(ctx)
	}
	if reason == "" {
		return nil
	}
	return &refusal{body: exchangeOf(ctx).refuse(reason, "the instance takes no requests: "+string(reason))}
}

func statementCell(c *statements.Cell) *string {
	if c == nil {
		return nil
	}
	return c.Value
}

func transactionCell(c *transactions.Cell) *string {
	if c == nil {
		return nil
	}
	return c.Value
}

func statementAnswer(x *exchange, r Reply) (*statements.Answer, error) {
	if err := x.record(r); err != nil {
		return nil, err
	}
	a := &statements.Answer{
		Outcome: string(outcome.Done), RequestID: x.requestID, SessionToken: r.SessionToken, Columns: r.Result.Columns,
		RowsAffected: &r.Result.RowsAffected, ServedBy: optional(string(r.ServedBy)), Replayed: flag(r.Result.Replayed),
		Truncated: flag(r.Result.Truncated), Transaction: optional(r.Transaction),
	}
	for _, row := range r.Result.Rows {
		cells := make([]*statements.Cell, len(row))
		for i, value := range row {
			cells[i] = &statements.Cell{Value: value}
		}
		a.Rows = append(a.Rows, &statements.Row{Cells: cells})
	}
	return a, nil
}

func transactionAnswer(x *exchange, r Reply) (*transactions.Answer, error) {
	if err := x.record(r); err != nil {
		return nil, err
	}
	a := &transactions.Answer{
		Outcome: string(outcome.Done), RequestID: x.requestID, SessionToken: r.SessionToken, Columns: r.Result.Columns,
		RowsAffected: &r.Result.RowsAffected, ServedBy: optional(string(r.ServedBy)), Replayed: flag(r.Result.Replayed),
		Truncated: flag(r.Result.Truncated), Transaction: optional(r.Transaction),
	}
	for _, row := range r.Result.Rows {
		cells := make([]*transactions.Cell, len(row))
		for i, value := range row {
			cells[i] = &transactions.Cell{Value: value}
		}
		a.Rows = append(a.Rows, &transactions.Row{Cells: cells})
	}
	return a, nil
}

func optional(text string) *string {
	if text == "" {
		return nil
	}
	return &text
}

func flag(set bool) *bool {
	if !set {
		return nil
	}
	return &set
}
