package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	promoteTime = 300 * time.Millisecond // from an order to the lead of the named server
	cloudTime   = 4 * time.Millisecond   // of an answer
)

// cloud carries out the promotion calls. It checks the fencing token of each when it is carried out.
type cloud struct {
	record  *record
	groups  map[string]*group
	address string

	mu          sync.Mutex
	tokens      map[string]uint64 // highest seen, by service
	silentUntil time.Time
	lateBy      time.Duration
}

func (c *cloud) listen() (*http.Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c.address = l.Addr().String()
	server := &http.Server{Handler: c, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	return server, nil
}

// silence lets calls go without an answer for a time. Each of them is carried out late.
func (c *cloud) silence(d, lateBy time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silentUntil, c.lateBy = time.Now().Add(d), lateBy
	c.record.notef("promotion calls get no answer for %v; each is carried out %v after its arrival", d, lateBy)
}

// order is a promotion call.
type order struct {
	holder  string
	token   uint64
	service string
	id      string
}

// ServeHTTP implements POST /promotion.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, ID string }
	token, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if err != nil || r.URL.Path != "/promotion" || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o := order{holder: r.Header.Get("Duty-Holder"), token: token, service: body.Service, id: body.ID}
	c.mu.Lock()
	silent, lateBy := time.Now().Before(c.silentUntil), c.lateBy
	c.mu.Unlock()
	if silent {
		c.record.notef("promotion: %+v arrives and gets no answer", o)
		time.AfterFunc(lateBy, func() { c.record.notef("promotion: %+v is carried out late: status %d", o, c.carryOut(o)) })
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(cloudTime)
	status := c.carryOut(o)
	c.record.notef("promotion: %+v: status %d", o, status)
	w.WriteHeader(status)
}

// carryOut checks an order and starts the promotion.
func (c *cloud) carryOut(o order) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.groups[o.service]
	if g == nil || o.token < c.tokens[o.service] {
		return http.StatusConflict
	}
	c.tokens[o.service] = o.token
	s := g.server(o.id)
	if s == nil || !g.running(s) {
		return http.StatusConflict
	}
	if g.leads(s) {
		return http.StatusOK
	}
	time.AfterFunc(promoteTime, func() { g.promote(s) })
	return http.StatusOK
}
