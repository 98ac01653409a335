package relay

import (
	"math"
	"time"

	"github.com/rotisserie/eris"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/statement"
	"tanagercross/internal/fleet/evacuation"
	"tanagercross/internal/fleet/view"
	relayv1 "tanagercross/internal/genproto/relay/v1"
	"tanagercross/internal/organisation/allotment"
)

// Kinds of statements as encoded in ExecuteRequest.
const (
	kindRead uint32 = iota
	kindWrite
	kindExecute
	kindCommit
	kindRollback
)

// ageMilliseconds returns the time from moment to now in milliseconds, rounded up so that no age shrinks. For an unknown
// moment (0 or less) it returns the maximum, which stands for unknown.
func ageMilliseconds(now, moment time.Duration) uint32 {
	if moment <= 0 {
		return math.MaxUint32
	}
	return uint32(min(int64(math.MaxUint32-1), max(0, (now-moment).Milliseconds()+1)))
}

// timeFromAge is the inverse of ageMilliseconds on the clock of the receiver. It returns 0 for an unknown age.
func timeFromAge(now time.Duration, age uint32) time.Duration {
	if age == math.MaxUint32 {
		return 0
	}
	return max(1, now-time.Duration(age)*time.Millisecond)
}

// encodePosition returns nil for the zero position.
func encodePosition(p driver.Position) *relayv1.Position {
	if p == (driver.Position{}) {
		return nil
	}
	return &relayv1.Position{Term: p.Term, Index: p.Index}
}

func decodePosition(p *relayv1.Position) driver.Position {
	return driver.Position{Term: p.GetTerm(), Index: p.GetIndex()}
}

// encodeCall returns the request that runs a call on a server. It fails for statements that are never forwarded, such as
// Begin.
func encodeCall(server string, c statement.Call) (*relayv1.ExecuteRequest, error) {
	r := &relayv1.ExecuteRequest{
		Server: server, Organisation: c.Organisation, Session: c.Session, Transaction: c.Transaction,
		Step: uint32(c.Step), Scope: uint32(c.Scope), ReadOnly: c.ReadOnly, After: encodePosition(c.After),
		MaximumAgeMilliseconds: uint32(c.MaximumAge.Milliseconds()), Id: []byte(c.ID),
		TimeoutMilliseconds: uint32(c.Timeout.Milliseconds()),
		Priority:            uint32(c.Priority), OrganisationPriority: uint32(c.OrganisationPriority),
		GoalMilliseconds: uint32(max(0, c.Goal.Milliseconds())),
	}
	switch b := c.Body.(type) {
	case statement.Read:
		r.Kind, r.Arguments = kindRead, []byte(b.Arguments)
	case statement.Write:
		r.Kind, r.Arguments = kindWrite, []byte(b.Arguments)
	case statement.Execute:
		r.Kind, r.Arguments = kindExecute, []byte(b.Arguments)
	case statement.Commit:
		r.Kind = kindCommit
	case statement.Rollback:
		r.Kind = kindRollback
	default:
		return nil, eris.Errorf("statement %T is not forwarded", c.Body)
	}
	for _, v := range c.Values {
		r.Values = append(r.Values, &relayv1.Value{Name: []byte(v.Name), Value: []byte(v.Value)})
	}
	if p := c.Preparation; p != nil {
		r.Preparation = &relayv1.Preparation{Name: []byte(p.Name), Writes: p.Writes, Shape: []byte(p.Shape)}
	}
	return r, nil
}

// decodeCall fails if an enum value is out of range or an Execute statement lacks its preparation.
func decodeCall(r *relayv1.ExecuteRequest) (statement.Call, error) {
	c := statement.Call{
		Organisation: r.Organisation, Session: r.Session, Transaction: r.Transaction, Step: statement.Step(r.Step),
		Scope: statement.Scope(r.Scope), ReadOnly: r.ReadOnly, After: decodePosition(r.After),
		MaximumAge: time.Duration(r.MaximumAgeMilliseconds) * time.Millisecond, ID: string(r.Id),
		Timeout:  time.Duration(r.TimeoutMilliseconds) * time.Millisecond,
		Priority: uint8(min(r.Priority, math.MaxUint8)), OrganisationPriority: uint8(min(r.OrganisationPriority, math.MaxUint8)),
		Goal: time.Duration(r.GoalMilliseconds) * time.Millisecond,
	}
	if c.Step > statement.End || c.Scope > statement.Replica {
		return c, eris.Errorf("step %d or scope %d", r.Step, r.Scope)
	}
	if p := r.Preparation; p != nil {
		c.Preparation = &statement.Preparation{Name: string(p.Name), Writes: p.Writes, Shape: string(p.Shape)}
	}
	for _, v := range r.Values {
		c.Values = append(c.Values, statement.Value{Name: string(v.Name), Value: string(v.Value)})
	}
	switch r.Kind {
	case kindRead:
		c.Body = statement.Read{Arguments: string(r.Arguments)}
	case kindWrite:
		c.Body = statement.Write{Arguments: string(r.Arguments)}
	case kindExecute:
		if c.Preparation == nil {
			return c, eris.New("execute without a preparation")
		}
		c.Body = statement.Execute{Name: c.Preparation.Name, Arguments: string(r.Arguments)}
	case kindCommit:
		c.Body = statement.Commit{}
	case kindRollback:
		c.Body = statement.Rollback{}
	default:
		return c, eris.Errorf("kind %d", r.Kind)
	}
	return c, nil
}

