package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { scenarios["drain"] = drain }

const (
	longTimeoutMS  = 5000                    // of a statement, by the route
	longWork       = 2400 * time.Millisecond // of a statement on a server
	firstAfter     = 2300 * time.Millisecond // from SIGTERM to the first long statement
	secondAfter    = time.Second             // from there to the second one
	graceOfProcess = 6 * time.Second         // graceS
	longItem       = "long-item"
)

// readyDaemons returns how many daemons answer their readiness check with 200.
func (d *deployment) readyDaemons() int {
	client, n := &http.Client{Timeout: time.Second}, 0
	for _, x := range d.daemons {
		response, err := client.Get("http://" + x.ready + "/-/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			n++
		}
	}
	return n
}

// drain stops two of the three daemons of a zone as planned work. The platform then goes on to use all daemons of the
// zone, since fewer than half are in rotation. A client that connects to a stopping one must get an answer.
func drain(d *deployment, trouble bool) error {
	var c map[string]any
	_ = json.Unmarshal(operatorConfiguration(7, 0), &c)
	c["routes"].([]any)[0].(map[string]any)["timeoutMs"] = longTimeoutMS
	value, _ := json.Marshal(c)
	d.store.put("op", "config", value)
	g, err := d.addGroup(serviceName, 0, "agreste-a", "sertao-a", "litoral-a")
	if err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	g.longWork = longWork
	for n := range 3 {
		if _, err := d.addDaemon(fmt.Sprintf("front-agreste-a-%d", n+1), "agreste-a"); err != nil {
			return fmt.Errorf("%w: %w", errCannotRun, err)
		}
	}
	if err := d.awaitReady(); err != nil {
		return err
	}
	time.Sleep(quietBefore)
	if trouble {
		for _, x := range d.daemons[:2] {
			d.signal(x, syscall.SIGTERM)
			time.AfterFunc(graceOfProcess, func() { _ = x.command.Process.Kill() })
		}
	}
	time.Sleep(firstAfter)
	for n, x := range d.daemons[:2] {
		go d.longStatement(g, fmt.Sprintf("c%d", n+1), x)
	}
	time.Sleep(secondAfter)
	d.record.notef("%d of %d daemons are ready", d.readyDaemons(), len(d.daemons))
	for n, x := range d.daemons[:2] {
		go d.longStatement(g, fmt.Sprintf("c%d", n+3), x)
	}
	time.Sleep(longTimeoutMS * time.Millisecond)
	return nil
}

// longStatement lets a client connect and run one long statement, and checks the rule LOST.
func (d *deployment) longStatement(g *group, name string, x *daemon) {
	c, err := connect(d.record, name, x.front, databaseName, keyOfTenant)
	if err != nil {
		d.record.notef("client %s: no session: %v", name, err)
		return
	}
	defer c.close()
	sent := time.Now()
	if _, err := c.query("WRITE " + longItem + " plates"); err == nil {
		return
	}
	if took := time.Since(sent); took < longTimeoutMS*time.Millisecond && g.started(c.lastID) {
		d.record.breakf("LOST: the connection ends %.1f s after request %s was sent, without an answer; a server had received it",
			took.Seconds(), c.lastID)
	}
}
