package property_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/session/outcome"
	"tanagercross/internal/tool/ledger"
	"tanagercross/internal/tool/load"
)

// caller is one session that names the instance of each request. Its copies share the connections.
type caller struct {
	*trial
	client       *http.Client
	organisation string
	session      string
	token        string
}

type answer struct {
	Outcome      outcome.Outcome `json:"outcome"`
	Reason       outcome.Reason  `json:"reason"`
	SessionToken string          `json:"session_token"`
	ServedBy     driver.Role     `json:"served_by"`
	Transaction  string          `json:"transaction"`
	Replayed     bool            `json:"replayed"`
	Rows         []struct {
		Cells []struct {
			Value *string `json:"value"`
		} `json:"cells"`
	} `json:"rows"`
}

func (r *trial) caller(organisation string) *caller {
	transport := &http.Transport{DialContext: r.CallerDialer(), MaxIdleConnsPerHost: 64}
	r.t.Cleanup(transport.CloseIdleConnections)
	return &caller{
		trial: r, client: &http.Client{Transport: transport}, organisation: organisation,
		session: fmt.Sprintf("%s-%s", organisation, uuid.NewString()),
	}
}

func newID() string { return uuid.Must(uuid.NewV7()).String() }

// send makes one request. An error leaves the outcome unknown.
func (c *caller) send(ctx context.Context, instance int, path, id string, body any) (a answer) {
	a.Outcome, a.Reason = outcome.Unknown, outcome.AnswerLost
	data, err := json.Marshal(body)
	if err != nil {
		c.t.Error(err)
		return a
	}
	target := c.CallerURLs()[instance] + path
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(data))
	if err != nil {
		c.t.Error(err)
		return a
	}
	q.Header.Set("x-api-key", c.Keys[c.organisation].Reveal())
	q.Header.Set("x-request-id", id)
	q.Header.Set("x-deadline-ms", "5000")
	if c.token != "" {
		q.Header.Set("x-session-token", c.token)
	}
	w, err := c.client.Do(q)
	if err != nil {
		return a
	}
	defer func() { _ = w.Body.Close() }()
	var got answer
	if json.NewDecoder(w.Body).Decode(&got) != nil {
		return a
	}
	return got
}

type statement struct {
	Mode      string     `json:"mode,omitempty"`
	SQL       string     `json:"sql"`
	Arguments []argument `json:"arguments"`
	Primary   bool       `json:"primary,omitempty"`
}

type argument struct {
	Value string `json:"value"`
}

func (c *caller) tagged(mode, sql, id string) statement {
	return statement{Mode: mode, SQL: sql, Arguments: []argument{{c.organisation}, {c.session}, {id}}}
}

func (c *caller) path() string { return "/v1/groups/" + c.group + "/statements" }

// write inserts the tag of a request and records what the caller saw.
func (c *caller) write(ctx context.Context, instance int, id string) answer {
	started := time.Now()
	a := c.send(ctx, instance, c.path(), id, c.tagged("write", load.InsertSQL, id))
	c.record(ledger.Write, id, a, started, nil)
	return a
}

// read returns the tags of the session, and records what the caller saw.
func (c *caller) read(ctx context.Context, instance int, id string) (answer, []string) {
	started := time.Now()
	a := c.send(ctx, instance, c.path(), id, c.tagged("read", load.ReadSQL, id))
	var seen []string
	c.record(ledger.Read, id, a, started, func(e *ledger.Entry) {
		for _, row := range a.Rows {
			tag := ledger.Tag{Organisation: *row.Cells[1].Value, Session: *row.Cells[2].Value, RequestID: *row.Cells[3].Value}
			if *row.Cells[0].Value == "0" {
				e.Echo = tag
				continue
			}
			e.Seen = append(e.Seen, tag)
			seen = append(seen, tag.RequestID)
		}
	})
	return a, seen
}

func (c *caller) record(kind ledger.Kind, id string, a answer, started time.Time, answered func(e *ledger.Entry)) {
	e := ledger.Entry{
		Organisation: c.organisation, Session: c.session, Group: c.group, RequestID: id, Kind: kind, Outcome: a.Outcome,
		Reason: a.Reason, Started: started, Ended: time.Now(), ServedBy: a.ServedBy,
	}
	if answered != nil && a.Outcome == outcome.Done {
		answered(&e)
	}
	c.ledger.Record(e)
}

// begin opens a transaction.
func (c *caller) begin(ctx context.Context, instance int) answer {
	a := c.send(ctx, instance, "/v1/groups/"+c.group+"/transactions", newID(), struct{}{})
	c.token = a.SessionToken
	return a
}

// step runs a statement in a transaction.
func (c *caller) step(ctx context.Context, instance int, transaction, sql, id string) answer {
	return c.send(ctx, instance, "/v1/transactions/"+transaction+"/statements", newID(), c.tagged("", sql, id))
}

// end commits a transaction under the id, or rolls it back.
func (c *caller) end(ctx context.Context, instance int, transaction, verb, id string) answer {
	return c.send(ctx, instance, "/v1/transactions/"+transaction+"/"+verb, id, struct{}{})
}
