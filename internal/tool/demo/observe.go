package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"tanagercross/internal/tool/ledger"
	"tanagercross/internal/tool/load"
)

const (
	shortStatement = 2048 // bytes
	longStatement  = 4096 // bytes
	observePeriod  = 100 * time.Millisecond
	observeAfter   = 3 * time.Second
	contentsWait   = 10 * time.Second
	refused        = "refused"
	accepted       = "accepted"
)

// observe records, as a caller sees it, whether an instance takes a long statement.
func (r *run) observe(ctx context.Context, url string) {
	client := &http.Client{Transport: &http.Transport{DialContext: r.deployment.CallerDialer()}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		if value, err := r.tryLong(ctx, client, url); err == nil {
			r.ledger.Observe(ledger.Observation{Instance: url, Value: value, At: time.Now()})
		}
		r.pause(ctx, observePeriod)
	}
}

func (r *run) tryLong(ctx context.Context, client *http.Client, url string) (string, error) {
	body, err := json.Marshal(map[string]string{
		"mode": "read", "sql": "SELECT 1 -- " + strings.Repeat("x", longStatement),
	})
	if err != nil {
		return "", eris.Wrap(err, "encode statement")
	}
	target := url + "/v1/groups/" + r.groups()[0] + "/statements"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return "", eris.Wrap(err, "request")
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Api-Key", r.deployment.Keys[r.regular()[0]].Reveal())
	response, err := client.Do(request)
	if err != nil {
		return "", eris.Wrap(err, "send")
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
		return accepted, nil
	case http.StatusRequestEntityTooLarge:
		return refused, nil
	}
	return "", eris.Errorf("status %d", response.StatusCode)
}

// contents reads the tags that the primaries hold at the end.
func (r *run) contents() ([]ledger.Content, error) {
	var contents []ledger.Content
	for _, group := range r.groups() {
		primary, err := r.awaitPrimary(group)
		if err != nil {
			return nil, err
		}
		for _, organisation := range r.options.Profile.Organisations {
			rows, err := primary(organisation)
			if err != nil {
				return nil, err
			}
			contents = append(contents, load.Contents(group, organisation, rows)...)
		}
	}
	return contents, nil
}

func (r *run) awaitPrimary(group string) (func(organisation string) ([][]string, error), error) {
	deadline := time.Now().Add(contentsWait)
	for time.Now().Before(deadline) {
		if primary := r.deployment.Primary(group); primary != nil && primary != r.killed {
			return func(organisation string) ([][]string, error) {
				return primary.Dump(organisation, load.ContentsSQL)
			}, nil
		}
		time.Sleep(observePeriod)
	}
	return nil, eris.Errorf("group %s has no primary at the end", group)
}
