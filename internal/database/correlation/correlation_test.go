package correlation_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"tanagercross/internal/database/correlation"
	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/statement"
)

var (
	read    = statement.Forward{ID: "1", Body: statement.Read{Arguments: "a"}}
	set     = statement.SetValue{Value: statement.Value{Name: "a", Value: "b"}}
	opening = statement.OpenTransaction{}
	closing = statement.CloseTransaction{}
	busy    = statement.Answer{Code: statement.Busy, Text: "i-1"}
)

// signed returns the success of a caller's statement, and own that of a command of the instance's own at a log position.
func signed(signature string) statement.Answer { return statement.Answer{Signature: signature} }

func own(s statement.State, index uint64) statement.Answer {
	return statement.Answer{Signature: "-", State: s, Position: driver.Position{Term: 1, Index: index}}
}

// Guards against each kind of repetition that a connection can carry being taken for the answer that is waited for, and
// against true answers that are dropped.
func TestMatch(t *testing.T) {
	type step struct {
		command statement.Command
		answer  statement.Answer
		verdict correlation.Verdict
		reason  correlation.Reason
	}
	idle, inside := own(statement.Idle, 5), own(statement.InTransaction, 5)
	for name, test := range map[string]struct {
		steps  []step
		inStep bool
	}{
		"repeated statement": {[]step{
			{read, signed("s1"), correlation.Proven, ""},
			{read, signed("s1"), correlation.Stray, correlation.Repeated},
			{read, signed("s2"), correlation.Proven, ""},
			{set, signed("s2"), correlation.Stray, correlation.Repeated},
		}, true},
		"own command for a statement": {[]step{
			{set, idle, correlation.Accepted, ""},
			{read, idle, correlation.Stray, correlation.Unsigned},
			{read, signed("s1"), correlation.Proven, ""},
		}, true},
		"statement that nobody waits for": {[]step{{set, signed("s1"), correlation.Stray, correlation.Foreign}}, false},
		"rows that nobody waits for": {[]step{
			{opening, statement.Answer{Rows: []string{"x"}, Signature: "-", State: statement.InTransaction}, correlation.Stray, correlation.Foreign},
		}, false},
		"own command of another state": {[]step{
			{set, idle, correlation.Accepted, ""},
			{opening, idle, correlation.Stray, correlation.State},
			{opening, inside, correlation.Proven, ""},
			{set, idle, correlation.Stray, correlation.State},
			{closing, inside, correlation.Stray, correlation.State},
			{closing, idle, correlation.Accepted, ""},
		}, true},
		"second opening at the same position": {[]step{
			{opening, inside, correlation.Proven, ""},
			{closing, idle, correlation.Accepted, ""},
			{opening, inside, correlation.Accepted, ""},
		}, true},
		"second opening at a newer position": {[]step{
			{opening, inside, correlation.Proven, ""},
			{closing, idle, correlation.Accepted, ""},
			{opening, own(statement.InTransaction, 6), correlation.Proven, ""},
		}, true},
		"opening while an earlier one is not proven": {[]step{
			{opening, inside, correlation.Proven, ""},
			{closing, idle, correlation.Accepted, ""},
			{opening, inside, correlation.Accepted, ""},
			{closing, idle, correlation.Accepted, ""},
			{opening, own(statement.InTransaction, 6), correlation.Accepted, ""},
			{read, signed("s1"), correlation.Proven, ""},
			{closing, idle, correlation.Accepted, ""},
			{opening, own(statement.InTransaction, 7), correlation.Proven, ""},
		}, true},
		"opening whose answer was dropped before": {[]step{
			{closing, inside, correlation.Stray, correlation.State},
			{opening, inside, correlation.Accepted, ""},
		}, true},
		"opening below the position that it requires": {[]step{
			{statement.OpenTransaction{ReadOnly: true, After: driver.Position{Term: 1, Index: 6}}, inside, correlation.Stray, correlation.Position},
		}, true},
		"error": {[]step{{read, busy, correlation.Proven, ""}, {read, signed("s1"), correlation.Proven, ""}}, true},
		"error that came before": {[]step{
			{read, busy, correlation.Proven, ""},
			{read, signed("s1"), correlation.Proven, ""},
			{read, busy, correlation.Accepted, ""},
		}, false},
		"error that may be that of the command before": {[]step{
			{set, idle, correlation.Accepted, ""}, {read, busy, correlation.Proven, ""},
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			var tracker correlation.Tracker
			for n, s := range test.steps {
				if verdict, reason := tracker.Match(s.command, s.answer); verdict != s.verdict || reason != s.reason {
					t.Errorf("step %d: %d %q, want %d %q", n, verdict, reason, s.verdict, s.reason)
				}
			}
			if tracker.InStep() != test.inStep {
				t.Errorf("in step: %t, want %t", tracker.InStep(), test.inStep)
			}
		})
	}
}

// Guards against a read that required a log position, whose refusal can answer no other command, closing its connection.
func TestBehindAnswersOnlyCommandsWithAPosition(t *testing.T) {
	behind := statement.Answer{Code: statement.Behind}
	after := read
	after.After = driver.Position{Term: 1, Index: 9}
	for command, inStep := range map[statement.Command]bool{after: true, read: false} {
		var tracker correlation.Tracker
		tracker.Match(set, own(statement.Idle, 5))
		if tracker.Match(command, behind); tracker.InStep() != inStep {
			t.Errorf("%+v: in step %t, want %t", command, tracker.InStep(), inStep)
		}
	}
}

// Guards against a connection whose memory of answers grows without a bound.
func TestConnectionIsReplacedAfterManyAnswers(t *testing.T) {
	var tracker correlation.Tracker
	for n := 0; tracker.InStep(); n++ {
		if n > 10_000 {
			t.Fatal("still in step after 10,000 answers")
		}
		tracker.Match(read, signed(fmt.Sprint(n)))
	}
}

