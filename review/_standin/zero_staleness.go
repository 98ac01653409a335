package main

import (
	"encoding/json"
	"fmt"
	"time"
)

func init() { scenarios["zero-staleness"] = zeroStaleness }

const (
	laggingBy   = 800 * time.Millisecond // 100 times 8 ms, from an entry's receipt to its use
	readAfter   = 150 * time.Millisecond // the answer to a write
	staleRounds = 20
)

// zeroStaleness lets one client write on a primary route and another read on a bounded_staleness route whose
// maxStalenessMs is 0, while replicas are behind.
func zeroStaleness(d *deployment, trouble bool) error {
	var c map[string]any
	_ = json.Unmarshal(operatorConfiguration(7, 0), &c)
	bounded := map[string]any{
		"name": "r-2", "host": "xapu221ny95", "prefix": "/", "kind": "bounded_staleness", "timeoutMs": 1200, "latencyGoalMs": 800,
		"priority": 2, "service": serviceName, "attempts": 2, "maxStalenessMs": 0, "public": false,
	}
	c["routes"] = append(c["routes"].([]any), bounded)
	value, _ := json.Marshal(c)
	d.store.put("op", "config", value)
	zones := []string{"agreste-a", "sertao-a", "litoral-a"}
	g, err := d.addGroup(serviceName, 0, zones...)
	if err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	for _, zone := range zones {
		if _, err := d.addDaemon("front-"+zone+"-1", zone); err != nil {
			return fmt.Errorf("%w: %w", errCannotRun, err)
		}
	}
	if err := d.awaitReady(); err != nil {
		return err
	}
	time.Sleep(quietBefore)
	if trouble {
		g.mu.Lock()
		for _, x := range g.servers {
			x.lag = laggingBy
		}
		g.mu.Unlock()
	}
	w, err := connect(d.record, "writer", d.daemons[0].front, databaseName, keyOfTenant)
	if err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	defer w.close()
	r, err := connect(d.record, "reader", d.daemons[1].front, "xapu221ny95", keyOfTenant)
	if err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	defer r.close()
	for n := range staleRounds {
		data := fmt.Sprintf("plates%d", n)
		if a, err := w.query("WRITE 1a4 " + data); err != nil || !a.ok() {
			continue
		}
		time.Sleep(readAfter)
		a, err := r.query("READ 1a4")
		if err == nil && a.ok() && (len(a.rows) == 0 || a.rows[0] != data) {
			d.record.breakf("STALE: a read on a route with maxStalenessMs 0 got %v, %v after the acknowledgement of %s", a.rows, readAfter, data)
		}
	}
	return nil
}
