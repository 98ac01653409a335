// Package callers runs processes of the system before crowds of clients that use up memory, connections or time.
//
//	go test ./test/callers                                       what is not listed in KNOWN-RED.txt
//	go test ./test/callers -run TestLines/whole -args -red       also what is listed
//	go test ./test/callers -args -seed 7                         another seed
//
// They are to run apart from other load: .ci/run sets TANAGERCROSS_CALLERS to "later" while it runs all other tests, which
// leaves them out, and runs them by themselves afterwards.
//
// The tests check that the process lives, that its peak memory and its descriptors stay within its settings, and that it
// answers an ordinary caller. They check neither times nor shares of served requests.
package callers

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"tanagercross/internal/standin/process"
	"tanagercross/internal/tool/knownred"
)

var (
	seed = flag.Uint64("seed", 1, "seed of the crowds")
	red  = flag.Bool("red", false, "run the tests that KNOWN-RED.txt lists")
)

// program is the binary under test.
var program string

func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv("TANAGERCROSS_CALLERS") == "later" {
		fmt.Println("left to a run apart from other load")
		return
	}
	os.Exit(process.WithProgram(func(path string) int {
		program = path
		return m.Run()
	}))
}

// attack is a named crowd before a process on a machine.
type attack struct {
	name string
	on   machine
	run  func(x *trial)
}

// against runs each attack against a process of its own.
func against(t *testing.T, attacks ...attack) {
	t.Helper()
	for _, a := range attacks {
		t.Run(a.name, func(t *testing.T) {
			knownred.Skip(t, *red)
			x := newTrial(t, a.on)
			a.run(x)
			x.check()
		})
	}
}
