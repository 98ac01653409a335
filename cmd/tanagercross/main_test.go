package main

import (
	"context"
	"errors"
	"net/http/httptest"
	"os/exec"
	"strconv"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"tanagercross/internal/instance/operator"
	"tanagercross/internal/tool/deployment"
)

const testSecret = "operator-secret-operator-secret-"

func TestMain(m *testing.M) { testscript.Main(m, map[string]func(){"tanagercross": main}) }

// fakeControl answers by the base version of a proposal.
type fakeControl struct{ operator.Control }

func (fakeControl) Configuration(context.Context) (operator.Configuration, error) {
	return operator.Configuration{Version: 7, Author: "ana"}, nil
}

func (fakeControl) Apply(_ context.Context, p operator.Proposal) (operator.Change, error) {
	switch p.BaseVersion {
	case 6:
		return operator.Change{}, &operator.Error{Kind: operator.Conflict, Winner: &operator.Winner{Version: 7, Author: "ana"}}
	case 5:
		return operator.Change{}, &operator.Error{Kind: operator.Refused}
	case 3:
		return operator.Change{}, errors.New("the store's answer was lost")
	}
	return operator.Change{Version: p.BaseVersion + 1, InForce: p.BaseVersion == 7}, nil
}

func (fakeControl) History(context.Context, int) ([]operator.HistoryEntry, error) {
	return []operator.HistoryEntry{{Version: 7}}, nil
}

func (fakeControl) IssueKey(context.Context, operator.Issue) (operator.Change, error) {
	return operator.Change{InForce: true}, nil
}

func (fakeControl) WithdrawKey(context.Context, operator.Withdrawal) (operator.Change, error) {
	return operator.Change{InForce: true}, nil
}

func (fakeControl) Status(context.Context) (operator.Status, error) {
	return operator.Status{Name: "a1", Place: "agreste"}, nil
}

// Guards against exit codes that differ from the documented ones, in a real process.
func TestScripts(t *testing.T) {
	release, err := deployment.Exclusive()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	server := httptest.NewServer(operator.NewServer(fakeControl{}, operator.Options{Secret: testSecret}))
	t.Cleanup(server.Close) // the scripts run in parallel subtests, which outlive this function
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(e *testscript.Env) error {
			e.Setenv(urlVariable, server.URL)
			e.Setenv(secretVariable, testSecret)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"exits": exits},
	})
}

// exits runs a program and requires its exit code.
func exits(ts *testscript.TestScript, _ bool, arguments []string) {
	err := ts.Exec(arguments[1], arguments[2:]...)
	code := 0
	if e := (*exec.ExitError)(nil); errors.As(err, &e) {
		code = e.ExitCode()
	}
	if strconv.Itoa(code) != arguments[0] {
		ts.Fatalf("%v: exit code %d: %v", arguments, code, err)
	}
}
