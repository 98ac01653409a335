package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/session/outcome"
	"tanagercross/internal/tool/ledger"
)

const (
	firstBackOff = 20 * time.Millisecond
	maxBackOff   = time.Second
	// maxUnresolved is the bound of the caller API on unresolved ids.
	maxUnresolved = 16
)

// session is one caller. It is used by one goroutine.
type session struct {
	run          *run
	organisation Organisation
	random       *rand.Rand
	instances    []*instance
	name         string
	token        string
	unresolved   []string // writes whose outcome stayed unknown
	requests     int
}

func newSession(r *run, o Organisation, random *rand.Rand) *session {
	return &session{
		run: r, organisation: o, random: random, instances: r.usable(o), name: fmt.Sprintf("%s-%d", o.Name, r.sessions.Add(1)),
	}
}

// request sends one request of a random kind.
func (s *session) request(ctx context.Context) {
	o := s.run.options
	s.requests++
	group := o.Groups[s.random.IntN(len(o.Groups))]
	started := time.Now()
	kind, done := readOperation, false
	switch {
	case s.random.Float64() >= o.WriteShare:
		done = s.read(ctx, group)
	case s.random.Float64() < o.TransactionShare:
		kind, done = transactionOperation, s.transaction(ctx, group)
	default:
		kind, done = writeOperation, s.write(ctx, group)
	}
	if done {
		s.run.latencies.record(kind, time.Since(started))
	}
}

func (s *session) read(ctx context.Context, group string) bool {
	id := newID()
	b := statement("read", ReadSQL, s.organisation.Name, s.name, id)
	if pull := s.organisation.Pull; pull > 0 {
		b = statement("read", PullSQL, s.organisation.Name, s.name, id, strconv.FormatFloat(pull.Seconds(), 'f', -1, 64))
	}
	aged := s.random.Float64() < s.run.options.AgedShare
	if aged {
		age := s.run.options.MaxAge.Milliseconds()
		b.MaxAgeMS = &age
	}
	b.Unresolved = s.unresolved
	return s.attempts(ctx, call{group: group, id: id, statement: b}, func(r reply) {
		e := s.entry(ledger.Read, group, id, r)
		e.Aged = aged
		if r.done() {
			e.ServedBy = driver.Role(r.ServedBy)
			e.Echo, e.Seen = tags(r)
		}
		s.run.ledger.Record(e)
	}).done()
}

func (s *session) write(ctx context.Context, group string) bool {
	id := newID()
	c := call{group: group, id: id, statement: writeStatement(InsertSQL, s.organisation.Name, s.name, id)}
	last := s.attempts(ctx, c, func(r reply) { s.run.ledger.Record(s.entry(ledger.Write, group, id, r)) })
	if last.Outcome == outcome.Unknown {
		s.keepUnresolved(id)
	}
	return last.done()
}

// transaction inserts the tag in an interactive transaction that is committed under the request id. Until the commit is
// sent, a failure means that the write was not run.
func (s *session) transaction(ctx context.Context, group string) bool {
	id := newID()
	record := func(r reply) { s.run.ledger.Record(s.entry(ledger.Write, group, id, r)) }
	step := func(c call) reply {
		r := s.send(ctx, c)
		s.run.ledger.Record(s.entry(ledger.Step, group, c.id, r))
		return r
	}
	begun := step(call{path: "/v1/groups/" + url.PathEscape(group) + "/transactions", id: newID()})
	if !begun.done() {
		return false
	}
	path := "/v1/transactions/" + url.PathEscape(begun.Transaction)
	b := &body{SQL: InsertSQL, Arguments: writeStatement("", s.organisation.Name, s.name, id).Arguments}
	if inserted := step(call{path: path + "/statements", id: newID(), statement: b}); !inserted.done() {
		inserted.Outcome = outcome.NotRunOutcome
		record(inserted)
		step(call{path: path + "/rollback", id: newID()})
		return false
	}
	committed := s.send(ctx, call{path: path + "/commit", id: id})
	record(committed)
	for n := 1; committed.Outcome == outcome.Unknown && n < s.run.options.Attempts; n++ {
		s.backOff(ctx, n, committed)
		committed = s.ask(ctx, group, id)
	}
	if committed.Outcome == outcome.Unknown {
		s.keepUnresolved(id)
	}
	return committed.done()
}

