package serverpool

import (
	"context"

	"tanagercross/internal/database/statement"
)

// setupCommands returns the commands that set the session values and the prepared statement of a call on the connection,
// and records the new state. Values that the call does not have can only be removed by a reset of the whole connection,
// which is possible outside of a transaction only.
func (pc *pooledConn) setupCommands(c statement.Call) []statement.Command {
	var commands []statement.Command
	if pc.needsReset(c) && (c.Step == statement.Single || c.Step == statement.First) {
		commands = append(commands, statement.Reset{})
		pc.values, pc.prepared = map[string]string{}, map[string]bool{}
	}
	for _, v := range c.Values {
		if present, ok := pc.values[v.Name]; !ok || present != v.Value {
			commands = append(commands, statement.SetValue{Value: v})
			pc.values[v.Name] = v.Value
		}
	}
	if preparation := c.Preparation; preparation != nil && !pc.prepared[preparation.Name] {
		commands = append(commands, statement.PrepareStatement{Preparation: *preparation})
		pc.prepared[preparation.Name] = true
	}
	return commands
}

// needsReset reports whether the connection has session values that the call does not have, or too many prepared statements.
func (pc *pooledConn) needsReset(c statement.Call) bool {
	for name := range pc.values {
		if !containsValue(c.Values, name) {
			return true
		}
	}
	return len(pc.prepared) >= maxPrepared
}

// needsSetup reports whether commands have to run on the connection before the statement of a call.
func (pc *pooledConn) needsSetup(c statement.Call) bool {
	if pc.needsReset(c) || c.Preparation != nil && !pc.prepared[c.Preparation.Name] {
		return true
	}
	for _, v := range c.Values {
		if present, ok := pc.values[v.Name]; !ok || present != v.Value {
			return true
		}
	}
	return false
}

// proof is whether it has to be proven, before the statement of a call is sent, that the commands before it succeeded.
type proof uint8

const (
	proofUnneeded proof = iota
	// proofPreferred: without a proof a read may run with the session values of another session, or outside of its
	// transaction, if a command before it failed and a repetition came in its place. The read's answer shows that, and is
	// not used.
	proofPreferred
	// proofRequired: a write would take effect, and a read index would be too old. Reads require it as well at a server that
	// is known to repeat answers.
	proofRequired
)

// proofFor returns whether the commands before the statement of a call have to be proven. Inside a transaction a failed
// command fails the transaction. A call without a statement asks for a read index.
func (pc *pooledConn) proofFor(c statement.Call, distrusted bool) proof {
	switch {
	case c.Body == nil:
		return proofRequired
	case c.Step == statement.Next, c.Step == statement.End, c.Step == statement.Single && !pc.needsSetup(c):
		return proofUnneeded
	case c.Writes(), distrusted:
		return proofRequired
	}
	return proofPreferred
}

// distrustsLocked reports whether the server has sent answers lately that belonged to no command. The caller holds p.mu.
func (p *Pool) distrustsLocked() bool { return p.options.Boot() < p.distrustedUntil }

func (p *Pool) distrusts() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.distrustsLocked()
}

func containsValue(values []statement.Value, name string) bool {
	for _, v := range values {
		if v.Name == name {
			return true
		}
	}
	return false
}

// prepareConnection runs the setup commands of a call and, unless open is nil, opens a transaction. It waits for all
// answers before the caller's statement is sent: after a failed command the statement would run with other session values
// or outside of its transaction. If a proof of their success is required and the connection does not give it, a new
// connection takes its place. A refusal is returned with clean set if the connection can be used again.
func (p *Pool) prepareConnection(ctx context.Context, pc *pooledConn, c statement.Call, open *statement.OpenTransaction) (refusal *statement.Answer, clean bool) {
	if c.Step == statement.Single && c.Writes() && pc.conn.Refused() {
		// The refusal of the write could not be told from the repetition of an earlier one.
		if refusal := p.replace(ctx, pc); refusal != nil {
			return refusal, false
		}
	}
	level := pc.proofFor(c, p.distrusts())
	refusal, clean, proven := p.tryPrepare(ctx, pc, c, open, level)
	// A stray answer among those to the commands is the first sign of a server that repeats answers.
	if level == proofPreferred && p.distrusts() {
		level = proofRequired
	}
	if refusal != nil || proven || level < proofRequired {
		return refusal, clean
	}
	if refusal := p.replace(ctx, pc); refusal != nil {
		return refusal, false
	}
	refusal, clean, proven = p.tryPrepare(ctx, pc, c, open, level)
	if refusal == nil && !proven {
		r := statement.Refused(statement.Aborted, "the state of the connection is not known")
		return &r, false
	}
	return refusal, clean
}

// replace closes the connection and opens another one in its place. It returns a refusal if that fails. The old one is closed
// first, so that the server's connection limit holds.
func (p *Pool) replace(ctx context.Context, pc *pooledConn) *statement.Answer {
	pc.conn.Close()
	pc.opened = true // it cannot be released if no other one opens
	fresh, err := p.openConnection(ctx, pc.organisation)
	if err != nil {
		r := refuseDial(err)
		return &r
	}
	p.mu.Lock()
	p.replacements.Unproven++
	p.mu.Unlock()
	pc.conn, pc.values, pc.prepared = fresh.conn, fresh.values, fresh.prepared
	pc.unprovenSetup, pc.strays, pc.opened = false, 0, false
	return nil
}

// noteProof records that the commands before a proven answer succeeded.
func (pc *pooledConn) noteProof(a statement.Answer) {
	if a.Proven && pc.conn.Reusable() {
		pc.unprovenSetup = false
	}
}

// tryPrepare runs the setup commands of a call and opens a transaction unless open is nil. If a proof is wanted and no
// transaction is to be opened, it opens one and rolls it back, because only the answer to the opening can be proven. Without
// a proof these two commands still make it unlikely that a failed command before them goes unnoticed: each needs a repetition
// of the right transaction state in its place.
func (p *Pool) tryPrepare(ctx context.Context, pc *pooledConn, c statement.Call, open *statement.OpenTransaction, level proof) (refusal *statement.Answer, clean, proven bool) {
	commands := pc.setupCommands(c)
	pc.lastSession = c.Session
	pc.unprovenSetup = pc.unprovenSetup || len(commands) > 0
	opening := -1
	switch {
	case open != nil:
		opening = len(commands)
		commands = append(commands, *open)
	case level > proofUnneeded:
		opening = len(commands)
		commands = append(commands, statement.OpenTransaction{ReadOnly: c.Scope == statement.Replica}, statement.CloseTransaction{})
	}
	if len(commands) == 0 {
		return nil, true, true
	}
	requestedAt := p.options.Boot()
	answers, err := p.send(pc, deadlineWithin(ctx, controlTimeout), commands...)
	if err != nil {
		p.recordFailure()
		r := statement.Refused(statement.Aborted, "connection lost before the statement was sent")
		return &r, false, false
	}
	for n, a := range answers {
		if a.Code != "" {
			pc.noteProof(a)
			r := statement.Refused(a.Code, a.Text)
			r.Position = a.Position
			if n == opening && a.Code == statement.ReadOnly {
				p.recordNotLeading()
			}
			// A connection whose transaction did not open is clean, unless the server says otherwise.
			return &r, n == opening && n == len(answers)-1 && a.State == statement.Idle, false
		}
	}
	p.recordAnswer()
	if opening < 0 || !answers[opening].Proven {
		return nil, true, false
	}
	pc.noteProof(answers[opening])
	if c.Scope == statement.Leader {
		p.recordReadIndex(answers[opening].Position, requestedAt)
	}
	return nil, true, true
}
