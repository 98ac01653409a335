package fleet_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"tanagercross/internal/instance/operator"
	"tanagercross/internal/organisation/key"
)

// Guards P4: a request that runs for another organisation than that of its key, by a mixed-up connection, a foreign
// session token, a foreign transaction or the id of a foreign request.
func TestRequestRunsForItsOrganisation(t *testing.T) {
	f := start(t, 3, 3)
	var names []string
	for name := range f.Keys {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		f.must(0, write(f.Keys[name], "CREATE TABLE mark (v text)"))
		f.must(1, write(f.Keys[name], "INSERT INTO mark VALUES ('"+name+"')"))
	}
	r := random(t)
	var callers sync.WaitGroup
	for range 12 {
		order, at := r.Perm(len(names)), r.IntN(3)
		callers.Go(func() {
			for n := range 15 {
				name := names[order[n%len(order)]]
				q := read(f.Keys[name], "SELECT v FROM mark")
				q.body["primary"] = n%2 == 0
				if got := f.call((at+n)%3, q); got.Outcome == "done" && len(got.values()) > 0 && !slices.Equal(got.values(), []string{name}) {
					t.Errorf("%s read %v", name, got.values())
				}
			}
		})
	}
	callers.Wait()
	mine, other := f.Keys[names[0]], f.Keys[names[1]]
	held := f.must(0, read(other, "SELECT v FROM mark"))
	foreign := read(mine, "SELECT v FROM mark")
	foreign.token = held.SessionToken
	begun := f.must(0, request{key: other.Reveal(), path: "/v1/groups/" + group + "/transactions"})
	// The holder's own session does not help without its key.
	inside := request{
		key: mine.Reveal(), token: begun.SessionToken, path: "/v1/transactions/" + begun.Transaction + "/statements",
		body: map[string]any{"sql": "SELECT v FROM mark"},
	}
	unknown, err := key.New()
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name   string
		call   request
		reason string
	}{
		{"foreign token", foreign, "token_foreign"},
		{"foreign transaction", inside, "token_foreign"},
		{"transaction of another session", request{key: other.Reveal(), path: inside.path, body: inside.body}, "transaction_foreign"},
		{"unknown key", read(unknown, "SELECT 1"), "key_unknown"},
		{"no key", request{body: map[string]any{"mode": "read", "sql": "SELECT 1"}}, "key_missing"},
	} {
		for i := range 3 {
			got := f.call(i, c.call)
			if got.Outcome != "not_run" || got.Reason != c.reason {
				t.Errorf("%s at instance %d: %d %s", c.name, i, got.Status, got.body)
			}
		}
	}
	f.must(0, request{key: other.Reveal(), token: begun.SessionToken, path: "/v1/transactions/" + begun.Transaction + "/rollback"})
	for _, name := range names {
		rows, err := f.Primary(group).Dump(name, "SELECT v FROM mark")
		if err != nil || len(rows) != 1 || rows[0][0] != name {
			t.Errorf("schema of %s holds %v, %v", name, rows, err)
		}
	}
}

// Guards P5: a key that reaches a database, a log line, a metric or an error body, by requests of every kind and under
// every kind of refusal.
func TestDatabaseNeverSeesKey(t *testing.T) {
	f := start(t, 3, 2)
	var secrets []string
	for _, k := range f.Keys {
		secrets = append(secrets, k.Reveal())
	}
	k := f.Keys["sertao_coop"]
	unknown, err := key.New()
	if err != nil {
		t.Fatal(err)
	}
	const malformed = "tc_malformed-but-secret-0123456789abcdefghij"
	secrets = append(secrets, unknown.Reveal(), malformed)
	f.must(0, write(k, "CREATE TABLE mark (v text)"))
	begun := f.must(0, request{key: k.Reveal(), path: "/v1/groups/" + group + "/transactions"})
	transaction := "/v1/transactions/" + begun.Transaction
	calls := []request{
		read(k, "SELECT v FROM mark"), write(k, "INSERT INTO mark VALUES ('x')"), read(k, "SELECT nonsense FROM nowhere"),
		read(unknown, "SELECT 1"),
		{key: malformed, body: map[string]any{"mode": "read", "sql": "SELECT 1"}},
		{key: k.Reveal(), path: "/v1/groups/none/statements", body: map[string]any{"mode": "read", "sql": "SELECT 1"}},
		{key: k.Reveal(), token: "bad", body: map[string]any{"mode": "read", "sql": "SELECT 1"}},
		{key: k.Reveal(), body: map[string]any{"mode": "read", "sql": strings.Repeat("x", 70_000)}},
		{key: k.Reveal(), body: map[string]any{"mode": "neither", "sql": "SELECT 1"}},
		{key: k.Reveal(), body: map[string]any{}},
		{key: k.Reveal(), token: begun.SessionToken, path: transaction + "/statements", body: map[string]any{"sql": "INSERT INTO mark VALUES ('y')"}},
		{key: unknown.Reveal(), path: transaction + "/commit"},
		{key: k.Reveal(), token: begun.SessionToken, path: transaction + "/commit"},
		{key: k.Reveal(), path: transaction + "/rollback"},
		{key: k.Reveal(), path: "/v1/nowhere"},
		{key: k.Reveal(), method: http.MethodGet, path: "/v1/groups/" + group + "/requests/" + uuid.NewString()},
	}
	var bodies strings.Builder
	refused := 0
	for i := range 3 {
		for _, c := range calls {
			got := f.call(i, c)
			if got.Outcome != "done" {
				refused++
			}
			bodies.WriteString(got.body)
		}
	}
	change := uuid.NewString()
	if _, err := f.Operator(0).WithdrawKey(t.Context(), operator.Withdrawal{Hash: k.Hash(), Author: "a", Reason: "b", ChangeID: change}); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		bodies.WriteString(f.call(i, read(k, "SELECT 1")).body)
		bodies.WriteString(f.metrics(i))
	}
	if !strings.Contains(bodies.String(), "key_withdrawn") || refused < 30 || !f.toDB.contains("INSERT INTO mark") {
		t.Errorf("%d refusals, or the search does not see what is searched", refused)
	}
	for n, secret := range secrets {
		for _, form := range []string{secret, strings.TrimPrefix(secret, "tc_")} {
			if f.toDB.contains(form) || f.logged.contains(form) || strings.Contains(bodies.String(), form) {
				t.Errorf("key %d: in the bytes to the databases %t, logged %t, answered %t", n,
					f.toDB.contains(form), f.logged.contains(form), strings.Contains(bodies.String(), form))
			}
		}
	}
}

