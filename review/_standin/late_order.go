package main

import (
	"encoding/json"
	"fmt"
	"time"
)

func init() { scenarios["late-order"] = lateOrder }

// Times of the scenario. The primary is back before the promotion calls are answered again.
const (
	quietBefore   = 4 * time.Second
	primaryDown   = 1500 * time.Millisecond
	cloudSilent   = 3 * time.Second
	orderLateBy   = 8 * time.Second
	quietAfter    = 12 * time.Second
	writePause    = 40 * time.Millisecond
	keyOfTenant   = "u6wsjnbanfqasnmgkcuy"
	serviceName   = "eira"
	databaseName  = "lepu270"
	tenantName    = "nypu920"
	rateOfTenant  = 400
	statementTime = 800
)

// operatorConfiguration returns a configuration with one service and one primary database.
func operatorConfiguration(version, synchronous int) []byte {
	value, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-1", "host": databaseName, "prefix": "/", "kind": "primary", "timeoutMs": statementTime, "latencyGoalMs": 600,
			"priority": 1, "service": serviceName, "attempts": 2, "public": false,
		}},
		"services": []map[string]any{{
			"name": serviceName, "healthPath": "/health", "connectionCap": connectionCap, "protocol": "h1", "tls": false,
			"syncReplicas": synchronous,
		}},
		"limits":  map[string]any{"transactionIdleMs": 3000},
		"tenants": []map[string]any{{"name": tenantName, "apiKeys": []string{keyOfTenant}, "priority": 1, "ratePerS": rateOfTenant, "burst": rateOfTenant}},
	})
	return value
}

// lateOrder lets a primary crash and come back while promotion calls get no answer. These calls are carried out
// seconds later, as the pages allow, when the primary leads again.
func lateOrder(d *deployment, trouble bool) error {
	d.store.put("op", "config", operatorConfiguration(7, 1))
	zones := []string{"agreste-a", "sertao-a", "litoral-a"}
	g, err := d.addGroup(serviceName, 1, zones...)
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
	stop := make(chan struct{})
	defer close(stop)
	for n, x := range d.daemons {
		go writer(d.record, fmt.Sprintf("c%d", n+1), x.front, databaseName, keyOfTenant, writePause, stop)
	}
	time.Sleep(quietBefore)
	if trouble {
		primary := g.servers[0]
		d.cloud.silence(cloudSilent, orderLateBy)
		g.crash(primary)
		time.Sleep(primaryDown)
		if err := g.restart(primary); err != nil {
			return fmt.Errorf("%w: %w", errCannotRun, err)
		}
	}
	time.Sleep(quietAfter)
	return nil
}
