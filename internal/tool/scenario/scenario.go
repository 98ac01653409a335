// Package scenario is a small test language for the real programs: a script starts a platform stand-in, database
// stand-ins and instances as processes on loopback, and brings failures about between and inside them. It uses testscript
// for the language and toxiproxy for the links.
//
// # Usage
//
//	close, err := scenario.Build(filepath.Join("..", "..")) // in TestMain
//	...
//	testscript.Run(t, scenario.Params("testdata/script"))
//
// TANAGERCROSS_LOGS names a directory that keeps the output of the processes. The commands of the scripts are described
// where they are defined, in the files command_*.go.
package scenario

import (
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rotisserie/eris"

	"tanagercross/internal/tool/ledger"
)

const (
	steadyTime   = 2 * time.Second
	afterFailure = 8 * time.Second
)

// binaries is the directory of the programs under test.
var binaries string

// Build builds the programs of the source tree. The returned function removes them.
func Build(root string) (remove func(), err error) {
	directory, err := os.MkdirTemp("", "scenario-")
	if err != nil {
		return nil, eris.Wrap(err, "directory of the programs")
	}
	remove = func() { _ = os.RemoveAll(directory) }
	if err := trackSources(root); err != nil {
		remove()
		return nil, err
	}
	build := exec.Command("go", "build", "-o", directory, "./cmd/...")
	build.Dir = root
	if output, err := build.CombinedOutput(); err != nil {
		remove()
		return nil, eris.Wrapf(err, "build the programs: %s", output)
	}
	binaries = directory
	return remove, nil
}

// trackSources reads the directories of the programs' sources. The go command keeps a test result until something that
// the test has opened changes; it does not see what the build opens, and would show old results for new programs.
func trackSources(root string) error {
	for _, directory := range []string{"cmd", "internal"} {
		err := filepath.WalkDir(filepath.Join(root, directory), func(_ string, _ fs.DirEntry, err error) error { return err })
		if err != nil {
			return eris.Wrap(err, "sources")
		}
	}
	return nil
}

// maximumScripts bounds the scripts at the same time: more of them take so much of the machine that the reaction times
// of the instances are no longer their own.
var maximumScripts = make(chan struct{}, 8)

type fleetKey struct{}

// Params returns the parameters with which testscript runs the scripts of a directory.
func Params(dir string) testscript.Params {
	return testscript.Params{
		Dir:                 dir,
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
	}
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

// KillPrimary starts a fleet in a directory, kills its primary under load and returns what the ledger counted.
func KillPrimary(directory string, logf func(format string, arguments ...any)) (ledger.Report, error) {
	f, err := newFleet(directory)
	if err != nil {
		return ledger.Report{}, err
	}
	f.logf = logf
	defer f.close()
	if err := f.commandFleet([]string{"start"}); err != nil {
		_ = f.commandDump(nil)
		return ledger.Report{}, err
	}
	f.startLoad(loadShape{rate: 20, sessions: 8, writes: 0.5, transactions: 0.2})
	time.Sleep(steadyTime)
	primary, _ := f.primary()
	p, err := f.process(primary)
	if err != nil {
		return ledger.Report{}, err
	}
	_ = f.commandFailure(nil)
	if err := p.signal(syscall.SIGKILL); err != nil {
		return ledger.Report{}, err
	}
	time.Sleep(afterFailure)
	if err := f.stopLoad(-1); err != nil {
		return ledger.Report{}, err
	}
	return f.report()
}
