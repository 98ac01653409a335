package peer_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/operation"
	"tanagercross/internal/fleet/document"
	"tanagercross/internal/fleet/exchange"
	"tanagercross/internal/fleet/freshness"
	"tanagercross/internal/fleet/peer"
	"tanagercross/internal/session/outcome"
)

// services answers with what the test sets and keeps what it got.
type services struct {
	message exchange.Message
	got     exchange.Message
	op      operation.Operation
	ballot  peer.Ballot
	mu      sync.Mutex // a call whose answer nobody awaits still runs when the test goes on
	perform func(context.Context) operation.Reply
}

func (s *services) set(perform func(context.Context) operation.Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.perform, s.op = perform, nil
}

func (s *services) last() operation.Operation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.op
}

func (s *services) Exchange(_ context.Context, m exchange.Message) exchange.Message {
	s.got = m
	return s.message
}

func (s *services) Perform(ctx context.Context, _ string, op operation.Operation) operation.Reply {
	s.mu.Lock()
	s.op = op
	perform := s.perform
	s.mu.Unlock()
	return perform(ctx)
}

func (s *services) Vote(_ context.Context, b peer.Ballot) []int {
	s.ballot = b
	return b.Shards[:1]
}

func (s *services) Take(_ context.Context, _ string, takes []peer.Take) []peer.Grant {
	return []peer.Grant{{Organisation: takes[0].Organisation, Granted: takes[0].Wanted, RetryAfter: time.Second}}
}

func start(t *testing.T, s peer.Services) (string, *peer.Client) {
	t.Helper()
	ignored := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, ignored) })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := peer.NewServer(peer.NewHandler([]byte("secret"), s))
	go func() { _ = server.Serve(l) }()
	c := peer.NewClient([]byte("secret"), nil)
	t.Cleanup(func() {
		c.Close()
		server.Close()
	})
	return l.Addr().String(), c
}

func text(s string) *string { return &s }

var statement = driver.Statement{SQL: "select $1, $2", Arguments: []*string{text(""), nil}}

func operations() []operation.Operation {
	record := driver.Record{RequestID: "id", Fingerprint: "f"}
	return []operation.Operation{
		operation.Read{Organisation: "o", AtLeast: driver.Position{Term: 2, Index: 3}, Statement: statement, Durable: true, KeyHash: "k"},
		operation.Write{Organisation: "o", Term: 4, Record: record, Statement: statement, KeyHash: "k"},
		operation.Begin{Organisation: "o", Session: "s", Term: 4, KeyHash: "h"},
		operation.Run{Organisation: "o", Session: "s", Transaction: "t", Statement: statement},
		operation.Commit{Organisation: "o", Session: "s", Transaction: "t", Record: record},
		operation.Rollback{Organisation: "o", Session: "s", Transaction: "t"},
		operation.Lookup{Organisation: "o", Term: 5, RequestID: "id"},
	}
}

