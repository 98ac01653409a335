// Command tanagercross is the operators' tool.
//
// # Usage
//
//	tanagercross config check fleet.yaml
//	tanagercross config show --url http://127.0.0.1:8082 --secret-file operator.secret
//	tanagercross config apply fleet.yaml --base-version 7 --by ana --reason "threshing season"
//	tanagercross config history --limit 5 --json
//	tanagercross key issue --organisation sertao_coop --by ana
//	tanagercross key withdraw --hash 9f86... --by ana --reason "lost phone"
//	tanagercross status --json
//	tanagercross demo
//	tanagercross experiment list
//	tanagercross experiment run failover latency --seed 7 --report reports
//	tanagercross experiment run all --brief
//
// The base URL comes from --url or TANAGERCROSS_URL, the secret from --secret-file, TANAGERCROSS_OPERATOR_SECRET_FILE or
// TANAGERCROSS_OPERATOR_SECRET, in this order.
//
// # Exit codes
//
//	0  done; a change is in force everywhere
//	1  failed; nothing was changed
//	2  wrong usage
//	3  conflict: another change was first
//	4  refused by the members, or committed but not yet in force
//	5  outcome unknown: the answer was lost
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"tanagercross/internal/fleet/configuration"
	"tanagercross/internal/instance/operator"
)

// Exit codes.
const (
	exitDone     = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
	exitRefused  = 4
	exitUnknown  = 5
)

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	o, command, err := parse(arguments)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	t := &tool{options: o, out: os.Stdout, errors: os.Stderr}
	return t.exit(command(ctx, t))
}

// tool runs one command.
type tool struct {
	options options
	out     io.Writer
	errors  io.Writer
}

// errNotInForce marks a change that is committed but not yet known to every fresh instance.
var errNotInForce = errors.New("committed, but not yet in force; see tanagercross status")

// exit reports an error and returns the exit code that belongs to it.
func (t *tool) exit(err error) int {
	if err == nil {
		return exitDone
	}
	var u *usageError
	if errors.As(err, &u) {
		fmt.Fprintln(t.errors, err)
		return exitUsage
	}
	code, kind := exitFailed, "failed"
	var e *operator.Error
	switch {
	case errors.Is(err, errNotMet):
		kind = "not_met"
	case errors.Is(err, errNotInForce):
		code, kind = exitRefused, "not_in_force"
	case errors.As(err, &e):
		kind = string(e.Kind)
		switch e.Kind {
		case operator.Conflict:
			code = exitConflict
		case operator.Refused:
			code = exitRefused
		case operator.Unknown:
			code = exitUnknown
		default:
		}
	}
	if t.options.json {
		t.report(kind, err, e)
		return code
	}
	fmt.Fprintln(t.errors, err)
	return code
}

// failure is an error on standard error with --json.
type failure struct {
	Kind     string                  `json:"kind"`
	Message  string                  `json:"message"`
	Winner   *operator.Winner        `json:"winner,omitempty"`
	Problems []configuration.Problem `json:"problems,omitempty"`
}

func (t *tool) report(kind string, err error, e *operator.Error) {
	f := failure{Kind: kind, Message: err.Error()}
	var c *configuration.Error
	switch {
	case e != nil:
		f.Winner, f.Problems = e.Winner, e.Problems
	case errors.As(err, &c):
		f.Kind, f.Problems = string(c.Kind), c.Problems
	}
	_ = json.NewEncoder(t.errors).Encode(f)
}

// print writes a result as JSON or as text.
func (t *tool) print(result any, text func(w io.Writer)) error {
	if !t.options.json {
		text(t.out)
		return nil
	}
	encoder := json.NewEncoder(t.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(result)
}
