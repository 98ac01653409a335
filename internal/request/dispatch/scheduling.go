package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/catalog"
	"tanagercross/internal/request/admission"
	"tanagercross/internal/request/placement"
	"tanagercross/internal/request/retry"
)

// Retry budget of the instance.
const (
	retriesPerServed = 0.2
	retriesPerSecond = 5
	priorityReserve  = 0.25
)

// Reasons for which a retry or a hedge is denied.
const (
	deniedByBudget  = "budget"  // the budget of the instance is used up
	deniedByRefusal = "refused" // the server named a time to retry that has not passed
)

// usualServers is the number of servers up to which an admission allocates nothing.
const usualServers = 16

// scheduling holds the state of the decisions under load. A nil scheduling records nothing.
type scheduling struct {
	estimates placement.Estimates
	admission admission.Controller
	budget    *retry.Budget
}

func newScheduling(now time.Duration) *scheduling {
	policy := retry.Policy{BudgetPerRequest: retriesPerServed, BudgetPerSecond: retriesPerSecond, PriorityReserve: priorityReserve}
	return &scheduling{budget: retry.NewBudget(policy, wallTime(now))}
}

// wallTime returns a reading of the instance's clock in the form that the budget takes.
func wallTime(now time.Duration) time.Time { return time.Unix(0, int64(now)) }

// sent records that a call is sent to a server.
func (s *scheduling) sent(now time.Duration, server string, c statement.Call) {
	if s != nil {
		s.estimates.Sent(now, server, c.Priority)
	}
}

// answered records the load that an answer reports, and the latency of reads.
func (s *scheduling) answered(now time.Duration, server string, c statement.Call, a statement.Answer, took time.Duration) {
	if s == nil {
		return
	}
	followUp := c.Step == statement.Next || c.Step == statement.End
	s.estimates.Answered(now, server, placement.Attempt{Answer: a, Took: took, LoadOnly: followUp || c.Writes()})
}

// conclude adds what a served statement allows to the retry budget, and returns the answer for the caller. A server's
// refusal that concerns the choice of the server says nothing to a caller; as the statement has not run, it becomes Busy.
func (s *scheduling) conclude(a statement.Answer) statement.Answer {
	if s == nil {
		return a
	}
	if a.OK() {
		s.budget.Request()
	}
	if a.Delivery == statement.Answered && (a.Code == statement.Behind || a.Code == statement.ReadOnly || a.Code == statement.WrongServer) {
		a.Code, a.Text = statement.Busy, string(a.Code)+": "+a.Text
	}
	return a
}

// retain drops what is known of servers that are not in the list.
func (s *scheduling) retain(servers catalog.Servers) {
	if s == nil {
		return
	}
	s.estimates.Retain(servers)
	s.admission.Retain(func(id string) bool {
		_, ok := servers.Server(id)
		return ok
	})
}

// choose returns the server for a call that any of the servers may run.
func (s *scheduling) choose(now time.Duration, servers []catalog.Server, leader, place string, c choice) (catalog.Server, bool) {
	if c.trial != "" && !slices.Contains(c.tried, c.trial) {
		if i := slices.IndexFunc(servers, func(v catalog.Server) bool { return v.ID == c.trial }); i >= 0 {
			return servers[i], true
		}
	}
	q := placement.Question{Servers: servers, Leader: leader, Place: place, Tried: c.tried, Priority: c.priority}
	return s.estimates.Choose(now, q, rand.Float64)
}

// recordLoad records the answer of an attempt for later choices.
func (d *Dispatcher) recordLoad(server string, c statement.Call, a statement.Answer, took time.Duration) {
	now := d.options.Boot()
	if d.scheduling != nil {
		d.scheduling.answered(now, server, c, a, took)
		return
	}
	if !c.Writes() {
		d.loadReports.record(now, server, a, took)
	}
}

// candidates returns the servers that may run a call: those of the group if a replica may, otherwise its leader.
func (d *Dispatcher) candidates(e eligibility, db catalog.Database, replica bool) []catalog.Server {
	if d.scheduling == nil {
		return nil
	}
	if replica {
		return e.servers(db.Group)
	}
	l, _ := d.table.Leader(db.Group)
	if s, ok := d.table.Servers().Server(l.Server); ok && e.permits(s) {
		return []catalog.Server{s}
	}
	return nil
}

