// Command standin plays the outside of a small deployment for the cases in review: the metadata store, the promotion call,
// database servers and clients, all on loopback. It starts the daemons as separate processes, plays one scenario, and
// writes what was sent, answered and run to record.txt.
//
// # Usage
//
//	review-standin --scenario late-order --record review/1/record.txt --program "target/tanagercrossd platform"
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the scenario could not run. With TROUBLE=0 in the
// environment the scenario is played without its disruption.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errCannotRun means that the scenario could not be set up.
var errCannotRun = errors.New("the scenario cannot run")

// record is the log of a scenario.
type record struct {
	mu      sync.Mutex
	started time.Time
	file    *os.File
	broken  []string
	told    map[string]bool // ids of the statements whose success a client was told
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{started: time.Now(), file: f, told: map[string]bool{}}, nil
}

// notef writes one line with the time since the start.
func (r *record) notef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
}

// breakf records that a rule was broken.
func (r *record) breakf(format string, args ...any) {
	r.notef("BROKEN "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
}

// tell records that a client was told of the success of a statement, and wasTold reports it.
func (r *record) tell(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.told[id] = true
}

func (r *record) wasTold(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.told[id]
}

func (r *record) brokenCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.broken)
}

// scenario plays one case. trouble is false if the disruption is left out.
type scenario func(d *deployment, trouble bool) error

var scenarios = map[string]scenario{}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("scenario", "", "name of the scenario")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	program := flag.String("program", "target/tanagercrossd platform", "program and arguments of a daemon")
	flag.Parse()
	play, ok := scenarios[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown scenario", *name)
		return exitNotRun
	}
	r, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = r.file.Close() }()
	d, err := newDeployment(r, *program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		d.stop()
		os.Exit(exitNotRun)
	}()
	if err := play(d, os.Getenv("TROUBLE") != "0"); err != nil {
		r.notef("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if n := r.brokenCount(); n > 0 {
		fmt.Printf("broken: %d, the first: %s\n", n, r.broken[0])
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}
