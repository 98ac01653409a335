package operator_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"tanagercross/internal/fleet/configuration"
	"tanagercross/internal/instance/metric"
	"tanagercross/internal/instance/operator"
	"tanagercross/internal/organisation/key"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const secret = "operator-secret-operator-secret-"

type fakeControl struct {
	proposal operator.Proposal
	issue    operator.Issue
	err      error
}

func (c *fakeControl) Configuration(context.Context) (operator.Configuration, error) {
	return operator.Configuration{Version: 7, Author: "ana", Document: "defaults: {burst: 500}\n"}, nil
}

func (c *fakeControl) Apply(_ context.Context, p operator.Proposal) (operator.Change, error) {
	c.proposal = p
	return operator.Change{ChangeID: p.ChangeID, Version: p.BaseVersion + 1, InForce: true}, c.err
}

func (c *fakeControl) History(_ context.Context, limit int) ([]operator.HistoryEntry, error) {
	return make([]operator.HistoryEntry, limit), nil
}

func (c *fakeControl) IssueKey(_ context.Context, i operator.Issue) (operator.Change, error) {
	c.issue = i
	return operator.Change{Version: 3}, c.err
}

func (c *fakeControl) WithdrawKey(context.Context, operator.Withdrawal) (operator.Change, error) {
	return operator.Change{}, c.err
}

func (c *fakeControl) Status(context.Context) (operator.Status, error) {
	return operator.Status{Name: "a1"}, c.err
}

func start(t *testing.T, c operator.Control) (url string, log *bytes.Buffer) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log = &bytes.Buffer{}
	s := operator.NewServer(c, operator.Options{Secret: secret, Log: slog.New(slog.NewJSONHandler(log, nil)), Metrics: metric.New().Handler()})
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if err := s.Shutdown(ctx); err != nil {
			t.Error(err)
		}
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return "http://" + l.Addr().String(), log
}

// Guards against parts of calls that are lost on the way, and against a key in the log or at the control.
func TestCalls(t *testing.T) {
	control, ctx := &fakeControl{}, context.Background()
	url, log := start(t, control)
	c := operator.NewClient(url+"/", secret)
	change, err := c.Apply(ctx, operator.Proposal{BaseVersion: 7, Document: "defaults: {burst: 600}", Author: "ana", Reason: "season"})
	if err != nil || change.Version != 8 || !change.InForce || control.proposal.ChangeID == "" {
		t.Errorf("apply: %+v %v", change, err)
	}
	checked, err := c.Check(ctx, []byte("defaults: {burst: 600}"))
	if err != nil || checked.Version != 7 || len(checked.Diff) != 1 || checked.Diff[0].Before != "500" {
		t.Errorf("check: %+v %v", checked, err)
	}
	issued, err := c.IssueKey(ctx, operator.IssueRequest{Organisation: "sertao_coop", Author: "ana"})
	if err != nil || key.HashOf(issued.Key) != control.issue.Hash || control.issue.Organisation != "sertao_coop" {
		t.Errorf("issue: %v", err)
	}
	if strings.Contains(log.String(), issued.Key) || strings.Contains(log.String(), secret) {
		t.Error("the log shows a key or the secret")
	}
	if entries, err := c.History(ctx, 3); err != nil || len(entries) != 3 {
		t.Errorf("history: %v %v", entries, err)
	}
	if status, err := c.Status(ctx); err != nil || status.Name != "a1" {
		t.Errorf("status: %+v %v", status, err)
	}
	if shown, err := c.Configuration(ctx); err != nil || shown.Version != 7 {
		t.Errorf("show: %+v %v", shown, err)
	}
}

// Guards against access without the secret, on any route.
func TestSecretIsRequired(t *testing.T) {
	url, _ := start(t, &fakeControl{})
	for _, given := range []string{"", "Bearer", "Bearer " + secret + "x", secret} {
		for _, path := range []string{"/v1/status", "/metrics", "/none"} {
			r, _ := http.NewRequest("GET", url+path, nil)
			r.Header.Set("Authorization", given)
			w, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
			if err != nil {
				t.Fatal(err)
			}
			body, _ := io.ReadAll(w.Body)
			_ = w.Body.Close()
			if w.StatusCode != 401 || strings.Contains(string(body), secret) {
				t.Errorf("%s with %q: %d", path, given, w.StatusCode)
			}
		}
	}
	if _, err := operator.NewClient(url, secret+"x").Status(context.Background()); operator.KindOf(err) != operator.Unauthorized || strings.Contains(err.Error(), secret) {
		t.Errorf("client: %v", err)
	}
}

// Guards against faults without a type: invalid input, a lost race, a lost answer, an absent instance.
func TestFaults(t *testing.T) {
	control, ctx := &fakeControl{}, context.Background()
	url, _ := start(t, control)
	c := operator.NewClient(url, secret)
	apply := func(p operator.Proposal) error { _, err := c.Apply(ctx, p); return err }
	good := operator.Proposal{Document: "defaults: {burst: 600}", Author: "ana", Reason: "season"}
	_, noHash := c.WithdrawKey(ctx, operator.Withdrawal{Author: "a", Reason: "r"})
	_, badLimit := c.History(ctx, 0)
	_, large := c.Check(ctx, bytes.Repeat([]byte("#"), 1<<20+1))
	expect := func(err error, kind operator.Kind, want string) {
		t.Helper()
		if operator.KindOf(err) != kind || !strings.Contains(fmt.Sprint(err), want) {
			t.Errorf("got %v, want %s %s", err, kind, want)
		}
	}
	expect(apply(operator.Proposal{Document: "defaults: {burst: 0}", Author: "a", Reason: "r"}), operator.Invalid, "line 1: defaults.burst: value 0; allowed: 1 to 2000000")
	expect(apply(operator.Proposal{Document: "", Author: "a"}), operator.Invalid, "reason: value (absent)")
	expect(apply(operator.Proposal{Author: "a", Reason: "r", ChangeID: "x"}), operator.Invalid, "change_id: value x; allowed: a UUID")
	expect(noHash, operator.Invalid, "hash: value (absent)")
	expect(badLimit, operator.Invalid, "limit: value 0; allowed: 1 to 1000")
	expect(large, operator.Invalid, "at most 1048576 bytes")
	expect(apply(operator.Proposal{Author: "a\x1b[2J", Reason: "r"}), operator.Invalid, "printable text on one line")
	_, badName := c.IssueKey(ctx, operator.IssueRequest{Organisation: "A'", Author: "a"})
	expect(badName, operator.Invalid, `organisation: value "A'"; allowed: 1 to 64 of a-z`)
	control.err = &operator.Error{Kind: operator.Conflict, Winner: &operator.Winner{Version: 8, Author: "rui"}}
	expect(apply(good), operator.Conflict, "version 8 by rui was first")
	control.err = &operator.Error{Kind: operator.Refused, Problems: []configuration.Problem{{Path: "member b2"}}}
	expect(apply(good), operator.Refused, "member b2")
	control.err = fmt.Errorf("connection reset")
	expect(apply(good), operator.Unknown, "connection reset")
	_, status := c.Status(ctx)
	expect(status, operator.Unavailable, "connection reset")
	_, absent := operator.NewClient("http://127.0.0.1:1", secret).IssueKey(ctx, operator.IssueRequest{})
	expect(absent, operator.Unavailable, "refused")
}