// admit decides whether a call is sent to one of the servers that may run it. The answer has a code if it is refused.
// Otherwise trial is the server that it is to try first, or "".
func (d *Dispatcher) admit(db catalog.Database, c statement.Call, servers []catalog.Server) (refusal statement.Answer, trial string) {
	if d.scheduling == nil {
		return statement.Answer{}, ""
	}
	limit := Timeout(db)
	if c.Goal > 0 {
		limit = min(limit, c.Goal)
	}
	l, _ := d.table.Leader(db.Group)
	now := d.options.Boot()
	var room [usualServers]placement.Report
	reports := room[:0]
	for _, s := range servers {
		if !s.Leaving || s.ID == l.Server {
			reports = append(reports, d.scheduling.estimates.Report(now, s.ID, c.Priority))
		}
	}
	q := admission.Question{Session: c.Session, Limit: limit, Reports: reports, Instances: d.table.Roster().Len()}
	v := d.scheduling.admission.Decide(now, q, rand.Float64)
	d.options.Observer.Admission(c, db.Name, v)
	if !v.Admitted {
		return statement.Refused(statement.Busy, v.Text()), ""
	}
	return statement.Answer{}, v.Trial
}

// withGoalLeft returns a copy of a call with the time that is left of its latency goal, which was set at a moment. It is
// never 0, which stands for no goal.
func (d *Dispatcher) withGoalLeft(c statement.Call, set time.Duration) statement.Call {
	if c.Goal > 0 {
		c.Goal = max(time.Millisecond, c.Goal-(d.options.Boot()-set))
	}
	return c
}

// allowRetry takes a retry or a hedge of a call from the budget of the instance, and returns false if there is none.
func (d *Dispatcher) allowRetry(c statement.Call) bool {
	if d.scheduling == nil || d.scheduling.budget.TakeFor(wallTime(d.options.Boot()), c.Priority) {
		return true
	}
	d.options.Observer.RetryDenied(c, deniedByBudget)
	return false
}

// allowRepeat is allowRetry for a retry at the same server after a pause. It returns false also if the server's answer is a
// refusal by overload that names a longer time.
func (d *Dispatcher) allowRepeat(c statement.Call, a statement.Answer, pause time.Duration) bool {
	if d.scheduling != nil && overloadTime(a) > pause {
		d.options.Observer.RetryDenied(c, deniedByRefusal)
		return false
	}
	return d.allowRetry(c)
}

// overloadTime returns the time to retry that a refusal by overload names, or 0.
func overloadTime(a statement.Answer) time.Duration {
	if a.Delivery == statement.Unanswered || a.Code != statement.Busy && a.Code != statement.TooMany {
		return 0
	}
	return admission.RetryAfter(a.Text)
}

// refusal is a refusal of a read by overload.
type refusal struct {
	server string
	until  time.Duration // end of the time that it names
}

// appendRefusal adds the answer of a server, if it is a refusal by overload that names a time.
func (d *Dispatcher) appendRefusal(list []refusal, server string, a statement.Answer) []refusal {
	after := overloadTime(a)
	if d.scheduling == nil || after == 0 {
		return list
	}
	return append(list, refusal{server: server, until: d.options.Boot() + after})
}

// allowAfter reports whether a call may be sent to a server after the given refusals.
func (d *Dispatcher) allowAfter(c statement.Call, server string, refusals []refusal) bool {
	now := d.options.Boot()
	if slices.ContainsFunc(refusals, func(r refusal) bool { return r.server == server && now < r.until }) {
		d.options.Observer.RetryDenied(c, deniedByRefusal)
		return false
	}
	return true
}

// ExpectedWait returns the expected wait of a call of a priority at a server, as this instance knows it. It returns false
// without a recent report.
func (d *Dispatcher) ExpectedWait(s catalog.Server, priority uint8) (time.Duration, bool) {
	if d.scheduling == nil {
		return 0, false
	}
	x := d.scheduling.estimates.Expected(d.options.Boot(), s, d.table.Self().Place, priority)
	return x.Wait, x.Reported
}
