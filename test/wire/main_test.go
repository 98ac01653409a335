// Package wire runs instances as separate processes between callers and servers that speak the line protocol exactly as it
// is published, and compares what each caller sent and got with what the servers received, ran and answered.
//
//	go test ./test/wire                                                  one seed of each test
//	go test ./test/wire -run TestRepeatedAnswers -args -first 7 -seeds 3   three seeds
//	go test ./test/wire -args -red                                       also the tests that KNOWN-RED.txt lists
//	go test ./test/wire -args -keep DIRECTORY                            keeps the logs of the instances
package wire

import (
	"flag"
	"os"
	"testing"
	"time"

	"tanagercross/internal/standin/process"
	"tanagercross/internal/standin/wire"
	"tanagercross/internal/tool/knownred"
)

var (
	firstSeed = flag.Uint64("first", 1, "first seed")
	seeds     = flag.Uint64("seeds", 1, "number of seeds")
	red       = flag.Bool("red", false, "run the tests that KNOWN-RED.txt lists")
	keep      = flag.String("keep", "", "directory that keeps the logs; empty keeps those of failed runs in the temporary directory")
)

// Delays of repeated answers, as in issue 30.
const (
	leastDelay = time.Millisecond
	mostDelay  = 80 * time.Millisecond
)

// program is the binary under test.
var program string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(process.WithProgram(func(path string) int {
		program = path
		return m.Run()
	}))
}

// eachSeed runs a trial of every seed, one after another.
func eachSeed(t *testing.T, f wire.AnswerFault, fields fields) {
	t.Helper()
	knownred.Skip(t, *red)
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		f.Seed = seed
		newTrial(t, seed, f, fields).run()
	}
}

// Guards against a checker or a stand-in that reports faults where no answer is repeated and no field is unusual, and
// against statements that are mixed up without any fault.
func TestCalm(t *testing.T) { eachSeed(t, wire.AnswerFault{}, fields{}) }

// Guards against an answer that a server sent before, to another statement, and that is passed on as the answer to the
// statement that waits.
func TestRepeatedAnswers(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault wire.AnswerFault
	}{
		{"share_5", wire.AnswerFault{Repeat: 0.05}},
		{"share_50", wire.AnswerFault{Repeat: 0.5}},
		{"two_copies", wire.AnswerFault{Repeat: 0.05, Copies: 2}},
		{"errors", wire.AnswerFault{Repeat: 0.05, Busy: 0.05}},
		{"every_answer", wire.AnswerFault{Repeat: 1, Copies: 3, Busy: 0.02}},
		{"cut", wire.AnswerFault{Repeat: 0.2, Cut: 0.01}},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.fault.Least, c.fault.Most = leastDelay, mostDelay
			eachSeed(t, c.fault, fields{})
		})
	}
}

// Guards against fields that are cut, trimmed, joined or split on their way, and against a second statement or a second
// answer that is smuggled inside a field.
func TestLineEndsInsideFields(t *testing.T) {
	for _, c := range []struct {
		name   string
		fields fields
	}{
		{"data", fields{data: true}},
		{"items", fields{items: true}},
		{"values", fields{values: true}},
		{"shapes", fields{shapes: true}},
		{"ids", fields{ids: true}},
		{"all", fields{data: true, items: true, values: true, shapes: true, ids: true}},
	} {
		t.Run(c.name, func(t *testing.T) { eachSeed(t, wire.AnswerFault{}, c.fields) })
	}
}