// Guards against fields that are lost on the way, such as NULL turned into an empty text.
func TestRoundTrip(t *testing.T) {
	result := driver.Result{
		Columns: []string{"a"}, Rows: [][]*string{{text("x"), nil}}, RowsAffected: 2,
		Position: driver.Position{Term: 1, Index: 2}, Replayed: true, Truncated: true,
	}
	want := operation.Reply{
		Verdict: outcome.NotRun(outcome.ServerBehind).WithMessage("m"), Result: result, Transaction: "t",
		Record:    driver.RecordState{Found: true, Fingerprint: "f", Result: result, Position: driver.Position{Term: 9}},
		QueueTime: 1, ServiceTime: 2,
	}
	s := &services{perform: func(context.Context) operation.Reply { return want }}
	address, c := start(t, s)
	for _, op := range operations() {
		if d := cmp.Diff(want, c.Perform(t.Context(), address, "server", op)); d != "" {
			t.Error(d)
		}
		if d := cmp.Diff(op, s.last()); d != "" {
			t.Error(d)
		}
	}
	d := document.Document{Name: "keys", Version: 2, Content: []byte{1}, Origins: []document.Origin{{Version: 2, ChangeID: "c"}}}
	s.message = exchange.Message{
		Incarnation: 3, Versions: []document.Version{{Name: "keys", Version: 2}}, Documents: []document.Document{d},
		Ages: []freshness.Age{{Age: 1500 * time.Millisecond}}, RosterVersion: 4, PackedAges: []byte{0, 255},
		MemberDigest: 5, GroupDigest: 6, Confirmations: []document.Confirmation{{ChangeID: "c", Name: "keys", Version: 1}},
		Members: []exchange.MemberState{{
			Member: "a", Incarnation: 1, Sequence: 2, Leaving: true, Lanes: []exchange.Lane{{Server: "s", Lane: 1}},
			Evidence: []exchange.Evidence{{Group: "g", Term: 7}},
		}},
		Groups: []exchange.GroupState{{Group: "g", Term: 7, Primary: "s"}},
	}
	request := s.message
	request.From, request.Confirmations = "b", nil
	request.Bucket, request.MemberBucketDigest, request.GroupBucketDigest = 7, 8, 9
	request.Ages, request.RosterVersion, request.PackedAges = nil, 0, nil
	request.Proposals = []document.Change{{ID: "c", Name: "keys", Base: 2, Author: "x", Content: []byte{2}}}
	answer, err := c.Exchange(t.Context(), address, request)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(s.message, answer) + cmp.Diff(request, s.got); d != "" {
		t.Error(d)
	}
	ballot := peer.Ballot{Candidate: "a", Incarnation: 1, RosterVersion: 2, Shards: []int{3, 4}, Release: true}
	granted, err := c.Vote(t.Context(), address, ballot)
	if d := cmp.Diff([]int{3}, granted) + cmp.Diff(ballot, s.ballot); d != "" || err != nil {
		t.Error(d, err)
	}
	grants, err := c.Take(t.Context(), address, "a", []peer.Take{{Organisation: "o", Wanted: 5}})
	if d := cmp.Diff([]peer.Grant{{Organisation: "o", Granted: 5, RetryAfter: time.Second}}, grants); d != "" || err != nil {
		t.Error(d, err)
	}
}

// Guards against "not run" for a write that may have run, and "unknown" for one that provably was not sent.
func TestFailures(t *testing.T) {
	s := &services{}
	address, c := start(t, s)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	stranger := peer.NewClient([]byte("other"), nil)
	t.Cleanup(stranger.Close)
	abort := func(context.Context) operation.Reply { panic(http.ErrAbortHandler) }
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	// Does not end at the deadline, which the server learns too: its answer could arrive just before the client gives up.
	hang := func(context.Context) operation.Reply { <-release; return operation.Reply{} }
	empty := func(context.Context) operation.Reply { return operation.Reply{} }
	over, cancel := context.WithCancel(t.Context())
	cancel()
	for _, op := range operations() {
		lost := outcome.NotKnown(outcome.AnswerLost)
		late := lost
		switch op.(type) {
		case operation.Read, operation.Lookup, operation.Begin:
			lost, late = outcome.NotRun(outcome.LaneUnavailable), outcome.NotRun(outcome.DeadlineExceeded)
		}
		check := func(step string, got operation.Reply, want outcome.Verdict) {
			t.Helper()
			if got.Verdict.WithMessage("") != want {
				t.Errorf("%T %s: %+v, want %+v", op, step, got.Verdict, want)
			}
		}
		s.set(abort)
		check("answer lost", c.Perform(t.Context(), address, "s", op), lost)
		s.set(hang)
		soon, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		check("deadline", c.Perform(soon, address, "s", op), late)
		cancel()
		s.set(empty)
		check("no outcome", c.Perform(t.Context(), address, "s", op), lost)
		s.set(empty)
		check("refused", c.Perform(t.Context(), l.Addr().String(), "s", op), outcome.NotRun(outcome.LaneUnavailable))
		check("stranger", stranger.Perform(t.Context(), address, "s", op), outcome.NotRun(outcome.LaneUnavailable))
		check("over", c.Perform(over, l.Addr().String(), "s", op), outcome.NotRun(outcome.DeadlineExceeded))
		if s.last() != nil {
			t.Errorf("%T ran for a stranger", op)
		}
	}
	_, err = stranger.Exchange(t.Context(), address, exchange.Message{})
	if peer.KindOf(err) != peer.Denied {
		t.Errorf("stranger: %v", err)
	}
}
