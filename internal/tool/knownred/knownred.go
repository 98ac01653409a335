// Package knownred reads KNOWN-RED.txt, the list of tests that fail because of faults that are not mended yet.
//
// # Usage
//
//	func TestRepeatedAnswers(t *testing.T) {
//		knownred.Skip(t, *red)
//		...
//	}
//
// An entry is one line: the name of the test, " | ", the command and seed, " | ", what was seen, " | ", the issue.
package knownred

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/rotisserie/eris"
)

const (
	fileName  = "KNOWN-RED.txt"
	separator = " | "
)

// Names returns the first field of each entry, or nothing if there is no list.
func Names() ([]string, error) {
	directory, err := os.Getwd()
	if err != nil {
		return nil, eris.Wrap(err, "working directory")
	}
	for {
		if _, err := os.Stat(filepath.Join(directory, "go.mod")); err == nil {
			break
		}
		parent := filepath.Dir(directory)
		if parent == directory {
			return nil, eris.New("no go.mod above the working directory")
		}
		directory = parent
	}
	text, err := os.ReadFile(filepath.Join(directory, fileName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, fileName)
	}
	return names(string(text)), nil
}

func names(text string) []string {
	var all []string
	for line := range strings.Lines(text) {
		if name, _, ok := strings.Cut(line, separator); ok {
			all = append(all, name)
		}
	}
	return all
}

// Skip skips a test that is listed under its whole name, with a line that says so, unless listed tests are to run.
func Skip(t *testing.T, run bool) {
	t.Helper()
	all, err := Names()
	if err != nil {
		t.Fatal(err)
	}
	if slices.Contains(all, t.Name()) && !run {
		t.Skipf("%s is listed in %s; -red runs it", t.Name(), fileName)
	}
}
