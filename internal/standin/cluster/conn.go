package cluster

import (
	"context"
	"errors"
	"strings"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/statement"
)

// errBroken is the error of a connection that does not answer.
var errBroken = errors.New("connection broken")

// errBusy is the error of a server that has no free slot for a report.
var errBusy = errors.New("busy")

// work is the time that a statement takes.
const work = time.Millisecond

// Dialer opens connections on behalf of an instance.
type Dialer struct {
	cluster  *Cluster
	instance string
}

// Dialer returns the dialer of an instance.
func (c *Cluster) Dialer(instance string) Dialer { return Dialer{cluster: c, instance: instance} }

type conn struct {
	cluster      *Cluster
	server       *Server
	instance     string
	organisation string
	broken       bool
	values       map[string]string
	prepared     map[string]statement.Preparation
	open         bool
	readOnly     bool
	failed       bool
	writes       []commit
	ids          []string
}

// Dial implements statement.Dialer.
func (d Dialer) Dial(ctx context.Context, t statement.Target) (statement.Conn, driver.Position, error) {
	c := d.cluster
	c.mu.Lock()
	s := c.servers[t.Server]
	dead := s == nil || s.down
	silent := !dead && (s.silent || s.cut[d.instance])
	c.mu.Unlock()
	if dead {
		return nil, driver.Position{}, &statement.DialError{Refused: true, Err: errors.New("connection refused")}
	}
	if silent {
		<-ctx.Done()
		return nil, driver.Position{}, &statement.DialError{Err: ctx.Err()}
	}
	time.Sleep(work)
	c.mu.Lock()
	defer c.mu.Unlock()
	k := &conn{
		cluster: c, server: s, instance: d.instance, organisation: t.Organisation, values: map[string]string{},
		prepared: map[string]statement.Preparation{},
	}
	s.conns[k] = true
	c.catchUp(s)
	return k, s.position(), nil
}

// Reusable implements statement.Conn.
func (k *conn) Reusable() bool { return true }

// Refused implements statement.Conn.
func (k *conn) Refused() bool { return false }

// Strays implements statement.Conn.
func (k *conn) Strays() int { return 0 }

// ProvesOpening implements statement.Conn.
func (k *conn) ProvesOpening(driver.Position) bool { return true }

// Close implements statement.Conn.
func (k *conn) Close() {
	k.cluster.mu.Lock()
	defer k.cluster.mu.Unlock()
	k.broken = true
	delete(k.server.conns, k)
}

// Report implements statement.Conn.
func (k *conn) Report(deadline time.Time, command statement.Command) (statement.Report, error) {
	if err := k.reach(deadline); err != nil {
		return statement.Report{}, err
	}
	c, s := k.cluster, k.server
	c.mu.Lock()
	defer c.mu.Unlock()
	c.catchUp(s)
	switch command := command.(type) {
	case statement.Status:
		if s.refuseStatus {
			return statement.Report{}, &statement.DialError{Code: statement.Busy, Err: errBusy}
		}
	case statement.PauseReplication:
		if command.Term > s.term && s.Role != driver.Primary {
			s.paused, s.heldTerm = true, command.Term
		}
	case statement.ResumeReplication:
		s.paused, s.heldTerm = false, 0
	case statement.Demote:
		if s.refuseDemotion {
			return statement.Report{}, &statement.DialError{Code: statement.Busy, Err: errBusy}
		}
		if s.Role == driver.Primary && command.Term > s.term {
			s.Role = driver.Replica
			c.bump()
		}
	}
	end := driver.Position{Term: 1}
	if len(s.log) > 0 {
		end = s.log[len(s.log)-1].position
	}
	return statement.Report{Role: s.Role, Term: max(s.term, s.heldTerm), Received: end, HeldTerm: s.heldTerm}, nil
}

// awaitClose waits until the connection is closed, at most until the deadline.
func (k *conn) awaitClose(deadline time.Time) {
	for time.Now().Before(deadline) {
		k.cluster.mu.Lock()
		broken := k.broken
		k.cluster.mu.Unlock()
		if broken {
			return
		}
		time.Sleep(work)
	}
}

// reach fails if the server does not answer.
func (k *conn) reach(deadline time.Time) error {
	k.cluster.mu.Lock()
	broken, silent := k.broken || k.server.down, k.server.silent || k.server.cut[k.instance]
	k.cluster.mu.Unlock()
	if broken {
		return errBroken
	}
	if silent {
		k.awaitClose(deadline)
		return errBroken
	}
	return nil
}

// Run implements statement.Conn.
func (k *conn) Run(deadline time.Time, commands ...statement.Command) ([]statement.Answer, error) {
	if err := k.reach(deadline); err != nil {
		return nil, err
	}
	var answers []statement.Answer
	for _, command := range commands {
		if _, ok := command.(statement.Forward); ok {
			time.Sleep(work)
		}
		a, lost := k.run(command)
		if lost {
			k.awaitClose(deadline)
			return answers, errBroken
		}
		answers = append(answers, a)
	}
	return answers, nil
}

