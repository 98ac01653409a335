// Package scenario_test runs the scripted scenarios of testdata/script against the real programs.
//
// # Usage
//
//	go test ./test/scenario                                    # every script, and one run of TestFailoverGaps
//	go test ./test/scenario -run 'TestScripts/primary_killed'  # one script
//	TANAGERCROSS_RUNS=20 go test ./test/scenario -run TestFailoverGaps -v -timeout 30m
//
// Deadlines in the scripts are targets of docs/design.md.
package scenario_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"tanagercross/internal/tool/deployment"
	"tanagercross/internal/tool/scenario"
)

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	release, err := deployment.Exclusive()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer release()
	remove, err := scenario.Build(filepath.Join("..", ".."))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer remove()
	return m.Run()
}

// Guards against failures that appear only between real processes; each script names its own.
func TestScripts(t *testing.T) { testscript.Run(t, scenario.Params("testdata/script")) }
