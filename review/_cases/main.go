// Command cases plays the scripts of the second review. Each starts stand-ins of the platform, of three database servers and
// of clients, and the project's daemon as separate processes, and checks one rule.
//
// # Usage
//
//	cases NAME RECORD
//
// It runs in the root of the repository and writes what happened to the file RECORD. With TROUBLE=0 in the environment, the
// disruption is left out. The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	held = iota
	broken
	failed
)

// play is one case. It returns the exit code, or an error if it could not run.
type play func(r *recorder, trouble bool) (int, error)

var plays = map[string]play{
	"forgotten-replicas": playForgottenReplicas,
	"unlisted-replica":   playUnlistedReplica,
	"former-primary":     playFormerPrimary,
	"repeated-opening":   playRepeatedOpening,
	"reborn-replica":     playRebornReplica,
}

func main() { os.Exit(run(os.Args)) }

func run(arguments []string) int {
	if len(arguments) != 3 || plays[arguments[1]] == nil {
		fmt.Fprintln(os.Stderr, "want NAME RECORD")
		return failed
	}
	r, err := newRecorder(arguments[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer r.close()
	code, err := plays[arguments[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	r.printf("exit code %d", code)
	return code
}
