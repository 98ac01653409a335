// Package correlation relates the answers on a server connection to the commands that wait for them.
//
// An answer carries no identifier of its command, and a server may send an answer again at any later moment. An answer is
// therefore accepted only for what a repetition cannot have:
//
//   - A success of a caller's statement carries a signature, which is different for each statement that ran. One that the
//     connection has not carried before is not a repetition. As all earlier statements of the connection have their answers,
//     it answers the one that waits, and all commands before that one have been answered too: those whose answers were taken
//     from repetitions are among the answers read so far.
//   - A command of the instance's own is answered without a signature. Its answer is accepted if it has the transaction
//     state that the command leads to, and is proven by the next signature. Before a write, which has effects if a command
//     before it failed, a proof is needed at once: an answer that opens a transaction is proven if none with such a state
//     at such a log position came before.
//   - An error is proven if no equal one came before.
//
// # Usage
//
//	var t correlation.Tracker
//	switch verdict, reason := t.Match(command, answer); verdict {
//	case correlation.Accepted: // of this command
//	case correlation.Proven:   // of this command, no repetition
//	case correlation.Stray:    // of another command: read the next answer
//	}
//	if !t.InStep() {
//		// close the connection
//	}
//
// A Tracker does no I/O. Each connection has its own.
package correlation

import (
	"hash/maphash"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/statement"
)

// Verdict is the relation of an answer to the command that waits.
type Verdict uint8

// Verdicts.
const (
	Stray    Verdict = iota // it belongs to another command
	Accepted                // it belongs to the command unless it is a repetition, which the next proof excludes
	Proven                  // it belongs to the command
)

// Reason tells why an answer is stray.
type Reason string

// Reasons.
const (
	Repeated Reason = "repeated" // its signature came before
	Unsigned Reason = "unsigned" // a success without a signature, for a statement of a caller
	Foreign  Reason = "foreign"  // a signature or rows, for a command of the instance's own
	State    Reason = "state"    // a transaction state to which the command does not lead
	Position Reason = "position" // a log position below the one that the command requires
	Greeting Reason = "greeting" // the answer to the start of the connection
)

// unsigned is the signature of answers to the instance's own commands.
const unsigned = "-"

// maxRemembered bounds the answers that a tracker remembers, at about 20 bytes each. A connection that has carried more is
// replaced.
const maxRemembered = 4096

// seed makes hashes differ between processes, so that no server can construct texts with the same hash.
var seed = maphash.MakeSeed()

// Tracker follows the answers of one connection. The zero value is ready for use.
type Tracker struct {
	seen map[uint64]struct{} // hashes of the signatures and errors that were accepted

	state          statement.State // of the last answer that was accepted
	opened         bool            // an answer came inside a transaction
	openedAt       driver.Position // newest position of such an answer
	unproven       bool            // an own command was accepted without a proof since the last one
	unprovenInside bool            // one of these inside a transaction
	outOfStep      bool            // an answer may still be on its way
	refused        bool
	strays         int
}

// Refused reports whether the connection has carried an error other than Behind. An equal one would not be proven.
func (t *Tracker) Refused() bool { return t.refused }

// Strays returns the number of answers that belonged to no command that waited.
func (t *Tracker) Strays() int { return t.strays }

// InStep reports whether the next answer will belong to the next command, but for repetitions, which are recognised.
func (t *Tracker) InStep() bool { return !t.outOfStep && len(t.seen) < maxRemembered }

// ProvesOpening reports whether the answer to a command that opens a transaction will be proven, if the server's log holds
// the position.
func (t *Tracker) ProvesOpening(p driver.Position) bool {
	return !t.unprovenInside && (!t.opened || p.Compare(t.openedAt) > 0)
}

// Match returns the relation of an answer to the command that waits. The reason is that of a stray answer.
func (t *Tracker) Match(c statement.Command, a statement.Answer) (Verdict, Reason) {
	verdict, reason := t.match(c, a)
	if verdict == Stray {
		t.strays++
	} else {
		t.state = a.State
	}
	// A stray answer counts as well, because it may be repeated.
	if a.State != statement.Idle && (!t.opened || a.Position.Compare(t.openedAt) > 0) {
		t.opened, t.openedAt = true, a.Position
	}
	return verdict, reason
}

func (t *Tracker) match(c statement.Command, a statement.Answer) (Verdict, Reason) {
	_, forwarded := c.(statement.Forward)
	signed := a.Signature != "" && a.Signature != unsigned
	switch {
	case a.Code != "":
		return t.matchError(c, a), ""
	case signed && !t.remember("DONE ", a.Signature):
		return Stray, Repeated
	case forwarded && signed:
		t.unproven, t.unprovenInside = false, false
		return Proven, ""
	case forwarded:
		return Stray, Unsigned
	case signed || len(a.Rows) > 0 && !reports(c):
		// Its statement is not waiting any more.
		t.outOfStep = true
		return Stray, Foreign
	}
	return t.matchOwn(c, a)
}

// remember records a text and reports whether it is new.
func (t *Tracker) remember(kind, text string) bool {
	hash := maphash.String(seed, kind+text)
	if _, known := t.seen[hash]; known {
		return false
	}
	if t.seen == nil {
		t.seen = map[uint64]struct{}{}
	}
	t.seen[hash] = struct{}{}
	return true
}

// matchError accepts an error. It is proven if no equal one came before. If it may be that of an own command before, the
// answer to this command is still on its way.
func (t *Tracker) matchError(c statement.Command, a statement.Answer) Verdict {
	isNew := t.remember("ERROR ", string(a.Code)+" "+a.Text+" "+a.Position.String()+" "+string('0'+rune(a.State)))
	t.refused = t.refused || a.Code != statement.Behind
	switch {
	case !isNew:
		t.outOfStep = true
		return Accepted
	case t.unproven && !onlyAnswers(c, a.Code):
		t.outOfStep = true
	default:
		t.unproven, t.unprovenInside = false, false
	}
	return Proven
}

// onlyAnswers reports whether an error with the code answers no command but those that require a log position, as c does.
func onlyAnswers(c statement.Command, code statement.Code) bool {
	if code != statement.Behind {
		return false
	}
	switch c := c.(type) {
	case statement.Forward:
		return c.After != driver.Position{}
	case statement.OpenTransaction:
		return c.After != driver.Position{}
	}
	return false
}

// reports reports whether a server answers the command with a row.
func reports(c statement.Command) bool {
	switch c.(type) {
	case statement.Status, statement.PauseReplication, statement.ResumeReplication, statement.Demote:
		return true
	}
	return false
}

// matchOwn matches an answer without a signature to a command of the instance's own.
func (t *Tracker) matchOwn(c statement.Command, a statement.Answer) (Verdict, Reason) {
	expected := t.state
	switch c := c.(type) {
	case statement.OpenTransaction:
		return t.matchOpening(c, a)
	case statement.CloseTransaction, statement.Reset:
		expected = statement.Idle
	}
	if a.State != expected {
		return Stray, State
	}
	t.unproven = true
	t.unprovenInside = t.unprovenInside || a.State != statement.Idle
	return Accepted, ""
}

// matchOpening matches an answer to a command that opens a transaction.
func (t *Tracker) matchOpening(c statement.OpenTransaction, a statement.Answer) (Verdict, Reason) {
	if a.State != statement.InTransaction {
		return Stray, State
	}
	if a.Position.Compare(c.After) < 0 {
		return Stray, Position
	}
	if t.ProvesOpening(a.Position) {
		t.unproven = false
		return Proven, ""
	}
	t.unproven, t.unprovenInside = true, true
	return Accepted, ""
}