func encodeAnswer(a statement.Answer) *relayv1.ExecuteResponse {
	r := &relayv1.ExecuteResponse{
		Signature: []byte(a.Signature), Code: string(a.Code), Text: []byte(a.Text), State: uint32(a.State),
		Position: encodePosition(a.Position), Transaction: a.Transaction, Fate: uint32(a.Delivery), Load: encodeLoad(a.Load),
	}
	for _, row := range a.Rows {
		r.Rows = append(r.Rows, []byte(row))
	}
	return r
}

// decodeAnswer returns an answer that says the statement may have run if an enum value is out of range.
func decodeAnswer(r *relayv1.ExecuteResponse) statement.Answer {
	a := statement.Answer{
		Signature: string(r.Signature), Code: statement.Code(r.Code), Text: string(r.Text), State: statement.State(r.State),
		Position: decodePosition(r.Position), Transaction: r.Transaction, Delivery: statement.Delivery(r.Fate),
		Load: decodeLoad(r.Load),
	}
	for _, row := range r.Rows {
		a.Rows = append(a.Rows, string(row))
	}
	if a.Delivery > statement.Unanswered || a.State > statement.FailedTransaction {
		return statement.NoAnswer("the answer of an instance is not understood")
	}
	return a
}

// encodeLoad returns nil for an unknown load.
func encodeLoad(l *statement.Load) *relayv1.Load {
	if l == nil {
		return nil
	}
	out := &relayv1.Load{Running: uint32(max(0, l.Running)), Queued: uint32(max(0, l.Queued)), Slots: uint32(max(0, l.Slots))}
	for _, w := range l.Wait {
		out.WaitMilliseconds = append(out.WaitMilliseconds, uint32(min(math.MaxInt32, max(0, w.Milliseconds()))))
	}
	return out
}

// decodeLoad is the inverse of encodeLoad. Priorities that the sender did not name wait as long as the last one that it did.
func decodeLoad(l *relayv1.Load) *statement.Load {
	if l == nil {
		return nil
	}
	out := &statement.Load{Running: int(l.Running), Queued: int(l.Queued), Slots: int(l.Slots)}
	last := time.Duration(0)
	for n := range out.Wait {
		if n < len(l.WaitMilliseconds) {
			last = time.Duration(l.WaitMilliseconds[n]) * time.Millisecond
		}
		out.Wait[n] = last
	}
	return out
}

// encodeByClass returns nil if no class is named.
func encodeByClass(b allotment.ByClass) []uint32 {
	if b.Total() == 0 {
		return nil
	}
	out := make([]uint32, 0, len(b))
	for _, tokens := range b {
		out = append(out, uint32(max(0, tokens)))
	}
	return out
}

// decodeByClass returns the classes of the tokens wanted. Priorities past the lowest class count as that class.
func decodeByClass(wanted []uint32, total int) allotment.ByClass {
	var named allotment.ByClass
	for n, tokens := range wanted {
		if n < int(allotment.Lowest) {
			named[n] = int(tokens)
		}
	}
	return named.Completed(total)
}

func encodeRates(rates map[string]float64) map[string]float32 {
	out := make(map[string]float32, len(rates))
	for name, r := range rates {
		out[name] = float32(r)
	}
	return out
}

func decodeRates(rates map[string]float32) map[string]float64 {
	out := make(map[string]float64, len(rates))
	for name, r := range rates {
		if r >= 0 { // drops NaN
			out[name] = float64(r)
		}
	}
	return out
}

