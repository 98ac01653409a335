// Package scenario_test runs scripted scenarios against the real programs: each script starts a platform stand-in,
// database stand-ins and instances as processes on loopback, and brings failures about between and inside them.
//
// # Usage
//
//	go test ./test/scenario                                    # every script, and one run of TestFailoverGaps
//	go test ./test/scenario -run 'TestScripts/primary_killed'  # one script
//	TANAGERCROSS_RUNS=20 go test ./test/scenario -run TestFailoverGaps -v -timeout 30m
//
// TANAGERCROSS_LOGS names a directory that keeps the output of the processes. The commands of the scripts are described
// where they are defined, in the files command_*_test.go. Deadlines in the scripts are targets of docs/design.md.
package scenario_test

import (
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"tanagercross/internal/tool/deployment"
)

// binaries is the directory of the programs under test.
var binaries string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	release, err := deployment.Exclusive()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer release()
	directory, err := os.MkdirTemp("", "scenario-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	if err := trackSources(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	build := exec.Command("go", "build", "-o", directory, "./cmd/...")
	build.Dir = filepath.Join("..", "..")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the programs: %v\n%s", err, output)
		return 1
	}
	binaries = directory
	go serveStarts()
	return m.Run()
}

// trackSources reads the directories of the programs' sources. The go command keeps a test result until something that
// the test has opened changes; it does not see what the build below opens, and would show old results for new programs.
func trackSources() error {
	for _, directory := range []string{"cmd", "internal"} {
		err := filepath.WalkDir(filepath.Join("..", "..", directory), func(_ string, _ fs.DirEntry, err error) error { return err })
		if err != nil {
			return err
		}
	}
	return nil
}

// maximumScripts bounds the scripts at the same time: more of them take so much of the machine that the reaction times
// of the instances are no longer their own.
var maximumScripts = make(chan struct{}, 8)

type fleetKey struct{}

// Guards against failures that appear only between real processes; each script names its own.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		Setup: func(e *testscript.Env) error {
			maximumScripts <- struct{}{}
			f, err := newFleet(e.WorkDir)
			if err != nil {
				<-maximumScripts
				return err
			}
			e.Defer(func() {
				f.close()
				<-maximumScripts
			})
			e.Values[fleetKey{}] = f
			e.Setenv("PATH", binaries+string(os.PathListSeparator)+e.Getenv("PATH"))
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"links": script((*fleet).commandLinks), "fleet": script((*fleet).commandFleet), "platform": script((*fleet).commandPlatform),
			"database": script((*fleet).commandDatabase), "group": script((*fleet).commandGroup),
			"instance": script((*fleet).commandInstance), "await": script((*fleet).commandAwait),
			"signal": script((*fleet).commandSignal), "exits": script((*fleet).commandExits),
			"cut": script((*fleet).commandCut), "heal": script((*fleet).commandHeal), "reset": script((*fleet).commandReset),
			"latency": script((*fleet).commandLatency), "fault": script((*fleet).commandFault), "spent": script((*fleet).commandSpent),
			"leaving": script((*fleet).commandLeaving), "work": script((*fleet).commandWork),
			"primary": script((*fleet).commandPrimary), "failure": script((*fleet).commandFailure),
			"key": script((*fleet).commandKey), "call": script((*fleet).commandCall),
			"load": script((*fleet).commandLoad), "ledger": script((*fleet).commandLedger),
			"race": script((*fleet).commandRace), "configuration": script((*fleet).commandConfiguration),
			"holder": script((*fleet).commandHolder), "sleep": script((*fleet).commandSleep), "dump": script((*fleet).commandDump),
		},
	})
}

// script adapts a command of a fleet. A failed command prints the ends of the processes' logs.
func script(command func(*fleet, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, negated bool, arguments []string) {
		f, _ := ts.Value(fleetKey{}).(*fleet)
		f.logf, f.setenv = ts.Logf, ts.Setenv
		err := command(f, arguments)
		switch {
		case negated && err == nil:
			ts.Fatalf("the command succeeded")
		case !negated && err != nil:
			_ = f.commandDump(nil)
			ts.Fatalf("%v", err)
		}
	}
}