// item is an answer in a stream, with the number of the command that it answers.
type item struct {
	answer  statement.Answer
	command int
	copied  bool
}

// connection simulates a server that repeats answers at any later moment, and fails commands.
type connection struct {
	t        *testing.T
	random   *rand.Rand
	tracker  correlation.Tracker
	stream   []item
	delayed  []item // copies that are still to come
	repeat   float64
	fail     float64
	commands int
	index    uint64 // of the server's log
	state    statement.State
	value    int // session value at the server
}

// answer runs a command at the server and appends its answer, with copies of earlier ones before and after it.
func (c *connection) answer(command statement.Command) {
	c.commands++
	if c.random.IntN(3) == 0 {
		c.index++
	}
	a := statement.Answer{Signature: "-"}
	switch {
	case c.random.Float64() < c.fail:
		a = busy
		if c.state == statement.InTransaction {
			c.state = statement.FailedTransaction
		}
	default:
		c.apply(command, &a)
	}
	a.State, a.Position = c.state, driver.Position{Term: 1, Index: c.index}
	c.emit()
	c.stream = append(c.stream, item{answer: a, command: c.commands})
	if c.random.Float64() < c.repeat {
		c.delayed = append(c.delayed, item{answer: a, command: c.commands, copied: true})
	}
	c.emit()
}

func (c *connection) apply(command statement.Command, a *statement.Answer) {
	switch command := command.(type) {
	case statement.OpenTransaction:
		c.state = statement.InTransaction
	case statement.CloseTransaction:
		c.state = statement.Idle
	case statement.SetValue:
		_, _ = fmt.Sscan(command.Value.Value, &c.value)
	case statement.Forward:
		a.Signature = fmt.Sprintf("s%d", c.commands)
		if c.state == statement.FailedTransaction {
			*a = statement.Answer{Code: statement.Malformed}
		}
	}
}

// emit sends some of the copies that are still to come.
func (c *connection) emit() {
	for len(c.delayed) > 0 && c.random.IntN(2) == 0 {
		n := c.random.IntN(len(c.delayed))
		c.stream = append(c.stream, c.delayed[n])
		c.delayed = append(c.delayed[:n:n], c.delayed[n+1:]...)
	}
}

// await returns the answer that the tracker gives a command, and false if none is left in the stream.
func (c *connection) await(command statement.Command, number int) (statement.Answer, bool) {
	for len(c.stream) > 0 {
		next := c.stream[0]
		c.stream = c.stream[1:]
		verdict, _ := c.tracker.Match(command, next.answer)
		if verdict == correlation.Stray {
			continue
		}
		c.check(command, number, next, verdict)
		a := next.answer
		a.Proven = verdict == correlation.Proven
		return a, true
	}
	return statement.Answer{}, false
}

// check fails the test if an answer was given to another command although it counts as certain.
func (c *connection) check(command statement.Command, number int, got item, verdict correlation.Verdict) {
	_, forwarded := command.(statement.Forward)
	switch {
	case got.command == number:
	case got.answer.Code == "" && (forwarded || verdict == correlation.Proven):
		c.t.Errorf("command %d %T got the answer to %d (copy %t)", number, command, got.command, got.copied)
	case got.answer.Code != "" && verdict == correlation.Proven && (got.copied || c.tracker.InStep()):
		c.t.Errorf("command %d %T got the error of %d (copy %t)", number, command, got.command, got.copied)
	}
}

// run sends commands at once and returns their answers, and false if the connection cannot be used any more.
func (c *connection) run(commands ...statement.Command) ([]statement.Answer, bool) {
	first := c.commands + 1
	for _, command := range commands {
		c.answer(command)
	}
	var answers []statement.Answer
	for n, command := range commands {
		a, ok := c.await(command, first+n)
		if !ok {
			return nil, false
		}
		answers = append(answers, a)
	}
	return answers, c.tracker.InStep()
}

// operate plays one operation as a server pool does, and reports whether the connection can be used again.
func (c *connection) operate(value int) bool {
	setup := statement.SetValue{Value: statement.Value{Name: "owner", Value: fmt.Sprint(value)}}
	switch c.random.IntN(3) {
	case 0:
		answers, ok := c.run(opening)
		if !ok || answers[0].Code != "" {
			return ok && answers[0].State == statement.Idle
		}
		answers, ok = c.run(read, closing)
		return ok && answers[0].Code == "" && answers[1].Code == ""
	case 1:
		_, ok := c.run(opening, closing)
		return ok && c.state == statement.Idle
	}
	answers, ok := c.run(setup, opening, closing)
	if !ok || answers[0].Code != "" || answers[1].Code != "" || answers[2].Code != "" || !answers[1].Proven {
		return false
	}
	if c.value != value {
		c.t.Errorf("a write is sent with the value %d, want %d", c.value, value)
	}
	answers, ok = c.run(statement.Forward{ID: "w", Body: statement.Write{Arguments: "a b"}})
	return ok && answers[0].Code == "" && answers[0].State == statement.Idle
}

// Guards against any order of repeated, late and failed answers in which a statement gets the answer to another one, or a
// write runs with the session values of another session.
func TestSeededStreams(t *testing.T) {
	var operations, writes int
	for seed := range uint64(5000) {
		random := rand.New(rand.NewPCG(seed, 1))
		c := &connection{t: t, random: random, repeat: random.Float64(), fail: 0.2 * max(0, random.Float64()-0.4)}
		for n := range 40 {
			operations++
			if !c.operate(n) {
				break
			}
			writes++
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	t.Logf("%d operations, %d of them to their end", operations, writes)
}