// metrics returns the /metrics page of an instance.
func (f *fleet) metrics(instance int) string {
	q, err := http.NewRequestWithContext(f.t.Context(), http.MethodGet, "http://"+f.Instances[instance].OperatorsAddress()+"/metrics", nil)
	if err != nil {
		f.t.Fatal(err)
	}
	q.Header.Set("Authorization", "Bearer "+f.OperatorSecret())
	w, err := http.DefaultClient.Do(q)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = w.Body.Close() }()
	page, err := io.ReadAll(w.Body)
	if err != nil || !strings.Contains(string(page), "tanagercross") {
		f.t.Fatalf("metrics: %v %s", err, page)
	}
	return string(page)
}

// Guards P6: a withdrawn key that goes on working, for connected callers, inside a transaction, for queued work, and at an
// instance that is cut off from the store and from its peers and cannot know of the withdrawal.
func TestWithdrawnKeyStops(t *testing.T) {
	f := start(t, 5, 3)
	k, away := f.Keys["sertao_coop"], f.laneHolder(2)
	f.must(0, write(k, "CREATE TABLE mark (v text)"))
	f.must(away, read(k, "SELECT v FROM mark"))
	begun := f.must(1, request{key: k.Reveal(), path: "/v1/groups/" + group + "/transactions"})
	inside := request{
		key: k.Reveal(), token: begun.SessionToken, path: "/v1/transactions/" + begun.Transaction + "/statements",
		body: map[string]any{"sql": "INSERT INTO mark VALUES ('inside')"},
	}
	f.must(1, inside)
	var mu sync.Mutex
	last := make([]time.Time, 5) // when the last request that was done had started
	watching, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for i := range 5 {
		for _, q := range []request{read(k, "SELECT v FROM mark"), write(k, "INSERT INTO mark VALUES ('late')")} {
			callers.Go(func() {
				for watching.Err() == nil {
					started := time.Now()
					if f.call(i, q).Outcome == "done" {
						mu.Lock()
						last[i] = started
						mu.Unlock()
					}
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(500 * time.Millisecond)
	f.isolate(away, true)
	cutAt := time.Now()
	at := time.Now()
	done := make(chan error, 1)
	go func() {
		_, err := f.Operator(0).WithdrawKey(t.Context(), operator.Withdrawal{
			Hash: k.Hash(), Author: "ana", Reason: "lost", ChangeID: uuid.NewString(),
		})
		done <- err
	}()
	time.Sleep(8 * time.Second)
	if err := <-done; err != nil {
		t.Errorf("the withdrawal: %v", err)
	}
	stop()
	callers.Wait()
	for i, l := range last {
		limit, from := 3*time.Second, at
		if i == away {
			limit, from = 5*time.Second, cutAt
		}
		t.Logf("instance %d: last request done started %v after the withdrawal", i, l.Sub(from).Round(time.Millisecond))
		if l.IsZero() || l.Sub(from) > limit {
			t.Errorf("instance %d served the key until %v after the withdrawal, limit %v", i, l.Sub(from), limit)
		}
	}
	if got := f.call(1, inside); got.Outcome == "done" {
		t.Error("a transaction goes on under a withdrawn key")
	}
	commit := request{key: k.Reveal(), token: begun.SessionToken, path: "/v1/transactions/" + begun.Transaction + "/commit"}
	if got := f.call(1, commit); got.Outcome == "done" {
		t.Error("a transaction commits under a withdrawn key")
	}
	if rows, err := f.Primary(group).Dump("sertao_coop", "SELECT v FROM mark WHERE v = 'inside'"); err != nil || len(rows) != 0 {
		t.Errorf("the transaction took effect: %v %v", rows, err)
	}
	if got := f.call(away, read(f.Keys["agreste_coop"], "SELECT 1")); got.Outcome == "done" {
		t.Error("an instance that is cut off from the store and its peers serves")
	}
	f.isolate(away, false)
	var status struct{ Fresh bool }
	for end := time.Now().Add(10 * time.Second); !status.Fresh && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		s, err := f.Operator(away).Status(t.Context())
		status.Fresh = err == nil && s.Fresh
	}
	if got := f.call(away, read(k, "SELECT v FROM mark")); got.Reason != "key_withdrawn" {
		data, _ := json.Marshal(got)
		t.Errorf("after the cut: %s", data)
	}
}

// laneHolder returns an instance from a number on that holds a lane, so that it could serve without its peers.
func (f *fleet) laneHolder(from int) int {
	f.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for i := from; i < len(f.Instances); i++ {
			s, err := f.Operator(i).Status(f.t.Context())
			if err == nil && len(s.Groups) == 1 && s.Groups[0].Lanes > 0 {
				return i
			}
		}
	}
	f.t.Fatal("no instance holds a lane")
	return 0
}