func encodePresence(p view.Presence, now time.Duration) *relayv1.Presence {
	return &relayv1.Presence{
		Name: p.Name, Address: p.Address, Place: p.Place, Leaving: p.Leaving, Down: p.Down, Power: float32(p.Power),
		AgeMilliseconds: ageMilliseconds(now, p.LastSeen),
	}
}

func decodePresence(p *relayv1.Presence, now time.Duration) view.Presence {
	return view.Presence{
		Name: p.GetName(), Address: p.GetAddress(), Place: p.GetPlace(), Power: float64(p.GetPower()),
		Leaving: p.GetLeaving(), Down: p.GetDown(), LastSeen: timeFromAge(now, p.GetAgeMilliseconds()),
	}
}

func encodeLeader(l view.Leader) *relayv1.Leader {
	return &relayv1.Leader{Group: l.Group, Server: l.Server, Term: l.Term}
}

func decodeLeader(l *relayv1.Leader) view.Leader {
	return view.Leader{Group: l.GetGroup(), Server: l.GetServer(), Term: l.GetTerm()}
}

func encodeRows(r view.Rows, now time.Duration) *relayv1.Rows {
	out := &relayv1.Rows{Version: r.Version, AgeMilliseconds: ageMilliseconds(now, r.ReadAt)}
	for _, row := range r.Rows {
		out.Rows = append(out.Rows, &relayv1.Row{Key: row.Key, Value: row.Value, Version: row.Version})
	}
	return out
}

func decodeRows(r *relayv1.Rows, now time.Duration) view.Rows {
	out := view.Rows{Version: r.GetVersion()}
	if r != nil {
		out.ReadAt = timeFromAge(now, r.AgeMilliseconds)
	}
	for _, row := range r.GetRows() {
		out.Rows = append(out.Rows, view.Row{Key: row.Key, Value: row.Value, Version: row.Version})
	}
	return out
}

func encodeEvacuation(r evacuation.Row) *relayv1.Evacuation {
	return &relayv1.Evacuation{Place: r.Place, Version: view.Version(r.Generation, r.Version), Ended: r.Ended}
}

func decodeEvacuation(r *relayv1.Evacuation) evacuation.Row {
	return evacuation.Row{
		Place: r.GetPlace(), Generation: view.Generation(r.GetVersion()), Version: view.RowVersion(r.GetVersion()), Ended: r.GetEnded(),
	}
}

func encodeState(b view.State, now time.Duration) *relayv1.Beliefs {
	out := &relayv1.Beliefs{
		ConfigurationVersion: b.ConfigurationVersion, ServersVersion: b.ServersVersion, MembersVersion: b.MembersVersion,
		Configuration: encodeRows(b.Configuration, now), Servers: encodeRows(b.Servers, now),
		Members: encodeRows(b.Members, now),
	}
	for _, r := range b.Evacuations {
		out.Evacuations = append(out.Evacuations, encodeEvacuation(r))
	}
	for _, l := range b.Leaders {
		out.Leaders = append(out.Leaders, encodeLeader(l))
	}
	for _, p := range b.Presences {
		out.Presences = append(out.Presences, encodePresence(p, now))
	}
	for _, d := range b.Demands {
		out.Demands = append(out.Demands, &relayv1.Demand{
			Place: d.Place, Rates: encodeRates(d.Rates), AgeMilliseconds: ageMilliseconds(now, d.UpdatedAt),
		})
	}
	return out
}

func decodeState(b *relayv1.Beliefs, now time.Duration) view.State {
	out := view.State{
		ConfigurationVersion: b.GetConfigurationVersion(), ServersVersion: b.GetServersVersion(),
		MembersVersion: b.GetMembersVersion(), Configuration: decodeRows(b.GetConfiguration(), now),
		Servers: decodeRows(b.GetServers(), now), Members: decodeRows(b.GetMembers(), now),
	}
	for _, r := range b.GetEvacuations() {
		out.Evacuations = append(out.Evacuations, decodeEvacuation(r))
	}
	for _, l := range b.GetLeaders() {
		out.Leaders = append(out.Leaders, decodeLeader(l))
	}
	for _, p := range b.GetPresences() {
		out.Presences = append(out.Presences, decodePresence(p, now))
	}
	for _, d := range b.GetDemands() {
		out.Demands = append(out.Demands, view.Demand{
			Place: d.Place, Rates: decodeRates(d.Rates), UpdatedAt: timeFromAge(now, d.AgeMilliseconds),
		})
	}
	return out
}