// ask asks for the outcome of an earlier write. Only done settles it; a refusal may be that of the question.
func (s *session) ask(ctx context.Context, group, id string) reply {
	s.run.repeated.Add(1)
	path := "/v1/groups/" + url.PathEscape(group) + "/requests/" + url.PathEscape(id)
	r := s.send(ctx, call{method: http.MethodGet, path: path, id: newID()})
	if r.done() {
		s.run.ledger.Record(s.entry(ledger.Write, group, id, r))
		return r
	}
	s.run.ledger.Record(s.entry(ledger.Step, group, newID(), r))
	r.Outcome = outcome.Unknown
	return r
}

// attempts sends a call until it is done, refused for good, or out of attempts. It returns the last reply, or unknown if
// an earlier attempt was unknown and none was done.
func (s *session) attempts(ctx context.Context, c call, record func(reply)) reply {
	unknown := false
	for n := 1; ; n++ {
		r := s.send(ctx, c)
		record(r)
		unknown = unknown || r.Outcome == outcome.Unknown
		c.repeat = unknown
		if r.done() {
			return r
		}
		if n >= s.run.options.Attempts || ctx.Err() != nil || !repeatable(r) {
			if unknown {
				r.Outcome = outcome.Unknown
			}
			return r
		}
		s.run.repeated.Add(1)
		s.backOff(ctx, n, r)
	}
}

// repeat sends a call without recording it.
func (s *session) repeat(ctx context.Context, c call) reply {
	return s.attempts(ctx, c, func(reply) {})
}

// repeatable says whether the documented rules allow the same request id again with a chance of success.
func repeatable(r reply) bool {
	if r.Outcome == outcome.Unknown {
		return true
	}
	switch r.Reason {
	case outcome.Draining, outcome.InstanceNotFresh, outcome.ConfigurationBehind, outcome.RetryBudgetExhausted:
		return true // another instance may take it
	}
	return r.Reason.Retryable()
}

// backOff waits with full jitter, and at least as long as the reply asks for.
func (s *session) backOff(ctx context.Context, attempt int, r reply) {
	longest := min(firstBackOff<<attempt, maxBackOff)
	wait := time.Duration(s.random.Int64N(int64(longest)))
	wait = max(wait, min(time.Duration(r.RetryAfterMS)*time.Millisecond, maxBackOff))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (s *session) keepUnresolved(id string) {
	s.unresolved = append(s.unresolved, id)
	if len(s.unresolved) > maxUnresolved {
		s.unresolved = s.unresolved[1:]
	}
}

func (s *session) entry(kind ledger.Kind, group, id string, r reply) ledger.Entry {
	return ledger.Entry{
		Organisation: s.organisation.Name, Session: s.name, Group: group, RequestID: id, Instance: r.instance,
		Key: s.organisation.Key.Hash().String(), Kind: kind, Outcome: r.Outcome, Reason: r.Reason, Started: r.started, Ended: r.ended,
	}
}

// tags returns the echo and the session's tags of a read's answer.
func tags(r reply) (echo ledger.Tag, seen []ledger.Tag) {
	text := func(c cell) string {
		if c.Value == nil {
			return ""
		}
		return *c.Value
	}
	for _, row := range r.Rows {
		if len(row.Cells) != 4 {
			continue
		}
		t := ledger.Tag{Organisation: text(row.Cells[1]), Session: text(row.Cells[2]), RequestID: text(row.Cells[3])}
		switch text(row.Cells[0]) {
		case "0":
			echo = t
		case "1":
			seen = append(seen, t)
		}
	}
	return echo, seen
}