func (k *conn) run(command statement.Command) (a statement.Answer, lost bool) {
	c, s := k.cluster, k.server
	c.mu.Lock()
	defer c.mu.Unlock()
	if k.broken || s.down {
		return a, true
	}
	c.catchUp(s)
	a = statement.Answer{Delivery: statement.Answered}
	defer func() { a.Proven = true }()
	switch command := command.(type) {
	case statement.Reset:
		k.values, k.prepared = map[string]string{}, map[string]statement.Preparation{}
	case statement.SetValue:
		k.values[command.Name] = command.Value.Value
	case statement.PrepareStatement:
		k.prepared[command.Name] = command.Preparation
	case statement.OpenTransaction:
		a = k.begin(command)
	case statement.CloseTransaction:
		k.open, k.failed, k.writes, k.ids = false, false, nil, nil
	case statement.Forward:
		s.statements++
		before := len(s.log)
		a = k.forward(command)
		if s.lose > 0 {
			s.lose--
			lost = true
		}
		lost = lost || len(s.log) > before && c.synchronous[s.Group] && !c.received(s)
		if !lost {
			c.noteAcknowledged(s, before)
		}
	}
	k.finish(&a)
	return a, lost
}

// finish adds the state and the position to an answer. An error fails an open transaction.
func (k *conn) finish(a *statement.Answer) {
	if a.Code != "" && k.open {
		k.failed = true
	}
	switch {
	case k.failed:
		a.State = statement.FailedTransaction
	case k.open:
		a.State = statement.InTransaction
	}
	a.Position = k.server.position()
}

// Refuser is a connection that can refuse a statement in place of running it.
type Refuser interface {
	// Refuse answers a statement with a code without running it. An open transaction fails.
	Refuse(code statement.Code) statement.Answer
}

// Refuse implements Refuser.
func (k *conn) Refuse(code statement.Code) statement.Answer {
	k.cluster.mu.Lock()
	defer k.cluster.mu.Unlock()
	a := refused(code)
	k.finish(&a)
	return a
}

func refused(code statement.Code) statement.Answer {
	return statement.Answer{Delivery: statement.Answered, Code: code}
}

func (k *conn) begin(o statement.OpenTransaction) statement.Answer {
	s := k.server
	switch {
	case !o.ReadOnly && s.Role != driver.Primary:
		return refused(statement.ReadOnly)
	case o.ReadOnly && s.position().Compare(o.After) < 0:
		return refused(statement.Behind)
	}
	k.open, k.readOnly = true, o.ReadOnly
	return statement.Answer{Delivery: statement.Answered}
}

// forward runs a caller's statement. The value "owner" of a session must be that of the statement's caller, which the
// statement names by the prefix of its id.
func (k *conn) forward(f statement.Forward) statement.Answer {
	c, s := k.cluster, k.server
	owner, _, _ := strings.Cut(f.ID, "/")
	if v, ok := k.values["owner"]; ok && v != owner {
		c.fault("%s ran with the session values of %s", f.ID, v)
	}
	if k.failed {
		return refused(statement.Malformed)
	}
	if k.open && !k.readOnly && s.Role != driver.Primary {
		return refused(statement.ReadOnly)
	}
	if !k.open && s.position().Compare(f.After) < 0 {
		return refused(statement.Behind)
	}
	switch b := f.Body.(type) {
	case statement.Read:
		return k.read(b.Arguments)
	case statement.Write:
		item, value, _ := strings.Cut(b.Arguments, " ")
		return k.write(f.ID, item, value)
	case statement.Execute:
		p, ok := k.prepared[b.Name]
		if !ok {
			return refused(statement.NoStatement)
		}
		if !p.Writes {
			return k.read(b.Arguments)
		}
		item, value, _ := strings.Cut(b.Arguments, " ")
		return k.write(f.ID, item, value)
	case statement.Commit:
		return k.commit()
	}
	k.open, k.failed, k.writes, k.ids = false, false, nil, nil
	return statement.Answer{Delivery: statement.Answered}
}

func (k *conn) read(item string) statement.Answer {
	value := ""
	for _, e := range k.server.log[:k.server.applied] {
		if e.item == item {
			value = e.value
		}
	}
	return statement.Answer{Delivery: statement.Answered, Rows: []string{value}, Signature: k.server.ID}
}

func (k *conn) write(id, item, value string) statement.Answer {
	if k.server.Role != driver.Primary {
		return refused(statement.ReadOnly)
	}
	k.writes, k.ids = append(k.writes, commit{item: item, value: value}), append(k.ids, id)
	if k.open {
		return statement.Answer{Delivery: statement.Answered, Signature: k.server.ID}
	}
	return k.commit()
}

func (k *conn) commit() statement.Answer {
	c, s := k.cluster, k.server
	if len(k.writes) > 0 && s.Role != driver.Primary {
		return refused(statement.ReadOnly)
	}
	for _, w := range k.writes {
		w.position = driver.Position{Term: s.term, Index: uint64(len(s.log) + 1)}
		s.log = append(s.log, w)
	}
	s.applied = max(s.applied, len(s.log))
	for _, id := range k.ids {
		if c.runs[id]++; c.runs[id] > 1 {
			c.fault("%s took effect %d times", id, c.runs[id])
		}
	}
	k.open, k.writes, k.ids = false, nil, nil
	return statement.Answer{Delivery: statement.Answered, Signature: s.ID}
}
