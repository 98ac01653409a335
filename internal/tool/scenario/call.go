package scenario

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

const callTimeout = 10 * time.Second

// cell is a value of a row or an argument.
type cell struct {
	Value *string `json:"value,omitempty"`
}

// statement is the body of a request.
type statement struct {
	Mode     string `json:"mode,omitempty"`
	SQL      string `json:"sql"`
	Primary  *bool  `json:"primary,omitempty"`
	MaxAgeMS *int64 `json:"max_age_ms,omitempty"`
}

// reply is an answer of the caller API. The outcome of a request without any answer is "lost".
type reply struct {
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	Message      string `json:"message"`
	SessionToken string `json:"session_token"`
	ServedBy     string `json:"served_by"`
	Transaction  string `json:"transaction"`
	Rows         []struct {
		Cells []cell `json:"cells"`
	} `json:"rows"`
	status int
}

// value returns the first cell.
func (r reply) value() string {
	if len(r.Rows) == 0 || len(r.Rows[0].Cells) == 0 || r.Rows[0].Cells[0].Value == nil {
		return ""
	}
	return *r.Rows[0].Cells[0].Value
}

// request is one request of the caller API.
type request struct {
	method, url     string
	key, token, id  string // headers; empty ones are absent
	deadline        string // milliseconds
	body            *statement
	bodyPaddingSize int // bytes of blanks after the body
}

func (q request) send() (reply, error) {
	var data []byte
	if q.body != nil {
		var err error
		if data, err = json.Marshal(q.body); err != nil {
			return reply{}, eris.Wrap(err, "body")
		}
		data = append(data, bytes.Repeat([]byte(" "), q.bodyPaddingSize)...)
	}
	r, err := http.NewRequest(q.method, q.url, bytes.NewReader(data))
	if err != nil {
		return reply{}, eris.Wrap(err, "request")
	}
	for name, value := range map[string]string{
		"x-api-key": q.key, "x-session-token": q.token, "x-request-id": q.id, "x-deadline-ms": q.deadline,
	} {
		if value != "" {
			r.Header.Set(name, value)
		}
	}
	client := &http.Client{Timeout: callTimeout}
	w, err := client.Do(r)
	if err != nil {
		return reply{Outcome: "lost", Message: err.Error()}, nil
	}
	defer func() { _ = w.Body.Close() }()
	data, err = io.ReadAll(w.Body)
	if err != nil {
		return reply{Outcome: "lost", Message: err.Error()}, nil
	}
	got := reply{status: w.StatusCode}
	if err := json.Unmarshal(data, &got); err != nil {
		return got, eris.Wrapf(err, "status %d, answer %q", w.StatusCode, data)
	}
	if w.Header.Get("x-request-id") == "" {
		return got, eris.New("the answer has no request id")
	}
	return got, nil
}

func newID() string {
	id, err := uuid.NewV7()
	if err != nil {
		// The random source of the system does not fail on the supported platforms.
		panic(err)
	}
	return id.String()
}
