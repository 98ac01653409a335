package scenario

import (
	"context"
	"strconv"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"tanagercross/internal/tool/load"
)

const (
	readyTimeout = 30 * time.Second
	pollPeriod   = 50 * time.Millisecond
)

// commandLinks: links
//
// Puts a proxy between the processes that start later, so that cuts, latency and resets are possible.
func (f *fleet) commandLinks([]string) error {
	f.useLinks()
	return nil
}

// commandPlatform: platform start [NAME=PLACE...]
//
// The arguments are the platform's list of instances.
func (f *fleet) commandPlatform(arguments []string) error {
	if len(arguments) == 0 {
		return eris.New("usage: platform start [NAME=PLACE...]")
	}
	return f.startPlatform(arguments[1:])
}

// commandDatabase: database start NAME [primary]
func (f *fleet) commandDatabase(arguments []string) error {
	if err := expect(arguments, 2, 3, "database start NAME [primary]"); err != nil {
		return err
	}
	return f.startDatabase(arguments[1], len(arguments) == 3)
}

// commandGroup: group start
//
// Starts the three servers of the group; the first one is primary.
func (f *fleet) commandGroup([]string) error {
	for i, name := range servers {
		if err := f.startDatabase(name, i == 0); err != nil {
			return err
		}
	}
	return nil
}

// commandInstance: instance start NAME PLACE
func (f *fleet) commandInstance(arguments []string) error {
	if err := expect(arguments, 3, 3, "instance start NAME PLACE"); err != nil {
		return err
	}
	return f.startInstance(arguments[1], arguments[2])
}

// commandAwait: await ready | await working
//
// Waits until every running instance is ready, or also until a write of every organisation with a key is done, which
// takes until the homes of a new fleet have their leases.
func (f *fleet) commandAwait(arguments []string) error {
	arguments, o := splitOptions(arguments)
	limit := o.duration("within", readyTimeout)
	if err := expect(arguments, 1, 1, "await ready|working [within=30s]"); err != nil {
		return err
	}
	if err := o.finish(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for _, name := range f.runningInstances() {
		for !f.ready(name) {
			if ctx.Err() != nil {
				return eris.Errorf("%s is not ready after %s", name, limit)
			}
			time.Sleep(pollPeriod)
		}
	}
	if arguments[0] == "ready" {
		return nil
	}
	for {
		err := load.Prepare(ctx, f.loadOptions(loadShape{rate: 1, sessions: 1}))
		if err == nil || ctx.Err() != nil {
			return err
		}
	}
}

// commandSignal: signal NAME KILL|STOP|CONT|TERM
func (f *fleet) commandSignal(arguments []string) error {
	if err := expect(arguments, 2, 2, "signal NAME KILL|STOP|CONT|TERM"); err != nil {
		return err
	}
	signals := map[string]syscall.Signal{
		"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM,
	}
	s, ok := signals[arguments[1]]
	if !ok {
		return eris.Errorf("signal %q", arguments[1])
	}
	p, err := f.process(arguments[0])
	if err != nil {
		return err
	}
	return p.signal(s)
}

// commandExits: exits NAME CODE
//
// Waits for the end of a process and requires its exit code.
func (f *fleet) commandExits(arguments []string) error {
	if err := expect(arguments, 2, 2, "exits NAME CODE"); err != nil {
		return err
	}
	p, err := f.process(arguments[0])
	if err != nil {
		return err
	}
	code, err := p.exitCode(exitTimeout)
	if err != nil {
		return err
	}
	if strconv.Itoa(code) != arguments[1] {
		return eris.Errorf("%s: exit code %d, want %s", arguments[0], code, arguments[1])
	}
	return nil
}

// commandSleep: sleep DURATION
func (f *fleet) commandSleep(arguments []string) error {
	if err := expect(arguments, 1, 1, "sleep DURATION"); err != nil {
		return err
	}
	d, err := time.ParseDuration(arguments[0])
	time.Sleep(d)
	return eris.Wrap(err, "sleep")
}

// commandDump: dump
//
// Prints the ends of the logs of all processes.
func (f *fleet) commandDump([]string) error {
	for _, p := range f.order {
		f.logf("--- %s (running: %t)\n%s", p.name, p.running(), p.tail())
	}
	return nil
}
