package api

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net"
	"net/http"
	"strings"
	"unicode/utf8"

	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"
)

// decoder reads one JSON value. Unknown fields are refused: a misspelt max_age_ms would silently change the meaning of
// a read.
func decoder(r *http.Request) goahttp.Decoder {
	return goahttp.EncodingFunc(func(v any) error {
		if text := r.Header.Get("Content-Type"); text != "" {
			if media, _, err := mime.ParseMediaType(text); err != nil || media != "application/json" {
				return goa.DecodePayloadError("content-type must be application/json")
			}
		}
		data, err := io.ReadAll(r.Body)
		var large *http.MaxBytesError
		var network net.Error
		switch {
		case errors.As(err, &large):
			return goa.PermanentError(tooLargeError, "the body is larger than %d bytes", large.Limit)
		case errors.As(err, &network) && network.Timeout():
			return goa.DecodePayloadError("the body did not arrive in time")
		case err != nil:
			return goa.DecodePayloadError("the body did not arrive whole")
		case !exchangeOf(r.Context()).startRunning():
			return goa.DecodePayloadError("the body did not arrive in time")
		}
		if len(bytes.TrimSpace(data)) == 0 {
			return io.EOF
		}
		// The decoder would replace other bytes by U+FFFD, and different statements would become the same.
		if !utf8.Valid(data) {
			return goa.DecodePayloadError("the body must be UTF-8")
		}
		d := json.NewDecoder(bytes.NewReader(data))
		d.DisallowUnknownFields()
		if err := d.Decode(v); err != nil {
			return goa.DecodePayloadError(strings.TrimPrefix(err.Error(), "json: "))
		}
		if _, err := d.Token(); !errors.Is(err, io.EOF) {
			return goa.DecodePayloadError("one JSON value is allowed")
		}
		return nil
	})
}

// encoder writes JSON whatever the caller accepts.
func encoder(_ context.Context, w http.ResponseWriter) goahttp.Encoder {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w)
}

// muxer adapts http.ServeMux to goa, so that the server decides how unknown routes are answered.
type muxer struct {
	mux   *http.ServeMux
	names map[string][]string // names of the path variables by pattern
}

func newMuxer() *muxer { return &muxer{mux: http.NewServeMux(), names: map[string][]string{}} }

// Handle implements goahttp.Muxer.
func (m *muxer) Handle(method, pattern string, handler http.HandlerFunc) {
	pattern = method + " " + pattern
	for _, part := range strings.Split(pattern, "/") {
		if strings.HasPrefix(part, "{") {
			m.names[pattern] = append(m.names[pattern], strings.Trim(part, "{}"))
		}
	}
	m.mux.HandleFunc(pattern, handler)
}

// ServeHTTP implements http.Handler.
func (m *muxer) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.mux.ServeHTTP(w, r) }

// Vars implements goahttp.Muxer.
func (m *muxer) Vars(r *http.Request) map[string]string {
	vars := map[string]string{}
	for _, name := range m.names[r.Pattern] {
		vars[name] = r.PathValue(name)
	}
	return vars
}
